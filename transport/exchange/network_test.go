package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

var _ network.Network = vmNetwork{}

// testNetwork is an in-memory network over net.Pipe. Addresses have the form
// "VM:1"; the data centre of a VM is the part of its name before the hyphen.
type testNetwork struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]chan net.Conn
	conns     map[net.Conn][2]string // VMs at both ends
	cut       func(a, b string) bool // nil if there is no partition
}

func dataCentre(vm string) string { dc, _, _ := strings.Cut(vm, "-"); return dc }

// inDataCentres returns a predicate that is true for VMs of the data centres.
func inDataCentres(dataCentres ...string) func(vm string) bool {
	return func(vm string) bool { return slices.Contains(dataCentres, dataCentre(vm)) }
}

// isolate returns a predicate for partition that isolates a data centre from the
// others.
func isolate(dc string) func(a, b string) bool {
	return func(a, b string) bool { return (dataCentre(a) == dc) != (dataCentre(b) == dc) }
}

// partition blocks new connections between VMs for which cut is true and closes
// existing ones. If cut is nil, it ends the partition.
func (n *testNetwork) partition(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for c, ends := range n.conns {
		if cut != nil && cut(ends[0], ends[1]) {
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

// vmNetwork is the network as seen by one VM.
type vmNetwork struct {
	network *testNetwork
	vm      string
}

func (n vmNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	to := strings.TrimSuffix(address, ":1")
	n.network.mu.Lock()
	incoming, up := n.network.listeners[address]
	cut := n.network.cut != nil && n.network.cut(n.vm, to)
	n.network.mu.Unlock()
	if cut {
		<-ctx.Done() // packets are lost
		return nil, ctx.Err()
	}
	if !up {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case incoming <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	n.network.conns[near] = [2]string{n.vm, to}
	delay := localLatency
	if dataCentre(n.vm) != dataCentre(to) {
		delay = remoteLatency
	}
	return delayed{near, delay}, nil
}

// One-way latencies.
const (
	localLatency  = 250 * time.Microsecond
	remoteLatency = 1500 * time.Microsecond
)

// delayed is the dialling end of a connection with a latency. It delays requests
// by the latency of the whole round trip.
type delayed struct {
	net.Conn
	latency time.Duration
}

func (d delayed) Write(b []byte) (int, error) {
	time.Sleep(2 * d.latency)
	return d.Conn.Write(b)
}

func (n vmNetwork) Listen(address string) (net.Listener, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.network.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{host: n, address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.network.listeners[address] = l.conns
	return l, nil
}

type listener struct {
	host    vmNetwork
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.network.mu.Lock()
		defer l.host.network.mu.Unlock()
		delete(l.host.network.listeners, l.address)
	})
	return nil
}

// store simulates the platform's object that holds the configuration.
type store struct {
	mu      sync.Mutex // guards the fields below
	value   []byte
	version uint64
	changed chan struct{}
	reached func(vm string) bool
	latency time.Duration  // added to each response
	watches map[string]int // pending calls by VM
}

func (s *store) put(c *state.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value, _ = json.Marshal(c)
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setReached(reached func(vm string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached = reached
	close(s.changed) // pending calls fail
	s.changed = make(chan struct{})
}

// watchers returns the VMs with a pending call.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []string
	for vm, n := range s.watches {
		if n > 0 {
			vms = append(vms, vm)
		}
	}
	return vms
}

// storeClient implements ConfigStore for one VM.
type storeClient struct {
	store *store
	vm    string
}

func (c storeClient) Watch(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	value, version, err := c.watch(ctx, after, wait)
	if sleep(ctx, c.store.latency); ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return value, version, err
}

func (c storeClient) watch(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.watches[c.vm]++
	defer func() { c.store.watches[c.vm]-- }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if !c.store.reached(c.vm) {
			return nil, 0, errors.New("store not reached")
		}
		if c.store.version > after {
			return c.store.value, c.store.version, nil
		}
		changed := c.store.changed
		c.store.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
		}
		c.store.mu.Lock()
		if ended || ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
	}
}
