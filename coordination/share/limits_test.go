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

// planShards is the number of parallel parts of the plans. One after the other
// they take a quarter of an hour under the race detector.
const planShards = 4

const (
	planStart  = 8 * time.Second // by then the fleet is up
	planLength = 50 * time.Second
)

// disturbance is something that happens to the fleet.
type disturbance struct {
	At   time.Duration
	Kind string
	VM   int
	For  time.Duration
}

// plan is one run of a fleet under faults.
type plan struct {
	Seed         uint64
	Layout       []int // VMs of each data centre
	Lost         float64
	Repeated     float64
	Slow         float64
	StoreDown    bool
	Static       bool
	Clocks       string
	Disturbances []disturbance
}

// times draws evenly between two times; IntRange prefers small numbers.
func times(from, to time.Duration) *rapid.Generator[time.Duration] {
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
	p.Disturbances = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) disturbance {
		return disturbance{
			At:   times(planStart, planLength-5*time.Second).Draw(t, "at"),
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:   rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(t, "vm"),
			For:  times(100*time.Millisecond, 9*time.Second).Draw(t, "for"),
		}
	}), 0, 12).Draw(t, "disturbances")
	return p
})

// world checks the promises while a plan runs.
type world struct {
	f         *fleet
	clocks    string
	script    func(customer string) (p *proc, load float64) // where requests go; optional
	wanted    func(p *proc) int                             // connections to each server; optional
	limits    map[string]*ideal                             // by customer with constant limits
	configs   []*state.Config
	open      map[*proc]map[string]int // connections, by server
	evaluated map[*proc]time.Duration  // when the connections were last brought to their limits
	agreed    uint64
	spends    int
	violation string
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.f.now) + fmt.Sprintf(format, args...)
	}
}

// run runs a plan and returns the first violation, if any. script may be nil.
func (p plan) run(h hooks, script func(w *world)) (violation string, spends int) {
	config := fleetConfig(1, p.Layout...)
	w := &world{
		f: newFleet(p.Seed, config), clocks: p.Clocks, limits: make(map[string]*ideal), configs: []*state.Config{config},
		open: make(map[*proc]map[string]int), evaluated: make(map[*proc]time.Duration),
	}
	addCustomer(config, "small", 2, 12)
	addCustomer(config, "medium", 25, 10)
	addCustomer(config, "changing", 20, 8)
	for _, name := range []string{"small", "medium"} {
		c := config.Customers[name]
		w.limits[name] = &ideal{rate: c.Rate, burst: c.Burst, level: c.Burst}
	}
	w.limits["changing"] = &ideal{}
	config.Groups["g"] = &state.Group{Name: "g", Servers: []state.BackendServer{
		{Name: "few", Connections: 3}, {Name: "some", Connections: 5}, {Name: "many", Connections: 17},
	}}
	f := w.f
	f.hooks, f.static = h, p.Static
	f.faults = faults{lost: p.Lost, repeated: p.Repeated, slow: p.Slow}
	f.onSpend, f.changed = w.spent, w.resize
	if script != nil {
		script(w)
	}
	f.startAll(w.speed)
	for _, d := range p.Disturbances {
		f.after(d.At, func() { w.disturb(d) })
	}
	for _, name := range slices.Sorted(maps.Keys(config.Customers)) {
		f.after(time.Second, func() { w.demand(name) })
	}
	f.after(time.Second, w.wantConnections)
	f.after(planStart, func() { f.faults.storeDown = p.StoreDown })
	f.runUntil(planLength)
	return w.violation, w.spends
}

// speed draws the speed of a clock, up to 1 % fast or slow. With all clocks
// fast, the fleet uses its limits up to 0.01 %, and the check is sharpest.
func (w *world) speed() float64 {
	draw := w.f.rng.Float64()
	switch w.clocks {
	case "fast":
		return 1.01
	case "extreme":
		return 0.99 + 0.02*math.Round(draw)
	}
	return 0.99 + 0.02*draw
}

// spent checks a spend: a valid lease hold, no other process of the name that
// holds one, and the limit.
func (w *world) spent(p *proc, customer string) {
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

// bound sets the limit of the changing customer to that of the highest ticket
// that any process knows to be applied by all.
func (w *world) bound(p *proc) {
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

// demand sends requests of a customer, about 2.5 times its rate, most of it to
// one VM that changes.
func (w *world) demand(customer string) {
	f := w.f
	load := 2.5
	var p *proc
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
		f.on(p, 0, func() { p.request(customer, deadline) })
	}
	rate := load * f.config.Customers[customer].Rate
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() { w.demand(customer) })
}

// wantConnections changes the connections that VMs have a use for.
func (w *world) wantConnections() {
	for _, p := range w.f.procs {
		server := []string{"few", "some", "many"}[w.f.rng.IntN(3)]
		wanted := w.f.rng.IntN(8)
		if w.wanted != nil {
			wanted = w.wanted(p)
		}
		w.f.on(p, 0, func() {
			if WantConnections(p.tables, server, wanted, p.local()) {
				p.advance()
			}
			w.resize(p)
		})
	}
	w.f.after(300*time.Millisecond, w.wantConnections)
}

// resize brings a process's connections to their limits and checks their sum.
// All that may be opened are opened; those that may finish take a while.
func (w *world) resize(p *proc) {
	if w.open[p] == nil {
		w.open[p] = make(map[string]int)
	}
	w.bound(p)
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
			w.f.on(p, p.until(limits.Until), func() {
				if w.evaluated[p] < w.f.now {
					w.resize(p)
				}
			})
		}
		w.checkConnections(server)
	}
}

// checkConnections adds up the connections of all processes. Those of a paused
// process do not count: nothing in the fleet can close them.
func (w *world) checkConnections(server string) {
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

func (w *world) disturb(d disturbance) {
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

// storeRetry is the pause of a process that finds no configuration.
const storeRetry = 500 * time.Millisecond

// restart starts a new process of a VM. It gets its configuration from some
// process that runs, else from the store.
func (w *world) restart(old *proc) {
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

// replace starts a new process while the old one is paused or goes on. Only one
// VM of a data centre has two processes at a time: its voters have to be able to
// tell them apart.
func (w *world) replace(p *proc, d disturbance, pause time.Duration) {
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

// publish applies a new ticket at different moments on different VMs.
func (w *world) publish(change func(c *state.Config)) {
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
		w.f.on(p, time.Duration(w.f.rng.Int64N(int64(3*time.Second))), func() { p.apply(&next) })
	}
}

// add adds a VM to a data centre and starts it.
func (w *world) add(dc string) {
	name := fmt.Sprintf("vm%d", len(w.f.current)+1)
	w.publish(func(c *state.Config) {
		c.DataCentres[dc].VMs = append(c.DataCentres[dc].VMs, state.VM{Name: name, State: state.InService})
	})
	w.f.start(name, dc, w.speed(), w.f.config)
}

// Guards against any interval with more spends than burst + rate x t, spends
// without a lease hold, two processes of one name that hold the lease at once,
// and more connections than the limit.
func TestLimitsHoldUnderFaults(t *testing.T) {
	for shard := range planShards {
		t.Run(strconv.Itoa(shard), func(t *testing.T) {
			t.Parallel()
			total := 0
			rapid.Check(t, func(t *rapid.T) {
				for range shard {
					// Moves on in the random numbers, so that the shards differ.
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
