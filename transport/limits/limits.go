// Package limits runs the coordination of fleet-wide limits. It sends and
// answers lease queries and loan requests as part of the exchange between VMs,
// keeps the base shares up to date, and delivers decisions on waiting requests.
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
	// tickInterval is how often the tickets applied by other VMs are checked.
	tickInterval = 250 * time.Millisecond
	// queueLimit limits the queued events. Events that advance waiting requests
	// and loans are merged.
	queueLimit = 64
)

// Options holds the dependencies and settings of Limits.
type Options struct {
	Pool   *pool.Pool
	Tables *state.Tables
	// DeliverDecision delivers the decision on a waiting request. It must not block.
	DeliverDecision func(share.Decision)
	// RequestExchange requests an exchange with the named VMs soon.
	RequestExchange func(names ...string)
	// LowerConnectionLimit applies a reduced connection limit of a backend server
	// immediately.
	LowerConnectionLimit func(server string)
	// Store holds the lease objects of VMs in data centres with fewer than
	// three VMs. It is nil if there is no store.
	Store LeaseStore
	// Static gives all VMs the same share and disables loans. It serves as the
	// baseline in benchmarks.
	Static bool
	// FirstProcess states that no process with this VM's name ran within the
	// last share.ConnectionLoanPeriod.
	FirstProcess bool
	Logger       log.Interface
	Scope        tally.Scope
}

// Limits coordinates the limits of one VM.
type Limits struct {
	Options
	queue         *pool.Queue
	advanceQueued atomic.Bool // an event that calls advance is queued
	metrics       metrics

	// The fields below are accessed only by events in the queue.
	timer        *time.Timer
	timerAt      time.Time     // expiry of the timer; zero if it is not armed
	sharesConfig *state.Config // from which the shares were computed
	sharesTicket uint64
	leaseHeld    bool

	mu           sync.Mutex // guards pendingLoans; no other lock is taken under it
	pendingLoans map[string][]share.LoanRequest
}

type metrics struct {
	held     tally.Gauge
	asked    tally.Counter
	granted  tally.Counter
	received tally.Counter
	dropped  tally.Counter
}

// New returns a Limits that grants nothing until Run is called.
func New(o Options) *Limits {
	return &Limits{
		Options:      o,
		queue:        o.Pool.NewQueue(queueLimit),
		pendingLoans: make(map[string][]share.LoanRequest),
		metrics: metrics{
			held:     o.Scope.Gauge("lease_held"),
			asked:    o.Scope.Counter("loans_asked"),
			granted:  o.Scope.Counter("loans_granted"),
			received: o.Scope.Counter("loans_received"),
			dropped:  o.Scope.Counter("loan_requests_dropped"),
		},
	}
}

