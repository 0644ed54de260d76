package promotion

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// reviewInterval separates attempts to drop members of a group that are gone.
const reviewInterval = time.Second

// membersOf returns the members of a group, or nil if its commits wait for no replica.
func (c *Coordinator) membersOf(group string) succession.Members {
	if c.syncReplicas(group) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if gs := c.groups[group]; gs != nil {
		return maps.Clone(gs.members)
	}
	return nil
}

// updateMembers makes registered servers members of their group, or drops all members if
// its commits wait for no replica. The caller holds mu.
func (c *Coordinator) updateMembers(gs *groupState, registered []*catalog.Server, synchronous bool) {
	switch {
	case synchronous && gs.members.Add(registered):
		c.recordChanged = true
	case !synchronous && len(gs.members) > 0:
		clear(gs.members)
		c.recordChanged = true
	}
}

// needsReview reports whether a member is gone or has started again, and the group has a
// primary that can show what the others have. The caller holds mu.
func (gs *groupState) needsReview(status *succession.GroupStatus, registered []*catalog.Server) bool {
	return !gs.reviewing && status.RecentlyConfirmed() && status.Now >= gs.reviewAt && !gs.members.Match(registered)
}

// reviewMembers drops the members that are not registered, once the primary and enough
// replicas have all commits that the others may have.
func (c *Coordinator) reviewMembers(ctx context.Context, group string, primary *catalog.Server, gs *groupState) {
	registered := c.Table.Current().GroupServers(group)
	complete := c.holdAllCommits(ctx, group, primary)
	c.mu.Lock()
	defer c.mu.Unlock()
	gs.reviewing, gs.reviewAt = false, clock.Now()+reviewInterval
	if !complete {
		return
	}
	gone := gs.members.Missing(registered)
	gs.members = succession.Registered(registered)
	c.recordChanged = true
	c.Logger.WithFields(log.Fields{"group": group, "members": strings.Join(slices.Sorted(maps.Keys(gs.members)), " "), "gone": strings.Join(gone, " ")}).
		Info("promotion: the members of a group have changed.")
}

// holdAllCommits reports whether the primary answers as such, and as many registered
// replicas as a commit waits for receive its log up to then within catchUpTimeout.
func (c *Coordinator) holdAllCommits(ctx context.Context, group string, primary *catalog.Server) bool {
	r, err := c.queryServer(ctx, group, primary, statement.Command{Verb: statement.Status})
	if err != nil || !r.Primary {
		return false
	}
	deadline := time.Now().Add(catchUpTimeout)
	for {
		if succession.Cover(c.survey(ctx, group, primary).Candidates, r.Received, c.syncReplicas(group)) {
			return true
		}
		if !time.Now().Before(deadline) || ctx.Err() != nil {
			return false
		}
		time.Sleep(pollInterval)
	}
}
