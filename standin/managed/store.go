package managed

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
	"github.com/chestnutdyke/chestnutdyke/transport/promotion"
	"github.com/chestnutdyke/chestnutdyke/transport/usagereport"
)

// ErrStoreUnavailable is the error of calls to a store that refuses them.
var ErrStoreUnavailable = errors.New("store is unavailable")

// storeLatency is the time that the store takes to answer a call.
const storeLatency = 4 * time.Millisecond

// Store simulates the platform's store, its list of VMs and its interface for
// promotions.
type Store struct {
	mu            sync.Mutex // guards the fields below
	revision      uint64
	era           uint64           // rises with each call of Restore
	undo          []undoableChange // the latest changes, see Restore
	entries       map[directory.Kind]map[string]directory.Entry
	history       map[directory.Kind][]directory.Entry // changes in order of revision
	compacted     uint64                               // highest revision of which the history was dropped
	changed       chan struct{}                        // closed and replaced at each change
	watchesLost   int                                  // number of calls of LoseWatches
	members       map[string]member
	duty          promotion.Duty
	usage         usageState
	fencingTokens map[string]uint64 // highest one seen, by group
	groups        map[string]*Group
	outages       map[string]Outage // by name of the VM that is affected; "" affects all
	answersToDrop int               // number of coming orders that are not answered and run after orderDelay
	orderDelay    time.Duration
	ordersLost    int  // orders that were not answered
	refuseOrders  bool // orders do not reach the platform
	orders        []Order
	calls         int // of all VMs; a watch counts again whenever it is woken
}

// Outage is a way in which the store fails the calls of a VM.
type Outage uint8

// Outages, in ascending order of severity: the worse of two applies.
const (
	Available    Outage = iota
	Unavailable         // calls fail at once
	Unresponsive        // calls are never answered
)

// Order is an order to promote a server, as the store received it.
type Order struct {
	Group, Server, Holder string // Holder is the VM that sent the order
	Token                 uint64 // fencing token
	Refused               bool   // the token was lower than an earlier one
	Outdated              bool   // the group is unfenced, and the order was sent after one with a higher token
}

func newStore() *Store {
	return &Store{
		revision: 1, entries: make(map[directory.Kind]map[string]directory.Entry), history: make(map[directory.Kind][]directory.Entry),
		changed: make(chan struct{}), members: make(map[string]member), fencingTokens: make(map[string]uint64),
		groups: make(map[string]*Group), outages: make(map[string]Outage),
	}
}

// Put writes or deletes an entry under the next revision and wakes all watches.
func (s *Store) Put(kind directory.Kind, e directory.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, existed := s.entries[kind][e.Name]
	s.recordUndo(func() {
		if existed {
			s.entries[kind][e.Name] = before
		} else {
			delete(s.entries[kind], e.Name)
		}
	})
	s.revision++
	e.Revision = s.revision
	if e.Server != nil {
		server := *e.Server
		server.Revision = s.revision
		e.Server = &server
	}
	if s.entries[kind] == nil {
		s.entries[kind] = make(map[string]directory.Entry)
	}
	if e.Deleted {
		delete(s.entries[kind], e.Name)
	} else {
		s.entries[kind][e.Name] = e
	}
	s.history[kind] = append(s.history[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CompactHistory drops the history of changes. Watches after an older revision
// then fail with directory.ErrHistoryGone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = make(map[directory.Kind][]directory.Entry)
}

// LoseWatches makes the store forget all watches that are waiting: they are never
// answered. Watches that begin later are answered.
func (s *Store) LoseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesLost++
}

// SetOutage sets the outage that affects the calls of the named VM, or of all VMs for "".
// Orders to promote are not affected.
func (s *Store) SetOutage(vm string, o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages[vm] = o
}

// LoseOrders leaves the next n orders without an answer, and executes them after
// the delay.
func (s *Store) LoseOrders(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToDrop, s.orderDelay = n, delay
}

// OrdersLost returns the number of orders that LoseOrders has left without an answer.
func (s *Store) OrdersLost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ordersLost
}

// RefuseOrders makes orders fail before they reach the platform, until it is called with
// false.
func (s *Store) RefuseOrders(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseOrders = refuse
}

// Calls returns the number of calls that VMs made. Orders to promote do not count.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// DutyHolder returns the name of the VM that holds the duty to order promotions: the
// failover coordinator.
func (s *Store) DutyHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duty.Holder
}

