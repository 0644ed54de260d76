// Package outbox provides a write queue for a connection, so that workers do not
// block on writes. A goroutine writes the queued bytes and ends when the queue
// is empty; an idle connection has none.
package outbox

import (
	"net"
	"sync"
	"time"
)

// Outbox is the write queue of a connection.
type Outbox struct {
	conn net.Conn

	mu            sync.Mutex // guards the fields below; no other lock is taken under it
	changed       *sync.Cond // signalled when size falls or err is set
	pending       [][]byte
	size          int  // bytes pending or being written
	highWaterMark int  // WaitForSpace blocks while size exceeds it
	writing       bool // writeLoop is running
	sealed        bool // Enqueue drops further bytes
	closing       bool // the connection is closed when everything is written
	readsStopped  bool // by StopReads
	err           error
}

// New returns an outbox for the connection. WaitForSpace blocks while more than
// highWaterMark bytes are queued.
func New(conn net.Conn, highWaterMark int) *Outbox {
	o := &Outbox{conn: conn, highWaterMark: highWaterMark}
	o.changed = sync.NewCond(&o.mu)
	return o
}

// Enqueue queues b without blocking. The caller must not modify b afterwards.
// Bytes queued after a failure, StopWrites or CloseAfterFlush are dropped; a
// failure is reported to the goroutine that reads from the connection.
func (o *Outbox) Enqueue(b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil || o.sealed || len(b) == 0 {
		return
	}
	o.pending = append(o.pending, b)
	o.size += len(b)
	o.startWriter()
}

// WaitForSpace blocks until the queue is at or below the high-water mark.
// Goroutines that read from connections call it; workers must not. It reports
// false if the connection has failed.
func (o *Outbox) WaitForSpace() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.size > o.highWaterMark && o.err == nil {
		o.changed.Wait()
	}
	return o.err == nil
}

// Full reports whether WaitForSpace would block.
func (o *Outbox) Full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.size > o.highWaterMark
}

// StopWrites drops all later writes. What is queued is still written and the
// connection stays open, so that the other side can read it. Reads from the
// connection fail after readTimeout.
func (o *Outbox) StopWrites(readTimeout time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sealed = true
	if err := o.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		o.fail(err)
	}
}

// StopReads makes reads from the connection fail. Writes go on.
func (o *Outbox) StopReads() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readsStopped = true
	if err := o.conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		o.fail(err)
	}
}

// AllowReads ends the effect of StopReads: reads fail after readTimeout. It reports false
// if StopReads was not called or the connection has failed.
func (o *Outbox) AllowReads(readTimeout time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.readsStopped || o.err != nil {
		return false
	}
	if err := o.conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		o.fail(err)
	}
	return o.err == nil
}

// CloseAfterFlush closes the connection after everything queued so far is written.
func (o *Outbox) CloseAfterFlush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closing {
		return
	}
	o.sealed, o.closing = true, true
	o.startWriter()
}

// WaitClosed blocks until the connection is closed by CloseAfterFlush, CloseNow
// or a failure. Workers must not call it.
func (o *Outbox) WaitClosed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.err == nil {
		o.changed.Wait()
	}
}

// CloseNow closes the connection at once and discards the queued bytes.
func (o *Outbox) CloseNow() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fail(net.ErrClosed)
}

func (o *Outbox) startWriter() {
	if o.writing || o.err != nil {
		return
	}
	o.writing = true
	go o.writeLoop()
}

func (o *Outbox) writeLoop() {
	for {
		batch, more := o.nextBatch()
		if !more {
			return
		}
		n := 0
		for _, b := range batch {
			n += len(b)
		}
		_, err := batch.WriteTo(o.conn)
		o.batchWritten(n, err)
	}
}

// nextBatch returns the pending bytes. It reports false if there are none; the
// write loop must then end.
func (o *Outbox) nextBatch() (net.Buffers, bool) {
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

func (o *Outbox) batchWritten(n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.size -= n
	if err != nil {
		o.fail(err)
	}
	o.changed.Broadcast()
}

func (o *Outbox) fail(err error) {
	if o.err != nil {
		return
	}
	o.err = err
	o.pending = nil
	o.conn.Close()
	o.changed.Broadcast()
}
