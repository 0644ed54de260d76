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
	VM   int
	For  time.Duration
}

// plan describes one run of a fleet under faults.
type plan struct {
	Seed        uint64
	Layout      []int // number of VMs in each data centre
	Lost        float64
	Repeated    float64
	Slow        float64
	StoreDown   bool
	Static      bool
	Clocks      string
	FaultEvents []faultEvent
}

// timeBetween draws uniformly between two times; IntRange prefers small numbers.
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
	configs   []*state.Config
	open      map[*process]map[string]int // connections, by server
	evaluated map[*process]time.Duration  // when the connections were last adjusted to their limits
	agreed    uint64
	spends    int
	violation string
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.f.now) + fmt.Sprintf(format, args...)
	}
}

// run runs a plan and returns the first violation, if any. script may be nil.
func (p plan) run(h hooks, script func(w *simulation)) (violation string, spends int) {
	config := fleetConfig(1, p.Layout...)
	w := &simulation{
		f: newFleet(p.Seed, config), clocks: p.Clocks, limits: make(map[string]*referenceBucket), configs: []*state.Config{config},
		open: make(map[*process]map[string]int), evaluated: make(map[*process]time.Duration),
	}
	addCustomer(config, "small", 2, 12)
	addCustomer(config, "medium", 25, 10)
	addCustomer(config, "changing", 20, 8)
	for _, name := range []string{"small", "medium"} {
		c := config.Customers[name]
		w.limits[name] = &referenceBucket{rate: c.Rate, burst: c.Burst, level: c.Burst}
	}
	w.limits["changing"] = &referenceBucket{}
	config.Groups["g"] = &state.Group{Name: "g", Servers: []state.BackendServer{
		{Name: "few", Connections: 3}, {Name: "some", Connections: 5}, {Name: "many", Connections: 17},
	}}
	f := w.f
	f.hooks, f.static = h, p.Static
	f.faults = faults{lost: p.Lost, repeated: p.Repeated, slow: p.Slow}
	f.onSpend, f.changed = w.checkSpend, w.resize
	if script != nil {
		script(w)
	}
	f.startAll(w.speed)
	for _, d := range p.FaultEvents {
		f.after(d.At, func() { w.inject(d) })
	}
	for _, name := range slices.Sorted(maps.Keys(config.Customers)) {
		f.after(time.Second, func() { w.sendRequests(name) })
	}
	f.after(time.Second, w.wantConnections)
	f.after(planStart, func() { f.faults.storeDown = p.StoreDown })
	f.runUntil(planLength)
	return w.violation, w.spends
}

// speed draws the speed of a clock, up to 1 % fast or slow. With all clocks fast, the
// fleet uses its limits to within 0.01 %, which makes the check most sensitive.
func (w *simulation) speed() float64 {
	draw := w.f.rng.Float64()
	switch w.clocks {
	case "fast":
		return 1.01
	case "extreme":
		return 0.99 + 0.02*math.Round(draw)
	}
	return 0.99 + 0.02*draw
}

// checkSpend checks that a process that grants a request has a valid lease hold, that
// no other process with its name has one, and that the limit is respected.
func (w *simulation) checkSpend(p *process, customer string) {
	w.spends++
	if !lease.Valid(p.tables.Lease, p.local()) {
		w.fail("%s/%d spends without a valid lease", p.name, p.incarnation)
	}
	for _, q := range w.f.procs {
		if q != p && q.name == p.name && !q.dead && lease.Valid(q.tables.Lease, q.local()) {
			w.fail("%s/%d spends while %d holds the lease", p.name, p.incarnation, q.incarnation)
		}
	}
	if b := w.limits[customer]; !b.spend(w.f.now, 1) {
		w.fail("%s exceeds its limit by %.3f", customer, -b.level)
	}
}

// updateChangingLimit sets the limit of the customer "changing" to that of the highest
// ticket that any process knows to be applied by all.
func (w *simulation) updateChangingLimit(p *process) {
	w.agreed = max(w.agreed, p.tables.Shares.Agreed())
	b := w.limits["changing"]
	b.advance(w.f.now)
	b.rate, b.burst = 0, 0
	for _, c := range w.configs {
		if c.Ticket.Number == w.agreed {
			b.rate, b.burst = c.Customers["changing"].Rate, c.Customers["changing"].Burst
		}
	}
	b.level = min(b.level, b.burst)
}

// sendRequests sends requests of a customer at about 2.5 times its rate, most of them
// to one VM, which changes over time.
func (w *simulation) sendRequests(customer string) {
	f := w.f
	load := 2.5
	var p *process
	if w.script != nil {
		p, load = w.script(customer)
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
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() { w.sendRequests(customer) })
}

// wantConnections changes how many connections the VMs want.
func (w *simulation) wantConnections() {
	for _, p := range w.f.procs {
		server := []string{"few", "some", "many"}[w.f.rng.IntN(3)]
		wanted := w.f.rng.IntN(8)
		if w.wanted != nil {
			wanted = w.wanted(p)
		}
		w.f.runOn(p, 0, func() {
			if WantConnections(p.tables, server, wanted, p.local()) {
				p.advance()
			}
			w.resize(p)
		})
	}
	w.f.after(300*time.Millisecond, w.wantConnections)
}

