// Package replication tracks the replication progress of a group. It decides when
// a write is held by a majority, when a replica covers a session token, and when
// the group has a confirmed primary.
//
// Servers are queried in rounds: one status query to every server of the group
// serves all waiters that joined before the round started. The functions change
// the given state and return effects; they do no I/O.
package replication

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Spacing of rounds, from the start of one round to the start of the next. It
// doubles with every round that resolves no waiter.
const (
	minSpacing = 1 * time.Millisecond
	maxSpacing = 10 * time.Millisecond
	// incompleteRoundDelay is how long a round without a majority of answers
	// delays the next one. Later rounds skip a server until its outstanding
	// query has ended.
	incompleteRoundDelay = 10 * time.Millisecond
)

// ResultKind says whether a wait was satisfied.
type ResultKind int

// Values of ResultKind.
const (
	Satisfied ResultKind = iota + 1
	TimedOut             // the deadline passed; the write of a WaitDurable may or may not survive
	Lost                 // WaitDurable: the write cannot be shown to have survived
)

// String returns the name used in logs and metrics.
func (k ResultKind) String() string {
	switch k {
	case Satisfied:
		return "satisfied"
	case TimedOut:
		return "timed_out"
	case Lost:
		return "lost"
	}
	return "unknown"
}

// Result is the result of a wait. Every waiter that is not withdrawn receives
// exactly one.
type Result struct {
	Wait   state.WaitKind
	Kind   ResultKind
	Point  state.Point // WaitDurable: the acknowledged point, for the session token; else the position of Server
	Server string      // the primary, or the replica of a WaitCover
	Term   uint64      // the term of Server's log
}

// Effect is an action that the driver must carry out.
type Effect interface{ effect() }

// QueryStatus requests a status query to a server. The driver passes the same value
// to Answer or QueryFailed, once for each QueryStatus.
type QueryStatus struct {
	Server string
	Round  uint64
	Sent   time.Time // no later than the time at which the query is sent
}

// Resolve delivers the result of a waiter.
type Resolve struct {
	ID     state.WaiterID
	Result Result
}

// WakeAt requests a call of Tick at the given time. It replaces any earlier WakeAt
// of the group; a call that returns no WakeAt cancels the earlier one.
type WakeAt struct{ At time.Time }

// RoundStarted reports the start of a round, for metrics.
type RoundStarted struct{ Waiters int }

func (QueryStatus) effect()  {}
func (Resolve) effect()      {}
func (WakeAt) effect()       {}
func (RoundStarted) effect() {}

// Wait adds a waiter. It replaces an earlier waiter with the same identifier,
// which then receives no result. grp is nil if the group is not configured.
func Wait(g *state.GroupState, grp *state.Group, w state.PositionWaiter, now time.Time) []Effect {
	removeWaiter(g, w.ID)
	w.FirstRound = g.Round.Number + 1
	g.Waiters = append(g.Waiters, w)
	return resolveAndSchedule(g, grp, now, nil)
}

// Withdraw removes a waiter, which then receives no result.
func Withdraw(g *state.GroupState, id state.WaiterID) { removeWaiter(g, id) }

// Answer records the answer to a status query. Late and repeated answers are
// allowed.
func Answer(g *state.GroupState, grp *state.Group, query QueryStatus, st state.ServerStatus, now time.Time) []Effect {
	if grp == nil || grp.Server(query.Server) == nil {
		return resolveAndSchedule(g, grp, now, nil)
	}
	if st.Server != query.Server {
		// Another server answered at this control address. It must not be counted
		// twice.
		return QueryFailed(g, grp, query, false, now)
	}
	g.Observe(st, query.Sent)
	v := g.View(query.Server)
	v.Round = max(v.Round, query.Round)
	if endQuery(g, v, query) {
		g.Round.Answered++
	}
	setWriteTargets(g, query)
	return resolveAndSchedule(g, grp, now, nil)
}

// QueryFailed records that a status query was not answered. down is true if the
// host refused the connection, which shows that the server's process does not
// run.
func QueryFailed(g *state.GroupState, grp *state.Group, query QueryStatus, down bool, now time.Time) []Effect {
	if grp == nil || grp.Server(query.Server) == nil {
		return resolveAndSchedule(g, grp, now, nil)
	}
	v := g.View(query.Server)
	if v.Outstanding == query.Round {
		endQuery(g, v, query)
		if !query.Sent.Before(v.QueriedAt) {
			v.Missed++
			v.Down = down
			v.FailedAt = now
		}
	}
	return resolveAndSchedule(g, grp, now, nil)
}

// Tick resolves the waiters whose deadline has passed and starts the next round if
// it is due.
func Tick(g *state.GroupState, grp *state.Group, now time.Time) []Effect {
	return resolveAndSchedule(g, grp, now, nil)
}

// Probe starts a round even without waiters, unless the latest one started less
// than minSpacing ago.
func Probe(g *state.GroupState, grp *state.Group, now time.Time) []Effect {
	var effects []Effect
	if grp != nil && !now.Before(g.Round.Started.Add(minSpacing)) {
		effects = startRound(g, grp, now, effects)
	}
	return resolveAndSchedule(g, grp, now, effects)
}

// resolveAndSchedule resolves waiters, then starts the next round if it is due.
func resolveAndSchedule(g *state.GroupState, grp *state.Group, now time.Time, effects []Effect) []Effect {
	g.Configure(grp)
	effects = resolveWaiters(g, grp, now, effects)
	if at, wanted := nextRound(g, grp); wanted && !now.Before(at) {
		effects = startRound(g, grp, now, effects)
	}
	if at, wanted := nextWakeTime(g, grp); wanted {
		effects = append(effects, WakeAt{at})
	}
	return effects
}

func removeWaiter(g *state.GroupState, id state.WaiterID) {
	for i := range g.Waiters {
		if g.Waiters[i].ID == id {
			g.Waiters = append(g.Waiters[:i], g.Waiters[i+1:]...)
			return
		}
	}
}
