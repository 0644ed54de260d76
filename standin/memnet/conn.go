package memnet

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// link is a connection with its two ends.
type link struct {
	net    *Network
	hosts  [2]*Host
	ends   [2]*Conn
	delay  time.Duration
	jitter time.Duration

	mu      lockrank.Mutex // guards the fields below and the ends' mutable fields
	changed *sync.Cond     // broadcast when a blocked call may go on
	rng     *rand.Rand
	to      [2]stream // to[i] carries data to ends[i]
	held    bool
	failed  bool
}

// Conn is one end of a connection. It implements net.Conn.
type Conn struct {
	link          *link
	side          int
	local, remote Addr

	closed        bool      // guarded by link.mu
	readDeadline  time.Time // guarded by link.mu
	writeDeadline time.Time // guarded by link.mu
}

// arrival returns when data that is sent now arrives.
func (k *link) arrival(now time.Time) time.Time {
	at := now.Add(k.delay)
	if k.jitter > 0 {
		at = at.Add(time.Duration(k.rng.Int64N(int64(k.jitter))))
	}
	return at
}

// send puts a segment into transit to the given side.
func (k *link) send(side int, g segment, now time.Time) {
	g.arrives, g.held = k.arrival(now), k.held
	k.to[side].put(g)
	k.changed.Broadcast()
}

func (k *link) setHeld(held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if held == k.held {
		return
	}
	k.held = held
	now := time.Now()
	for i := range k.to {
		if held {
			k.to[i].hold(now)
		} else {
			k.to[i].release(k.arrival(now))
		}
	}
	k.changed.Broadcast()
}

// fail breaks the connection at both ends.
func (k *link) fail() {
	k.markFailed()
	k.net.forget(k)
}

func (k *link) markFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = true
	k.to[0].drop()
	k.to[1].drop()
	k.changed.Broadcast()
}

// wait blocks until something changes or the earliest of the given times that
// is not zero. The caller holds k.mu.
func (k *link) wait(times ...time.Time) {
	var until time.Time
	for _, t := range times {
		if !t.IsZero() && (until.IsZero() || t.Before(until)) {
			until = t
		}
	}
	if until.IsZero() {
		k.changed.Wait()
		return
	}
	timer := time.AfterFunc(time.Until(until), k.wake)
	defer timer.Stop()
	k.changed.Wait()
}

// wake takes the lock so that a timer cannot fire before its caller waits.
func (k *link) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed.Broadcast()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	in := &c.link.to[c.side]
	for {
		now := time.Now()
		if err := c.fault(c.readDeadline, now); err != nil {
			return 0, opError("read", c.remote, err)
		}
		if len(b) == 0 {
			return 0, nil
		}
		if n, err, ok := in.take(b, now); ok {
			c.link.changed.Broadcast()
			return n, err
		}
		c.link.wait(in.next(), c.readDeadline)
	}
}

// Write implements net.Conn. It blocks while the buffer is full. Data for an
// end that has been closed is dropped; once the news of that has arrived, Write
// fails.
func (c *Conn) Write(b []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	written := 0
	for {
		now := time.Now()
		if err := c.writeFault(now); err != nil {
			return written, opError("write", c.remote, err)
		}
		written += c.write(b[written:], now)
		if written == len(b) {
			return written, nil
		}
		c.link.wait(c.writeDeadline)
	}
}

func (c *Conn) write(b []byte, now time.Time) int {
	peer := 1 - c.side
	if c.link.ends[peer].closed {
		return len(b)
	}
	n := min(len(b), c.link.to[peer].room())
	if n > 0 {
		c.link.send(peer, segment{data: append([]byte(nil), b[:n]...)}, now)
	}
	return n
}

func (c *Conn) writeFault(now time.Time) error {
	if err := c.fault(c.writeDeadline, now); err != nil {
		return err
	}
	if c.link.to[c.side].ended(now) {
		return syscall.EPIPE
	}
	return nil
}

func (c *Conn) fault(deadline, now time.Time) error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.link.failed:
		return syscall.ECONNRESET
	case !deadline.IsZero() && !now.Before(deadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Close implements net.Conn. Data already written is still delivered.
func (c *Conn) Close() error {
	last, err := c.close()
	if last {
		c.link.net.forget(c.link)
	}
	return err
}

// close reports whether both ends are now closed.
func (c *Conn) close() (last bool, err error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return false, opError("close", c.local, net.ErrClosed)
	}
	c.closed = true
	c.link.to[c.side].drop()
	if !c.link.failed {
		c.link.send(1-c.side, segment{end: true}, time.Now())
	}
	c.link.changed.Broadcast()
	return c.link.ends[1-c.side].closed, nil
}

// Break makes the connection fail at both ends, as a reset does. Data in
// transit is lost.
func (c *Conn) Break() { c.link.fail() }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readDeadline, c.writeDeadline = t, t })
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readDeadline = t })
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.writeDeadline = t })
}

func (c *Conn) setDeadlines(set func()) error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return opError("set", c.local, net.ErrClosed)
	}
	set()
	c.link.changed.Broadcast()
	return nil
}
