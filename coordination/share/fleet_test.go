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

// fleet runs the decisions of many processes in virtual time. It simulates the driver
// of each process, the network and the store.
type fleet struct {
	rng          *rand.Rand
	now          time.Duration // real time
	events       eventQueue
	seq          int
	procs        []*process
	current      map[string]*process
	store        map[string]uint64 // incarnation in the lease object, by VM
	config       *state.Config     // newest ticket
	faults       faults
	hooks        hooks
	static       bool
	latency      func(from, to *process) time.Duration
	blocked      func(from, to *process) bool              // whether messages are lost; optional
	route        func(from *process, name string) *process // process of a VM that a message goes to; optional
	onSpend      func(p *process, customer string)
	onEnd        func(p *process, id state.WaiterID, a Admission)
	changed      func(p *process) // called when connection limits may have changed
	loanMessages int              // number of messages with loan requests
}

// faults are probabilities for each message.
type faults struct {
	lost, repeated, slow float64
	storeDown            bool
}

// hooks break single rules of the protocol. All are optional.
type hooks struct {
	started    func(p *process)                                  // after the start of a process
	voting     func(p *process, from string)                     // before a voter answers
	counting   func(p *process)                                  // before an answer of a voter is counted
	counted    func(p *process)                                  // after it
	recomputed func(p *process)                                  // after the base shares were computed
	report     func(p *process, ticket uint64) uint64            // the ticket reported as applied
	granting   func(p *process, req LoanRequest)                 // before a lender answers
	granted    func(p *process, from Peer, req LoanRequest)      // after it
	receiving  func(p *process, a LoanAnswer, sentAt *time.Time) // before a borrower applies an answer
}

// proc is one process of a VM.
type process struct {
	f           *fleet
	name, dc    string
	incarnation uint64
	tables      *state.Tables
	speed       float64 // of its clock, relative to real time
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

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newFleet(seed uint64, config *state.Config) *fleet {
	return &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		current: make(map[string]*process),
		store:   make(map[string]uint64),
		config:  config,
		latency: func(from, to *process) time.Duration {
			if from.dc == to.dc {
				return 300 * time.Microsecond
			}
			return 1200 * time.Microsecond
		},
		onSpend: func(*process, string) {},
		onEnd:   func(*process, state.WaiterID, Admission) {},
		changed: func(*process) {},
	}
}

// after runs a function at a later real time.
func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + max(d, 0), f.seq, run})
}

