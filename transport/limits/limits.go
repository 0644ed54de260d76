// Package limits drives the decisions on fleet-wide limits: it sends and answers
// lease queries and loan requests as a part of the exchange between VMs, keeps
// base shares up to date, and passes on decisions about waiting requests.
package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// tickInterval is how often the tickets applied by other VMs are looked at.
	tickInterval = 250 * time.Millisecond
	// queueLimit bounds the events that wait; requests to advance are merged.
	queueLimit = 64
)

// Options are the parts that Limits works with.
type Options struct {
	Pool   *pool.Pool
	Tables *state.Tables
	// Decide takes the decision on a request that waited. It must not block.
	Decide func(share.Decision)
	// Send asks for an exchange with the named VMs soon.
	Send func(names ...string)
	// Lower applies a reduced connection limit of a backend server at once.
	Lower func(server string)
	// Store holds the lease objects of VMs in data centres with fewer than three
	// VMs; nil if there is no store.
	Store LeaseStore
	// Static gives every VM the same share and lends nothing. It is the baseline
	// for measurements.
	Static bool
	// FirstProcess says that no process of this VM's name ran within the last
	// share.ConnectionLoanPeriod.
	FirstProcess bool
	Logger       log.Interface
	Scope        tally.Scope
}

// Limits drives the limits of one VM.
type Limits struct {
	Options
	queue   *pool.Queue
	queued  atomic.Bool // an advance is queued
	metrics metrics

	// The fields below are used only by events of the queue.
	timer  *time.Timer
	next   time.Time     // when the timer fires; zero if it is not armed
	config *state.Config // that the shares were computed from
	agreed uint64
	held   bool

	mu      sync.Mutex // guards pending; no other lock is taken under it
	pending map[string][]share.LoanRequest
}

type metrics struct {
	held     tally.Gauge
	asked    tally.Counter
	granted  tally.Counter
	received tally.Counter
	dropped  tally.Counter
}

// New returns Limits that grant nothing until Run is called.
func New(o Options) *Limits {
	return &Limits{
		Options: o,
		queue:   o.Pool.NewQueue(queueLimit),
		pending: make(map[string][]share.LoanRequest),
		metrics: metrics{
			held:     o.Scope.Gauge("lease_held"),
			asked:    o.Scope.Counter("loans_asked"),
			granted:  o.Scope.Counter("loans_granted"),
			received: o.Scope.Counter("loans_received"),
			dropped:  o.Scope.Counter("loan_requests_dropped"),
		},
	}
}

