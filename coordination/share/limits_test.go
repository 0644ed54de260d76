package share

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// planShards is the number of parallel subtests that share the plans. Run one after
// the other, the plans take a quarter of an hour under the race detector.
const planShards = 4

const (
	planStart  = 8 * time.Second // the fleet has started by then
	planLength = 50 * time.Second
)

// faultEvent is a fault or a configuration change during a run.
type faultEvent struct {
	At   time.Duration
	Kind string
	VM   int           // index among the VM names in order, modulo their number
	For  time.Duration // how long the fault lasts; for take out and put back, above 6 s means the whole data centre instead of the VM
}

// plan describes one run of a fleet under faults.
type plan struct {
	Seed        uint64
	Layout      []int   // number of VMs in each data centre
	Lost        float64 // probability that a message is lost
	Repeated    float64 // probability that an extra copy of a message is sent
	Slow        float64 // probability that a message is delayed further, by 1 s on average
	StoreDown   bool    // from planStart on
	Static      bool
	Clocks      string // how clock speeds are drawn; see speed
	FaultEvents []faultEvent
}

// timeBetween draws uniformly between two times in steps of 50 ms; IntRange prefers
// small numbers.
func timeBetween(from, to time.Duration) *rapid.Generator[time.Duration] {
	var all []time.Duration
	for at := from; at < to; at += 50 * time.Millisecond {
		all = append(all, at)
	}
	return rapid.SampledFrom(all)
}

var plans = rapid.Custom(func(t *rapid.T) plan {
	p := plan{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Layout:    rapid.SliceOfN(rapid.SampledFrom([]int{1, 2, 3, 4}), 1, 3).Draw(t, "layout"),
		Lost:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lost"),
		Repeated:  rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeated"),
		Slow:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "slow"),
		StoreDown: rapid.SampledFrom([]int{0, 1, 2, 3, 4}).Draw(t, "store") == 4,
		Static:    rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(t, "static") == 9,
	}
	p.Clocks = rapid.SampledFrom([]string{"fast", "extreme", "any"}).Draw(t, "clocks")
	kinds := []string{"pause", "kill", "replace", "replace", "replace paused", "rate", "take out", "put back", "add"}
	p.FaultEvents = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			At:   timeBetween(planStart, planLength-5*time.Second).Draw(t, "at"),
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:   rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(t, "vm"),
			For:  timeBetween(100*time.Millisecond, 9*time.Second).Draw(t, "for"),
		}
	}), 0, 12).Draw(t, "disturbances")
	return p
})

// simulation runs a plan and checks the limits.
type simulation struct {
	f         *fleet
	clocks    string
	script    func(customer string) (p *process, load float64) // target and load of requests; optional
	wanted    func(p *process) int                             // connections wanted to each server; optional
	limits    map[string]*referenceBucket                      // by customer
	configs   []*state.Config                                  // of all tickets
	open      map[*process]map[string]int                      // connections, by server
	evaluated map[*process]time.Duration                       // when the connections were last adjusted to their limits
	agreed    uint64                                           // highest ticket that any process knows to be applied by all
	spends    int
	violation string
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%v: ", s.f.now) + fmt.Sprintf(format, args...)
	}
}

// run runs a plan and returns the first violation, if any. script may be nil.
func (p plan) run(h hooks, script func(s *simulation)) (violation string, spends int) {
	config := fleetConfig(1, p.Layout...)
	s := &simulation{
		f: newFleet(p.Seed, config), clocks: p.Clocks, limits: make(map[string]*referenceBucket), configs: []*state.Config{config},
		open: make(map[*process]map[string]int), evaluated: make(map[*process]time.Duration),
	}
	addCustomer(config, "small", 2, 12)
	addCustomer(config, "medium", 25, 10)
	addCustomer(config, "changing", 20, 8)
	for _, name := range []string{"small", "medium"} {
		c := config.Customers[name]
		s.limits[name] = &referenceBucket{rate: c.Rate, burst: c.Burst, level: c.Burst}
	}
	s.limits["changing"] = &referenceBucket{}
	config.Groups["g"] = &state.Group{Name: "g", Servers: []state.BackendServer{
		{Name: "few", Connections: 3}, {Name: "some", Connections: 5}, {Name: "many", Connections: 17},
	}}
	f := s.f
	f.hooks, f.static = h, p.Static
	f.faults = faults{lost: p.Lost, repeated: p.Repeated, slow: p.Slow}
	f.onSpend, f.changed = s.checkSpend, s.resize
	if script != nil {
		script(s)
	}
	f.startAll(s.speed)
	for _, e := range p.FaultEvents {
		f.after(e.At, func() { s.inject(e) })
	}
	for _, name := range slices.Sorted(maps.Keys(config.Customers)) {
		f.after(time.Second, func() { s.sendRequests(name) })
	}
	f.after(time.Second, s.wantConnections)
	f.after(planStart, func() { f.faults.storeDown = p.StoreDown })
	f.runUntil(planLength)
	return s.violation, s.spends
}

