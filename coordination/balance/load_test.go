package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The model of this file plays VMs that choose among servers in virtual time. What a
// VM learns from an answer reaches its knowledge later by the age under test; the
// number of its own statements in flight is known at once.

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type modelServer struct {
	slots, busy int
	slowness    float64 // factor of the work
	queue       []func()
	offered     []float64  // work by window, in s
	average     [6]float64 // of the time at the server, as seen by each owner, in s
}

// run begins a statement in a slot, or queues it until one is free.
func (s *modelServer) run(begin func()) {
	if s.busy == s.slots {
		s.queue = append(s.queue, begin)
		return
	}
	s.busy++
	begin()
}

// next frees a slot or begins the next statement in it.
func (s *modelServer) next() {
	if len(s.queue) == 0 {
		s.busy--
		return
	}
	begin := s.queue[0]
	s.queue = s.queue[1:]
	begin()
}

type modelVM struct {
	share, credit []float64 // of the policy shares
	dataCentre    int
	latency       []float64
	known         []Latency
	outstanding   []int
	primary       bool // server 0 is the primary
}

type scenario struct {
	vms     int
	age     time.Duration
	load    float64   // of the capacity of all servers
	shares  []float64 // of the load, by data centre
	local   bool      // server i is in data centre i; otherwise all are in all data centres
	writes  float64   // of the capacity of server 0, which is then the primary
	slow    float64   // factor of the work at server 0 in the middle third
	reports bool      // answers carry the average that the owner of the connection keeps
	work    []float64 // s
}

type result struct {
	writeWait           float64 // ms
	ratioMean, ratioP95 float64 // busiest server against the mean, over windows
	waitMean, waitP99   float64 // ms
	remote              float64 // share of statements that left the data centre
	swing               float64 // standard deviation of a server's share over periods of 1 s
}

type policy func(vm *modelVM, local func(int) bool, now time.Duration, r *rand.Rand) int

const (
	modelTime  = 25 * time.Second
	modelStart = 5 * time.Second
	window     = 100 * time.Millisecond
	roundTrip  = 2800 * time.Microsecond
)

func play(s scenario, choose policy, seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	var q events
	now := time.Duration(0)
	at := func(t time.Duration, f func()) { heap.Push(&q, event{t, f}) }
	servers := make([]*modelServer, 3)
	for i := range servers {
		servers[i] = &modelServer{slots: 6, slowness: 1, offered: make([]float64, modelTime/window+1)}
		for j := range servers[i].average {
			servers[i].average[j] = mean(s.work)
		}
	}
	rate := s.load * 18 / mean(s.work)
	var latencies, writeWaits []float64
	var remote, total int
	for i := range s.vms {
		vm := &modelVM{primary: s.writes > 0, dataCentre: i % 3, latency: make([]float64, 3), known: make([]Latency, 3), outstanding: make([]int, 3), share: []float64{1, 1, 1}, credit: make([]float64, 3)}
		for j := range vm.latency {
			vm.latency[j] = 0.010
		}
		vmRate := rate / float64(s.vms)
		if s.shares != nil {
			count := (s.vms - vm.dataCentre + 2) / 3
			vmRate = rate * s.shares[vm.dataCentre] / float64(count)
		}
		isLocal := func(server int) bool { return !s.local || server == vm.dataCentre }
		var arrive func()
		arrive = func() {
			at(now+time.Duration(r.ExpFloat64()/vmRate*float64(time.Second)), arrive)
			n := choose(vm, isLocal, now, r)
			server := servers[n]
			work := s.work[r.IntN(len(s.work))] * server.slowness
			sentAt, owner := now, i%len(server.average)
			hop := time.Duration(0)
			if !isLocal(n) {
				hop = roundTrip / 2
			}
			vm.outstanding[n]++
			if now >= modelStart {
				total++
				if !isLocal(n) {
					remote++
				}
			}
			finish := func() {
				server.next()
				took := (now - sentAt - hop).Seconds()
				server.average[owner] += 0.1 * (took - server.average[owner])
				report := took
				if s.reports {
					report = server.average[owner]
				}
				report += 2 * hop.Seconds()
				at(now+hop, func() {
					vm.outstanding[n]--
					if sentAt >= modelStart {
						latencies = append(latencies, (now-sentAt).Seconds()*1000-work*1000)
					}
				})
				at(now+hop+s.age, func() {
					vm.latency[n] += 0.2 * (report - vm.latency[n])
					vm.known[n].Observe(time.Duration(report*float64(time.Second)), now-s.age)
				})
			}
			begin := func() {
				at(now+time.Duration(work*float64(time.Second)), finish)
			}
			at(now+hop, func() {
				server.offered[min(now, modelTime)/window] += work
				server.run(begin)
			})
		}
		at(time.Duration(r.Float64()*float64(time.Second)/vmRate), arrive)
	}
	if s.writes > 0 {
		var write func()
		write = func() {
			sentAt, work := now, s.work[r.IntN(len(s.work))]
			at(now+time.Duration(r.ExpFloat64()*mean(s.work)/(s.writes*6)*float64(time.Second)), write)
			servers[0].run(func() {
				writeWaits = append(writeWaits, (now-sentAt).Seconds()*1000)
				at(now+time.Duration(work*float64(time.Second)), servers[0].next)
			})
		}
		write()
	}
	if s.slow != 0 {
		at(modelTime/3, func() { servers[0].slowness = s.slow })
		at(2*modelTime/3, func() { servers[0].slowness = 1 })
	}
	for now < modelTime {
		e := heap.Pop(&q).(event)
		now = e.at
		e.run()
	}
	x := summarize(servers, latencies, float64(remote)/float64(total))
	if s.writes > 0 {
		x.writeWait = mean(writeWaits)
	}
	return x
}

