package failover_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var (
	seeds     = flag.Uint64("seeds", 200, "seeds of the model test")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the model test")
)

const (
	faultPhase    = 6 * time.Second
	recoveryPhase = 8 * time.Second
)

// newSim returns a simulation of a group of 3 or 5 servers in three data centres
// and of four VMs.
func newSim(seed uint64) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), faulty: true, clientsActive: true,
		servers: make(map[string]*simServer), partitions: make(map[[2]string]bool),
		leaders: make(map[uint64]string), acknowledged: make(map[int]time.Time), dataCentres: make(map[string]string),
	}
	s.group = &state.Group{Name: "g"}
	for i := range 3 + 2*int(seed%3/2) {
		name := string(rune('a' + i))
		s.group.Servers = append(s.group.Servers, state.BackendServer{Name: name, DataCentre: fmt.Sprint("dc", i%3), State: state.InService})
		srv := &simServer{sim: s, name: name, up: true, adopted: 1, role: state.Replica, follows: "a"}
		srv.append(record{term: 1})
		s.servers[name] = srv
		s.dataCentres[name] = s.group.Servers[i].DataCentre
		s.after(s.randomMillis(0, 5), srv.replicate)
	}
	s.servers["a"].role, s.servers["a"].follows = state.Primary, ""
	s.leaders[1] = "a"
	s.cfg = &state.Config{Groups: map[string]*state.Group{"g": s.group}}
	s.vms = []*simVM{{}, {}, {}, {}}
	for i := range s.vms {
		s.startVM(i)
	}
	return s
}

// injectFaults keeps injecting random faults of limited duration.
func (s *sim) injectFaults() {
	if !s.faulty {
		return
	}
	s.after(s.randomMillis(50, 500), s.injectFaults)
	server, other := s.anyServer(), s.anyServer()
	if p := s.primary(); p != nil && s.withProbability(0.5) {
		server = p
	}
	vm := s.vms[s.rng.IntN(len(s.vms))]
	duration := s.randomMillis(20, 2500)
	switch s.rng.IntN(8) {
	case 0, 1:
		s.partitionFor(duration, server.name, "")
	case 2:
		if s.withProbability(0.5) {
			s.partitionFor(duration, server.name, vm.name)
		} else {
			s.partitionFor(duration, s.dataCentres[server.name], "")
		}
	case 3:
		s.partitionFor(duration, server.name, other.name)
	case 4:
		server.up = false
		s.after(duration, func() { server.up = true })
	case 5:
		server.pausedUntil = s.now.Add(duration)
	case 6:
		vm.up = false
		s.after(duration, func() { s.restart(vm.index) })
	case 7:
		if s.withProbability(0.5) {
			vm.pausedUntil = s.now.Add(duration)
		} else {
			s.setState(server.name, []state.ServiceState{state.Leaving, state.Out, state.InService}[s.rng.IntN(3)])
		}
	}
}

func (s *sim) anyServer() *simServer {
	return s.servers[s.group.Servers[s.rng.IntN(len(s.group.Servers))].Name]
}

func (s *sim) partitionFor(d time.Duration, a, b string) {
	s.partitions[[2]string{a, b}] = true
	s.after(d, func() { delete(s.partitions, [2]string{a, b}) })
}

func (s *sim) restart(i int) {
	if !s.vms[i].up {
		s.startVM(i)
	}
}

// setState issues a ticket that reaches each VM after a random delay.
func (s *sim) setState(server string, st state.ServiceState) {
	grp := &state.Group{Name: "g", Servers: append([]state.BackendServer(nil), s.group.Servers...)}
	grp.Server(server).State = st
	s.group = grp
	cfg := &state.Config{Ticket: state.TicketID{Number: s.cfg.Ticket.Number + 1}, Groups: map[string]*state.Group{"g": grp}}
	s.cfg = cfg
	for i := range s.vms {
		s.after(s.randomMillis(0, 1500), func() {
			if v := s.vms[i]; cfg.Ticket.Number > v.cfg.Ticket.Number {
				v.cfg = cfg
			}
		})
	}
}

// endFaults ends all faults, and in half of the runs then lets one server leave.
func (s *sim) endFaults() {
	s.faulty = false
	s.partitions = make(map[[2]string]bool)
	for _, srv := range s.servers {
		srv.up, srv.pausedUntil = true, s.now
	}
	for _, v := range s.vms {
		v.pausedUntil = s.now
		s.restart(v.index)
	}
	for _, srv := range s.group.Servers {
		s.setState(srv.Name, state.InService)
	}
	if s.withProbability(0.5) {
		s.after(2*time.Second, func() { s.setState(s.anyServer().name, state.Leaving) })
	}
}

