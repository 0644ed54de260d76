package fleetlink

import (
	"net"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

// link is one connection between two VMs.
type link struct {
	conn net.Conn
	out  *outbox.Outbox
	// incarnation is that of the VM at the other end of a link that this VM
	// dialled; zero until it described itself. It is guarded by Links.mu.
	incarnation int64

	mu     sync.Mutex // guards the fields below; no other lock is taken under it
	lastID uint64
	calls  map[uint64]pending
	broken bool
	// waiting is the number of calls under way but for pings, and waitsFrom the
	// time since which it is not zero.
	waiting   int
	waitsFrom time.Duration
}

// pending is a call that was not answered.
type pending struct {
	ping bool
	done func(fleetwire.Frame, bool)
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, out: outbox.New(conn, outboxHigh), calls: make(map[uint64]pending)}
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
	ping := f.Kind == fleetwire.KindPing
	k.calls[f.ID] = pending{ping, done}
	if !ping {
		if k.waiting == 0 {
			k.waitsFrom = clock.Now()
		}
		k.waiting++
	}
	k.mu.Unlock()
	k.send(f)
	return true
}

func (k *link) answered(f fleetwire.Frame) {
	k.mu.Lock()
	c, known := k.calls[f.ID]
	delete(k.calls, f.ID)
	if known && !c.ping {
		k.waiting--
	}
	k.mu.Unlock()
	if known {
		c.done(f, true)
	}
}

// waits reports since when calls other than pings wait for their answers.
func (k *link) waits() (since time.Duration, waiting bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waitsFrom, k.waiting > 0
}

// fail ends the calls that were not answered.
func (k *link) fail() {
	k.mu.Lock()
	k.broken = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, c := range calls {
		c.done(fleetwire.Frame{}, false)
	}
}
