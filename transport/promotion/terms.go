package promotion

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// The coordinator records where the terms of a group began, so that it recognises logs with
// commits that a promotion dropped. docs/design/term-starts.md has the rules.

// divergedTimeout is how long after the latest confirmation of a primary a log that has
// diverged waits for the other servers. A former primary was promoted again after 10 s in
// one of three trials: registrations expire and partitions heal within less than 30 s.
const divergedTimeout = 30 * time.Second

// promotionsOf returns the known promotions of a group.
func (c *Coordinator) promotionsOf(group string) succession.Promotions {
	c.mu.Lock()
	defer c.mu.Unlock()
	if gs := c.groups[group]; gs != nil {
		return gs.promotions
	}
	return nil
}

// beginTerm records that the candidate is about to be promoted, and returns the promotions
// that were known before. The record is written beside the order.
func (c *Coordinator) beginTerm(group string, candidate succession.Candidate, gs *groupState) succession.Promotions {
	known := uint64(0)
	c.Leadership.With(group, func(l *leadership.Group) { known = l.Term() })
	term, begins := candidate.BeginsTerm(known)
	c.mu.Lock()
	defer c.mu.Unlock()
	before := gs.promotions
	if begins {
		start := state.Point{Term: term, Position: candidate.Received.Position}
		gs.promotions, c.recordChanged = before.With(succession.Promotion{Server: candidate.Server.ID, Start: start}), true
	}
	return before
}

// setPromotions replaces the known promotions of a group.
func (c *Coordinator) setPromotions(gs *groupState, promotions succession.Promotions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.promotions, c.recordChanged = promotions, true
}

// refineTerm records more precisely where the term of a server began that has just
// confirmed its leadership.
func (c *Coordinator) refineTerm(group, server string, gs *groupState) {
	var end state.Point
	c.Leadership.With(group, func(l *leadership.Group) {
		if l.ConfirmedPrimary() == server {
			end = l.FirstPoint()
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	refined := gs.promotions.Refine(server, end)
	c.recordChanged = c.recordChanged || !slices.Equal(refined, gs.promotions)
	gs.promotions = refined
}

// dropFailedPromotions drops the promotions that had no effect, after a server was ordered
// to stay the primary.
func (c *Coordinator) dropFailedPromotions(group, server string, gs *groupState) {
	term := uint64(0)
	c.Leadership.With(group, func(l *leadership.Group) { term = l.Term() })
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.promotions, c.recordChanged = gs.promotions.Effective(server, term), true
}

// mayPromote reports whether a candidate of a group whose commits wait for no replica may be
// promoted now. A log that has diverged waits for the other servers, since every read on the
// latest primary lacked the commits that it would bring back. An instance that is lost for
// good must not take the group with it, so the wait ends.
func (c *Coordinator) mayPromote(group string, candidate succession.Candidate) bool {
	if !candidate.Diverged {
		return true
	}
	entry := c.Logger.WithFields(log.Fields{"group": group, "server": candidate.Server.ID, "term": candidate.Received.Term, "position": candidate.Received.Position})
	if c.confirmedSince(group, clock.Now()-divergedTimeout) {
		entry.Warn("promotion: the only log has diverged, waiting for other servers.")
		return false
	}
	entry.Error("promotion: a diverged log is promoted, no other server reports.")
	return true
}