// Run drives the limits until ctx is done.
func (l *Limits) Run(ctx context.Context) error {
	lease.Start(l.Tables.Lease, time.Now())
	share.Start(l.Tables.Shares, l.Static, l.FirstProcess)
	var store sync.WaitGroup
	if l.Store != nil {
		store.Go(func() { l.confirmByStore(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := l.Tables.Config.Changed()
		l.queue.Post(l.tick)
		select {
		case <-ctx.Done():
			store.Wait()
			l.queue.PostAlways(func() {
				if l.timer != nil {
					l.timer.Stop()
				}
			})
			l.queue.Close()
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// Advance looks at waiting requests and loans at the given time at the latest.
func (l *Limits) Advance(at time.Time) {
	if time.Until(at) <= 0 {
		l.advanceNow()
		return
	}
	l.queue.PostAlways(func() { l.arm(at) })
}

func (l *Limits) advanceNow() {
	if l.queued.CompareAndSwap(false, true) && !l.queue.PostAlways(l.advance) {
		l.queued.Store(false)
	}
}

// Leave lends what this VM does not use itself, and borrows nothing any more.
func (l *Limits) Leave() {
	share.Leave(l.Tables.Shares, time.Now())
	l.advanceNow()
}

// Applied returns the ticket that this VM reports as applied.
func (l *Limits) Applied() uint64 { return share.AppliedTicket(l.Tables, time.Now()) }

// Voters returns the VMs that confirm this VM's incarnation.
func (l *Limits) Voters() []string {
	return lease.VotersOf(l.Tables.Config.Current(), l.Tables.Self.Name).VMs
}

// Usable reports whether this VM may spend from its shares, and knows them.
func (l *Limits) Usable() bool {
	return lease.Valid(l.Tables.Lease, time.Now()) && l.Tables.Shares.Agreed() > 0
}

// tick brings the base shares up to date.
func (l *Limits) tick() {
	cfg := l.Tables.Config.Current()
	if cfg == nil {
		return
	}
	now := time.Now()
	reports := map[string]uint64{l.Tables.Self.Name: share.AppliedTicket(l.Tables, now)}
	for _, m := range l.Tables.Members.All() {
		lease.Learn(l.Tables, m.Name, m.Incarnation)
		if m.Name != l.Tables.Self.Name {
			reports[m.Name] = m.AppliedTicket
		}
	}
	l.recompute(cfg, share.Agreed(l.Tables.Shares, reports), now)
	l.noteHold(now)
	l.advance()
}

// recompute derives the base shares if the configuration or the agreed ticket
// has changed.
func (l *Limits) recompute(cfg *state.Config, agreed uint64, now time.Time) {
	if cfg != l.config || agreed != l.agreed {
		share.Recompute(l.Tables, cfg, agreed, now)
		l.config, l.agreed = cfg, agreed
	}
}

// learnAgreed takes what a neighbour knows to be agreed. A new process needs it
// while another VM is silent, because it never sees that VM report the ticket.
// The neighbour must have been asked after this process's lease hold began.
func (l *Limits) learnAgreed(agreed uint64, sentAt time.Time) {
	hold := l.Tables.Lease.Hold()
	if hold.Since.IsZero() || sentAt.Before(hold.Since) || l.Tables.Shares.Agreed() >= agreed {
		return
	}
	l.queue.PostAlways(func() {
		cfg := l.Tables.Config.Current()
		if cfg != nil && cfg == l.config && cfg.Ticket.Number == agreed {
			l.recompute(cfg, agreed, time.Now())
		}
	})
}

func (l *Limits) noteHold(now time.Time) {
	held := lease.Valid(l.Tables.Lease, now)
	if held == l.held {
		return
	}
	l.held = held
	if held {
		l.metrics.held.Update(1)
		l.Logger.Info("share: a majority of the voters confirms this process.")
		return
	}
	l.metrics.held.Update(0)
	l.Logger.Warn("share: no majority of the voters confirms this process; it spends nothing.")
}

func (l *Limits) advance() {
	l.queued.Store(false)
	l.next = time.Time{}
	effects := share.Advance(l.Tables, time.Now())
	for _, d := range effects.Decisions {
		l.Decide(d)
	}
	for _, b := range effects.Batches {
		l.enqueue(b)
	}
	if !effects.Next.IsZero() {
		l.arm(effects.Next)
	}
}

// enqueue keeps loan requests for the next message to a VM. Requests that find
// no room are repeated by the decisions.
func (l *Limits) enqueue(b share.Batch) {
	l.mu.Lock()
	room := share.MaxLoansPerMessage - len(l.pending[b.Peer])
	loans := b.Loans[:min(room, len(b.Loans))]
	l.pending[b.Peer] = append(l.pending[b.Peer], loans...)
	l.mu.Unlock()
	l.metrics.asked.Inc(int64(len(loans)))
	l.metrics.dropped.Inc(int64(len(b.Loans) - len(loans)))
	l.Send(b.Peer)
}

// arm makes the timer fire at the given time at the latest.
func (l *Limits) arm(at time.Time) {
	if !l.next.IsZero() && !at.Before(l.next) {
		return
	}
	l.next = at
	delay := time.Until(at)
	if l.timer == nil {
		l.timer = time.AfterFunc(delay, l.advanceNow)
		return
	}
	l.timer.Reset(delay)
}

// Fill adds the lease query and loan requests to a message.
func (l *Limits) Fill(to string, m *peerapi.Exchange) {
	if q, ok := lease.QueryTo(l.Tables, to, time.Now()); ok {
		m.Lease = &q
	}
	m.Agreed = l.Tables.Shares.Agreed()
	l.mu.Lock()
	m.Loans = l.pending[to]
	delete(l.pending, to)
	l.mu.Unlock()
}

// Handle answers the lease query and loan requests of another VM.
func (l *Limits) Handle(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	now := time.Now()
	lease.Learn(l.Tables, from.Name, from.Incarnation)
	if m.Lease != nil {
		answer := lease.Confirm(l.Tables, from.Name, *m.Lease, now)
		a.Lease = &answer
	}
	borrower := share.Peer{Name: from.Name, Incarnation: from.Incarnation}
	for _, request := range m.Loans {
		answer := share.Grant(l.Tables, request, borrower, now)
		a.Loans = append(a.Loans, answer)
		if answer.Units > 0 {
			l.Lower(request.Name)
		}
		if answer.Units > 0 || answer.Rate > 0 || answer.Burst > 0 {
			l.metrics.granted.Inc(1)
		}
	}
	if len(m.Loans) > 0 {
		l.advanceNow()
	}
	a.Agreed = l.Tables.Shares.Agreed()
}

// HandleAnswer takes the answers to lease queries and loan requests.
func (l *Limits) HandleAnswer(from peerapi.Sender, sentAt time.Time, _ *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	now := time.Now()
	if a.Lease != nil {
		lease.Receive(l.Tables, from.Name, *a.Lease, now)
	}
	lender := share.Peer{Name: from.Name, Incarnation: from.Incarnation}
	advance := false
	for _, answer := range a.Loans {
		l.metrics.received.Inc(1)
		if share.Receive(l.Tables, answer, lender, sentAt, now) {
			advance = true
		}
	}
	if advance {
		l.advanceNow()
	}
	l.learnAgreed(a.Agreed, sentAt)
}
