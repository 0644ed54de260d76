package share

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet runs the decisions of many processes in virtual time. It plays the
// driver of each process, the network and the store.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration // real time
	events  eventHeap
	seq     int
	procs   []*proc
	current map[string]*proc
	store   map[string]uint64 // incarnation in the lease object, by VM
	config  *state.Config     // newest ticket
	faults  faults
	hooks   hooks
	static  bool
	latency func(from, to *proc) time.Duration
	cut     func(from, to *proc) bool           // no message gets through; optional
	address func(from *proc, name string) *proc // which process of a VM a message goes to; optional
	onSpend func(p *proc, customer string)
	onEnd   func(p *proc, id state.WaiterID, a Admission)
	changed func(p *proc) // the limits of connections may have changed
	loanMsg int           // messages with loan requests
}

// faults are probabilities for each message.
type faults struct {
	lost, repeated, slow float64
	storeDown            bool
}

// hooks break single rules. All are optional.
type hooks struct {
	started    func(p *proc)                                  // a process has started
	voting     func(p *proc, from string)                     // before a voter answers
	counting   func(p *proc)                                  // before a voter's answer is counted
	counted    func(p *proc)                                  // after it
	recomputed func(p *proc)                                  // after the base shares were computed
	report     func(p *proc, ticket uint64) uint64            // the ticket reported as applied
	granting   func(p *proc, req LoanRequest)                 // before a lender answers
	granted    func(p *proc, from Peer, req LoanRequest)      // after it
	receiving  func(p *proc, a LoanAnswer, sentAt *time.Time) // before a borrower uses an answer
}

// proc is one process of a VM.
type proc struct {
	f           *fleet
	name, dc    string
	incarnation uint64
	tables      *state.Tables
	speed       float64 // of its clock
	pausedUntil time.Duration
	dead        bool
	timer       int // generation of the timer for Advance
	reports     map[string]uint64
	agreed      uint64
	nextID      uint64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newFleet(seed uint64, config *state.Config) *fleet {
	return &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		current: make(map[string]*proc),
		store:   make(map[string]uint64),
		config:  config,
		latency: func(from, to *proc) time.Duration {
			if from.dc == to.dc {
				return 300 * time.Microsecond
			}
			return 1200 * time.Microsecond
		},
		onSpend: func(*proc, string) {},
		onEnd:   func(*proc, state.WaiterID, Admission) {},
		changed: func(*proc) {},
	}
}

// after runs f at a later real time.
func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + max(d, 0), f.seq, run})
}

// on runs f on a process at a later real time, or when its pause ends.
func (f *fleet) on(p *proc, d time.Duration, run func()) {
	f.after(d, func() {
		switch {
		case p.dead:
		case f.now < p.pausedUntil:
			f.on(p, p.pausedUntil-f.now, run)
		default:
			run()
		}
	})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// send delivers a message to a process of the named VM, subject to faults.
func (f *fleet) send(from *proc, to string, run func(q *proc)) {
	f.deliver(from, func() *proc {
		if f.address != nil {
			return f.address(from, to)
		}
		return f.target(to)
	}, run)
}

func (f *fleet) deliver(from *proc, target func() *proc, run func(q *proc)) {
	copies := 1
	if f.rng.Float64() < f.faults.lost {
		copies = 0
	}
	if f.rng.Float64() < f.faults.repeated {
		copies++
	}
	for range copies {
		q := target()
		if q == nil || f.cut != nil && f.cut(from, q) {
			return
		}
		delay := f.latency(from, q)
		if f.rng.Float64() < f.faults.slow {
			delay += time.Duration(f.rng.ExpFloat64() * float64(time.Second))
		}
		f.on(q, delay, func() { run(q) })
	}
}

// running returns the processes that have not been killed.
func (f *fleet) running() []*proc {
	return slices.DeleteFunc(slices.Clone(f.procs), func(p *proc) bool { return p.dead })
}

// target picks one of the processes that run under a VM name.
func (f *fleet) target(name string) *proc {
	running := slices.DeleteFunc(f.running(), func(p *proc) bool { return p.name != name })
	if len(running) == 0 {
		return nil
	}
	return running[f.rng.IntN(len(running))]
}

// reply delivers an answer to the process that asked.
func (f *fleet) reply(from, to *proc, run func()) {
	f.deliver(from, func() *proc { return to }, func(*proc) { run() })
}

// start starts a process of a VM, which becomes the current one of its name.
func (f *fleet) start(name, dc string, speed float64, config *state.Config) *proc {
	p := &proc{f: f, name: name, dc: dc, incarnation: 1, speed: speed, reports: make(map[string]uint64)}
	first := f.current[name] == nil
	if !first {
		p.incarnation = f.current[name].incarnation + 1
	}
	f.procs = append(f.procs, p)
	f.current[name] = p
	p.tables = state.NewTables(state.Self{Name: name, DataCentre: dc, Incarnation: p.incarnation})
	lease.Start(p.tables.Lease, p.local())
	Start(p.tables.Shares, f.static, first)
	if f.hooks.started != nil {
		f.hooks.started(p)
	}
	p.apply(config)
	f.on(p, time.Duration(f.rng.Int64N(int64(lease.QueryInterval))), p.exchange)
	return p
}

// local reads the process's clock.
func (p *proc) local() time.Time {
	return epoch.Add(time.Duration(float64(p.f.now+time.Minute) * p.speed))
}

// until returns the real time until the clock shows at, and a little more, as
// timers never fire early.
func (p *proc) until(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(p.local()))/p.speed) + time.Microsecond
}

