package replication

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// setWriteTargets sets the target position of the writes that ran on the server
// that answered. The round started after the write's commit, so the end of the
// server's log is at or after the write. This holds after a planned switchover
// too, because the server drops no records in it. The write may have run in a
// later term than this VM knew; then the end of the log is in a later term too.
func setWriteTargets(g *state.GroupState, query QueryStatus) {
	v := g.View(query.Server)
	for i := range g.Waiters {
		w := &g.Waiters[i]
		if w.Kind != state.WaitDurable || w.TargetKnown || w.Server != query.Server || query.Round < w.FirstRound {
			continue
		}
		w.Target, w.TargetKnown = v.LogEnd(w.Term)
		if w.TargetKnown && w.OwnRound {
			// Without group commit, other writes take their targets from later rounds.
			return
		}
	}
}

// resolveWaiters resolves and removes the waiters whose wait is over.
func resolveWaiters(g *state.GroupState, grp *state.Group, now time.Time, effects []Effect) []Effect {
	kept := g.Waiters[:0]
	for i := range g.Waiters {
		w := g.Waiters[i]
		r, done := evaluate(g, grp, &w, now)
		if !done {
			kept = append(kept, w)
			continue
		}
		g.Round.Resolved++
		r.Wait = w.Kind
		effects = append(effects, Resolve{ID: w.ID, Result: r})
	}
	g.Waiters = kept
	return effects
}

// evaluate returns the result of a waiter, and whether its wait is over.
func evaluate(g *state.GroupState, grp *state.Group, w *state.PositionWaiter, now time.Time) (r Result, done bool) {
	if grp == nil {
		return Result{Kind: TimedOut}, true
	}
	switch w.Kind {
	case state.WaitDurable:
		r, done = evaluateDurable(g, grp, w)
	case state.WaitCover:
		r, done = evaluateCover(g, w, now)
	case state.WaitPrimary:
		r, done = evaluatePrimary(g, grp, w)
	}
	if !done && !now.Before(w.Deadline) {
		return Result{Kind: TimedOut, Server: w.Server, Term: w.Term}, true
	}
	return r, done
}

// evaluateDurable acknowledges a write that a majority holds in the write's own
// term. Once a later term is established, the history of its primary decides.
func evaluateDurable(g *state.GroupState, grp *state.Group, w *state.PositionWaiter) (Result, bool) {
	if w.TargetKnown && countHolding(g, grp, w.Target) >= grp.Majority() {
		return Result{Kind: Satisfied, Point: w.Target, Server: w.Server, Term: w.Target.Term}, true
	}
	lost := Result{Kind: Lost, Server: w.Server, Term: w.Term}
	if !w.TargetKnown && !positionQueried(g, w) {
		return Result{}, false
	}
	if v := g.Servers[w.Server]; !w.TargetKnown && v != nil && v.Status.AdoptedTerm > w.Term {
		return lost, true // the server no longer reports the end of the write
	}
	primary, start, established := establishedPrimary(g, grp, max(w.Term, w.Target.Term))
	if !established {
		return Result{}, false
	}
	end, known := primary.End(w.Target.Term)
	if !w.TargetKnown || !known || w.Target.Position > end {
		return lost, true
	}
	// Only the point in the later term is safe for session tokens: a server that
	// was promoted in between and then replaced has a later LogTerm than the
	// write, but may lack the write.
	point := state.Point{Term: primary.LogTerm, Position: start + termStartRecord}
	return Result{Kind: Satisfied, Point: point, Server: primary.Server, Term: primary.LogTerm}, true
}

// positionQueried reports whether the server that ran the write was queried for
// the end of its log after the write, whether or not it answered.
func positionQueried(g *state.GroupState, w *state.PositionWaiter) bool {
	v := g.Servers[w.Server]
	return v != nil && (v.Round >= w.FirstRound || v.FailedAt.After(w.Joined))
}

// termStartRecord is the length, in positions, of the record that starts a term.
const termStartRecord = 1

// establishedPrimary returns the primary of a later term than the given one if a
// majority holds the record that starts that term, and the start of the term.
//
// The majority is necessary: a promoted primary whose log no majority holds can
// be replaced by a server with another history, and records that only it holds
// are then dropped.
func establishedPrimary(g *state.GroupState, grp *state.Group, above uint64) (st *state.ServerStatus, start uint64, ok bool) {
	if g.Term <= above || grp.Server(g.Primary) == nil {
		return nil, 0, false
	}
	st = &g.View(g.Primary).Status
	if !st.Leads(g.Term) {
		return nil, 0, false
	}
	start, known := st.Start(g.Term)
	point := state.Point{Term: g.Term, Position: start + termStartRecord}
	if !known || countHolding(g, grp, point) < grp.Majority() {
		return nil, 0, false
	}
	return st, start, true
}

// countHolding returns the number of servers that hold p and have adopted no later
// term. The statuses may be of different times: a later promotion requires that
// one of these servers adopts the later term, and it holds p when it does so.
func countHolding(g *state.GroupState, grp *state.Group, p state.Point) int {
	n := 0
	for i := range grp.Servers {
		if v := g.Servers[grp.Servers[i].Name]; v != nil && !v.QueriedAt.IsZero() && v.Status.Holds(p) {
			n++
		}
	}
	return n
}

// evaluateCover resolves a waiter once the server covers its point and is known to
// be recent enough.
func evaluateCover(g *state.GroupState, w *state.PositionWaiter, now time.Time) (Result, bool) {
	v := g.Servers[w.Server]
	if v == nil || !v.Reachable() || !v.Status.Covers(w.Point) {
		return Result{}, false
	}
	if w.MaxAge > 0 {
		if age, known := g.Age(w.Server, now); !known || age > w.MaxAge {
			return Result{}, false
		}
	}
	return satisfiedAt(&v.Status), true
}

// evaluatePrimary resolves a waiter once the primary has answered a round that
// started after the waiter joined, and a majority answered such rounds without
// having adopted a later term.
func evaluatePrimary(g *state.GroupState, grp *state.Group, w *state.PositionWaiter) (Result, bool) {
	v := g.Servers[g.Primary]
	if v == nil || !v.Reachable() || v.Round < w.FirstRound || !v.Status.Leads(g.Term) {
		return Result{}, false
	}
	if v.Status.SwitchingTo != "" || replacingPrimary(g) {
		return Result{}, false
	}
	supporters := 0
	for i := range grp.Servers {
		s := g.View(grp.Servers[i].Name)
		if s.Round >= w.FirstRound && s.Status.AdoptedTerm <= g.Term {
			supporters++
		}
	}
	if supporters < grp.Majority() {
		return Result{}, false
	}
	return satisfiedAt(&v.Status), true
}

// replacingPrimary reports whether this VM is replacing the primary.
func replacingPrimary(g *state.GroupState) bool {
	switch g.Failover.Step {
	case state.FailoverAdopting, state.FailoverPromoting, state.FailoverSwitching:
		return true
	}
	return false
}

func satisfiedAt(st *state.ServerStatus) Result {
	point := state.Point{Term: st.LogTerm, Position: st.Position}
	return Result{Kind: Satisfied, Point: point, Server: st.Server, Term: st.LogTerm}
}
