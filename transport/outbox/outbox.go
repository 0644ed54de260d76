// Package outbox writes to a connection without blocking the worker that has
// something to write. A goroutine runs only while there is something to write,
// so that an idle connection costs none.
package outbox

import (
	"net"
	"sync"
	"time"
)

// Outbox is a queue of bytes in front of a connection.
type Outbox struct {
	conn net.Conn

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	space   *sync.Cond // signalled when size falls or err is set
	pending [][]byte
	size    int // bytes pending or being written
	high    int // size from which Wait waits
	writing bool
	sealed  bool // no more bytes are taken
	closing bool // close the connection when everything is written
	err     error
}

// New returns an outbox for the connection. Wait waits while more than high
// bytes are queued.
func New(conn net.Conn, high int) *Outbox {
	o := &Outbox{conn: conn, high: high}
	o.space = sync.NewCond(&o.mu)
	return o
}

// Write queues bytes, which must not be changed afterwards. Bytes queued after
// a failure, Seal or Finish are dropped; the reader of the connection sees the
// failure.
func (o *Outbox) Write(b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil || o.sealed || len(b) == 0 {
		return
	}
	o.pending = append(o.pending, b)
	o.size += len(b)
	o.startWriter()
}

// Wait waits until there is room. Readers call it, workers must not. It reports
// false if the connection has failed.
func (o *Outbox) Wait() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.size > o.high && o.err == nil {
		o.space.Wait()
	}
	return o.err == nil
}

// Full reports whether Wait would wait.
func (o *Outbox) Full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.size > o.high
}

// Seal takes no more bytes, writes what is queued and leaves the connection
// open, so that the other side can read it. Reading from the connection fails
// after the given time.
func (o *Outbox) Seal(linger time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sealed = true
	if err := o.conn.SetReadDeadline(time.Now().Add(linger)); err != nil {
		o.fail(err)
	}
}

// Finish closes the connection after everything queued so far is written.
func (o *Outbox) Finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return
	}
	o.sealed, o.closing = true, true
	o.startWriter()
}

// WaitClosed waits until the connection is closed by Finish, Abort or a failure.
// Workers must not call it.
func (o *Outbox) WaitClosed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.err == nil {
		o.space.Wait()
	}
}

// Abort closes the connection at once.
func (o *Outbox) Abort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail(net.ErrClosed)
}

func (o *Outbox) startWriter() {
	if o.writing || o.err != nil {
		return
	}
	o.writing = true
	go o.write()
}

func (o *Outbox) write() {
	for {
		batch, more := o.take()
		if !more {
			return
		}
		n := 0
		for _, b := range batch {
			n += len(b)
		}
		_, err := batch.WriteTo(o.conn)
		o.wrote(n, err)
	}
}

// take returns what is pending. It reports false when there is nothing, and the
// writer must end.
func (o *Outbox) take() (net.Buffers, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil && len(o.pending) > 0 {
		batch := net.Buffers(o.pending)
		o.pending = nil
		return batch, true
	}
	o.writing = false
	if o.closing {
		o.fail(net.ErrClosed)
	}
	return nil, false
}

func (o *Outbox) wrote(n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.size -= n
	if err != nil {
		o.fail(err)
	}
	o.space.Broadcast()
}

func (o *Outbox) fail(err error) {
	if o.err != nil {
		return
	}
	o.err = err
	o.pending = nil
	o.conn.Close()
	o.space.Broadcast()
}
