// Package replication decides when a position of a group's log has been
// reached: when a write is held by a majority, when a replica covers a session
// token, and when there is a primary.
//
// Servers are asked in rounds: one status query to every server of the group
// serves all waiters that joined before the round started. The functions change
// the given state and return effects; they do no I/O.
package replication

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Spacing of rounds. It counts from the start of one round to the start of the
// next, and doubles with every round that settles no waiter.
const (
	minSpacing = 1 * time.Millisecond
	maxSpacing = 10 * time.Millisecond
	// roundPatience is how long a round without a majority of answers keeps the
	// next one from starting. A server that does not answer is skipped by later
	// rounds until its query has ended.
	roundPatience = 10 * time.Millisecond
)

// Kind says how a wait ended.
type Kind int

// Kinds of results.
const (
	Satisfied Kind = iota + 1
	TimedOut       // the deadline passed; the write of a WaitDurable may or may not survive
	Lost           // WaitDurable: it cannot be shown that the write survived
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
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

// Result is the end of a wait. Every waiter that is not withdrawn gets exactly
// one.
type Result struct {
	Wait   state.WaitKind
	Kind   Kind
	Point  state.Point // WaitDurable: the acknowledged point, for the session token; else the position of Server
	Server string      // the primary, or the replica of a WaitCover
	Term   uint64      // the term of Server's log
}

// Effect is an instruction to the driver.
type Effect interface{ effect() }

// AskStatus asks a server for its status. The driver passes the same value to
// Answer or Failure, once for each AskStatus.
type AskStatus struct {
	Server string
	Round  uint64
	Sent   time.Time // no later than the moment at which the query is sent
}

// Resolve hands a waiter its result.
type Resolve struct {
	ID     state.WaiterID
	Result Result
}

// WakeAt asks for a call of Tick. It replaces the WakeAt of every earlier call
// for the group; a call that returns none cancels it.
type WakeAt struct{ At time.Time }

// RoundStarted reports a round, for metrics.
type RoundStarted struct{ Waiters int }

func (AskStatus) effect()    {}
func (Resolve) effect()      {}
func (WakeAt) effect()       {}
func (RoundStarted) effect() {}

// Wait adds a waiter. It replaces an earlier waiter with the same identifier,
// which then gets no result. grp is the configured group, or nil if it is not
// configured.
func Wait(g *state.GroupState, grp *state.Group, w state.PositionWaiter, now time.Time) []Effect {
	remove(g, w.ID)
	w.FirstRound = g.Round.Number + 1
	g.Waiters = append(g.Waiters, w)
	return advance(g, grp, now, nil)
}

// Withdraw removes a waiter, which gets no result.
func Withdraw(g *state.GroupState, id state.WaiterID) { remove(g, id) }

// Answer records the answer to a status query. Late and repeated answers are
// allowed.
func Answer(g *state.GroupState, grp *state.Group, ask AskStatus, st state.ServerStatus, now time.Time) []Effect {
	if grp == nil || grp.Server(ask.Server) == nil {
		return advance(g, grp, now, nil)
	}
	if st.Server != ask.Server {
		// The control address leads to another server, which must not be
		// counted twice.
		return Failure(g, grp, ask, false, now)
	}
	g.Observe(st, ask.Sent)
	v := g.View(ask.Server)
	v.Round = max(v.Round, ask.Round)
	if endQuery(g, v, ask) {
		g.Round.Answered++
	}
	learnTargets(g, ask)
	return advance(g, grp, now, nil)
}

// Failure records that a status query was not answered. down says that the host
// refused the connection, so that no process of the server runs.
func Failure(g *state.GroupState, grp *state.Group, ask AskStatus, down bool, now time.Time) []Effect {
	if grp == nil || grp.Server(ask.Server) == nil {
		return advance(g, grp, now, nil)
	}
	v := g.View(ask.Server)
	if v.Outstanding == ask.Round {
		endQuery(g, v, ask)
		if !ask.Sent.Before(v.AskedAt) {
			v.Missed++
			v.Down = down
			v.FailedAt = now
		}
	}
	return advance(g, grp, now, nil)
}

// Tick settles the waiters whose deadline has passed and starts the next round
// if it is due.
func Tick(g *state.GroupState, grp *state.Group, now time.Time) []Effect {
	return advance(g, grp, now, nil)
}

// Probe starts a round even if nobody waits, unless the latest one started
// less than the smallest spacing ago.
func Probe(g *state.GroupState, grp *state.Group, now time.Time) []Effect {
	var effects []Effect
	if grp != nil && !now.Before(g.Round.Started.Add(minSpacing)) {
		effects = startRound(g, grp, now, effects)
	}
	return advance(g, grp, now, effects)
}

// advance settles what can be settled, then starts the next round if it is due.
func advance(g *state.GroupState, grp *state.Group, now time.Time, effects []Effect) []Effect {
	g.Configure(grp)
	effects = settle(g, grp, now, effects)
	if at, wanted := nextRound(g, grp); wanted && !now.Before(at) {
		effects = startRound(g, grp, now, effects)
	}
	if at, wanted := nextWake(g, grp); wanted {
		effects = append(effects, WakeAt{at})
	}
	return effects
}

func remove(g *state.GroupState, id state.WaiterID) {
	for i := range g.Waiters {
		if g.Waiters[i].ID == id {
			g.Waiters = append(g.Waiters[:i], g.Waiters[i+1:]...)
			return
		}
	}
}