func summarize(servers []*modelServer, waits []float64, remote float64) result {
	var ratios []float64
	var shares []float64
	second := make([]float64, len(servers))
	for w := int(modelStart / window); w < int(modelTime/window); w++ {
		var most, sum float64
		for i, s := range servers {
			most, sum = max(most, s.offered[w]), sum+s.offered[w]
			second[i] += s.offered[w]
		}
		if sum > 0 {
			ratios = append(ratios, most*float64(len(servers))/sum)
		}
		if w%10 == 9 {
			shares = append(shares, second[0]/(second[0]+second[1]+second[2]))
			clear(second)
		}
	}
	slices.Sort(ratios)
	slices.Sort(waits)
	return result{0, mean(ratios), ratios[len(ratios)*95/100], mean(waits), waits[len(waits)*99/100], remote, deviation(shares)}
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

func deviation(v []float64) float64 {
	m, sum := mean(v), 0.0
	for _, x := range v {
		sum += (x - m) * (x - m)
	}
	return math.Sqrt(sum / float64(len(v)))
}

// lowest is the choice before this package.
func lowest(vm *modelVM, local func(int) bool, _ time.Duration, _ *rand.Rand) int {
	best, bestCost := -1, math.Inf(1)
	for i := range vm.latency {
		if c := modelCost(vm, i, local); c < bestCost {
			best, bestCost = i, c
		}
	}
	return best
}

// modelCost is the cost of a read before this package.
func modelCost(vm *modelVM, i int, local func(int) bool) float64 {
	latency := vm.latency[i]
	if !local(i) {
		latency += 0.004
	}
	if i == 0 && vm.primary {
		latency *= 1.5
	}
	return latency * float64(1+vm.outstanding[i])
}

// atRandom ignores all knowledge.
func atRandom(vm *modelVM, _ func(int) bool, _ time.Duration, r *rand.Rand) int {
	return r.IntN(len(vm.latency))
}

// twoChoices takes the better one of two servers drawn at random.
func twoChoices(vm *modelVM, local func(int) bool, _ time.Duration, r *rand.Rand) int {
	a := r.IntN(len(vm.latency))
	b := (a + 1 + r.IntN(len(vm.latency)-1)) % len(vm.latency)
	if modelCost(vm, b, local) < modelCost(vm, a, local) {
		return b
	}
	return a
}

// weighted draws a server by the inverse of its cost.
func weighted(exponent float64) policy {
	return func(vm *modelVM, local func(int) bool, _ time.Duration, r *rand.Rand) int {
		total := 0.0
		for i := range vm.latency {
			total += math.Pow(modelCost(vm, i, local), -exponent)
		}
		rest := r.Float64() * total
		for i := range vm.latency {
			if rest -= math.Pow(modelCost(vm, i, local), -exponent); rest < 0 {
				return i
			}
		}
		return len(vm.latency) - 1
	}
}

// shares gives each server a share of the VM's reads, corrected by the latency of its
// answers, and serves the shares in turn.
func shares(vm *modelVM, _ func(int) bool, _ time.Duration, r *rand.Rand) int {
	average := mean(vm.latency)
	best, sum := 0, 0.0
	for i := range vm.share {
		vm.share[i] += 0.05 * (average/vm.latency[i] - vm.share[i])
		sum += vm.share[i]
	}
	for i := range vm.credit {
		vm.credit[i] += vm.share[i] / sum
		if vm.credit[i] > vm.credit[best] || vm.credit[i] == vm.credit[best] && r.IntN(2) == 0 {
			best = i
		}
	}
	vm.credit[best]--
	return best
}

// built is the choice of this package.
func built(vm *modelVM, local func(int) bool, now time.Duration, r *rand.Rand) int {
	servers := make([]Server, len(vm.latency))
	for i := range servers {
		servers[i] = Server{
			Latency: vm.known[i], InFlight: vm.outstanding[i], Remote: !local(i), Primary: i == 0 && vm.primary,
		}
	}
	return Choose(servers, now, r.Float64())
}

var policies = []struct {
	name   string
	choose policy
}{
	{"lowest cost", lowest}, {"at random", atRandom}, {"two choices", twoChoices}, {"inverse cost", weighted(1)},
	{"inverse cost squared", weighted(2)}, {"corrected shares", shares}, {"built", built},
}

var (
	short   = []float64{0.011}
	mixed   = []float64{0.011, 0.033, 0.055}
	uneven  = []float64{0.5, 0.3, 0.2}
	fleets  = []int{8, 60, 300}
	delays  = []time.Duration{0, time.Second, 3 * time.Second}
	evenDCs = []float64{0.34, 0.33, 0.33}
)

// playAll plays the scenario for all fleets and delays. With -v it also plays and shows
// all policies.
func playAll(t *testing.T, name string, base scenario, check func(s scenario, before, got result)) {
	t.Helper()
	rows := make(map[string]string)
	for _, vms := range fleets {
		for _, age := range delays {
			s := base
			s.vms, s.age = vms, age
			results := make(map[string]result)
			for _, p := range policies {
				if p.name == "built" || p.name == "lowest cost" || testing.Verbose() {
					x := play(s, p.choose, 1)
					results[p.name] = x
					rows[p.name] += fmt.Sprintf(" %.2f/%.1f/%.2f/%.2f/%.1f |", x.ratioMean, x.waitMean, x.swing, x.remote, x.writeWait)
				}
			}
			check(s, results["lowest cost"], results["built"])
		}
	}
	if testing.Verbose() {
		t.Logf("%s: ratio/wait/swing/remote/wait of writes for 8, 60, 300 VMs by 0, 1, 3 s", name)
		for _, p := range policies {
			t.Logf("| %s |%s", p.name, rows[p.name])
		}
	}
}

// Guards against servers that are overloaded in turn because all VMs choose the one that
// old knowledge shows as the best.
func TestEqualServersGetEvenLoad(t *testing.T) {
	for _, reports := range []bool{false, true} {
		playAll(t, fmt.Sprintf("equal servers, 80 %%, reports %v", reports), scenario{load: 0.8, work: short, reports: reports}, func(s scenario, before, got result) {
			if got.ratioMean > 1.25 || got.waitMean > 5 {
				t.Errorf("%d VMs, knowledge %v old: the busiest server has %.2f of the mean, mean wait %.1f ms", s.vms, s.age, got.ratioMean, got.waitMean)
			}
			if got.swing > 0.03 {
				t.Errorf("%d VMs, knowledge %v old: the load oscillates by %.3f", s.vms, s.age, got.swing)
			}
			if s.vms >= 60 && s.age >= time.Second && before.waitMean < 10*got.waitMean {
				t.Errorf("%d VMs, knowledge %v old: mean wait %.1f ms, %.1f ms with the lowest cost", s.vms, s.age, got.waitMean, before.waitMean)
			}
		})
	}
}

// Guards against load that follows the work of some statements instead of the servers.
func TestMixedWorkGetsEvenLoad(t *testing.T) {
	playAll(t, "equal servers, 80 %, mixed work", scenario{load: 0.8, work: mixed}, func(s scenario, before, got result) {
		if random := play(s, atRandom, 1); got.waitMean > random.waitMean {
			t.Errorf("%d VMs, knowledge %v old: mean wait %.1f ms, %.1f ms without any knowledge", s.vms, s.age, got.waitMean, random.waitMean)
		}
	})
}

// Guards against a slow server that gets more than it can serve, or that is overloaded
// when it has recovered.
func TestSlowServerGetsLessWork(t *testing.T) {
	playAll(t, "a server at half speed for a third of the time, 60 %", scenario{load: 0.6, work: short, slow: 2}, func(s scenario, before, got result) {
		if got.waitMean > 15 || got.waitMean > before.waitMean+1 {
			t.Errorf("%d VMs, knowledge %v old: mean wait %.1f ms, %.1f ms with the lowest cost", s.vms, s.age, got.waitMean, before.waitMean)
		}
	})
}

// Guards against traffic between data centres that serves no caller better.
func TestReadsStayInTheDataCentre(t *testing.T) {
	playAll(t, "one server in each data centre, 50 %", scenario{load: 0.5, work: short, local: true, shares: evenDCs}, func(s scenario, before, got result) {
		if got.remote > before.remote/2 || s.vms > 8 && got.remote > 0.05 {
			t.Errorf("%d VMs, knowledge %v old: %.2f of the reads leave the data centre, %.2f with the lowest cost", s.vms, s.age, got.remote, before.remote)
		}
	})
}

// Guards against a data centre whose VMs overload its server while others are idle, and
// against all of them leaving it at once.
func TestLoadOfOneDataCentreSpreads(t *testing.T) {
	playAll(t, "half of the load in one data centre, 80 %", scenario{load: 0.8, work: short, local: true, shares: uneven}, func(s scenario, before, got result) {
		if got.ratioMean > 1.25 || got.waitMean > 50 {
			t.Errorf("%d VMs, knowledge %v old: the busiest server has %.2f of the mean, mean wait %.1f ms", s.vms, s.age, got.ratioMean, got.waitMean)
		}
		if got.remote > before.remote {
			t.Errorf("%d VMs, knowledge %v old: %.2f of the reads leave the data centre, %.2f with the lowest cost", s.vms, s.age, got.remote, before.remote)
		}
	})
	playAll(t, "a server at a third of its speed for a third of the time, 50 %", scenario{load: 0.5, work: short, local: true, shares: evenDCs, slow: 3}, func(s scenario, before, got result) {
		if got.ratioMean > before.ratioMean {
			t.Errorf("%d VMs, knowledge %v old: the busiest server has %.2f of the mean, %.2f with the lowest cost", s.vms, s.age, got.ratioMean, before.ratioMean)
		}
	})
}

// Guards against reads that a replica may serve but that take the capacity of the primary,
// which has writes, and against more traffic between data centres than before.
func TestReadsLeaveThePrimaryToWrites(t *testing.T) {
	for _, writes := range []float64{0.3, 0.7} {
		playAll(t, fmt.Sprintf("writes take %.1f of the primary, reads 45 %%", writes), scenario{load: 0.45, work: []float64{0.033}, local: true, shares: evenDCs, writes: writes}, func(s scenario, before, got result) {
			if got.writeWait > 15 || got.waitMean > before.waitMean+2 {
				t.Errorf("%d VMs, knowledge %v old: writes wait %.1f ms, reads %.1f ms, with the lowest cost %.1f and %.1f ms", s.vms, s.age, got.writeWait, got.waitMean, before.writeWait, before.waitMean)
			}
			if got.remote > before.remote {
				t.Errorf("%d VMs, knowledge %v old: %.2f of the reads leave the data centre, %.2f with the lowest cost", s.vms, s.age, got.remote, before.remote)
			}
		})
	}
}