// speed draws the speed of a clock, up to 1 % fast or slow. With all clocks fast, the
// fleet uses its limits to within 0.01 %, which makes the check most sensitive.
func (s *simulation) speed() float64 {
	draw := s.f.rng.Float64()
	switch s.clocks {
	case "fast":
		return 1.01
	case "extreme":
		return 0.99 + 0.02*math.Round(draw)
	}
	return 0.99 + 0.02*draw
}

// checkSpend checks that a process that grants a request has a valid lease hold, that
// no other process with its name has one, and that the limit is respected.
func (s *simulation) checkSpend(p *process, customer string) {
	s.spends++
	if !lease.Valid(p.tables.Lease, p.local()) {
		s.fail("%s/%d spends without a valid lease", p.name, p.incarnation)
	}
	for _, q := range s.f.procs {
		if q != p && q.name == p.name && !q.dead && lease.Valid(q.tables.Lease, q.local()) {
			s.fail("%s/%d spends while %d holds the lease", p.name, p.incarnation, q.incarnation)
		}
	}
	if b := s.limits[customer]; !b.spend(s.f.now, 1) {
		s.fail("%s exceeds its limit by %.3f", customer, -b.level)
	}
}

// updateChangingLimit sets the limit of the customer "changing" to that of the highest
// ticket that any process knows to be applied by all.
func (s *simulation) updateChangingLimit(p *process) {
	s.agreed = max(s.agreed, p.tables.Shares.Agreed())
	b := s.limits["changing"]
	b.advance(s.f.now)
	b.rate, b.burst = 0, 0
	for _, c := range s.configs {
		if c.Ticket.Number == s.agreed {
			b.rate, b.burst = c.Customers["changing"].Rate, c.Customers["changing"].Burst
		}
	}
	b.level = min(b.level, b.burst)
}

// sendRequests sends requests of a customer at about 2.5 times its rate, most of them
// to one VM, which changes over time.
func (s *simulation) sendRequests(customer string) {
	f := s.f
	load := 2.5
	var p *process
	if s.script != nil {
		p, load = s.script(customer)
	} else if running := f.running(); len(running) > 0 {
		p = running[(int(f.now/(3*time.Second))+len(customer))%len(running)]
		if f.rng.IntN(3) == 0 {
			p = running[f.rng.IntN(len(running))]
		}
	}
	if p != nil {
		deadline := time.Duration(f.rng.IntN(1500)) * time.Millisecond
		f.runOn(p, 0, func() { p.request(customer, deadline) })
	}
	rate := load * f.config.Customers[customer].Rate
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.sendRequests(customer) })
}

// wantConnections changes how many connections the VMs want.
func (s *simulation) wantConnections() {
	for _, p := range s.f.procs {
		server := []string{"few", "some", "many"}[s.f.rng.IntN(3)]
		wanted := s.f.rng.IntN(8)
		if s.wanted != nil {
			wanted = s.wanted(p)
		}
		s.f.runOn(p, 0, func() {
			if WantConnections(p.tables, server, wanted, p.local()) {
				p.advance()
			}
			s.resize(p)
		})
	}
	s.f.after(300*time.Millisecond, s.wantConnections)
}

// resize adjusts the connections of a process to its limits and checks their sum over
// all processes. All allowed connections are opened; those that may finish are closed
// after a random time.
func (s *simulation) resize(p *process) {
	if s.open[p] == nil {
		s.open[p] = make(map[string]int)
	}
	s.updateChangingLimit(p)
	s.evaluated[p] = s.f.now
	for _, server := range []string{"few", "some", "many"} {
		limits := ConnectionLimit(p.tables, server, p.local())
		open := min(s.open[p][server], limits.Keep)
		if open > limits.Open && s.f.rng.IntN(4) == 0 {
			open--
		}
		open = max(open, limits.Open)
		s.open[p][server] = open
		p.tables.Backends.With(server, func(c *state.ServerConns) { c.Opening = open })
		if open > 0 {
			s.f.runOn(p, p.until(limits.Until), func() {
				if s.evaluated[p] < s.f.now {
					s.resize(p)
				}
			})
		}
		s.checkConnections(server)
	}
}

// checkConnections checks the total of the connections of all processes. Those of a
// paused process are not counted, because nothing in the fleet can close them.
func (s *simulation) checkConnections(server string) {
	total, limit := 0, 0
	for _, b := range s.f.config.Groups["g"].Servers {
		if b.Name == server {
			limit = b.Connections
		}
	}
	for _, p := range s.f.procs {
		if !p.dead && s.f.now >= p.pausedUntil && s.evaluated[p] >= p.pausedUntil {
			total += s.open[p][server]
		}
	}
	if total > limit {
		s.fail("%d connections to %s, limit %d", total, server, limit)
	}
}

