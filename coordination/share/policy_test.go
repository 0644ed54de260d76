package share

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var (
	policySeed     = flag.Uint64("policy.seed", 1, "seed of the policy simulation")
	printCustomers = flag.Bool("policy.detail", false, "print the figures of each customer")
)

const (
	policyWarmUp   = 15 * time.Second
	policyRun      = 60 * time.Second
	policyDeadline = time.Second
	policyLoad     = 0.8 // of each customer's rate
)

// scenario describes where and how often the customers send requests.
type scenario struct {
	name string
	load func(customer int) float64                         // as a multiple of its rate
	vm   func(f *fleet, customer int, at time.Duration) int // VM of a request
	// burst is the interval at which a customer sends its whole burst at once. If it
	// is zero, arrivals are random.
	burst time.Duration
}

func randomVM(f *fleet, _ int, _ time.Duration) int { return f.rng.IntN(len(f.procs)) }

func loadWithinRate(int) float64 { return policyLoad }

var scenarios = []scenario{
	{name: "uniform", load: loadWithinRate, vm: randomVM},
	{name: "one VM", load: loadWithinRate, vm: func(f *fleet, c int, _ time.Duration) int { return c % len(f.procs) }},
	{name: "moving", load: loadWithinRate, vm: func(f *fleet, c int, at time.Duration) int {
		return (c + int(at/(5*time.Second))) % len(f.procs)
	}},
	{name: "5x", vm: randomVM, load: func(c int) float64 {
		if c == 0 || c == 2 {
			return 5
		}
		return policyLoad
	}},
	{name: "5x, one VM", vm: func(f *fleet, c int, at time.Duration) int {
		if c == 0 || c == 2 {
			return 0
		}
		return randomVM(f, c, at)
	}, load: func(c int) float64 {
		if c == 0 || c == 2 {
			return 5
		}
		return policyLoad
	}},
	{name: "bursts", vm: randomVM, burst: 4 * time.Second},
}

// pendingRequest is a request that has not been decided yet.
type pendingRequest struct {
	customer int
	arrived  time.Duration
	inside   bool // a single token bucket for the whole fleet would have granted it at once
}

// policyResult counts requests after the warm-up.
type policyResult struct {
	inside, refused, delayedOver10ms, delayedOver100ms int
	granted                                            [8]int
	insideOf, lateOf                                   [8]int
	messages                                           float64 // messages with loan requests per VM and second
}

type waitKey struct {
	p  *process
	id state.WaiterID
}

// policySim simulates a scenario.
type policySim struct {
	f                *fleet
	s                scenario
	referenceBuckets []referenceBucket
	waiting          map[waitKey]pendingRequest
	result           policyResult
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
	sim := &policySim{f: newFleet(seed, config), s: s, waiting: make(map[waitKey]pendingRequest)}
	sim.f.static = static
	sim.f.onEnd = sim.recordEnd
	for i := range rates {
		addCustomer(config, customerName(i), rates[i], bursts[i])
		sim.referenceBuckets = append(sim.referenceBuckets, referenceBucket{rate: rates[i], burst: bursts[i], level: bursts[i]})
	}
	sim.f.startAll(func() float64 { return 1 })
	for i := range rates {
		sim.f.after(policyWarmUp-5*time.Second, func() { sim.send(i) })
	}
	sim.f.runUntil(policyWarmUp)
	sim.result = policyResult{}
	before := sim.f.loanMessages
	sim.f.runUntil(policyWarmUp + policyRun)
	sim.result.messages = float64(sim.f.loanMessages-before) / policyRun.Seconds() / float64(len(sim.f.procs))
	return sim.result
}

func customerName(i int) string { return fmt.Sprintf("customer%d", i+1) }

// send sends the next requests of a customer and schedules those after them.
func (sim *policySim) send(i int) {
	count, next := 1, time.Duration(0)
	if sim.s.burst > 0 {
		count = int(sim.referenceBuckets[i].burst)
		next = sim.s.burst
	} else {
		next = time.Duration(sim.f.rng.ExpFloat64() / (sim.s.load(i) * sim.referenceBuckets[i].rate) * float64(time.Second))
	}
	p := sim.f.procs[sim.s.vm(sim.f, i, sim.f.now)]
	for range count {
		sim.request(p, i)
	}
	sim.f.after(next, func() { sim.send(i) })
}

