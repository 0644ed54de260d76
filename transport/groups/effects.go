package groups

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
)

// effects collects the effects of the decisions of one event.
type effects struct {
	acts          []any // effects to execute, in order
	probe         bool  // a round of status queries is wanted
	settled       bool  // a waiter got its result
	wakePositions time.Time
	wakeFailover  time.Time
}

// replication adds the effects of a decision on positions. Its wake-up replaces
// the earlier one.
func (o *effects) replication(list []replication.Effect) {
	o.wakePositions = time.Time{}
	for _, act := range list {
		switch act := act.(type) {
		case replication.WakeAt:
			o.wakePositions = act.At
			continue
		case replication.Resolve:
			o.settled = true
		}
		o.acts = append(o.acts, act)
	}
}

// failover adds the effects of a decision on failover. It reports whether a
// round of status queries is wanted.
func (o *effects) failover(list []failover.Effect) (probe bool) {
	o.wakeFailover = time.Time{}
	for _, act := range list {
		switch act := act.(type) {
		case failover.WakeAt:
			o.wakeFailover = act.At
		case failover.Probe:
			o.probe = true
		default:
			o.acts = append(o.acts, act)
		}
	}
	return o.probe
}

// wake returns the earliest wake-up, or zero if none is wanted.
func (o *effects) wake() time.Time {
	if o.wakePositions.IsZero() || !o.wakeFailover.IsZero() && o.wakeFailover.Before(o.wakePositions) {
		return o.wakeFailover
	}
	return o.wakePositions
}

// execute carries out an effect. No lock is held.
func (e *group) execute(m moment, act any) {
	d := e.driver
	switch act := act.(type) {
	case replication.AskStatus:
		e.ask(m, act)
	case replication.Resolve:
		d.metrics.result(act.Result)
		e.noteResult(m, act.Result)
		d.opts.Resolve(act.ID, act.Result)
	case replication.RoundStarted:
		d.metrics.round(act.Waiters)
	case failover.Call:
		e.order(m, act)
	case failover.Report:
		e.report(m, act)
	case failover.Announce:
		e.announce()
	}
}

// announce passes the view of the group on.
func (e *group) announce() {
	if e.driver.opts.Announce == nil {
		return
	}
	var v peerapi.GroupView
	e.driver.opts.Tables.Groups.With(e.name, func(g *state.GroupState) { v = view(g) })
	e.driver.opts.Announce(v)
}

// ask sends a status query. Its end is posted as exactly one event.
func (e *group) ask(m moment, ask replication.AskStatus) {
	spec := callSpec{order: "status", server: ask.Server, timeout: statusTimeout, do: callStatus}
	e.call(m, spec, func(st state.ServerStatus, err error, g *state.GroupState, m moment, out *effects) {
		if err != nil {
			out.replication(replication.Failure(g, m.group, ask, groupctl.Down(err), m.now))
			return
		}
		out.replication(replication.Answer(g, m.group, ask, st, m.now))
	})
}

// order gives an order to a server. Its end is posted as exactly one event.
func (e *group) order(m moment, c failover.Call) {
	spec := callSpec{order: string(c.Order), server: c.Server, term: c.Term, timeout: c.Timeout, do: callOrder(c)}
	e.call(m, spec, func(st state.ServerStatus, err error, g *state.GroupState, m moment, out *effects) {
		out.failover(failover.Answer(m.input(g), c, outcome(st, err)))
	})
}
