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

// pipe is a connection with its two ends.
type pipe struct {
	net    *Network
	hosts  [2]*Host
	ends   [2]*Conn
	delay  time.Duration
	jitter time.Duration

	mu          lockrank.Mutex // guards the fields below and the ends' mutable fields
	changed     *sync.Cond     // broadcast when a blocked call may be able to continue
	rng         *rand.Rand
	inbound     [2]stream // inbound[i] carries data to ends[i]
	partitioned bool
	failed      bool
}

// Conn is one end of a connection. It implements net.Conn.
type Conn struct {
	pipe          *pipe
	side          int
	local, remote Addr

	closed        bool      // guarded by pipe.mu
	readDeadline  time.Time // guarded by pipe.mu
	writeDeadline time.Time // guarded by pipe.mu
}

// arrival returns the time at which data sent now arrives.
func (p *pipe) arrival(now time.Time) time.Time {
	at := now.Add(p.delay)
	if p.jitter > 0 {
		at = at.Add(time.Duration(p.rng.Int64N(int64(p.jitter))))
	}
	return at
}

// send puts a segment into transit to the given side. The caller holds p.mu.
func (p *pipe) send(side int, seg segment, now time.Time) {
	seg.arrives, seg.held = p.arrival(now), p.partitioned
	p.inbound[side].push(seg)
	p.changed.Broadcast()
}

func (p *pipe) setPartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if partitioned == p.partitioned {
		return
	}
	p.partitioned = partitioned
	now := time.Now()
	for i := range p.inbound {
		if partitioned {
			p.inbound[i].hold(now)
		} else {
			p.inbound[i].release(p.arrival(now))
		}
	}
	p.changed.Broadcast()
}

// fail resets the connection at both ends.
func (p *pipe) fail() {
	p.markFailed()
	p.net.removePipe(p)
}

func (p *pipe) markFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = true
	p.inbound[0].discard()
	p.inbound[1].discard()
	p.changed.Broadcast()
}

// wait blocks until the state of the connection changes or the earliest
// deadline passes. Zero deadlines are ignored. The caller holds p.mu.
func (p *pipe) wait(deadlines ...time.Time) {
	var until time.Time
	for _, deadline := range deadlines {
		if !deadline.IsZero() && (until.IsZero() || deadline.Before(until)) {
			until = deadline
		}
	}
	if until.IsZero() {
		p.changed.Wait()
		return
	}
	timer := time.AfterFunc(time.Until(until), p.wake)
	defer timer.Stop()
	p.changed.Wait()
}

// wake broadcasts under the lock, so that the wake-up of a timer is not lost
// between the creation of the timer and the wait.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	in := &c.pipe.inbound[c.side]
	for {
		now := time.Now()
		if err := c.ioError(c.readDeadline, now); err != nil {
			return 0, opError("read", c.remote, err)
		}
		if len(b) == 0 {
			return 0, nil
		}
		if n, err, ok := in.read(b, now); ok {
			c.pipe.changed.Broadcast()
			return n, err
		}
		c.pipe.wait(in.nextArrival(), c.readDeadline)
	}
}

// Write implements net.Conn. It blocks while the buffer is full. Data for a
// closed peer is dropped; after the peer's end of stream has arrived, Write
// fails with EPIPE.
func (c *Conn) Write(b []byte) (int, error) {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	written := 0
	for {
		now := time.Now()
		if err := c.writeError(now); err != nil {
			return written, opError("write", c.remote, err)
		}
		written += c.enqueue(b[written:], now)
		if written == len(b) {
			return written, nil
		}
		c.pipe.wait(c.writeDeadline)
	}
}

func (c *Conn) enqueue(b []byte, now time.Time) int {
	peer := 1 - c.side
	if c.pipe.ends[peer].closed {
		return len(b)
	}
	n := min(len(b), c.pipe.inbound[peer].free())
	if n > 0 {
		c.pipe.send(peer, segment{data: append([]byte(nil), b[:n]...)}, now)
	}
	return n
}

func (c *Conn) writeError(now time.Time) error {
	if err := c.ioError(c.writeDeadline, now); err != nil {
		return err
	}
	if c.pipe.inbound[c.side].endArrived(now) {
		return syscall.EPIPE
	}
	return nil
}

func (c *Conn) ioError(deadline, now time.Time) error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.pipe.failed:
		return syscall.ECONNRESET
	case !deadline.IsZero() && !now.Before(deadline):
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Close implements net.Conn. The peer still receives data already written.
func (c *Conn) Close() error {
	last, err := c.closeEnd()
	if last {
		c.pipe.net.removePipe(c.pipe)
	}
	return err
}

// closeEnd closes this end and reports whether both ends are now closed.
func (c *Conn) closeEnd() (last bool, err error) {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	if c.closed {
		return false, opError("close", c.local, net.ErrClosed)
	}
	c.closed = true
	c.pipe.inbound[c.side].discard()
	if !c.pipe.failed {
		c.pipe.send(1-c.side, segment{end: true}, time.Now())
	}
	c.pipe.changed.Broadcast()
	return c.pipe.ends[1-c.side].closed, nil
}

// Break resets the connection at both ends. Data in transit or unread is lost.
func (c *Conn) Break() { c.pipe.fail() }

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
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	if c.closed {
		return opError("set", c.local, net.ErrClosed)
	}
	set()
	c.pipe.changed.Broadcast()
	return nil
}