func (sim *policySim) request(p *process, i int) {
	b := &sim.referenceBuckets[i]
	b.advance(sim.f.now)
	r := pendingRequest{customer: i, arrived: sim.f.now, inside: b.level >= 1}
	if r.inside {
		b.level--
		if sim.withinRate(i) {
			sim.result.inside++
			sim.result.insideOf[i]++
		}
	}
	sim.waiting[waitKey{p, state.WaiterID{Session: p.incarnation, Request: p.nextID + 1}}] = r
	p.request(customerName(i), policyDeadline)
}

func (sim *policySim) withinRate(i int) bool { return sim.s.load == nil || sim.s.load(i) < 1 }

func (sim *policySim) recordEnd(p *process, id state.WaiterID, a Admission) {
	r := sim.waiting[waitKey{p, id}]
	delete(sim.waiting, waitKey{p, id})
	wait := sim.f.now - r.arrived
	if a.Verdict == Granted {
		sim.result.granted[r.customer]++
	}
	if !r.inside || !sim.withinRate(r.customer) {
		return
	}
	late := true
	switch {
	case a.Verdict == Refused:
		sim.result.refused++
	case wait > 100*time.Millisecond:
		sim.result.delayedOver100ms++
	case wait > 10*time.Millisecond:
		sim.result.delayedOver10ms++
	default:
		late = false
	}
	if late {
		sim.result.lateOf[r.customer]++
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// Guards against refusing requests within the customer's rate while a data centre
// returns to service: until all VMs have applied the ticket, each has the smaller of
// its old and its new share, and gets the tokens for the rest once the ticket is
// agreed.
func TestRequestWaitsForAgreement(t *testing.T) {
	hold := state.LeaseHold{Since: epoch, Until: epoch.Add(time.Minute)}
	customer := &state.CustomerShare{Name: "c", Limit: state.RateShare{Rate: 100, Burst: 10}}
	customer.Loans.LenderCandidates = []state.LenderCandidate{}
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

// Guards against loans that make requests within their customer's rate be refused or
// delayed more often than equal static shares do. Prints the results.
func TestPolicy(t *testing.T) {
	fmt.Printf("%-11s %-8s %9s %9s %9s %9s %9s %9s %9s\n", "demand", "shares", "inside", "refused%", ">10ms%", ">100ms%", "worst%", "5x rate%", "msg/VM/s")
	for _, s := range scenarios {
		var late [2]float64
		for i, static := range []bool{true, false} {
			r := runPolicy(s, static, *policySeed)
			name := map[bool]string{true: "static", false: "loans"}[static]
			late[i] = percent(r.refused+r.delayedOver10ms+r.delayedOver100ms, r.inside)
			fmt.Printf("%-11s %-8s %9d %9.2f %9.2f %9.2f %9.2f %9.1f %9.1f\n", s.name, name, r.inside,
				percent(r.refused, r.inside), percent(r.delayedOver10ms, r.inside), percent(r.delayedOver100ms, r.inside),
				worstCustomer(s, r), overloadedThroughput(s, r), r.messages)
			if *printCustomers {
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

// worstCustomer returns the largest percentage of refused or delayed requests of any
// customer that stays within its rate.
func worstCustomer(s scenario, r policyResult) float64 {
	most := 0.0
	for i := range r.insideOf {
		most = max(most, percent(r.lateOf[i], r.insideOf[i]))
	}
	return most
}

// overloadedThroughput returns the granted requests of the first customer in percent
// of its rate, or zero if it stays within its rate.
func overloadedThroughput(s scenario, r policyResult) float64 {
	if s.load == nil || s.load(0) < 1 {
		return 0
	}
	rates, _ := policyCustomers()
	return 100 * float64(r.granted[0]) / policyRun.Seconds() / rates[0]
}