func (s *sim) run() []string {
	s.injectFaults()
	s.runUntil(s.now.Add(faultPhase))
	s.endFaults()
	s.runUntil(s.now.Add(recoveryPhase - 4*time.Second))
	before := len(s.acknowledged)
	s.runUntil(s.now.Add(time.Second))
	s.clientsActive = false
	s.runUntil(s.now.Add(3 * time.Second))
	s.check(before)
	return s.failures
}

// primary returns the primary of the highest term, or nil.
func (s *sim) primary() *simServer {
	var primary *simServer
	for _, srv := range s.servers {
		if srv.leads(srv.logTerm()) && (primary == nil || srv.adopted > primary.adopted) {
			primary = srv
		}
	}
	return primary
}

// check verifies the final state: one primary that all servers follow, no
// missing acknowledged write, and exactly one result for every waiter.
func (s *sim) check(acknowledgedBefore int) {
	if len(s.acknowledged) == acknowledgedBefore {
		s.failf("no write was acknowledged after the faults had ended")
	}
	primary := s.primary()
	if primary == nil {
		s.failf("the group has no primary")
		return
	}
	if s.group.Server(primary.name).State != state.InService {
		s.failf("the primary %s is leaving", primary.name)
	}
	for _, srv := range s.servers {
		if srv != primary && (srv.follows != primary.name || len(srv.log) != len(primary.log)) {
			s.failf("%s does not follow %s: %+v", srv.name, primary.name, srv.status())
		}
	}
	for id := range s.acknowledged {
		if !primary.holds(id) {
			s.failf("acknowledged write %d is missing", id)
		}
	}
	for _, v := range s.vms {
		for id, w := range v.waits {
			if w.results != 1 {
				s.failf("%s: waiter %v of kind %d got %d results", v.name, id, w.waiter.Kind, w.results)
			}
		}
	}
}

// forSeeds runs f for every seed, in parallel.
func forSeeds(f func(seed uint64)) {
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // the simulations allocate much short-lived memory
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		g.Go(func() error { f(seed); return nil })
	}
	_ = g.Wait() // the functions return no errors
}

// Guards against lost acknowledged writes, two primaries in one term, stale reads,
// waiters without a result and groups that stay without a primary, under random
// faults of servers, VMs and the network.
func TestModel(t *testing.T) {
	var mu sync.Mutex
	acked, terms := 0, 0
	forSeeds(func(seed uint64) {
		s := newSim(seed)
		failures := s.run()
		mu.Lock()
		defer mu.Unlock()
		acked += len(s.acknowledged)
		terms += len(s.leaders)
		for _, f := range failures[:min(len(failures), 5)] {
			t.Errorf("seed %d: %s", seed, f)
		}
	})
	t.Logf("%d seeds, %d acknowledged writes, %d promotions", *seeds, acked, terms)
}

// Guards against a checker that does not detect lost writes: it must report some
// if writes are acknowledged on the primary's commit alone.
func TestModelDetectsAcknowledgementOnCommit(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+50; seed++ {
		s := newSim(seed)
		s.ackOnCommit = true
		if slices.ContainsFunc(s.run(), func(f string) bool { return strings.HasPrefix(f, "acknowledged write") }) {
			return
		}
	}
	t.Error("no lost write was detected in 50 seeds")
}

// Guards against a failover gap above the target: less than 1 s between
// acknowledged writes when the primary is isolated, and less than 100 ms in a
// planned switchover.
func TestLongestGapBetweenWrites(t *testing.T) {
	for name, limit := range map[string]time.Duration{"isolated": time.Second, "leaving": 100 * time.Millisecond} {
		var worst time.Duration
		for seed := uint64(1); seed <= 20; seed++ {
			s := newSim(seed)
			s.faulty = false
			s.runUntil(s.now.Add(time.Second))
			old := s.primary()
			if name == "isolated" {
				s.partitions[[2]string{old.name, ""}] = true
			} else {
				s.setState(old.name, state.Leaving)
			}
			s.runUntil(s.now.Add(4 * time.Second))
			if s.primary() == old {
				t.Errorf("%s, seed %d: the primary did not change", name, seed)
			}
			acks := append(slices.SortedFunc(maps.Values(s.acknowledged), time.Time.Compare), s.now)
			for i := range acks[1:] {
				worst = max(worst, acks[i+1].Sub(acks[i]))
			}
		}
		t.Logf("%s: longest gap %v", name, worst)
		if worst >= limit {
			t.Errorf("%s: gap of %v, want less than %v", name, worst, limit)
		}
	}
}
