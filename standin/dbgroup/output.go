package dbgroup

import (
	"net"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// outputLimit is the number of unsent bytes beyond which the connection of a
// client that does not read is closed.
const outputLimit = 64 << 20

// output sends answers to a client from a goroutine of its own, so that no
// worker blocks.
type output struct {
	conn net.Conn

	mu      lockrank.Mutex // guards the fields below
	changed *sync.Cond     // signalled when there is something to do
	pending []byte
	closing bool // close once pending is sent
	aborted bool // close at once
}

func newOutput(conn net.Conn) *output {
	o := &output{conn: conn, mu: lockrank.New(rankOutput)}
	o.changed = sync.NewCond(&o.mu)
	return o
}

// write queues bytes.
func (o *output) write(b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing || o.aborted {
		return
	}
	o.pending = append(o.pending, b...)
	o.aborted = len(o.pending) > outputLimit
	o.changed.Signal()
}

// close closes the connection once everything queued is sent.
func (o *output) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.changed.Signal()
}

// abort closes the connection at once.
func (o *output) abort() {
	o.mark()
	o.conn.Close()
}

func (o *output) mark() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.aborted = true
	o.changed.Signal()
}

// run sends until the connection is to be closed or fails, then closes it.
func (o *output) run() {
	defer o.conn.Close()
	for {
		b := o.next()
		if b == nil {
			return
		}
		if _, err := o.conn.Write(b); err != nil {
			o.mark()
			return
		}
	}
}

// next waits for bytes to send. It returns nil when the connection is to be
// closed.
func (o *output) next() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		switch {
		case o.aborted:
			return nil
		case len(o.pending) > 0:
			b := o.pending
			o.pending = nil
			return b
		case o.closing:
			return nil
		}
		o.changed.Wait()
	}
}
