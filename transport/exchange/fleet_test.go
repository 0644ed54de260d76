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
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	log.SetHandler(discard.Default)
	m.Run()
}

// leaseExtension is an Extension that adds the lease sections, so that the
// measured traffic includes them.
type leaseExtension struct {
	number uint64
	voters []string
}

func (l *leaseExtension) AddSections(to string, m *peerapi.Exchange) {
	l.number++
	if slices.Contains(l.voters, to) {
		m.Lease = &lease.Query{Number: l.number, Incarnation: m.Sender.Incarnation}
	}
}
func (l *leaseExtension) HandleRequest(_ peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	if m.Lease != nil {
		a.Lease = &lease.Answer{Number: m.Lease.Number, Confirmed: true, Highest: m.Lease.Incarnation}
	}
}
func (l *leaseExtension) HandleResponse(peerapi.Sender, time.Time, *peerapi.Exchange, *peerapi.ExchangeResponse) {
}

// vm is one running VM.
type vm struct {
	name     string
	tables   *state.Tables
	exchange *Exchange
	scope    tally.TestScope
	stop     func()
	canceled chan uint64 // sessions of received cancel requests
}

func (v *vm) ticket() uint64 { return ticketOf(v.tables.Config.Current()).Number }

func (v *vm) oldestApplied() (ticket uint64) {
	c := v.tables.Config.Current()
	v.tables.Members.With(func(ms *state.Members) { ticket = membership.OldestApplied(c, ms) })
	return ticket
}

// check returns the result of the access check for a request with the customer's
// key.
func (v *vm) check() access.Reason {
	r := access.Request{Customer: "binder", Route: "stock", Key: key, HasKey: true}
	return access.Check(v.tables.Config.Current(), v.tables.Config.Freshness(), time.Now(), r).Reason
}

func keyAccepted(v *vm) bool { return v.check() == access.None }

var key = state.KeyHash{1, 2, 3}

func customers(serveFor time.Duration, revoked bool) map[string]*state.Customer {
	return map[string]*state.Customer{"binder": {
		Name:   "binder",
		Keys:   []state.Key{{ID: "k", Hash: key, Revoked: revoked}},
		CutOff: state.CutOffPolicy{ServeFor: serveFor},
	}}
}

// pause blocks the VM's event queue until the returned function is called.
func (v *vm) pause() (resume func()) {
	release := make(chan struct{})
	v.exchange.queue.PostUnbounded(func() { <-release })
	return func() { close(release) }
}

// fleet is a set of VMs with their network and store.
type fleet struct {
	t           *testing.T
	network     *testNetwork
	store       *store
	vms         map[string]*vm
	config      *state.Config // newest
	encodeFails bool          // no VM can encode configurations
}

// incarnation has as many digits as a time in nanoseconds, so that the measured
// messages are as long as real ones.
const incarnation = 1_900_000_000_000_000_000

func newFleet(t *testing.T, perDataCentre int, dataCentres ...string) *fleet {
	f := &fleet{
		t:       t,
		network: &testNetwork{listeners: make(map[string]chan net.Conn), conns: make(map[net.Conn][2]string)},
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

// change puts a new ticket into the store. It replaces the customers if customers
// is not nil.
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

// voters returns the VM and the 4 highest-ranked others of its data centre, or 2
// if there are only 2 or 3 others.
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
	v := &vm{name: name, tables: state.NewTables(self), scope: tally.NewTestScope("", nil), canceled: make(chan uint64, 1)}
	var seeds []membership.Peer
	for _, n := range f.names() {
		seeds = append(seeds, membership.Peer{Name: n, DataCentre: dataCentre(n), Address: n + ":1"})
	}
	workers, voters := pool.New(2), f.voters(name)
	e, err := New(Options{
		Pool: workers, Tables: v.tables, Self: self, Address: name + ":1",
		Network: vmNetwork{f.network, name}, Secret: []byte("secret"), Seeds: seeds,
		Voters:     func() []string { return voters },
		Cancel:     func(session uint64, _ uint32) { v.canceled <- session },
		Extensions: []Extension{&leaseExtension{voters: voters}}, Scope: v.scope,
		Config: ConfigOptions{
			Encode: func(c *state.Config) ([]byte, error) {
				if f.encodeFails {
					return nil, errors.New("cannot encode")
				}
				return json.Marshal(c)
			},
			Decode: func(data []byte) (*state.Config, error) {
				c := new(state.Config)
				return c, json.Unmarshal(data, c)
			},
			Store: storeClient{f.store, name},
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

// within waits until the condition holds for every VM and returns the elapsed
// time. It fails the test after the limit.
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

// always fails the test if the condition does not hold for every VM throughout d.
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

// kill stops a VM without announcing that it leaves.
func (f *fleet) kill(name string) {
	f.vms[name].stop()
	delete(f.vms, name)
}

func (f *fleet) hasNewest(v *vm) bool { return v.ticket() == f.config.Ticket.Number }
