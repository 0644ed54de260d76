package share

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var (
	policySeed   = flag.Uint64("policy.seed", 1, "seed of the policy simulation")
	policyDetail = flag.Bool("policy.detail", false, "print the figures of each customer")
)

const (
	policyWarmUp   = 15 * time.Second
	policyRun      = 60 * time.Second
	policyDeadline = time.Second
	policyLoad     = 0.8 // of each customer's rate
)

// scenario says where and how often a customer sends.
type scenario struct {
	name string
	load func(customer int) float64                         // multiple of its rate
	vm   func(f *fleet, customer int, at time.Duration) int // VM of a request
	// burst sends the customer's whole burst at once every so often, instead of
	// random arrivals.
	burst time.Duration
}

func evenly(f *fleet, _ int, _ time.Duration) int { return f.rng.IntN(len(f.procs)) }

func inRate(int) float64 { return policyLoad }

var scenarios = []scenario{
	{name: "uniform", load: inRate, vm: evenly},
	{name: "one VM", load: inRate, vm: func(f *fleet, c int, _ time.Duration) int { return c % len(f.procs) }},
	{name: "moving", load: inRate, vm: func(f *fleet, c int, at time.Duration) int {
		return (c + int(at/(5*time.Second))) % len(f.procs)
	}},
	{name: "5x", vm: evenly, load: func(c int) float64 {
		if c == 0 || c == 2 {
			return 5
		}
		return policyLoad
	}},
	{name: "5x, one VM", vm: func(f *fleet, c int, at time.Duration) int {
		if c == 0 || c == 2 {
			return 0
		}
		return evenly(f, c, at)
	}, load: func(c int) float64 {
		if c == 0 || c == 2 {
			return 5
		}
		return policyLoad
	}},
	{name: "bursts", vm: evenly, burst: 4 * time.Second},
}

// pending is a request of the simulation.
type pending struct {
	customer int
	arrived  time.Duration
	inside   bool // a token bucket of the whole fleet would have granted it at once
}

// policyResult counts requests after the warm-up.
type policyResult struct {
	inside, refused, over10, over100 int
	granted                          [8]int
	insideOf, lateOf                 [8]int
	messages                         float64 // with loan requests, per VM and second
}

type waitKey struct {
	p  *proc
	id state.WaiterID
}

// policySim is one run of a scenario.
type policySim struct {
	f       *fleet
	s       scenario
	ideals  []ideal
	waiting map[waitKey]pending
	result  policyResult
}

func policyCustomers() (rates, bursts [8]float64) {
	for i := range rates {
		rates[i], bursts[i] = 20, 10
		if i < 2 {
			rates[i], bursts[i] = 400, 200
		}
	}
	return rates, bursts
}

func runPolicy(s scenario, static bool, seed uint64) policyResult {
	config := fleetConfig(1, 3, 3, 2)
	rates, bursts := policyCustomers()
	sim := &policySim{f: newFleet(seed, config), s: s, waiting: make(map[waitKey]pending)}
	sim.f.static = static
	sim.f.onEnd = sim.ended
	for i := range rates {
		addCustomer(config, customerName(i), rates[i], bursts[i])
		sim.ideals = append(sim.ideals, ideal{rate: rates[i], burst: bursts[i], level: bursts[i]})
	}
	sim.f.startAll(func() float64 { return 1 })
	for i := range rates {
		sim.f.after(policyWarmUp-5*time.Second, func() { sim.send(i) })
	}
	sim.f.runUntil(policyWarmUp)
	sim.result = policyResult{}
	before := sim.f.loanMsg
	sim.f.runUntil(policyWarmUp + policyRun)
	sim.result.messages = float64(sim.f.loanMsg-before) / policyRun.Seconds() / float64(len(sim.f.procs))
	return sim.result
}

func customerName(i int) string { return fmt.Sprintf("customer%d", i+1) }

// send sends the next requests of a customer and plans those after them.
func (sim *policySim) send(i int) {
	count, next := 1, time.Duration(0)
	if sim.s.burst > 0 {
		count = int(sim.ideals[i].burst)
		next = sim.s.burst
	} else {
		next = time.Duration(sim.f.rng.ExpFloat64() / (sim.s.load(i) * sim.ideals[i].rate) * float64(time.Second))
	}
	p := sim.f.procs[sim.s.vm(sim.f, i, sim.f.now)]
	for range count {
		sim.request(p, i)
	}
	sim.f.after(next, func() { sim.send(i) })
}

