// Package groups drives the decisions on database groups: it runs them in the
// worker pool under the group table's lock and carries out their effects.
//
// Each group has one queue, so its decisions run in order. Control calls run on
// goroutines of their own, and their answers come back as events of the queue.
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
	// queueLimit is the number of views from other VMs that may wait per group.
	// Views are repeated, so one that finds the queue full is dropped.
	queueLimit = 64
	// roleInterval is how often the driver checks whether this VM has become
	// the watcher of a group.
	roleInterval = time.Second
)

// Options are what a Driver needs. Index, Announce, Logger, Scope and Tracer may
// be nil.
type Options struct {
	Pool    *pool.Pool
	Tables  *state.Tables
	Control groupctl.Factory
	// Resolve receives the result of every wait. It is called by a worker that
	// holds no lock, and must not block.
	Resolve func(state.WaiterID, replication.Result)
	// Rank returns this VM's rank among the VMs for the group, and whether it
	// watches the group. It is called without locks, about once a second for
	// each configured group.
	Rank func(group string) (rank int, watcher bool)
	// Index returns the index that makes this VM's terms unique, or false if the
	// VM is to promote nothing. If nil, ConfigIndex is used.
	Index func() (index uint16, ok bool)
	// Announce is called when a new primary or the suspicion of a failure is
	// known, so that it can be passed on before the next exchange. It must not
	// block.
	Announce func(peerapi.GroupView)
	Logger   log.Interface
	Scope    tally.Scope
	Tracer   trace.Tracer
}

// Driver executes the decisions on all groups of a VM.
type Driver struct {
	opts    Options
	metrics metrics
	base    context.Context // done when the driver stops; ends control calls
	cancel  context.CancelFunc

	mu     sync.Mutex // guards groups and closed; held for no call out of this package
	groups map[string]*group
	closed bool
	calls  sync.WaitGroup // running control calls
}

// New returns a driver. Waiters may be added at once; Run must be called for
// watching, and to stop the driver.
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
	d := &Driver{opts: opts, metrics: newMetrics(opts.Scope), groups: make(map[string]*group)}
	d.base, d.cancel = context.WithCancel(context.Background())
	return d
}

// Run watches the groups that this VM is responsible for until ctx is done. It
// then cancels the running control calls and waits for them.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		changed := d.opts.Tables.Config.Changed()
		d.visitGroups()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// visitGroups wakes the groups that are in use, and those that this VM watches.
func (d *Driver) visitGroups() {
	for _, e := range d.known() {
		e.tick()
	}
	cfg := d.opts.Tables.Config.Current()
	if cfg == nil {
		return
	}
	for name := range cfg.Groups {
		if d.has(name) {
			continue
		}
		if _, watcher := d.opts.Rank(name); watcher {
			d.group(name).tick()
		}
	}
}

func (d *Driver) stop() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.cancel()
	d.calls.Wait()
	for _, e := range d.known() {
		e.timer.Stop()
		e.queue.Close()
	}
}

// Wait adds a waiter to a group. Its result goes to Options.Resolve.
func (d *Driver) Wait(group string, w state.PositionWaiter) {
	d.group(group).post(func(g *state.GroupState, m moment, out *effects) {
		out.replication(replication.Wait(g, m.group, w, m.now))
	})
}

// Withdraw removes a waiter. A result that is already on its way is not
// stopped.
func (d *Driver) Withdraw(group string, id state.WaiterID) {
	d.group(group).post(func(g *state.GroupState, _ moment, _ *effects) {
		replication.Withdraw(g, id)
	})
}

// Suspect reports that a connection to the server broke or that it did not
// answer in time. The servers are asked at once.
func (d *Driver) Suspect(group, server string) {
	d.group(group).post(func(g *state.GroupState, m moment, out *effects) {
		out.failover(failover.Suspect(m.input(g), server))
	})
}

// MergeView takes in what another VM knows of a group. Repeated and old views
// change nothing.
func (d *Driver) MergeView(v peerapi.GroupView) {
	d.group(v.Group).offer(func(g *state.GroupState, m moment, out *effects) {
		out.failover(failover.Merge(m.input(g), v.Term, v.Primary, v.Suspect))
	})
}

// Views returns what this VM knows of the primaries of all groups.
func (d *Driver) Views() []peerapi.GroupView {
	var views []peerapi.GroupView
	d.opts.Tables.Groups.Each(func(g *state.GroupState) {
		if g.Primary != "" {
			views = append(views, view(g))
		}
	})
	return views
}

func view(g *state.GroupState) peerapi.GroupView {
	return peerapi.GroupView{
		Group:   g.Name,
		Term:    g.Term,
		Primary: g.Primary,
		Suspect: !g.Failover.SuspectSince.IsZero(),
	}
}

// group returns the named group's queue and timer, created if needed.
func (d *Driver) group(name string) *group {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.groups[name]
	if e == nil {
		e = newGroup(d, name)
		d.groups[name] = e
	}
	return e
}

func (d *Driver) has(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groups[name] != nil
}

func (d *Driver) known() []*group {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*group, 0, len(d.groups))
	for _, e := range d.groups {
		all = append(all, e)
	}
	return all
}
