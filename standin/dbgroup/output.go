package dbgroup

import (
	"net"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// outputLimit is the number of unsent bytes above which the connection is closed,
// so that a client that does not read cannot exhaust memory.
const outputLimit = 64 << 20

// output sends responses to a client from its own goroutine, so that no worker
// blocks on a slow client.
type output struct {
	conn net.Conn

	mu      lockrank.Mutex // guards the fields below
	changed *sync.Cond     // signalled when next may be able to return
	pending []byte
	closing bool // close the connection once pending is sent
	aborted bool // close the connection at once
}

func newOutput(conn net.Conn) *output {
	o := &output{conn: conn, mu: lockrank.New(rankOutput)}
	o.changed = sync.NewCond(&o.mu)
	return o
}

// write queues bytes for sending. It never blocks. Bytes written after close or
// abort are dropped.
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

// close closes the connection once all queued bytes are sent.
func (o *output) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closing = true
	o.changed.Signal()
}

// abort closes the connection at once and drops queued bytes.
func (o *output) abort() {
	o.markAborted()
	o.conn.Close()
}

func (o *output) markAborted() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.aborted = true
	o.changed.Signal()
}

// run sends queued bytes until close, abort or an error, then closes the
// connection.
func (o *output) run() {
	defer o.conn.Close()
	for {
		b := o.next()
		if b == nil {
			return
		}
		if _, err := o.conn.Write(b); err != nil {
			o.markAborted()
			return
		}
	}
}

// next waits for bytes to send. It returns nil if the connection must be closed.
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