func (sim *policySim) request(p *proc, i int) {
	b := &sim.ideals[i]
	b.advance(sim.f.now)
	r := pending{customer: i, arrived: sim.f.now, inside: b.level >= 1}
	if r.inside {
		b.level--
		if sim.keepsToRate(i) {
			sim.result.inside++
			sim.result.insideOf[i]++
		}
	}
	sim.waiting[waitKey{p, state.WaiterID{Session: p.incarnation, Request: p.nextID + 1}}] = r
	p.request(customerName(i), policyDeadline)
}

func (sim *policySim) keepsToRate(i int) bool { return sim.s.load == nil || sim.s.load(i) < 1 }

func (sim *policySim) ended(p *proc, id state.WaiterID, a Admission) {
	r := sim.waiting[waitKey{p, id}]
	delete(sim.waiting, waitKey{p, id})
	wait := sim.f.now - r.arrived
	if a.Verdict == Granted {
		sim.result.granted[r.customer]++
	}
	if !r.inside || !sim.keepsToRate(r.customer) {
		return
	}
	late := true
	switch {
	case a.Verdict == Refused:
		sim.result.refused++
	case wait > 100*time.Millisecond:
		sim.result.over100++
	case wait > 10*time.Millisecond:
		sim.result.over10++
	default:
		late = false
	}
	if late {
		sim.result.lateOf[r.customer]++
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// Guards against a refusal inside the customer's rate while a data centre
// returns: until all VMs have applied the ticket, each has the smaller of its
// old and its new share, and the tokens for the rest come with the agreement.
func TestRequestWaitsForAgreement(t *testing.T) {
	hold := state.Hold{Since: epoch, Until: epoch.Add(time.Minute)}
	customer := &state.CustomerShare{Name: "c", Limit: state.RateShare{Rate: 100, Burst: 10}}
	customer.Loans.Holders = []state.Holder{}
	w := state.ShareWaiter{Cost: 1, Joined: epoch, Deadline: epoch.Add(5 * time.Second)}
	ticket := func(n uint64) state.TicketShares { return state.TicketShares{Config: fleetConfig(n, 1)} }
	for _, tt := range []struct {
		name    string
		tickets []state.TicketShares
		want    Verdict
	}{
		{"agreed", []state.TicketShares{ticket(2)}, Refused},
		{"not agreed", []state.TicketShares{ticket(1), ticket(2)}, Wait},
	} {
		s := &state.Shares{Tickets: tt.tickets, Agreed: 1}
		if a := enqueue(s, customer, hold, w, epoch); a.Verdict != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, a.Verdict, tt.want)
		}
		customer.Waiters = nil
	}
}

// Guards against a policy that refuses or delays requests inside their
// customer's rate more often than equal static shares do. Prints the figures.
func TestPolicy(t *testing.T) {
	fmt.Printf("%-11s %-8s %9s %9s %9s %9s %9s %9s %9s\n", "demand", "shares", "inside", "refused%", ">10ms%", ">100ms%", "worst%", "5x rate%", "msg/VM/s")
	for _, s := range scenarios {
		var late [2]float64
		for i, static := range []bool{true, false} {
			r := runPolicy(s, static, *policySeed)
			name := map[bool]string{true: "static", false: "loans"}[static]
			late[i] = percent(r.refused+r.over10+r.over100, r.inside)
			fmt.Printf("%-11s %-8s %9d %9.2f %9.2f %9.2f %9.2f %9.1f %9.1f\n", s.name, name, r.inside,
				percent(r.refused, r.inside), percent(r.over10, r.inside), percent(r.over100, r.inside),
				worst(s, r), overloadedRate(s, r), r.messages)
			if *policyDetail {
				for i := range r.insideOf {
					fmt.Printf("    customer%d: inside %d, late %.2f %%\n", i+1, r.insideOf[i], percent(r.lateOf[i], r.insideOf[i]))
				}
			}
		}
		if late[1] > late[0] {
			t.Errorf("%s: %.2f %% refused or delayed, %.2f %% with static shares", s.name, late[1], late[0])
		}
	}
}

// worst is the largest share of refused or delayed requests of any customer that
// keeps to its rate.
func worst(s scenario, r policyResult) float64 {
	most := 0.0
	for i := range r.insideOf {
		most = max(most, percent(r.lateOf[i], r.insideOf[i]))
	}
	return most
}

// overloadedRate is what the first customer gets of its rate, in percent, if it
// sends more.
func overloadedRate(s scenario, r policyResult) float64 {
	if s.load == nil || s.load(0) < 1 {
		return 0
	}
	rates, _ := policyCustomers()
	return 100 * float64(r.granted[0]) / policyRun.Seconds() / rates[0]
}
