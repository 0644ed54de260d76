package groups

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
)

// effects collects the effects of the decisions that one event causes.
type effects struct {
	pending         []any     // effects to execute, in this order
	probe           bool      // a round of status queries is requested
	resolved        bool      // at least one waiter received its result
	replicationWake time.Time // zero if none is requested
	failoverWake    time.Time // zero if none is requested
}

// addReplication adds the effects of a decision of package replication. Its wake-up
// time replaces the previous one.
func (o *effects) addReplication(added []replication.Effect) {
	o.replicationWake = time.Time{}
	for _, effect := range added {
		switch effect := effect.(type) {
		case replication.WakeAt:
			o.replicationWake = effect.At
			continue
		case replication.Resolve:
			o.resolved = true
		}
		o.pending = append(o.pending, effect)
	}
}

// addFailover adds the effects of a decision of package failover. Its wake-up time
// replaces the previous one. It reports whether a round of status queries is
// requested.
func (o *effects) addFailover(added []failover.Effect) (probe bool) {
	o.failoverWake = time.Time{}
	for _, effect := range added {
		switch effect := effect.(type) {
		case failover.WakeAt:
			o.failoverWake = effect.At
		case failover.Probe:
			o.probe = true
		default:
			o.pending = append(o.pending, effect)
		}
	}
	return o.probe
}

// nextWake returns the earlier wake-up time, or zero if none is requested.
func (o *effects) nextWake() time.Time {
	if o.replicationWake.IsZero() || !o.failoverWake.IsZero() && o.failoverWake.Before(o.replicationWake) {
		return o.failoverWake
	}
	return o.replicationWake
}

// execute carries out an effect. No lock is held.
func (e *executor) execute(snap snapshot, effect any) {
	d := e.driver
	switch effect := effect.(type) {
	case replication.QueryStatus:
		e.queryStatus(snap, effect)
	case replication.Resolve:
		d.metrics.result(effect.Result)
		e.recordResult(snap, effect.Result)
		d.opts.Resolve(effect.ID, effect.Result)
	case replication.RoundStarted:
		d.metrics.round(effect.Waiters)
	case failover.Call:
		e.sendCommand(snap, effect)
	case failover.Report:
		e.report(snap, effect)
	case failover.Announce:
		e.announce()
	}
}

// announce passes this VM's view of the group to Options.Announce.
func (e *executor) announce() {
	if e.driver.opts.Announce == nil {
		return
	}
	var v peerapi.GroupView
	e.driver.opts.Tables.Groups.With(e.name, func(g *state.GroupState) { v = view(g) })
	e.driver.opts.Announce(v)
}

// queryStatus sends a status query. Its result is posted as exactly one event.
func (e *executor) queryStatus(snap snapshot, query replication.QueryStatus) {
	spec := callSpec{command: "status", server: query.Server, timeout: statusTimeout, invoke: invokeStatus}
	e.startCall(snap, spec, func(st state.ServerStatus, err error, g *state.GroupState, snap snapshot, out *effects) {
		if err != nil {
			out.addReplication(replication.QueryFailed(g, snap.group, query, groupctl.Down(err), snap.now))
			return
		}
		out.addReplication(replication.Answer(g, snap.group, query, st, snap.now))
	})
}

// sendCommand sends a failover command to a server. Its result is posted as exactly
// one event.
func (e *executor) sendCommand(snap snapshot, c failover.Call) {
	spec := callSpec{command: string(c.Order), server: c.Server, term: c.Term, timeout: c.Timeout, invoke: invokeCommand(c)}
	e.startCall(snap, spec, func(st state.ServerStatus, err error, g *state.GroupState, snap snapshot, out *effects) {
		out.addFailover(failover.HandleOutcome(snap.input(g), c, commandOutcome(st, err)))
	})
}