// resize adjusts the connections of a process to its limits and checks their sum over
// all processes. All allowed connections are opened; those that may finish are closed
// after a random time.
func (w *simulation) resize(p *process) {
	if w.open[p] == nil {
		w.open[p] = make(map[string]int)
	}
	w.updateChangingLimit(p)
	w.evaluated[p] = w.f.now
	for _, server := range []string{"few", "some", "many"} {
		limits := ConnectionLimit(p.tables, server, p.local())
		open := min(w.open[p][server], limits.Keep)
		if open > limits.Open && w.f.rng.IntN(4) == 0 {
			open--
		}
		open = max(open, limits.Open)
		w.open[p][server] = open
		p.tables.Backends.With(server, func(c *state.ServerConns) { c.Opening = open })
		if open > 0 {
			w.f.runOn(p, p.until(limits.Until), func() {
				if w.evaluated[p] < w.f.now {
					w.resize(p)
				}
			})
		}
		w.checkConnections(server)
	}
}

// checkConnections checks the total of the connections of all processes. Those of a
// paused process are not counted, because nothing in the fleet can close them.
func (w *simulation) checkConnections(server string) {
	total, limit := 0, 0
	for _, s := range w.f.config.Groups["g"].Servers {
		if s.Name == server {
			limit = s.Connections
		}
	}
	for _, p := range w.f.procs {
		if !p.dead && w.f.now >= p.pausedUntil && w.evaluated[p] >= p.pausedUntil {
			total += w.open[p][server]
		}
	}
	if total > limit {
		w.fail("%d connections to %s, limit %d", total, server, limit)
	}
}

func (w *simulation) inject(d faultEvent) {
	names := slices.Sorted(maps.Keys(w.f.current))
	p := w.f.current[names[d.VM%len(names)]]
	switch d.Kind {
	case "pause":
		p.pausedUntil = max(p.pausedUntil, w.f.now+d.For)
	case "kill":
		p.dead = true
		w.f.after(d.For, func() { w.restart(p) })
	case "replace":
		w.replace(p, d, 0)
	case "replace paused":
		w.replace(p, d, d.For)
	case "rate":
		w.publish(func(c *state.Config) {
			rate := 5 + w.f.rng.Float64()*30
			addCustomer(c, "changing", rate, rate/3)
		})
	case "take out", "put back":
		to := map[string]state.ServiceState{"take out": state.Leaving, "put back": state.InService}[d.Kind]
		w.publish(func(c *state.Config) { setState(c, p.name, p.dc, to, d.For > 6*time.Second) })
	case "add":
		w.add(p.dc)
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
func (w *simulation) restart(old *process) {
	if w.f.current[old.name] != old {
		return
	}
	config := w.f.config
	if running := w.f.running(); len(running) > 0 {
		config = running[w.f.rng.IntN(len(running))].tables.Config.Current()
	} else if w.f.faults.storeDown {
		w.f.after(storeRetry, func() { w.restart(old) })
		return
	}
	w.f.start(old.name, old.dc, w.speed(), config)
}

// replace starts a new process while the old one is paused or continues. Only one VM
// of a data centre has two processes at a time, because the voters have to be able to
// tell them apart.
func (w *simulation) replace(p *process, d faultEvent, pause time.Duration) {
	for _, q := range w.f.procs {
		if q.dc == p.dc && !q.dead && w.f.current[q.name] != q {
			return
		}
	}
	if p.dead {
		return
	}
	p.pausedUntil = max(p.pausedUntil, w.f.now+pause)
	w.restart(p)
	w.f.after(pause+d.For, func() { p.dead = true })
}

// publish applies a new ticket at a different time on each VM.
func (w *simulation) publish(change func(c *state.Config)) {
	next := *w.f.config
	next.Ticket.Number++
	next.Customers = maps.Clone(next.Customers)
	next.DataCentres = make(map[string]*state.DataCentre)
	for name, dc := range w.f.config.DataCentres {
		copied := *dc
		copied.VMs = slices.Clone(dc.VMs)
		next.DataCentres[name] = &copied
	}
	change(&next)
	w.f.config = &next
	w.configs = append(w.configs, &next)
	for _, p := range w.f.procs {
		w.f.runOn(p, time.Duration(w.f.rng.Int64N(int64(3*time.Second))), func() { p.apply(&next) })
	}
}

// add adds a VM to a data centre and starts it.
func (w *simulation) add(dc string) {
	name := fmt.Sprintf("vm%d", len(w.f.current)+1)
	w.publish(func(c *state.Config) {
		c.DataCentres[dc].VMs = append(c.DataCentres[dc].VMs, state.VM{Name: name, State: state.InService})
	})
	w.f.start(name, dc, w.speed(), w.f.config)
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
