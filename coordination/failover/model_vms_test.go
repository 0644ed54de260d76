package failover_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// simVM drives the decisions of one VM. A restart creates a new simVM; messages
// to the old one are dropped.
type simVM struct {
	*sim
	index       int
	name        string
	dataCentre  string
	up          bool
	pausedUntil time.Time
	cfg         *state.Config // of the latest ticket that has reached this VM
	g           *state.GroupState
	timer       time.Time // when the timer expires; zero if it is not set
	waits       map[state.WaiterID]*simWait
}

// simWait is a waiter that must get exactly one result.
type simWait struct {
	waiter   state.PositionWaiter
	results  int
	onResult func(replication.Result)
}

func (s *sim) startVM(i int) {
	v := &simVM{sim: s, index: i, name: fmt.Sprint("vm", i), dataCentre: fmt.Sprint("dc", i%3), up: true, cfg: s.cfg,
		g: &state.GroupState{Name: "g", Servers: make(map[string]*state.ServerView)}, waits: make(map[state.WaiterID]*simWait)}
	s.vms[i], s.dataCentres[v.name] = v, v.dataCentre
	v.process(nil, nil)
	v.repeat(250, 400, v.exchange)
	v.repeat(10, 120, v.write)
	v.repeat(30, 400, func() { v.read(0, state.Point{}, true) })
}

// repeat repeats f at random intervals while the VM is up.
func (v *simVM) repeat(lo, hi float64, f func()) {
	v.after(v.randomMillis(lo, hi), v.onVM(func() {
		if v.clientsActive {
			f()
			v.repeat(lo, hi, f)
		}
	}))
}

// onVM returns a function that runs f on the VM: after the pause if the VM is
// paused, and not at all if it is down.
func (v *simVM) onVM(f func()) (wrapped func()) {
	wrapped = func() {
		if v.now.Before(v.pausedUntil) {
			v.schedule(v.pausedUntil, wrapped)
		} else if v.up {
			f()
		}
	}
	return wrapped
}

func (v *simVM) currentGroup() *state.Group { return v.cfg.Groups["g"] }

// input makes the first running VM of each data centre a watcher. Two VMs share
// each index, which can happen while VMs apply different tickets.
func (v *simVM) input() failover.Input {
	first := slices.IndexFunc(v.vms, func(o *simVM) bool { return o.dataCentre == v.dataCentre && o.up })
	role := failover.VMRole{Watcher: first == v.index, Rank: v.index, Index: uint16(v.index / 2), HasIndex: true, DataCentre: v.dataCentre}
	return failover.Input{State: v.g, Config: v.cfg, Group: v.currentGroup(), Role: role, Now: v.now}
}

// process carries out the given effects and those of the decisions that follow, in
// the driver's order: failover first, then positions.
func (v *simVM) process(positions []replication.Effect, orders []failover.Effect) {
	orders = append(orders, failover.Tick(v.input())...)
	if slices.Contains(orders, failover.Effect(failover.Probe{})) {
		positions = append(positions, replication.Probe(v.g, v.currentGroup(), v.now)...)
	} else {
		positions = append(positions, replication.Tick(v.g, v.currentGroup(), v.now)...)
	}
	for _, e := range positions {
		switch e := e.(type) {
		case replication.QueryStatus:
			v.queryStatus(e)
		case replication.Resolve:
			w := v.waits[e.ID]
			if w.results++; w.results > 1 {
				v.failf("%s: waiter %v got %d results", v.name, e.ID, w.results)
			}
			v.after(0, v.onVM(func() { w.onResult(e.Result) }))
		case replication.WakeAt:
			v.wakeAt(e.At)
		}
	}
	for _, e := range orders {
		switch e := e.(type) {
		case failover.WakeAt:
			v.wakeAt(e.At)
		case failover.Call:
			v.sendOrder(e)
		}
	}
}

// wakeAt sets the timer unless it expires earlier.
func (v *simVM) wakeAt(at time.Time) {
	if !at.After(v.now) {
		v.failf("%s: the wake-up is not in the future, so the VM would run in a busy loop", v.name)
	}
	if !v.timer.IsZero() && !at.Before(v.timer) {
		return
	}
	v.timer = at
	v.schedule(at, v.onVM(func() {
		if v.timer.Equal(at) {
			v.timer = time.Time{}
			v.process(nil, nil)
		}
	}))
}

// call runs f on a server. end receives the answer or, after the timeout, a
// failure. It may receive late and repeated answers as well.
func (v *simVM) call(server string, timeout time.Duration, f func(s *simServer, reply func(failover.Result)), end func(failover.Outcome)) {
	ended := false
	answer := func(o failover.Outcome) func() {
		return v.onVM(func() {
			if !ended || v.withProbability(0.3) {
				ended = true
				end(o)
			}
		})
	}
	failed := failover.Outcome{Result: failover.Failed}
	v.after(timeout, v.onVM(func() {
		if !ended {
			ended = true
			end(failed)
		}
	}))
	s := v.servers[server]
	v.send(v.name, server, func() {
		reply := func(r failover.Result) {
			v.send(server, v.name, answer(failover.Outcome{Result: r, Status: s.status()}))
		}
		s.deliver(func() { f(s, reply) }, func() { v.send(server, v.name, answer(failed)) })
	})
}

