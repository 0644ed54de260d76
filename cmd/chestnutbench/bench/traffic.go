package bench

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// trafficKind is the purpose of a connection that a VM opens.
type trafficKind int

const (
	trafficOther    trafficKind = iota
	trafficStatus               // control interfaces of backend servers
	trafficExchange             // other VMs
	trafficKindCount
)

// trafficKindOf returns the kind of traffic to an address, by its port.
func trafficKindOf(address string) trafficKind {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return trafficOther
	}
	port, err := strconv.Atoi(text)
	switch {
	case err != nil:
		return trafficOther
	case port == fleet.ControlPort:
		return trafficStatus
	case port == fleet.PeerPort:
		return trafficExchange
	}
	return trafficOther
}

// trafficCounter counts the traffic on connections that VMs opened. Each write
// counts as one message, because the HTTP client sends a small request in one write.
type trafficCounter struct {
	messages [trafficKindCount]atomic.Int64
	bytes    [trafficKindCount]atomic.Int64
}

func (t *trafficCounter) reset() {
	for k := range trafficKindCount {
		t.messages[k].Store(0)
		t.bytes[k].Store(0)
	}
}

func (t *trafficCounter) snapshot() *trafficCounter {
	s := &trafficCounter{}
	for k := range trafficKindCount {
		s.messages[k].Store(t.messages[k].Load())
		s.bytes[k].Store(t.bytes[k].Load())
	}
	return s
}

// perSecond returns the traffic per second, as a mean over the VMs.
func (t *trafficCounter) perSecond(k trafficKind, vms float64, duration time.Duration) Traffic {
	scale := 1 / (vms * duration.Seconds())
	return Traffic{
		Messages: float64(t.messages[k].Load()) * scale,
		Bytes:    float64(t.bytes[k].Load()) * scale,
	}
}

// countingNetwork is a network that counts the traffic on connections that the VM
// opens. Accepted connections are not counted.
type countingNetwork struct {
	network.Network
	counter *trafficCounter
}

// Dial implements network.Network. The connection that it returns counts its
// traffic.
func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: n.counter, kind: trafficKindOf(address)}, nil
}

type countingConn struct {
	net.Conn
	counter *trafficCounter
	kind    trafficKind
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.messages[c.kind].Add(1)
	c.counter.bytes[c.kind].Add(int64(n))
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes[c.kind].Add(int64(n))
	return n, err
}
