package managed

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/transport/directory"
	"github.com/chestnutdyke/chestnutdyke/transport/promotion"
)

// ErrStore is what a store that is down answers.
var ErrStore = errors.New("the store is down")

// storeDelay is the time that the store takes to answer.
const storeDelay = 4 * time.Millisecond

// Store is the platform's store and its interface for promotions.
type Store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	docs     map[directory.Kind]map[string]directory.Entry
	events   map[directory.Kind][]directory.Entry
	oldest   uint64 // revisions up to this one are forgotten
	changed  chan struct{}
	members  map[string]member
	duty     promotion.Duty
	tokens   map[string]uint64 // highest fencing token by group
	groups   map[string]*Group
	// down names the VMs that the store does not answer, and how.
	down       map[string]Outage
	loseOrders int // orders to come that are not answered and carried out late
	orderDelay time.Duration
	orders     []Order
	calls      int // of all VMs, waiting watches included
}

// Outage is a way in which the store fails a VM.
type Outage uint8

// Outages.
const (
	Up     Outage = iota
	Busy          // refuses at once
	Silent        // does not answer
)

// Order is a promotion that was ordered.
type Order struct {
	Group, Server, Holder string
	Token                 uint64
	Refused               bool
}

func newStore() *Store {
	return &Store{
		revision: 1, docs: make(map[directory.Kind]map[string]directory.Entry), events: make(map[directory.Kind][]directory.Entry),
		changed: make(chan struct{}), members: make(map[string]member), tokens: make(map[string]uint64),
		groups: make(map[string]*Group), down: make(map[string]Outage),
	}
}

// Put writes an entry of a kind.
func (s *Store) Put(kind directory.Kind, e directory.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	if e.Server != nil {
		server := *e.Server
		server.Revision = s.revision
		e.Server = &server
	}
	if s.docs[kind] == nil {
		s.docs[kind] = make(map[string]directory.Entry)
	}
	if e.Deleted {
		delete(s.docs[kind], e.Name)
	} else {
		s.docs[kind][e.Name] = e
	}
	s.events[kind] = append(s.events[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.events = make(map[directory.Kind][]directory.Entry)
}

// Fail makes the store fail the named VM, or all VMs for "".
func (s *Store) Fail(vm string, how Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[vm] = how
}

// LoseOrders makes the next n orders unanswered, carried out after the delay.
func (s *Store) LoseOrders(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseOrders, s.orderDelay = n, delay
}

// Calls returns the number of calls that the store got.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DutyHolder returns the VM that orders promotions.
func (s *Store) DutyHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duty.Holder
}

// Orders returns the promotions that were ordered.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// reach waits for the store's answer to the VM, or fails.
func (s *Store) reach(ctx context.Context, vm string) error {
	s.mu.Lock()
	s.calls++
	how := max(s.down[vm], s.down[""])
	s.mu.Unlock()
	switch how {
	case Busy:
		return ErrStore
	case Silent:
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(storeDelay)
	return ctx.Err()
}

// NewStore returns an empty store.
func NewStore() *Store { return newStore() }

// Access is a VM's access to the store.
type Access interface {
	directory.Source
	promotion.Duties
	promotion.Platform
}

// Client returns the named VM's access.
func (s *Store) Client(vm string) Access { return client{Store: s, vm: vm} }

// AddGroup makes the store promote servers of the group.
func (s *Store) AddGroup(g *Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups[g.Name] = g
}

// client implements Access.
type client struct {
	*Store
	vm string
}

func (c client) List(ctx context.Context, kind directory.Kind) (directory.Batch, error) {
	if err := c.reach(ctx, c.vm); err != nil {
		return directory.Batch{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := directory.Batch{AsOf: c.revision}
	for e := range maps.Values(c.docs[kind]) {
		b.Entries = append(b.Entries, e)
	}
	return b, nil
}

func (c client) Watch(ctx context.Context, kind directory.Kind, after uint64, wait time.Duration) (directory.Batch, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := c.reach(ctx, c.vm); err != nil {
			return directory.Batch{}, err
		}
		c.mu.Lock()
		if after < c.oldest {
			c.mu.Unlock()
			return directory.Batch{}, directory.ErrHistoryGone
		}
		b := directory.Batch{AsOf: c.revision}
		for _, e := range c.events[kind] {
			if e.Revision > after {
				b.Entries = append(b.Entries, e)
			}
		}
		changed := c.changed
		c.mu.Unlock()
		if len(b.Entries) > 0 {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return directory.Batch{}, ctx.Err()
		case <-deadline.C:
			return b, nil
		case <-changed:
		}
	}
}

// staleness is the age of lists that need not be fresh.
const staleness = 3 * time.Second

// member is a VM in the list of members.
type member struct {
	directory.Member
	since time.Time
}

func (c client) Members(ctx context.Context, fresh bool) ([]directory.Member, error) {
	if err := c.reach(ctx, c.vm); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []directory.Member
	for m := range maps.Values(c.members) {
		if fresh || time.Since(m.since) >= staleness {
			all = append(all, m.Member)
		}
	}
	return all, nil
}

func (c client) Announce(ctx context.Context, m directory.Member) error {
	if err := c.reach(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[m.Name] = member{m, time.Now()}
	return nil
}

func (c client) Retire(ctx context.Context, name string) error {
	if err := c.reach(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.members, name)
	return nil
}

func (c client) ReadDuty(ctx context.Context) (promotion.Duty, error) {
	if err := c.reach(ctx, c.vm); err != nil {
		return promotion.Duty{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.duty, nil
}

func (c client) WriteDuty(ctx context.Context, d promotion.Duty) error {
	if err := c.reach(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.Revision != c.duty.Revision {
		return errors.New("conflict")
	}
	c.revision++
	d.Revision = c.revision
	c.duty = d
	return nil
}

// Promote implements promotion.Platform.
func (c client) Promote(ctx context.Context, group, server, holder string, token uint64) error {
	c.mu.Lock()
	lost := c.loseOrders > 0
	delay := storeDelay
	if lost {
		c.loseOrders--
		delay = c.orderDelay
	}
	c.mu.Unlock()
	if lost {
		time.AfterFunc(delay, func() { c.carryOut(group, server, holder, token) })
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	if !c.carryOut(group, server, holder, token) {
		return promotion.ErrRefused
	}
	return nil
}

func (c client) carryOut(group, server, holder string, token uint64) bool {
	c.mu.Lock()
	refused := token < c.tokens[group]
	c.tokens[group] = max(c.tokens[group], token)
	c.orders = append(c.orders, Order{group, server, holder, token, refused})
	g := c.groups[group]
	c.mu.Unlock()
	if refused || g == nil {
		return false
	}
	if g.leads(server) {
		// An order for the present primary changes nothing.
		return true
	}
	time.AfterFunc(g.PromoteDelay, func() { g.promote(server) })
	return true
}
