package groups

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// effects collects the effects of the decisions of one event.
type effects struct {
	acts          []any // effects to execute, in order
	wakePositions time.Time
}

// replication adds the effects of a decision on positions. Its wake-up replaces
// the earlier one.
func (o *effects) replication(list []replication.Effect) {
	o.wakePositions = time.Time{}
	for _, act := range list {
		if w, ok := act.(replication.WakeAt); ok {
			o.wakePositions = w.At
			continue
		}
		o.acts = append(o.acts, act)
	}
}

// wake returns the earliest wake-up, or zero if none is wanted.
func (o *effects) wake() time.Time { return o.wakePositions }

// execute carries out an effect. No lock is held.
func (e *group) execute(m moment, act any) {
	d := e.driver
	switch act := act.(type) {
	case replication.AskStatus:
		e.ask(m, act)
	case replication.Resolve:
		d.metrics.result(act.Result)
		d.opts.Resolve(act.ID, act.Result)
	case replication.RoundStarted:
		d.metrics.round(act.Waiters)
	}
}

// ask sends a status query. Its end is posted as exactly one event.
func (e *group) ask(m moment, ask replication.AskStatus) {
	e.call(m, callSpec{order: "status", server: ask.Server, timeout: statusTimeout, do: callStatus},
		func(st state.ServerStatus, err error, g *state.GroupState, m moment, out *effects) {
			if err != nil {
				out.replication(replication.Failure(g, m.group, ask, m.now))
				return
			}
			out.replication(replication.Answer(g, m.group, ask, st, m.now))
		})
}
