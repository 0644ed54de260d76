package replication

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// learnTargets sets the target of the writes that ran on the server that
// answered. The round started after the write's commit, so the end of the
// server's log lies behind the write. That is known also after a planned
// switchover, in which the server drops nothing. The write may have run under a
// later term than the VM knew; then the end of the log is of a later term too.
func learnTargets(g *state.GroupState, ask AskStatus) {
	v := g.View(ask.Server)
	for i := range g.Waiters {
		w := &g.Waiters[i]
		if w.Kind != state.WaitDurable || w.TargetKnown || w.Server != ask.Server || ask.Round < w.FirstRound {
			continue
		}
		w.Target, w.TargetKnown = v.LogEnd(w.Term)
		if w.TargetKnown && w.Alone {
			return
		}
	}
}

// settle resolves and removes the waiters whose wait has ended.
func settle(g *state.GroupState, grp *state.Group, now time.Time, effects []Effect) []Effect {
	kept := g.Waiters[:0]
	for i := range g.Waiters {
		w := g.Waiters[i]
		r, done := judge(g, grp, &w, now)
		if !done {
			kept = append(kept, w)
			continue
		}
		g.Round.Settled++
		r.Wait = w.Kind
		effects = append(effects, Resolve{ID: w.ID, Result: r})
	}
	g.Waiters = kept
	return effects
}

func judge(g *state.GroupState, grp *state.Group, w *state.PositionWaiter, now time.Time) (r Result, done bool) {
	if grp == nil {
		return Result{Kind: TimedOut}, true
	}
	switch w.Kind {
	case state.WaitDurable:
		r, done = judgeDurable(g, grp, w)
	case state.WaitCover:
		r, done = judgeCover(g, w, now)
	case state.WaitPrimary:
		r, done = judgePrimary(g, grp, w)
	}
	if !done && !now.Before(w.Deadline) {
		return Result{Kind: TimedOut, Server: w.Server, Term: w.Term}, true
	}
	return r, done
}

// judgeDurable acknowledges a write that a majority holds under its own term.
// If a later term is established, the history of its primary decides.
func judgeDurable(g *state.GroupState, grp *state.Group, w *state.PositionWaiter) (Result, bool) {
	if w.TargetKnown && countHolding(g, grp, w.Target) >= grp.Majority() {
		return Result{Kind: Satisfied, Point: w.Target, Server: w.Server, Term: w.Target.Term}, true
	}
	lost := Result{Kind: Lost, Server: w.Server, Term: w.Term}
	if !w.TargetKnown && !asked(g, w) {
		return Result{}, false
	}
	if v := g.Servers[w.Server]; !w.TargetKnown && v != nil && v.Status.AdoptedTerm > w.Term {
		return lost, true // the server no longer tells where the write ended
	}
	primary, start, established := establishedPrimary(g, grp, max(w.Term, w.Target.Term))
	if !established {
		return Result{}, false
	}
	end, known := primary.End(w.Target.Term)
	if !w.TargetKnown || !known || w.Target.Position > end {
		return lost, true
	}
	// Only the point in the later term is safe for tokens: a server that was
	// promoted in between and replaced has a later LogTerm than the write, but
	// need not hold it.
	point := state.Point{Term: primary.LogTerm, Position: start + termStartRecord}
	return Result{Kind: Satisfied, Point: point, Server: primary.Server, Term: primary.LogTerm}, true
}

// asked reports whether the server that ran the write was asked since for the
// end of its log, with or without an answer.
func asked(g *state.GroupState, w *state.PositionWaiter) bool {
	v := g.Servers[w.Server]
	return v != nil && (v.Round >= w.FirstRound || v.FailedAt.After(w.Joined))
}

// termStartRecord is the length, in positions, of the record that starts a term.
const termStartRecord = 1

// establishedPrimary returns the primary of a term above the given one whose
// term-start record is held by a majority, and the start of that term.
//
// The majority is needed: a primary that was promoted but whose log no majority
// holds can itself be replaced by a server with another history, and what is
// only in its log is then dropped.
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

// countHolding counts the servers that hold p and have promised to no later
// term. Their statuses may be from different moments: a later promotion needs
// the promise of one of these servers, which holds p when it gives it.
func countHolding(g *state.GroupState, grp *state.Group, p state.Point) int {
	n := 0
	for i := range grp.Servers {
		if v := g.Servers[grp.Servers[i].Name]; v != nil && !v.AskedAt.IsZero() && v.Status.Holds(p) {
			n++
		}
	}
	return n
}

func judgeCover(g *state.GroupState, w *state.PositionWaiter, now time.Time) (Result, bool) {
	v := g.Servers[w.Server]
	if v == nil || !v.Reachable() || !v.Status.Covers(w.Point) {
		return Result{}, false
	}
	if w.MaxAge > 0 {
		if age, known := g.Age(w.Server, now); !known || age > w.MaxAge {
			return Result{}, false
		}
	}
	return satisfiedBy(&v.Status), true
}

// judgePrimary wants a primary that answered a round that started after the
// waiter joined, and a majority that in such rounds knew of no later term.
func judgePrimary(g *state.GroupState, grp *state.Group, w *state.PositionWaiter) (Result, bool) {
	v := g.Servers[g.Primary]
	if v == nil || !v.Reachable() || v.Round < w.FirstRound || !v.Status.Leads(g.Term) {
		return Result{}, false
	}
	if v.Status.SwitchingTo != "" || beingReplaced(g) {
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
	return satisfiedBy(&v.Status), true
}

// beingReplaced reports whether this VM is about to depose the primary.
func beingReplaced(g *state.GroupState) bool {
	switch g.Failover.Step {
	case state.FailoverAdopting, state.FailoverPromoting, state.FailoverSwitching:
		return true
	}
	return false
}

func satisfiedBy(st *state.ServerStatus) Result {
	point := state.Point{Term: st.LogTerm, Position: st.Position}
	return Result{Kind: Satisfied, Point: point, Server: st.Server, Term: st.LogTerm}
}