// runOn runs a function on a process at a later real time, or when its pause ends.
func (f *fleet) runOn(p *process, d time.Duration, run func()) {
	f.after(d, func() {
		switch {
		case p.dead:
		case f.now < p.pausedUntil:
			f.runOn(p, p.pausedUntil-f.now, run)
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
func (f *fleet) send(from *process, to string, run func(q *process)) {
	f.deliver(from, func() *process {
		if f.route != nil {
			return f.route(from, to)
		}
		return f.target(to)
	}, run)
}

func (f *fleet) deliver(from *process, target func() *process, run func(q *process)) {
	copies := 1
	if f.rng.Float64() < f.faults.lost {
		copies = 0
	}
	if f.rng.Float64() < f.faults.repeated {
		copies++
	}
	for range copies {
		q := target()
		if q == nil || f.blocked != nil && f.blocked(from, q) {
			return
		}
		delay := f.latency(from, q)
		if f.rng.Float64() < f.faults.slow {
			delay += time.Duration(f.rng.ExpFloat64() * float64(time.Second))
		}
		f.runOn(q, delay, func() { run(q) })
	}
}

// running returns the processes that have not been killed.
func (f *fleet) running() []*process {
	return slices.DeleteFunc(slices.Clone(f.procs), func(p *process) bool { return p.dead })
}

// target picks a random running process of a VM.
func (f *fleet) target(name string) *process {
	running := slices.DeleteFunc(f.running(), func(p *process) bool { return p.name != name })
	if len(running) == 0 {
		return nil
	}
	return running[f.rng.IntN(len(running))]
}

// reply delivers an answer to the process that sent the request.
func (f *fleet) reply(from, to *process, run func()) {
	f.deliver(from, func() *process { return to }, func(*process) { run() })
}

// start starts a process of a VM, which becomes the current one of its name.
func (f *fleet) start(name, dc string, speed float64, config *state.Config) *process {
	p := &process{f: f, name: name, dc: dc, incarnation: 1, speed: speed, reports: make(map[string]uint64)}
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
	f.runOn(p, time.Duration(f.rng.Int64N(int64(lease.QueryInterval))), p.exchange)
	return p
}

// local reads the process's clock.
func (p *process) local() time.Time {
	return epoch.Add(time.Duration(float64(p.f.now+time.Minute) * p.speed))
}

// until returns the real time until the process's clock reaches at, plus a little,
// because timers never fire early.
func (p *process) until(at time.Time) time.Duration {
	return time.Duration(float64(at.Sub(p.local()))/p.speed) + time.Microsecond
}

func (p *process) apply(config *state.Config) {
	if p.tables.Config.Advance(config) {
		p.recompute()
	}
}

func (p *process) recompute() {
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

// exchange sends the lease queries and the periodic messages between VMs.
func (p *process) exchange() {
	f := p.f
	f.runOn(p, time.Duration(float64(lease.QueryInterval)/p.speed), p.exchange)
	for _, out := range lease.Queries(p.tables, p.local()) {
		if out.Voter == lease.Store {
			p.askStore(out.Query)
			continue
		}
		f.send(p, out.Voter, func(q *process) {
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
			f.send(p, name, func(q *process) {
				lease.ObserveIncarnation(q.tables, p.name, p.incarnation)
				q.reports[p.name] = max(q.reports[p.name], applied)
				q.agreed = max(q.agreed, agreed)
				q.recompute()
			})
		}
	}
}

// fetchHistory asks a random VM for the tickets that it respects, as a new process
// does while a ticket is being applied.
func (p *process) fetchHistory() {
	hold := p.tables.Lease.Hold()
	names := slices.Sorted(maps.Keys(p.f.current))
	p.f.send(p, names[p.f.rng.IntN(len(names))], func(q *process) {
		configs, agreed := q.tables.Shares.EffectiveConfigs(), q.tables.Shares.Agreed()
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

func (p *process) receiveVote(voter string, answer lease.Answer) {
	if p.f.hooks.counting != nil {
		p.f.hooks.counting(p)
	}
	lease.Receive(p.tables, voter, answer, p.local())
	if p.f.hooks.counted != nil {
		p.f.hooks.counted(p)
	}
}

func (p *process) askStore(q lease.Query) {
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
		f.runOn(p, 2*time.Millisecond, func() { p.receiveVote(lease.Store, answer) })
	})
}

// request handles one request of a customer at this process.
func (p *process) request(customer string, deadline time.Duration) state.WaiterID {
	p.nextID++
	id := state.WaiterID{Session: p.incarnation, Request: p.nextID}
	now := p.local()
	p.handleAdmission(customer, id, Acquire(p.tables, id, customer, 1, now, now.Add(deadline)))
	return id
}

func (p *process) handleAdmission(customer string, id state.WaiterID, a Admission) {
	if !a.Advance.IsZero() {
		p.f.runOn(p, 50*time.Microsecond+p.until(a.Advance), p.advance)
	}
	if a.Verdict == Granted {
		p.f.onSpend(p, customer)
	}
	if a.Verdict != Wait {
		p.f.onEnd(p, id, a)
	}
}

// advance calls Advance and carries out its effects.
func (p *process) advance() {
	sentAt := p.local()
	effects := Advance(p.tables, sentAt)
	p.f.changed(p)
	for _, d := range effects.Decisions {
		p.handleAdmission(d.Customer, d.ID, d.Admission)
	}
	for _, batch := range effects.Batches {
		p.sendLoans(batch, sentAt)
	}
	if !effects.Next.IsZero() {
		p.timer++
		generation := p.timer
		p.f.runOn(p, p.until(effects.Next), func() {
			if p.timer == generation {
				p.advance()
			}
		})
	}
}

func (p *process) sendLoans(batch Batch, sentAt time.Time) {
	f := p.f
	if len(batch.Loans) > MaxLoansPerMessage {
		panic(fmt.Sprintf("%d loan requests in one message", len(batch.Loans)))
	}
	f.loanMessages++
	self := Peer{Name: p.name, Incarnation: p.incarnation}
	f.send(p, batch.Peer, func(q *process) {
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

// referenceBucket is a single token bucket for the whole fleet.
type referenceBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *referenceBucket) advance(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// spend takes tokens and reports whether every interval that ends now keeps to
// burst + rate x t. That holds for all intervals if and only if the level never falls
// below zero.
func (b *referenceBucket) spend(now time.Duration, cost float64) bool {
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
