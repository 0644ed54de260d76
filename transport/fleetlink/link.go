package fleetlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

// link is a connection between two VMs.
type link struct {
	conn net.Conn
	out  *outbox.Outbox
	// incarnation of the VM at the other end of a link that this VM dialled;
	// zero until that VM has sent its status. It is guarded by Links.mu.
	incarnation int64
	// lastFrame is the clock reading in ns of the latest frame on a link that the
	// other VM dialled.
	lastFrame atomic.Int64

	mu     sync.Mutex // guards the fields below; no other lock is taken under it
	lastID uint64
	calls  map[uint64]pendingCall
	broken bool
	called bool // a call other than a heartbeat was sent
	// waitingCalls is the number of calls other than heartbeats without a response, and
	// waitingFrom the time since which it has been above zero.
	waitingCalls int
	waitingFrom  time.Duration
}

// pendingCall is a call without a response yet.
type pendingCall struct {
	heartbeat bool // a ping or a lease renewal
	done      func(fleetwire.Frame, bool)
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, out: outbox.New(conn, maxOutboxBytes), calls: make(map[uint64]pendingCall)}
}

// call sends a call. It returns false, without calling done, if the link is
// closed.
func (k *link) call(f fleetwire.Frame, done func(fleetwire.Frame, bool)) bool {
	k.mu.Lock()
	if k.broken {
		k.mu.Unlock()
		return false
	}
	k.lastID++
	f.ID = k.lastID
	heartbeat := f.Kind == fleetwire.KindPing || f.Kind == fleetwire.KindRenewal
	k.calls[f.ID] = pendingCall{heartbeat, done}
	if !heartbeat {
		if k.waitingCalls == 0 {
			k.waitingFrom = clock.Now()
		}
		k.waitingCalls++
		k.called = true
	}
	k.mu.Unlock()
	k.send(f)
	return true
}

// handleResponse passes a response to its call, unless the call has failed.
func (k *link) handleResponse(f fleetwire.Frame) {
	k.mu.Lock()
	c, known := k.calls[f.ID]
	delete(k.calls, f.ID)
	if known && !c.heartbeat {
		k.waitingCalls--
	}
	k.mu.Unlock()
	if known {
		c.done(f, true)
	}
}

// used reports whether the link has carried calls other than heartbeats. Transactions
// may be open at its other end.
func (k *link) used() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.called
}

// waitingSince returns the time since which calls other than heartbeats have been
// waiting for responses, and whether any are waiting.
func (k *link) waitingSince() (since time.Duration, waiting bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waitingFrom, k.waitingCalls > 0
}

// failCalls closes the link for calls and fails the pending ones.
func (k *link) failCalls() {
	k.mu.Lock()
	k.broken = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, c := range calls {
		c.done(fleetwire.Frame{}, false)
	}
}
