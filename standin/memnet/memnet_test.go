package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

var _ network.Network = (*Host)(nil)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

const (
	sameZoneDelay  = time.Millisecond
	interZoneDelay = 10 * time.Millisecond
)

// pair is a connection from host a in zone east to host b in zone west.
type pair struct {
	t            *testing.T
	net          *Network
	a, b         *Host
	dialed, peer net.Conn
}

// inBubble runs a test on a pair in a synctest bubble, which fails the test if a
// goroutine is left.
func inBubble(t *testing.T, test func(t *testing.T, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := New(7)
		n.SetDefaultDelay(sameZoneDelay, interZoneDelay)
		p := &pair{t: t, net: n, a: n.Host("10.0.0.1", "east"), b: n.Host("10.0.0.2", "west")}
		l, err := p.b.Listen(":80")
		if err != nil {
			t.Fatal(err)
		}
		if p.dialed, err = p.a.Dial(t.Context(), l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if p.peer, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		test(t, p)
		n.Close()
		if left := n.Connections(); left != 0 {
			t.Fatalf("%d connections left after Close", left)
		}
	})
}

func (p *pair) write(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p.dialed, text); err != nil {
		p.t.Fatal(err)
	}
}

// read reads n bytes at the peer and returns how long that took.
func (p *pair) read(n int) (string, time.Duration) {
	p.t.Helper()
	start := time.Now()
	b := make([]byte, n)
	if _, err := io.ReadFull(p.peer, b); err != nil {
		p.t.Fatal(err)
	}
	return string(b), time.Since(start)
}

// Guards against delays that are not the delay between the two zones, and
// against an end of stream that overtakes data.
func TestDelayAndEndOfStream(t *testing.T) {
	inBubble(t, func(t *testing.T, p *pair) {
		p.write("hello")
		if text, took := p.read(5); text != "hello" || took != interZoneDelay {
			t.Fatalf("read %q after %v", text, took)
		}
		p.write("bye")
		p.dialed.Close()
		b, err := io.ReadAll(p.peer)
		if string(b) != "bye" || err != nil {
			t.Fatalf("read %q, %v", b, err)
		}
		if _, err := p.peer.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Fatalf("write to a closed connection: %v", err)
		}
	})
}

// Guards against jitter that reorders the data of a connection, and against a
// writer that is not blocked by a full buffer or loses data there.
func TestOrderUnderJitterAndBackPressure(t *testing.T) {
	inBubble(t, func(t *testing.T, p *pair) {
		p.net.SetJitter(interZoneDelay)
		c, l := p.dialAgain()
		const total = 3 * bufferLimit
		go func() {
			chunk := make([]byte, 1000)
			for sent := 0; sent < total; {
				for i := range chunk {
					chunk[i] = byte((sent + i) / 7)
				}
				n, err := c.Write(chunk[:min(len(chunk), total-sent)])
				if err != nil {
					t.Error(err)
					return
				}
				sent += n
			}
			c.Close()
		}()
		synctest.Wait()
		if held := c.(*Conn).pipe.inbound[1].size; held > bufferLimit {
			t.Fatalf("%d bytes buffered", held)
		}
		b, err := io.ReadAll(l)
		if err != nil || len(b) != total {
			t.Fatalf("read %d bytes, %v", len(b), err)
		}
		for i := range b {
			if b[i] != byte(i/7) {
				t.Fatalf("byte %d is out of order", i)
			}
		}
	})
}

// dialAgain opens another connection. Settings changed since the first one apply
// to it.
func (p *pair) dialAgain() (dialed, peer net.Conn) {
	p.t.Helper()
	l, err := p.b.Listen(":0")
	if err != nil {
		p.t.Fatal(err)
	}
	if dialed, err = p.a.Dial(p.t.Context(), l.Addr().String()); err != nil {
		p.t.Fatal(err)
	}
	if peer, err = l.Accept(); err != nil {
		p.t.Fatal(err)
	}
	return dialed, peer
}

// Guards against data that crosses a partition, or is lost or reordered when the
// partition heals, and against a partition that holds back data that has already
// arrived.
func TestPartitionHoldsDataBack(t *testing.T) {
	inBubble(t, func(t *testing.T, p *pair) {
		p.write("1")
		time.Sleep(interZoneDelay)
		p.write("2")
		partition := p.net.Partition(Zones("east"), Hosts("10.0.0.2"))
		p.write("3")
		if text, took := p.read(1); text != "1" || took != 0 {
			t.Fatalf("read %q after %v", text, took)
		}
		p.peer.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := p.peer.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read across the partition: %v", err)
		}
		p.peer.SetReadDeadline(time.Time{})
		partition.Heal()
		p.write("4")
		if text, took := p.read(3); text != "234" || took != interZoneDelay {
			t.Fatalf("read %q after %v", text, took)
		}
	})
}

// Guards against dials that cross a partition, do not end with their context, or
// do not continue after the partition is healed.
func TestDialWaitsForHealing(t *testing.T) {
	inBubble(t, func(t *testing.T, p *pair) {
		partition := p.net.Partition(Hosts("10.0.0.1"), All())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		if _, err := p.a.Dial(ctx, "10.0.0.2:80"); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("dial across the partition: %v", err)
		}
		if took := time.Since(start); took != time.Second {
			t.Fatalf("dial ended after %v", took)
		}
		time.AfterFunc(time.Minute, partition.Heal)
		if _, err := p.a.Dial(t.Context(), "10.0.0.2:80"); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != time.Second+time.Minute+2*interZoneDelay {
			t.Fatalf("dial took %v", took)
		}
		if _, err := p.a.Dial(t.Context(), "10.0.0.2:81"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial to a port without a listener: %v", err)
		}
	})
}

// Guards against a blocked read that is not woken by a reset, a close or a new
// deadline.
func TestBlockedReadsWake(t *testing.T) {
	inBubble(t, func(t *testing.T, p *pair) {
		errs := make(chan error)
		read := func(c net.Conn) {
			_, err := c.Read(make([]byte, 1))
			errs <- err
		}
		go read(p.peer)
		synctest.Wait()
		p.peer.SetReadDeadline(time.Now().Add(-time.Second))
		if err := <-errs; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("deadline: %v", err)
		}
		p.peer.SetReadDeadline(time.Time{})
		other, _ := p.dialAgain()
		go read(other)
		synctest.Wait()
		other.Close()
		if err := <-errs; !errors.Is(err, net.ErrClosed) {
			t.Fatalf("close: %v", err)
		}
		partition := p.net.Partition(Hosts("10.0.0.1"), Hosts("10.0.0.2"))
		go read(p.peer)
		synctest.Wait()
		partition.Break()
		if err := <-errs; !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("break: %v", err)
		}
		if _, err := p.dialed.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("write after a break: %v", err)
		}
	})
}