func (s *simulation) inject(e faultEvent) {
	names := slices.Sorted(maps.Keys(s.f.current))
	p := s.f.current[names[e.VM%len(names)]]
	switch e.Kind {
	case "pause":
		p.pausedUntil = max(p.pausedUntil, s.f.now+e.For)
	case "kill":
		p.dead = true
		s.f.after(e.For, func() { s.restart(p) })
	case "replace":
		s.replace(p, e, 0)
	case "replace paused":
		s.replace(p, e, e.For)
	case "rate":
		s.publish(func(c *state.Config) {
			rate := 5 + s.f.rng.Float64()*30
			addCustomer(c, "changing", rate, rate/3)
		})
	case "take out", "put back":
		to := map[string]state.ServiceState{"take out": state.Leaving, "put back": state.InService}[e.Kind]
		s.publish(func(c *state.Config) { setState(c, p.name, p.dc, to, e.For > 6*time.Second) })
	case "add":
		s.add(p.dc)
	}
}

func setState(c *state.Config, vm, dc string, to state.ServiceState, whole bool) {
	if whole {
		c.DataCentres[dc].State = to
		return
	}
	for i := range c.DataCentres[dc].VMs {
		if c.DataCentres[dc].VMs[i].Name == vm {
			c.DataCentres[dc].VMs[i].State = to
		}
	}
}

// storeRetry is the delay before a process that found no configuration tries again.
const storeRetry = 500 * time.Millisecond

// restart starts a new process of a VM. It gets its configuration from a running
// process if there is one, otherwise from the store.
func (s *simulation) restart(old *process) {
	if s.f.current[old.name] != old {
		return
	}
	config := s.f.config
	if running := s.f.running(); len(running) > 0 {
		config = running[s.f.rng.IntN(len(running))].tables.Config.Current()
	} else if s.f.faults.storeDown {
		s.f.after(storeRetry, func() { s.restart(old) })
		return
	}
	s.f.start(old.name, old.dc, s.speed(), config)
}

// replace starts a new process while the old one is paused or continues. Only one VM
// of a data centre has two processes at a time, because the voters have to be able to
// tell them apart.
func (s *simulation) replace(p *process, e faultEvent, pause time.Duration) {
	for _, q := range s.f.procs {
		if q.dc == p.dc && !q.dead && s.f.current[q.name] != q {
			return
		}
	}
	if p.dead {
		return
	}
	p.pausedUntil = max(p.pausedUntil, s.f.now+pause)
	s.restart(p)
	s.f.after(pause+e.For, func() { p.dead = true })
}

// publish applies a new ticket at a different time on each VM.
func (s *simulation) publish(change func(c *state.Config)) {
	next := *s.f.config
	next.Ticket.Number++
	next.Customers = maps.Clone(next.Customers)
	next.DataCentres = make(map[string]*state.DataCentre)
	for name, dc := range s.f.config.DataCentres {
		copied := *dc
		copied.VMs = slices.Clone(dc.VMs)
		next.DataCentres[name] = &copied
	}
	change(&next)
	s.f.config = &next
	s.configs = append(s.configs, &next)
	for _, p := range s.f.procs {
		s.f.runOn(p, time.Duration(s.f.rng.Int64N(int64(3*time.Second))), func() { p.apply(&next) })
	}
}

// add adds a VM to a data centre and starts it.
func (s *simulation) add(dc string) {
	name := fmt.Sprintf("vm%d", len(s.f.current)+1)
	s.publish(func(c *state.Config) {
		c.DataCentres[dc].VMs = append(c.DataCentres[dc].VMs, state.VM{Name: name, State: state.InService})
	})
	s.f.start(name, dc, s.speed(), s.f.config)
}

// Guards against any interval with more granted requests than burst + rate x t, grants
// without a lease hold, two processes with one name that hold the lease at once, and
// more connections than the limit.
func TestLimitsHoldUnderFaults(t *testing.T) {
	for shard := range planShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			total := 0
			rapid.Check(t, func(t *rapid.T) {
				for range shard {
					// Skips random numbers, so that the shards differ.
					rapid.Uint64().Draw(t, "skipped")
				}
				violation, spends := plans.Draw(t, "plan").run(hooks{}, nil)
				if violation != "" {
					t.Fatal(violation)
				}
				total += spends
			})
			if total == 0 {
				t.Error("no request was granted in any run")
			}
			t.Logf("%d requests granted", total)
		})
	}
}
