// Package groups runs the decisions on database groups on the worker pool, under the
// group table's lock, and executes their effects.
//
// Each group has one queue, so its decisions run in order. Each control call to a
// server runs on its own goroutine, and its result is posted to the queue.
package groups

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// queueLimit is the number of queued events per group from which on views from
	// other VMs are dropped. Views are sent repeatedly, so a dropped one arrives
	// again.
	queueLimit = 64
	// roleInterval is the interval at which the driver checks whether this VM has
	// become a watcher of a group.
	roleInterval = time.Second
)

// Options are the dependencies of a Driver. Index, Announce, Logger, Scope and
// Tracer may be nil.
type Options struct {
	Pool    *pool.Pool
	Tables  *state.Tables
	Control groupctl.Factory
	// Resolve receives the results of waiters. It is called by a worker of the pool
	// that holds no lock, and must not block.
	Resolve func(state.WaiterID, replication.Result)
	// Rank returns this VM's rank among the VMs for the group, and whether it is a
	// watcher of the group. It is called without locks, about once per second for
	// each configured group.
	Rank func(group string) (rank int, watcher bool)
	// Index returns the index that forms the low 16 bits of this VM's terms, or
	// false if the VM must not promote servers. If nil, ConfigIndex is used.
	Index func() (index uint16, ok bool)
	// Announce is called when a new primary or a suspected failure becomes known, so
	// that other VMs can be told before the next regular exchange. It must not
	// block.
	Announce func(peerapi.GroupView)
	Logger   log.Interface
	Scope    tally.Scope
	Tracer   trace.Tracer
}

// Driver runs the decisions on all groups of a VM.
type Driver struct {
	opts    Options
	metrics metrics
	baseCtx context.Context // done when the driver stops; cancels control calls
	cancel  context.CancelFunc

	mu        sync.Mutex // guards executors and closed; only the pool's lock is taken under it
	executors map[string]*executor
	closed    bool
	calls     sync.WaitGroup // control calls in progress
}

// New returns a driver. Waiters may be added immediately; Run must be called to
// monitor groups and to stop the driver.
func New(opts Options) *Driver {
	if opts.Logger == nil {
		opts.Logger = log.Log
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Tracer == nil {
		opts.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if opts.Index == nil {
		opts.Index = func() (uint16, bool) {
			return ConfigIndex(opts.Tables.Config.Current(), opts.Tables.Self.Name)
		}
	}
	d := &Driver{opts: opts, metrics: newMetrics(opts.Scope), executors: make(map[string]*executor)}
	d.baseCtx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Run monitors the groups that this VM watches until ctx is done. It then cancels
// the control calls in progress and waits for them. The error is always nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		changed := d.opts.Tables.Config.Changed()
		d.tickGroups()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// tickGroups runs the periodic checks of the groups that are in use, and of those
// that this VM watches.
func (d *Driver) tickGroups() {
	for _, e := range d.allExecutors() {
		e.tick()
	}
	cfg := d.opts.Tables.Config.Current()
	if cfg == nil {
		return
	}
	for name := range cfg.Groups {
		if d.hasExecutor(name) {
			continue
		}
		if _, watcher := d.opts.Rank(name); watcher {
			d.executor(name).tick()
		}
	}
}

// stop cancels the control calls, waits for them and stops all executors.
func (d *Driver) stop() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.calls.Wait()
	for _, e := range d.allExecutors() {
		e.timer.Stop()
		e.queue.Close()
	}
}

// Wait adds a waiter to a group. Its result goes to Options.Resolve.
func (d *Driver) Wait(group string, w state.PositionWaiter) {
	d.executor(group).post(func(g *state.GroupState, snap snapshot, out *effects) {
		out.addReplication(replication.Wait(g, snap.group, w, snap.now))
	})
}

// Withdraw removes a waiter. Options.Resolve may still be called if the result was
// already decided.
func (d *Driver) Withdraw(group string, id state.WaiterID) {
	d.executor(group).post(func(g *state.GroupState, _ snapshot, _ *effects) {
		replication.Withdraw(g, id)
	})
}

// Suspect reports that a connection to the server failed or that the server did not
// respond in time. The status of the group's servers is queried immediately.
func (d *Driver) Suspect(group, server string) {
	d.executor(group).post(func(g *state.GroupState, snap snapshot, out *effects) {
		out.addFailover(failover.HandleConnectionFailure(snap.input(g), server))
	})
}

// MergeView merges another VM's view of a group. Repeated and outdated views have
// no effect. A view is dropped if the group's queue is full.
func (d *Driver) MergeView(v peerapi.GroupView) {
	d.executor(v.Group).tryPost(func(g *state.GroupState, snap snapshot, out *effects) {
		out.addFailover(failover.HandlePeerReport(snap.input(g), v.Term, v.Primary, v.Suspect))
	})
}

// Views returns this VM's views of all groups with a known primary.
func (d *Driver) Views() []peerapi.GroupView {
	var views []peerapi.GroupView
	d.opts.Tables.Groups.Each(func(g *state.GroupState) {
		if g.Primary != "" {
			views = append(views, view(g))
		}
	})
	return views
}

// view returns this VM's view of the group.
func view(g *state.GroupState) peerapi.GroupView {
	return peerapi.GroupView{
		Group:   g.Name,
		Term:    g.Term,
		Primary: g.Primary,
		Suspect: !g.Failover.SuspectSince.IsZero(),
	}
}

// executor returns the group's executor and creates it if necessary.
func (d *Driver) executor(name string) *executor {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.executors[name]
	if e == nil {
		e = newExecutor(d, name)
		d.executors[name] = e
	}
	return e
}

func (d *Driver) hasExecutor(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.executors[name] != nil
}

func (d *Driver) allExecutors() []*executor {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*executor, 0, len(d.executors))
	for _, e := range d.executors {
		all = append(all, e)
	}
	return all
}