// Orders returns the orders to promote that were executed or refused.
func (s *Store) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// call counts a call of the VM, waits for the store's latency, and returns the error
// of an outage that affects the VM.
func (s *Store) call(ctx context.Context, vm string) error {
	s.mu.Lock()
	s.calls++
	outage := max(s.outages[vm], s.outages[""])
	s.mu.Unlock()
	switch outage {
	case Unavailable:
		return ErrStoreUnavailable
	case Unresponsive:
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(storeLatency)
	return ctx.Err()
}

// NewStore returns an empty store.
func NewStore() *Store { return newStore() }

// Access is the store and the platform as one VM uses them.
type Access interface {
	directory.Source
	promotion.Duties
	promotion.Platform
	usagereport.Store
	usagereport.Platform
}

// Client returns the access of the named VM, for outages that affect only it.
func (s *Store) Client(vm string) Access { return client{Store: s, vm: vm} }

// AddGroup makes the group known, so that orders can promote its servers.
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
	if err := c.call(ctx, c.vm); err != nil {
		return directory.Batch{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := directory.Batch{AsOf: c.revision, Era: c.era}
	for e := range maps.Values(c.entries[kind]) {
		b.Entries = append(b.Entries, e)
	}
	return b, nil
}

func (c client) Watch(ctx context.Context, kind directory.Kind, after uint64, wait time.Duration) (directory.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	watchesLost := c.watchesLost
	c.mu.Unlock()
	for {
		if err := c.call(ctx, c.vm); err != nil {
			return directory.Batch{}, err
		}
		if c.lostSince(watchesLost) {
			<-ctx.Done()
			return directory.Batch{}, ctx.Err()
		}
		c.mu.Lock()
		b := directory.Batch{AsOf: c.revision, Era: c.era}
		if after < c.compacted || after > c.revision {
			c.mu.Unlock()
			return directory.Batch{Era: b.Era}, directory.ErrHistoryGone
		}
		for _, e := range c.history[kind] {
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
		case <-timer.C:
			if !c.lostSince(watchesLost) {
				return b, nil
			}
		case <-changed:
		}
	}
}

// lostSince reports whether LoseWatches was called more often than before.
func (s *Store) lostSince(before int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesLost > before
}

// memberListLag is the time after which a VM appears in lists that need not be
// fresh.
const memberListLag = 3 * time.Second

// member is an entry in the list of members, which the VM announced at since.
type member struct {
	directory.Member
	since    time.Time
	revision uint64
}

func (c client) Members(ctx context.Context, fresh bool) (directory.Batch, error) {
	if err := c.call(ctx, c.vm); err != nil {
		return directory.Batch{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := directory.Batch{AsOf: c.revision, Era: c.era}
	for m := range maps.Values(c.members) {
		if fresh || time.Since(m.since) >= memberListLag {
			listed.Entries = append(listed.Entries, directory.Entry{Name: m.Name, Revision: m.revision, Member: &m.Member})
		}
	}
	return listed, nil
}

func (c client) Announce(ctx context.Context, m directory.Member) error {
	if err := c.call(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUndoMember(m.Name)
	c.revision++
	c.members[m.Name] = member{m, time.Now(), c.revision}
	return nil
}

func (c client) Retire(ctx context.Context, name string) error {
	if err := c.call(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUndoMember(name)
	c.revision++
	delete(c.members, name)
	return nil
}

func (c client) ReadDuty(ctx context.Context) (promotion.Duty, error) {
	if err := c.call(ctx, c.vm); err != nil {
		return promotion.Duty{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.duty
	d.Revision.Era = c.era
	return d, nil
}

func (c client) WriteDuty(ctx context.Context, d promotion.Duty) error {
	if err := c.call(ctx, c.vm); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The store compares numbers only, as the platform's does.
	if d.Revision.Number != c.duty.Revision.Number {
		return errors.New("duty was changed by another VM")
	}
	era, before := d.Revision.Era, c.duty
	c.recordUndo(func() { c.duty = before })
	c.revision++
	d.Revision = state.Revision{Era: c.era, Number: c.revision}
	c.duty = d
	if era != c.era {
		return errors.New("the store has changed its era")
	}
	return nil
}

// Promote implements promotion.Platform.
func (c client) Promote(ctx context.Context, group, server, holder string, token uint64) error {
	c.mu.Lock()
	if c.refuseOrders {
		c.mu.Unlock()
		return promotion.ErrNotSent
	}
	g := c.groups[group]
	o := Order{Group: group, Server: server, Holder: holder, Token: token}
	if g != nil && g.Unfenced {
		o.Outdated = token < c.fencingTokens[group]
		c.fencingTokens[group] = max(c.fencingTokens[group], token)
	}
	dropAnswer := c.answersToDrop > 0
	delay := storeLatency
	if dropAnswer {
		c.answersToDrop--
		c.ordersLost++
		delay = c.orderDelay
	}
	c.mu.Unlock()
	if dropAnswer {
		time.AfterFunc(delay, func() { c.execute(g, o) })
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(delay)
	if !c.execute(g, o) {
		return promotion.ErrRefused
	}
	return nil
}

// execute runs an order to promote and reports whether the platform accepts it. An
// accepted order promotes the server after the group's delay.
func (c client) execute(g *Group, o Order) bool {
	c.mu.Lock()
	o.Refused = g == nil || !g.Unfenced && o.Token < c.fencingTokens[o.Group]
	c.fencingTokens[o.Group] = max(c.fencingTokens[o.Group], o.Token)
	c.orders = append(c.orders, o)
	c.mu.Unlock()
	if o.Refused {
		return false
	}
	// Whether the server already is the primary is decided when the order takes
	// effect.
	g.mu.Lock()
	delay := g.promoteDelay
	g.mu.Unlock()
	time.AfterFunc(delay, func() { g.promote(o.Server) })
	return true
}
