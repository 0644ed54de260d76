package groups

import (
	"time"

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

	wake  time.Time      // when the timer runs; zero if it is stopped
	calls map[string]int // running control calls by server
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
// is read and released before the group table is locked.
func (e *group) run(decide event) {
	d := e.driver
	m := moment{now: time.Now(), cfg: d.opts.Tables.Config.Current()}
	if m.cfg != nil {
		m.group = m.cfg.Groups[e.name]
	}
	var out effects
	d.opts.Tables.Groups.With(e.name, func(g *state.GroupState) {
		decide(g, m, &out)
		out.replication(replication.Tick(g, m.group, m.now))
	})
	e.setWake(m.now, out.wake())
	for _, act := range out.acts {
		e.execute(m, act)
	}
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
