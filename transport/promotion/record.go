package promotion

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// GroupRecord is what a failover coordinator leaves to its successors about a group.
type GroupRecord struct {
	// Members is set where commits wait for replicas.
	Members succession.Members
	// OrderOpen says that an order may still be carried out. It is set where commits wait
	// for no replica; elsewhere a successor assumes that without a record.
	OrderOpen bool
	// Promotions has the latest ones, also those whose outcome is unknown.
	Promotions succession.Promotions
}

// isEmpty reports whether the record says nothing.
func (r GroupRecord) isEmpty() bool {
	return len(r.Members) == 0 && !r.OrderOpen && len(r.Promotions) == 0
}

func (r GroupRecord) equal(other GroupRecord) bool {
	return r.OrderOpen == other.OrderOpen && maps.Equal(r.Members, other.Members) && slices.Equal(r.Promotions, other.Promotions)
}

// saveRetryDelay separates attempts to write the record after a failed one.
const saveRetryDelay = time.Second

// inherit prepares the state of a group for a duty that this VM has just claimed. The
// caller holds mu.
func (c *Coordinator) inherit(group string, gs *groupState, registered []*catalog.Server) {
	gs.claim, gs.supersedeAt = c.firstToken, clock.Now()+maxPromoteDelay
	gs.orderUnconfirmed = gs.orderUnconfirmed || c.record[group].OrderOpen
	gs.promotions = gs.promotions.Merge(c.record[group].Promotions)
	if gs.paused == nil {
		gs.paused, gs.members = make(map[string]bool), make(succession.Members)
	}
	for id, born := range c.record[group].Members {
		if _, known := gs.members[id]; !known {
			gs.members[id] = born
		}
	}
	if c.Fencer != nil || c.syncReplicas(group) == 0 {
		return
	}
	// An earlier coordinator may have paused the servers, and its orders may still be out.
	gs.orderUnconfirmed = true
	for _, server := range registered {
		gs.paused[server.ID] = true
	}
	for id := range gs.members {
		gs.paused[id] = true
	}
}

// adoptRecord takes over the record of earlier coordinators. This VM may know of more
// members and promotions if it was one of them and the store has lost changes since. The
// caller holds mu.
func (c *Coordinator) adoptRecord(stored map[string]GroupRecord) {
	merged := maps.Clone(stored)
	if merged == nil {
		merged = make(map[string]GroupRecord)
	}
	for group, known := range c.record {
		r := merged[group]
		members := make(succession.Members)
		maps.Copy(members, known.Members)
		maps.Copy(members, r.Members)
		r.Members, r.OrderOpen = members, r.OrderOpen || known.OrderOpen
		r.Promotions = r.Promotions.Merge(known.Promotions)
		merged[group] = r
	}
	c.record = merged
	for group, gs := range c.groups {
		gs.promotions = gs.promotions.Merge(merged[group].Promotions)
	}
	c.recordChanged = len(merged) > 0 // the store may have lost a part
}

// saveRecord starts to write the record if it has changed.
func (c *Coordinator) saveRecord(ctx context.Context) {
	c.mu.Lock()
	due := c.recordChanged && !c.saving && clock.Now() >= c.saveAt
	if due {
		c.recordChanged, c.saving = false, true
	}
	c.mu.Unlock()
	if !due {
		return
	}
	c.background.Go(func() {
		err := c.writeRecord(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.saving = false
		if err != nil {
			c.recordChanged, c.saveAt = true, clock.Now()+saveRetryDelay
			c.Logger.WithError(err).Warn("promotion: the record of the groups cannot be written.")
		}
	})
}

// writeRecord writes what this VM knows about the groups, unless another VM has claimed
// the duty.
func (c *Coordinator) writeRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	duty, err := c.Duties.ReadDuty(ctx)
	if err != nil {
		return err
	}
	config := c.Table.Current().Config
	c.mu.Lock()
	if duty.Holder != c.Name || duty.NextFree != c.endToken {
		c.unverified = true
		c.mu.Unlock()
		return errNotHolder
	}
	next := make(map[string]GroupRecord)
	for group, r := range c.record {
		if config.Group(group) != nil {
			next[group] = r
		}
	}
	for group, gs := range c.groups {
		g := config.Group(group)
		if g == nil {
			continue
		}
		r := GroupRecord{
			Members: maps.Clone(gs.members), OrderOpen: g.SyncReplicas == 0 && (gs.ordering || gs.orderUnconfirmed), Promotions: gs.promotions,
		}
		if r.isEmpty() {
			delete(next, group)
		} else {
			next[group] = r
		}
	}
	c.mu.Unlock()
	if !maps.EqualFunc(duty.Groups, next, GroupRecord.equal) {
		duty.Groups = next
		if err := c.Duties.WriteDuty(ctx, duty); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = next
	return nil
}
