package fleetlink

import (
	"net"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

// link is one connection between two VMs.
type link struct {
	conn net.Conn
	out  *outbox.Outbox

	mu     sync.Mutex // guards the fields below; no other lock is taken under it
	lastID uint64
	calls  map[uint64]func(fleetwire.Frame, bool)
	broken bool
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, out: outbox.New(conn, outboxHigh), calls: make(map[uint64]func(fleetwire.Frame, bool))}
}

// call sends a call and reports whether it was sent.
func (k *link) call(f fleetwire.Frame, done func(fleetwire.Frame, bool)) bool {
	k.mu.Lock()
	if k.broken {
		k.mu.Unlock()
		return false
	}
	k.lastID++
	f.ID = k.lastID
	k.calls[f.ID] = done
	k.mu.Unlock()
	k.send(f)
	return true
}

func (k *link) answered(f fleetwire.Frame) {
	k.mu.Lock()
	done := k.calls[f.ID]
	delete(k.calls, f.ID)
	k.mu.Unlock()
	if done != nil {
		done(f, true)
	}
}

// fail ends the calls that were not answered.
func (k *link) fail() {
	k.mu.Lock()
	k.broken = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, done := range calls {
		done(fleetwire.Frame{}, false)
	}
}
