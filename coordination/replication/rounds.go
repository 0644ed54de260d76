package replication

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// startRound queries every server that has no outstanding query.
func startRound(g *state.GroupState, grp *state.Group, now time.Time, effects []Effect) []Effect {
	spacing := min(2*g.Round.Spacing, maxSpacing)
	if g.Round.Resolved > 0 || hasUnservedWaiter(g) || spacing == 0 {
		spacing = minSpacing
	}
	g.Round = state.PositionRound{Number: g.Round.Number + 1, Started: now, Spacing: spacing}
	for i := range grp.Servers {
		v := g.View(grp.Servers[i].Name)
		if v.Outstanding != 0 {
			continue
		}
		v.Outstanding = g.Round.Number
		if v.SilentSince.IsZero() {
			v.SilentSince = now
		}
		g.Round.Pending++
		effects = append(effects, QueryStatus{Server: grp.Servers[i].Name, Round: g.Round.Number, Sent: now})
	}
	return append(effects, RoundStarted{Waiters: len(g.Waiters)})
}

// endQuery marks the query as ended. It reports whether the query was outstanding
// and belonged to the current round.
func endQuery(g *state.GroupState, v *state.ServerView, query QueryStatus) bool {
	if v.Outstanding != query.Round {
		return false
	}
	v.Outstanding = 0
	if query.Round != g.Round.Number {
		return false
	}
	g.Round.Pending--
	return true
}

// nextRound returns when the next round may start, if there are waiters and a
// server can be queried. A waiter that no round has served yet is served after
// minSpacing, even if the spacing has grown.
func nextRound(g *state.GroupState, grp *state.Group) (at time.Time, wanted bool) {
	if grp == nil || len(g.Waiters) == 0 || !anyServerIdle(g, grp) {
		return time.Time{}, false
	}
	spacing := g.Round.Spacing
	if hasUnservedWaiter(g) {
		spacing = minSpacing
	}
	if g.Round.Pending > 0 && g.Round.Answered < grp.Majority() {
		spacing = max(spacing, incompleteRoundDelay)
	}
	return g.Round.Started.Add(spacing), true
}

// nextWakeTime returns the earlier of the next round's start and the first
// deadline.
func nextWakeTime(g *state.GroupState, grp *state.Group) (at time.Time, wanted bool) {
	at, wanted = nextRound(g, grp)
	for i := range g.Waiters {
		if d := g.Waiters[i].Deadline; !wanted || d.Before(at) {
			at, wanted = d, true
		}
	}
	return at, wanted
}

// hasUnservedWaiter reports whether a waiter joined after the latest round started.
func hasUnservedWaiter(g *state.GroupState) bool {
	// Waiters are in the order in which they joined.
	n := len(g.Waiters)
	return n > 0 && g.Waiters[n-1].FirstRound > g.Round.Number
}

func anyServerIdle(g *state.GroupState, grp *state.Group) bool {
	for i := range grp.Servers {
		if g.View(grp.Servers[i].Name).Outstanding == 0 {
			return true
		}
	}
	return false
}
