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

var _ network.Network = port{}

// fabric is an in-memory network over net.Pipe. Addresses are "VM:1"; the data
// centre of a VM is the part of its name before the hyphen.
type fabric struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]chan net.Conn
	conns     map[net.Conn][2]string // ends
	cut       func(a, b string) bool // nil if nothing is cut
}

func dataCentre(vm string) string { dc, _, _ := strings.Cut(vm, "-"); return dc }

// in returns a function that is true for the VMs of the data centres.
func in(dataCentres ...string) func(vm string) bool {
	return func(vm string) bool { return slices.Contains(dataCentres, dataCentre(vm)) }
}

// isolate cuts a data centre off from the others.
func isolate(dc string) func(a, b string) bool {
	return func(a, b string) bool { return (dataCentre(a) == dc) != (dataCentre(b) == dc) }
}

// partition cuts the connections between VMs for which cut is true, and breaks
// those that exist.
func (f *fabric) partition(cut func(a, b string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	for c, ends := range f.conns {
		if cut != nil && cut(ends[0], ends[1]) {
			_ = c.Close()
			delete(f.conns, c)
		}
	}
}

// port is the network as one VM sees it.
type port struct {
	f  *fabric
	vm string
}

func (p port) Dial(ctx context.Context, address string) (net.Conn, error) {
	to := strings.TrimSuffix(address, ":1")
	p.f.mu.Lock()
	incoming, up := p.f.listeners[address]
	cut := p.f.cut != nil && p.f.cut(p.vm, to)
	p.f.mu.Unlock()
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
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.conns[near] = [2]string{p.vm, to}
	delay := localLatency
	if dataCentre(p.vm) != dataCentre(to) {
		delay = remoteLatency
	}
	return delayed{near, delay}, nil
}

// One-way latencies.
const (
	localLatency  = 250 * time.Microsecond
	remoteLatency = 1500 * time.Microsecond
)

// delayed is the dialling end of a connection with a latency. The answer's
// latency is added to the question's.
type delayed struct {
	net.Conn
	latency time.Duration
}

func (d delayed) Write(b []byte) (int, error) {
	time.Sleep(2 * d.latency)
	return d.Conn.Write(b)
}

func (p port) Listen(address string) (net.Listener, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.f.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{p: p, address: address, conns: make(chan net.Conn, 64), closed: make(chan struct{})}
	p.f.listeners[address] = l.conns
	return l, nil
}

type listener struct {
	p       port
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
		l.p.f.mu.Lock()
		defer l.p.f.mu.Unlock()
		delete(l.p.f.listeners, l.address)
	})
	return nil
}

// store is the platform's object that holds the configuration.
type store struct {
	mu      sync.Mutex // guards the fields below
	value   []byte
	version uint64
	changed chan struct{}
	reached func(vm string) bool
	latency time.Duration  // added to each answer
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

// storeView is the store as one VM reaches it.
type storeView struct {
	s  *store
	vm string
}

func (a storeView) Watch(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	value, version, err := a.watch(ctx, after, wait)
	if sleep(ctx, a.s.latency); ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return value, version, err
}

func (a storeView) watch(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.watches[a.vm]++
	defer func() { a.s.watches[a.vm]-- }()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if !a.s.reached(a.vm) {
			return nil, 0, errors.New("store not reached")
		}
		if a.s.version > after {
			return a.s.value, a.s.version, nil
		}
		changed := a.s.changed
		a.s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
		}
		a.s.mu.Lock()
		if ended || ctx.Err() != nil {
			return nil, after, ctx.Err()
		}
	}
}
