package groups

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// executor runs the decisions on one group. The fields below the blank line are
// used only by events of the queue.
type executor struct {
	driver *Driver
	name   string
	queue  *pool.Queue
	timer  *time.Timer

	wake          time.Time       // when the timer fires; zero if it is stopped
	activeCalls   map[string]int  // control calls in progress, by server
	role          failover.VMRole // cached for roleInterval
	roleReadAt    time.Time
	lastPromotion promotion
}

func newExecutor(d *Driver, name string) *executor {
	e := &executor{
		driver:      d,
		name:        name,
		queue:       d.opts.Pool.NewQueue(queueLimit),
		activeCalls: make(map[string]int),
	}
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	return e
}

// snapshot is the input of a decision apart from the group's state.
type snapshot struct {
	now   time.Time
	cfg   *state.Config   // nil if the VM has no configuration
	group *state.Group    // nil if the group is not configured
	role  failover.VMRole // this VM's role in the group
}

func (snap *snapshot) input(g *state.GroupState) failover.Input {
	return failover.Input{State: g, Config: snap.cfg, Group: snap.group, Role: snap.role, Now: snap.now}
}

// decision makes a decision under the group table's lock and adds its effects to
// out.
type decision func(g *state.GroupState, snap snapshot, out *effects)

// post queues a decision that must not be lost. The number of such decisions is
// bounded by the number of sessions and of control calls in progress.
func (e *executor) post(decide decision) {
	e.queue.PostUnbounded(func() { e.run(decide) })
}

// tryPost queues a decision, or drops it if the queue is full.
func (e *executor) tryPost(decide decision) {
	e.queue.Post(func() { e.run(decide) })
}

// tick queues a run without a decision of its own, so that deadlines are checked.
func (e *executor) tick() {
	e.post(func(*state.GroupState, snapshot, *effects) {})
}

// run makes a decision, followed by the periodic checks, and executes the effects. A
// worker of the pool calls it. To keep the lock order, the configuration and this
// VM's role are read, and their locks released, before the group table is locked.
func (e *executor) run(decide decision) {
	snap := e.snapshot()
	var out effects
	e.driver.opts.Tables.Groups.With(e.name, func(g *state.GroupState) {
		decide(g, snap, &out)
		if out.addFailover(failover.Tick(snap.input(g))) {
			out.addReplication(replication.Probe(g, snap.group, snap.now))
		} else {
			out.addReplication(replication.Tick(g, snap.group, snap.now))
		}
		if out.resolved {
			// Checks again, because without waiters the wake-up may be unnecessary.
			out.addFailover(failover.Tick(snap.input(g)))
		}
	})
	e.setWake(snap.now, out.nextWake())
	for _, effect := range out.pending {
		e.execute(snap, effect)
	}
}

// snapshot returns the current input of decisions.
func (e *executor) snapshot() snapshot {
	snap := snapshot{now: time.Now(), cfg: e.driver.opts.Tables.Config.Current()}
	if snap.cfg != nil {
		snap.group = snap.cfg.Groups[e.name]
	}
	if e.roleReadAt.IsZero() || snap.now.Sub(e.roleReadAt) >= roleInterval {
		e.role, e.roleReadAt = e.driver.role(e.name), snap.now
	}
	snap.role = e.role
	return snap
}

// role determines this VM's role in the group.
func (d *Driver) role(group string) failover.VMRole {
	role := failover.VMRole{DataCentre: d.opts.Tables.Self.DataCentre}
	role.Rank, role.Watcher = d.opts.Rank(group)
	role.Index, role.HasIndex = d.opts.Index()
	return role
}

// setWake makes the timer fire at the given time. A zero time stops the timer.
func (e *executor) setWake(now, at time.Time) {
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