func (p *proc) apply(config *state.Config) {
	if p.tables.Config.Advance(config) {
		p.recompute()
	}
}

func (p *proc) recompute() {
	p.reports[p.name] = AppliedTicket(p.tables, p.local())
	if p.f.hooks.report != nil {
		p.reports[p.name] = p.f.hooks.report(p, p.reports[p.name])
	}
	config := p.tables.Config.Current()
	Recompute(p.tables, config, max(p.agreed, Agreed(p.tables.Shares, p.reports)), p.local())
	if p.f.hooks.recomputed != nil {
		p.f.hooks.recomputed(p)
	}
	p.f.changed(p)
}

// exchange sends the lease queries and what the exchange between VMs carries.
func (p *proc) exchange() {
	f := p.f
	f.on(p, time.Duration(float64(lease.QueryInterval)/p.speed), p.exchange)
	for _, out := range lease.Queries(p.tables, p.local()) {
		if out.Voter == lease.Store {
			p.askStore(out.Query)
			continue
		}
		f.send(p, out.Voter, func(q *proc) {
			if f.hooks.voting != nil {
				f.hooks.voting(q, p.name)
			}
			answer := lease.Confirm(q.tables, p.name, out.Query, q.local())
			f.reply(q, p, func() { p.receiveVote(q.name, answer) })
		})
	}
	p.recompute()
	p.fetchHistory()
	applied, agreed := p.reports[p.name], p.tables.Shares.Agreed()
	for _, name := range slices.Sorted(maps.Keys(f.current)) {
		if name != p.name {
			f.send(p, name, func(q *proc) {
				lease.Learn(q.tables, p.name, p.incarnation)
				q.reports[p.name] = max(q.reports[p.name], applied)
				q.agreed = max(q.agreed, agreed)
				q.recompute()
			})
		}
	}
}

// fetchHistory asks some VM for the tickets that it keeps to, as a new process
// does while a ticket is being applied.
func (p *proc) fetchHistory() {
	hold := p.tables.Lease.Hold()
	names := slices.Sorted(maps.Keys(p.f.current))
	p.f.send(p, names[p.f.rng.IntN(len(names))], func(q *proc) {
		configs, agreed := q.tables.Shares.Relevant(), q.tables.Shares.Agreed()
		current := q.tables.Config.Current()
		p.f.reply(q, p, func() {
			p.apply(current)
			if hold.Valid(p.local()) && p.tables.Lease.Hold().Since.Equal(hold.Since) {
				for _, config := range configs {
					Recompute(p.tables, config, agreed, p.local())
				}
			}
		})
	})
}

func (p *proc) receiveVote(voter string, answer lease.Answer) {
	if p.f.hooks.counting != nil {
		p.f.hooks.counting(p)
	}
	lease.Receive(p.tables, voter, answer, p.local())
	if p.f.hooks.counted != nil {
		p.f.hooks.counted(p)
	}
}

func (p *proc) askStore(q lease.Query) {
	f := p.f
	f.after(2*time.Millisecond, func() {
		if f.faults.storeDown || f.rng.Float64() < f.faults.lost {
			return
		}
		answer, write := lease.StoreAnswer(q, f.store[p.name])
		if write {
			f.store[p.name] = q.Incarnation
			answer, _ = lease.StoreAnswer(q, q.Incarnation)
		}
		f.on(p, 2*time.Millisecond, func() { p.receiveVote(lease.Store, answer) })
	})
}

