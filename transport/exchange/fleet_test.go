package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	log.SetHandler(discard.Default)
	m.Run()
}

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

// leaser sends the sections of the lease, so that their bytes are measured.
type leaser struct {
	n      uint64
	voters []string
}

func (l *leaser) Fill(to string, m *peerapi.Exchange) {
	l.n++
	if slices.Contains(l.voters, to) {
		m.Lease = &lease.Query{Number: l.n, Incarnation: m.Sender.Incarnation}
	}
}
func (l *leaser) Handle(_ peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	if m.Lease != nil {
		a.Lease = &lease.Answer{Number: m.Lease.Number, Confirmed: true, Highest: m.Lease.Incarnation}
	}
}
func (l *leaser) HandleAnswer(peerapi.Sender, time.Time, *peerapi.Exchange, *peerapi.ExchangeAnswer) {
}

// vm is one running process.
type vm struct {
	name     string
	tables   *state.Tables
	exchange *Exchange
	scope    tally.TestScope
	stop     func()
}

func (v *vm) ticket() uint64 { return ticketOf(v.tables.Config.Current()).Number }

func (v *vm) oldestApplied() (ticket uint64) {
	c := v.tables.Config.Current()
	v.tables.Members.With(func(ms *state.Members) { ticket = membership.OldestApplied(c, ms) })
	return ticket
}

// check is a request of the customer with its key.
func (v *vm) check() access.Reason {
	r := access.Request{Customer: "binder", Route: "stock", Key: key, HasKey: true}
	return access.Check(v.tables.Config.Current(), v.tables.Config.Freshness(), time.Now(), r).Reason
}

func accepted(v *vm) bool { return v.check() == access.None }

var key = state.KeyHash{1, 2, 3}

func customers(serveFor time.Duration, revoked bool) map[string]*state.Customer {
	return map[string]*state.Customer{"binder": {
		Name:   "binder",
		Keys:   []state.Key{{ID: "k", Hash: key, Revoked: revoked}},
		CutOff: state.CutOffPolicy{ServeFor: serveFor},
	}}
}

// pause stops the process's decisions until the returned function is called.
func (v *vm) pause() (wake func()) {
	release := make(chan struct{})
	v.exchange.queue.PostAlways(func() { <-release })
	return func() { close(release) }
}

// fleet is a set of VMs, the network between them, and the store.
type fleet struct {
	t      *testing.T
	fabric *fabric
	store  *store
	vms    map[string]*vm
	config *state.Config // newest
}

// incarnation has as many digits as a time in nanoseconds.
const incarnation = 1_900_000_000_000_000_000

func newFleet(t *testing.T, perDataCentre int, dataCentres ...string) *fleet {
	f := &fleet{
		t:      t,
		fabric: &fabric{listeners: make(map[string]chan net.Conn), conns: make(map[net.Conn][2]string)},
		store: &store{
			changed: make(chan struct{}),
			reached: func(string) bool { return true },
			watches: make(map[string]int),
		},
		vms: make(map[string]*vm),
		config: &state.Config{
			DataCentres: make(map[string]*state.DataCentre),
			Routes:      map[string]*state.Route{"stock": {Name: "stock"}},
		},
	}
	for _, dc := range dataCentres {
		d := &state.DataCentre{Name: dc, State: state.InService}
		for i := range perDataCentre {
			name := fmt.Sprintf("%s-vm-%02d", dc, i)
			d.VMs = append(d.VMs, state.VM{Name: name, Address: name + ":1", State: state.InService})
		}
		f.config.DataCentres[dc] = d
	}
	f.change(nil)
	t.Cleanup(func() {
		for _, v := range f.vms {
			v.stop()
		}
	})
	return f
}

// change puts a new ticket into the store, with the customers if not nil.
func (f *fleet) change(customers map[string]*state.Customer) {
	c := *f.config
	c.Ticket.Number++
	c.Ticket.Digest = strings.Repeat(fmt.Sprintf("%08x", c.Ticket.Number), 8)
	if customers != nil {
		c.Customers = customers
	}
	f.config = &c
	f.store.put(&c)
}

func (f *fleet) names() []string {
	var names []string
	for _, dc := range f.config.DataCentres {
		for i := range dc.VMs {
			names = append(names, dc.VMs[i].Name)
		}
	}
	return names
}

func (f *fleet) startAll() {
	for _, name := range f.names() {
		f.start(name, incarnation)
	}
}

// voters are this VM and the first 4 others, or 2 of 2 or 3, of its data centre.
func (f *fleet) voters(name string) []string {
	var others []string
	for _, v := range f.config.DataCentres[dataCentre(name)].VMs {
		if v.Name != name {
			others = append(others, v.Name)
		}
	}
	n := min(4, len(others)/2*2)
	return append([]string{name}, membership.Rank(name, others)[:n]...)
}

func (f *fleet) start(name string, inc uint64) *vm {
	f.t.Helper()
	self := state.Self{Name: name, DataCentre: dataCentre(name), Incarnation: inc}
	v := &vm{name: name, tables: state.NewTables(self), scope: tally.NewTestScope("", nil)}
	var seeds []membership.Partner
	for _, n := range f.names() {
		seeds = append(seeds, membership.Partner{Name: n, DataCentre: dataCentre(n), Address: n + ":1"})
	}
	workers, voters := pool.New(2), f.voters(name)
	e, err := New(Options{
		Pool: workers, Tables: v.tables, Self: self, Address: name + ":1",
		Network: port{f.fabric, name}, Secret: []byte("secret"), Seeds: seeds,
		Voters: func() []string { return voters },
		Parts:  []Part{&leaser{voters: voters}}, Scope: v.scope,
		Config: ConfigOptions{
			Encode: func(c *state.Config) ([]byte, error) { return json.Marshal(c) },
			Decode: func(data []byte) (*state.Config, error) {
				c := new(state.Config)
				return c, json.Unmarshal(data, c)
			},
			Store: storeView{f.store, name},
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	v.exchange = e
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = workers.Run(ctx) }()
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	v.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Errorf("%s: %v", name, err)
		}
		<-done
	})
	f.vms[name] = v
	return v
}

// within waits until the condition holds for every VM and returns the time that
// it took. It fails the test after the limit.
func (f *fleet) within(limit time.Duration, what string, condition func(v *vm) bool) time.Duration {
	f.t.Helper()
	const step = 10 * time.Millisecond
	start := time.Now()
	for {
		synctest.Wait()
		var missing []string
		for name, v := range f.vms {
			if !condition(v) {
				missing = append(missing, name)
			}
		}
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			f.t.Fatalf("not within %v: %s; missing %v", limit, what, missing)
		}
		time.Sleep(step)
	}
}

// always fails the test if the condition does not hold for every VM during d.
func (f *fleet) always(d time.Duration, what string, condition func(v *vm) bool) {
	f.t.Helper()
	const step = 50 * time.Millisecond
	for start := time.Now(); time.Since(start) < d; time.Sleep(step) {
		for name, v := range f.vms {
			if !condition(v) {
				f.t.Fatalf("%s: fails on %s after %v", what, name, time.Since(start))
			}
		}
	}
}

// kill ends a process without notice.
func (f *fleet) kill(name string) {
	f.vms[name].stop()
	delete(f.vms, name)
}

func (f *fleet) newest(v *vm) bool { return v.ticket() == f.config.Ticket.Number }

var _ network.Network = port{}