// Run coordinates the limits until ctx is done.
func (l *Limits) Run(ctx context.Context) error {
	lease.Start(l.Tables.Lease, time.Now())
	share.Start(l.Tables.Shares, l.Static, l.FirstProcess)
	var store sync.WaitGroup
	if l.Store != nil {
		store.Go(func() { l.confirmWithStore(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := l.Tables.Config.Changed()
		l.queue.Post(l.refreshShares)
		select {
		case <-ctx.Done():
			store.Wait()
			l.queue.PostUnbounded(func() {
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

// Advance schedules the processing of waiting requests and loans for the given
// time at the latest.
func (l *Limits) Advance(at time.Time) {
	if time.Until(at) <= 0 {
		l.advanceNow()
		return
	}
	l.queue.PostUnbounded(func() { l.armTimer(at) })
}

func (l *Limits) advanceNow() {
	if l.advanceQueued.CompareAndSwap(false, true) && !l.queue.PostUnbounded(l.advance) {
		l.advanceQueued.Store(false)
	}
}

// StopBorrowing starts to lend what this VM does not use itself, and stops
// borrowing.
func (l *Limits) StopBorrowing() {
	share.Drain(l.Tables.Shares, time.Now())
	l.advanceNow()
}

// Applied returns the number of the ticket that this VM reports as applied.
func (l *Limits) Applied() uint64 { return share.AppliedTicket(l.Tables, time.Now()) }

// Voters returns the VMs that confirm this VM's incarnation.
func (l *Limits) Voters() []string {
	return lease.VotersOf(l.Tables.Config.Current(), l.Tables.Self.Name).VMs
}

// Usable reports whether this VM holds a valid lease and has computed its
// shares.
func (l *Limits) Usable() bool {
	return lease.Valid(l.Tables.Lease, time.Now()) && l.Tables.Shares.Agreed() > 0
}

// refreshShares updates the base shares and processes waiting requests and
// loans.
func (l *Limits) refreshShares() {
	cfg := l.Tables.Config.Current()
	if cfg == nil {
		return
	}
	now := time.Now()
	reports := map[string]uint64{l.Tables.Self.Name: share.AppliedTicket(l.Tables, now)}
	for _, m := range l.Tables.Members.All() {
		lease.ObserveIncarnation(l.Tables, m.Name, m.Incarnation)
		if m.Name != l.Tables.Self.Name {
			reports[m.Name] = m.AppliedTicket
		}
	}
	l.recompute(cfg, share.Agreed(l.Tables.Shares, reports), now)
	l.updateLeaseState(now)
	l.advance()
}

// recompute computes the base shares if the configuration or the agreed ticket
// has changed.
func (l *Limits) recompute(cfg *state.Config, agreed uint64, now time.Time) {
	if cfg != l.sharesConfig || agreed != l.sharesTicket {
		share.Recompute(l.Tables, cfg, agreed, now)
		l.sharesConfig, l.sharesTicket = cfg, agreed
	}
}

// adoptAgreed applies a ticket that another VM knows to be agreed. A new
// process needs this while a VM is unreachable, because it never receives that
// VM's report of the ticket. The request to the other VM must have been sent
// after the lease of this process began.
func (l *Limits) adoptAgreed(agreed uint64, sentAt time.Time) {
	hold := l.Tables.Lease.Hold()
	if hold.Since.IsZero() || sentAt.Before(hold.Since) || l.Tables.Shares.Agreed() >= agreed {
		return
	}
	l.queue.PostUnbounded(func() {
		cfg := l.Tables.Config.Current()
		if cfg != nil && cfg == l.sharesConfig && cfg.Ticket.Number == agreed {
			l.recompute(cfg, agreed, time.Now())
		}
	})
}

func (l *Limits) updateLeaseState(now time.Time) {
	held := lease.Valid(l.Tables.Lease, now)
	if held == l.leaseHeld {
		return
	}
	l.leaseHeld = held
	if held {
		l.metrics.held.Update(1)
		l.Logger.Info("share: a majority of the voters confirms this process.")
		return
	}
	l.metrics.held.Update(0)
	l.Logger.Warn("share: no majority of the voters confirms this process; it spends nothing.")
}

func (l *Limits) advance() {
	l.advanceQueued.Store(false)
	l.timerAt = time.Time{}
	effects := share.Advance(l.Tables, time.Now())
	for _, d := range effects.Decisions {
		l.DeliverDecision(d)
	}
	for _, b := range effects.Batches {
		l.enqueueLoans(b)
	}
	if !effects.Next.IsZero() {
		l.armTimer(effects.Next)
	}
}

// enqueueLoans adds loan requests to the next message to a VM. Requests that
// exceed the limit per message are dropped; share.Advance issues them again.
func (l *Limits) enqueueLoans(b share.Batch) {
	l.mu.Lock()
	room := share.MaxLoansPerMessage - len(l.pendingLoans[b.Peer])
	loans := b.Loans[:min(room, len(b.Loans))]
	l.pendingLoans[b.Peer] = append(l.pendingLoans[b.Peer], loans...)
	l.mu.Unlock()
	l.metrics.asked.Inc(int64(len(loans)))
	l.metrics.dropped.Inc(int64(len(b.Loans) - len(loans)))
	l.RequestExchange(b.Peer)
}

// armTimer makes the timer expire at the given time or earlier.
func (l *Limits) armTimer(at time.Time) {
	if !l.timerAt.IsZero() && !at.Before(l.timerAt) {
		return
	}
	l.timerAt = at
	delay := time.Until(at)
	if l.timer == nil {
		l.timer = time.AfterFunc(delay, l.advanceNow)
		return
	}
	l.timer.Reset(delay)
}

// AddSections adds the lease query and the loan requests to a message.
func (l *Limits) AddSections(to string, m *peerapi.Exchange) {
	if q, ok := lease.QueryTo(l.Tables, to, time.Now()); ok {
		m.Lease = &q
	}
	m.Agreed = l.Tables.Shares.Agreed()
	l.mu.Lock()
	m.Loans = l.pendingLoans[to]
	delete(l.pendingLoans, to)
	l.mu.Unlock()
}

// HandleRequest answers the lease query and the loan requests of another VM.
func (l *Limits) HandleRequest(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	now := time.Now()
	lease.ObserveIncarnation(l.Tables, from.Name, from.Incarnation)
	if m.Lease != nil {
		answer := lease.Confirm(l.Tables, from.Name, *m.Lease, now)
		a.Lease = &answer
	}
	borrower := share.Peer{Name: from.Name, Incarnation: from.Incarnation}
	for _, request := range m.Loans {
		answer := share.Grant(l.Tables, request, borrower, now)
		a.Loans = append(a.Loans, answer)
		if answer.Units > 0 {
			l.LowerConnectionLimit(request.Name)
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

// HandleResponse handles the answers to lease queries and loan requests.
func (l *Limits) HandleResponse(from peerapi.Sender, sentAt time.Time, _ *peerapi.Exchange, a *peerapi.ExchangeResponse) {
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
	l.adoptAgreed(a.Agreed, sentAt)
}
