package groups

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// group is one group's queue and timer. The fields below the blank line are
// used by the events of the queue only.
type group struct {
	driver *Driver
	name   string
	queue  *pool.Queue
	timer  *time.Timer

	wake     time.Time      // when the timer runs; zero if it is stopped
	calls    map[string]int // running control calls by server
	part     failover.Part
	partAt   time.Time // when part was determined
	timeline timeline
}

func newGroup(d *Driver, name string) *group {
	e := &group{
		driver: d,
		name:   name,
		queue:  d.opts.Pool.NewQueue(queueLimit),
		calls:  make(map[string]int),
	}
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	return e
}

// moment is what a decision gets besides the group's state.
type moment struct {
	now   time.Time
	cfg   *state.Config // nil if none is known
	group *state.Group  // nil if the group is not configured
	part  failover.Part
}

func (m *moment) input(g *state.GroupState) failover.Input {
	return failover.Input{State: g, Config: m.cfg, Group: m.group, Part: m.part, Now: m.now}
}

// event decides under the group table's lock and collects its effects in out.
type event func(g *state.GroupState, m moment, out *effects)

// post queues an event that must not be lost. The number of these events is
// bounded by the sessions and the running control calls.
func (e *group) post(decide event) {
	e.queue.PostAlways(func() { e.run(decide) })
}

// offer queues an event that may be dropped.
func (e *group) offer(decide event) {
	e.queue.Post(func() { e.run(decide) })
}

func (e *group) tick() {
	e.post(func(*state.GroupState, moment, *effects) {})
}

// run is executed by a worker. Locks are taken in rank order: the configuration
// and this VM's part are read, and their locks released, before the group table
// is locked.
func (e *group) run(decide event) {
	m := e.moment()
	var out effects
	e.driver.opts.Tables.Groups.With(e.name, func(g *state.GroupState) {
		decide(g, m, &out)
		if out.failover(failover.Tick(m.input(g))) {
			out.replication(replication.Probe(g, m.group, m.now))
		} else {
			out.replication(replication.Tick(g, m.group, m.now))
		}
		if out.settled {
			// Without waiters this VM may have nothing left to wake up for.
			out.failover(failover.Tick(m.input(g)))
		}
	})
	e.setWake(m.now, out.wake())
	for _, act := range out.acts {
		e.execute(m, act)
	}
}

func (e *group) moment() moment {
	m := moment{now: time.Now(), cfg: e.driver.opts.Tables.Config.Current()}
	if m.cfg != nil {
		m.group = m.cfg.Groups[e.name]
	}
	if e.partAt.IsZero() || m.now.Sub(e.partAt) >= roleInterval {
		e.part, e.partAt = e.driver.part(e.name), m.now
	}
	m.part = e.part
	return m
}

// part determines this VM's part in the group.
func (d *Driver) part(group string) failover.Part {
	p := failover.Part{DataCentre: d.opts.Tables.Self.DataCentre}
	p.Rank, p.Watcher = d.opts.Rank(group)
	p.Index, p.HasIndex = d.opts.Index()
	return p
}

// setWake sets the timer. A zero time stops it.
func (e *group) setWake(now, at time.Time) {
	if at.Equal(e.wake) && at.After(now) {
		return
	}
	e.wake = at
	if at.IsZero() {
		e.timer.Stop()
		return
	}
	e.timer.Reset(at.Sub(now))
}