func (v *simVM) queryStatus(q replication.QueryStatus) {
	v.call(q.Server, 200*time.Millisecond, func(_ *simServer, reply func(failover.Result)) { reply(failover.Done) },
		func(o failover.Outcome) {
			if o.Result == failover.Failed {
				// A server that is down refuses the connection.
				v.process(replication.QueryFailed(v.g, v.currentGroup(), q, !v.servers[q.Server].up, v.now), nil)
				return
			}
			v.process(replication.Answer(v.g, v.currentGroup(), q, o.Status, v.now), nil)
		})
}

func (v *simVM) sendOrder(c failover.Call) {
	v.call(c.Server, c.Timeout, func(s *simServer, reply func(failover.Result)) {
		if s.execute(c) {
			reply(failover.Refused)
		} else if c.Order == failover.Switchover {
			s.drain(c, 0, reply)
		} else {
			reply(failover.Done)
		}
	}, func(o failover.Outcome) { v.process(nil, failover.HandleOutcome(v.input(), c, o)) })
}

// drain replies once the successor holds the whole log.
func (s *simServer) drain(c failover.Call, polls int, reply func(failover.Result)) {
	to := s.servers[c.Peer]
	switch {
	case !s.leads(c.Term) || s.switching != c.Peer || polls > 3000:
		reply(failover.Refused)
	case to.logTerm() == s.logTerm() && len(to.log) == len(s.log):
		reply(failover.Done)
	default:
		s.after(time.Millisecond, func() { s.deliver(func() { s.drain(c, polls+1, reply) }, func() {}) })
	}
}

// exchange sends the state of the group to another VM.
func (v *simVM) exchange() {
	to := v.vms[v.rng.IntN(len(v.vms))]
	term, primary, suspect := v.g.Term, v.g.Primary, !v.g.Failover.SuspectSince.IsZero()
	if primary == "" || !to.up {
		return
	}
	v.send(v.name, to.name, to.onVM(func() { to.process(nil, failover.HandlePeerReport(to.input(), term, primary, suspect)) }))
}

// wait adds a waiter, whose result is passed to onResult.
func (v *simVM) wait(w state.PositionWaiter, timeout time.Duration, onResult func(replication.Result)) {
	v.nextID++
	w.ID = state.WaiterID{Session: uint64(v.nextID)}
	w.Joined, w.Deadline = v.now, v.now.Add(timeout)
	v.waits[w.ID] = &simWait{waiter: w, onResult: onResult}
	v.process(replication.Wait(v.g, v.currentGroup(), w, v.now), nil)
}

// write performs a client's write, followed by a read that must see it.
func (v *simVM) write() {
	if server, term, ok := v.g.UsablePrimary(); ok {
		v.writeTo(server, term)
	} else {
		v.awaitPrimary()
	}
}

func (v *simVM) awaitPrimary() {
	v.wait(state.PositionWaiter{Kind: state.WaitPrimary}, 3*time.Second, func(r replication.Result) {
		if r.Kind == replication.Satisfied {
			v.writeTo(r.Server, r.Term)
		}
	})
}

func (v *simVM) writeTo(server string, term uint64) {
	v.nextID++
	id, accepted := v.nextID, false
	v.call(server, 300*time.Millisecond, func(s *simServer, reply func(failover.Result)) {
		if s.holds(id) {
			return // a connection does not repeat messages
		}
		if accepted = s.leads(s.logTerm()) && s.switching == ""; accepted {
			s.append(record{term: s.logTerm(), id: id})
		}
		if accepted && v.ackOnCommit {
			v.acknowledged[id] = v.now
		}
		reply(failover.Done)
	}, func(o failover.Outcome) {
		switch {
		case o.Result == failover.Failed:
			v.process(nil, failover.HandleConnectionFailure(v.input(), server))
		case !accepted:
			v.awaitPrimary()
		case !v.ackOnCommit:
			v.awaitDurable(id, server, term)
		}
	})
}

func (v *simVM) awaitDurable(id int, server string, term uint64) {
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: server, Term: term}
	v.wait(w, 3*time.Second, func(r replication.Result) {
		if r.Kind == replication.Satisfied {
			v.acknowledged[id] = v.now
			v.read(id, r.Point, v.withProbability(0.3))
		}
	})
}

// read waits until a server covers the point of an acknowledged write, and checks
// that it holds the write. With bounded set, the age of its data is bounded too.
func (v *simVM) read(id int, p state.Point, bounded bool) {
	w := state.PositionWaiter{Kind: state.WaitCover, Point: p, Server: v.group.Servers[v.rng.IntN(len(v.group.Servers))].Name}
	if bounded {
		w.MaxAge = 100 * time.Millisecond
	}
	v.wait(w, 20*time.Millisecond, func(r replication.Result) {
		if r.Kind != replication.Satisfied {
			return
		}
		s := v.servers[w.Server]
		if id != 0 && !s.holds(id) {
			v.failf("%s covers %+v, but lacks write %d", s.name, p, id)
		}
		for id, at := range v.acknowledged {
			if w.MaxAge > 0 && at.Before(v.now.Add(-w.MaxAge)) && at.After(v.now.Add(-2*time.Second)) && !s.holds(id) {
				v.failf("%s is reported to be at most %v old, but lacks write %d of %v ago", s.name, w.MaxAge, id, v.now.Sub(at))
			}
		}
	})
}