// request is one request of a customer at this process.
func (p *proc) request(customer string, deadline time.Duration) state.WaiterID {
	p.nextID++
	id := state.WaiterID{Session: p.incarnation, Request: p.nextID}
	now := p.local()
	p.decided(customer, id, Take(p.tables, id, customer, 1, now, now.Add(deadline)))
	return id
}

func (p *proc) decided(customer string, id state.WaiterID, a Admission) {
	if !a.Advance.IsZero() {
		p.f.on(p, 50*time.Microsecond+p.until(a.Advance), p.advance)
	}
	if a.Verdict == Granted {
		p.f.onSpend(p, customer)
	}
	if a.Verdict != Wait {
		p.f.onEnd(p, id, a)
	}
}

// advance calls Advance and carries out its effects.
func (p *proc) advance() {
	sentAt := p.local()
	effects := Advance(p.tables, sentAt)
	p.f.changed(p)
	for _, d := range effects.Decisions {
		p.decided(d.Customer, d.ID, d.Admission)
	}
	for _, batch := range effects.Batches {
		p.sendLoans(batch, sentAt)
	}
	if !effects.Next.IsZero() {
		p.timer++
		generation := p.timer
		p.f.on(p, p.until(effects.Next), func() {
			if p.timer == generation {
				p.advance()
			}
		})
	}
}

func (p *proc) sendLoans(batch Batch, sentAt time.Time) {
	f := p.f
	if len(batch.Loans) > MaxLoansPerMessage {
		panic(fmt.Sprintf("%d loan requests in one message", len(batch.Loans)))
	}
	f.loanMsg++
	self := Peer{Name: p.name, Incarnation: p.incarnation}
	f.send(p, batch.Peer, func(q *proc) {
		lender := Peer{Name: q.name, Incarnation: q.incarnation}
		var answers []LoanAnswer
		for _, req := range batch.Loans {
			if f.hooks.granting != nil {
				f.hooks.granting(q, req)
			}
			answers = append(answers, Grant(q.tables, req, self, q.local()))
			if f.hooks.granted != nil {
				f.hooks.granted(q, self, req)
			}
		}
		f.changed(q)
		f.reply(q, p, func() {
			again := false
			for _, a := range answers {
				at := sentAt
				if f.hooks.receiving != nil {
					f.hooks.receiving(p, a, &at)
				}
				again = Receive(p.tables, a, lender, at, p.local()) || again
			}
			if again {
				p.advance()
			}
		})
	})
}

// ideal is one token bucket for the whole fleet.
type ideal struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *ideal) advance(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// spend reports whether a spend keeps to burst + rate x t in every interval that
// ends now. That holds for all intervals exactly if the level stays above zero.
func (b *ideal) spend(now time.Duration, cost float64) bool {
	b.advance(now)
	b.level -= cost
	return b.level >= -1e-6
}

// fleetConfig returns a configuration with the given numbers of VMs in each data
// centre.
func fleetConfig(ticket uint64, perDC ...int) *state.Config {
	c := &state.Config{
		Ticket:      state.TicketID{Number: ticket},
		Customers:   make(map[string]*state.Customer),
		Groups:      make(map[string]*state.Group),
		DataCentres: make(map[string]*state.DataCentre),
	}
	n := 0
	for i, count := range perDC {
		dc := &state.DataCentre{Name: fmt.Sprintf("dc%d", i+1), State: state.InService}
		for range count {
			n++
			dc.VMs = append(dc.VMs, state.VM{Name: fmt.Sprintf("vm%d", n), State: state.InService})
		}
		c.DataCentres[dc.Name] = dc
	}
	return c
}

func addCustomer(c *state.Config, name string, rate, burst float64) {
	c.Customers[name] = &state.Customer{Name: name, Rate: rate, Burst: burst}
}

// startAll starts a process of every VM of the configuration.
func (f *fleet) startAll(speed func() float64) {
	for d := range len(f.config.DataCentres) {
		dc := f.config.DataCentres[fmt.Sprintf("dc%d", d+1)]
		for _, vm := range dc.VMs {
			f.start(vm.Name, dc.Name, speed(), f.config)
		}
	}
}
