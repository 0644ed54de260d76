package promotion

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// Duty is the record in the store of the VM that orders promotions.
type Duty struct {
	Holder   string
	NextFree uint64                 // lowest fencing token that is not reserved
	Groups   map[string]GroupRecord // by group; immutable
	// Revision is that of the record. Its number is zero if the record does not exist yet.
	Revision state.Revision
}

// Duties stores the record.
type Duties interface {
	// ReadDuty returns the current record.
	ReadDuty(ctx context.Context) (Duty, error)
	// WriteDuty replaces the record if its revision still is d.Revision. It fails if the
	// store has another era: the same number may belong to another change there.
	WriteDuty(ctx context.Context, d Duty) error
}

const (
	// verifyTimeout is shorter than storeTimeout, since no group is watched meanwhile.
	verifyTimeout = 200 * time.Millisecond
	// verifyInterval separates attempts to read the record for verifyDuty.
	verifyInterval = time.Second
)

// errNotHolder states that the record names another VM, or other tokens.
var errNotHolder = eris.New("another VM has claimed the duty")

// selected reports whether this VM has been selected as the coordinator for
// claimDelay. While no VM can reach the store, no VM can claim the duty, and
// its holder keeps it.
func (c *Coordinator) selected() bool {
	view := c.View()
	if view.InMinority() {
		// The majority may have another coordinator. This VM waits for claimDelay once it
		// reaches a majority, and learns what has changed meanwhile.
		c.selectedSince = 0
		c.mu.Lock()
		c.unverified = true
		c.mu.Unlock()
		return false
	}
	if !view.StoreReached() {
		return c.holdsDuty()
	}
	if view.FailoverCoordinator() != c.Name {
		if c.selectedSince != 0 {
			c.Logger.Info("promotion: another VM is the failover coordinator.")
		}
		c.selectedSince = 0
		c.mu.Lock()
		c.groups, c.record, c.recordChanged = make(map[string]*groupState), nil, false
		c.dropTokens()
		c.lostDuty = false
		c.mu.Unlock()
		return false
	}
	now := clock.Now()
	if c.selectedSince == 0 {
		c.selectedSince = now
	}
	return now-c.selectedSince >= claimDelay
}

// dropTokens makes this VM claim the duty again before its next order. The caller holds
// mu.
func (c *Coordinator) dropTokens() {
	c.nextToken, c.endToken, c.exclusive = 0, 0, false
}

// holdsDuty reports whether this VM has reserved fencing tokens left, and no other VM
// has claimed the duty since, as far as is known.
func (c *Coordinator) holdsDuty() bool {
	superseded := uint64(0)
	if c.Fencer != nil {
		superseded = c.Fencer.Claim()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if superseded > c.firstToken {
		c.dropTokens()
	}
	c.checkEra()
	return c.nextToken < c.endToken
}

// verifyDuty reports whether this VM may go on with the duty after it has reached no majority
// of the VMs. Another one may have claimed the duty meanwhile, and promoted servers without
// this VM's knowledge or given orders that may still be carried out. While the store does
// not answer, this VM goes on.
func (c *Coordinator) verifyDuty(ctx context.Context) bool {
	c.mu.Lock()
	due := c.unverified && clock.Now() >= c.verifyAt
	c.mu.Unlock()
	if !due {
		return true
	}
	holds, err := c.holdsRecord(ctx)
	return holds || err != nil
}

// holdsRecord reports whether the duty record names this VM with its present tokens. If it
// doesn't, this VM claims the duty again before it acts.
func (c *Coordinator) holdsRecord(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	duty, err := c.Duties.ReadDuty(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verifyAt = clock.Now() + verifyInterval
	if err != nil {
		return false, err
	}
	c.unverified = false
	if duty.Holder == c.Name && duty.NextFree == c.endToken {
		return true, nil
	}
	c.Logger.WithField("holder", duty.Holder).Info("promotion: another VM has claimed the coordinator role meanwhile.")
	c.dropTokens()
	return false, nil
}

// claimDuty claims the duty unless this VM already holds it, and reports
// whether this VM holds it.
func (c *Coordinator) claimDuty(ctx context.Context, g *errgroup.Group) bool {
	if c.holdsDuty() && c.verifyDuty(ctx) {
		return true
	}
	if c.Table.Current().Config == nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	duty, err := c.Duties.ReadDuty(callCtx)
	if err == nil {
		if c.claimedByOther(duty) {
			return false
		}
		duty.Holder = c.Name
		first := max(duty.NextFree, fencing.FirstToken(duty.Revision.Era))
		duty.NextFree = first + tokensPerClaim
		if err = c.Duties.WriteDuty(callCtx, duty); err == nil {
			c.mu.Lock()
			c.firstToken, c.nextToken, c.endToken = first, first, duty.NextFree
			c.tokenEra, c.lostDuty = duty.Revision.Era, false
			c.adoptRecord(duty.Groups)
			c.exclusive = c.Fencer == nil
			c.mu.Unlock()
			c.Logger.WithFields(log.Fields{"token": first}).Info("promotion: this VM is the failover coordinator.")
			if c.Fencer != nil {
				g.Go(func() error { c.becomeExclusive(ctx, first); return nil })
			}
			return true
		}
	}
	c.Logger.WithError(err).Warn("promotion: the coordinator role cannot be claimed.")
	// The record may have been written although no response arrived. The tokens
	// that it reserved remain unused.
	c.selectedSince = clock.Now()
	return false
}

// becomeExclusive waits until no earlier coordinator can send an order. If no majority
// of the VMs responds, this VM claims the duty again.
func (c *Coordinator) becomeExclusive(ctx context.Context, token uint64) {
	alone := c.Fencer.AnnounceClaim(ctx, token, orderTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.firstToken != token:
	case alone:
		c.exclusive = true
	default:
		c.dropTokens()
	}
}

// claim returns the first token of this VM's latest claim of the duty.
func (c *Coordinator) claim() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstToken
}

// isExclusive reports whether no earlier coordinator can send an order.
func (c *Coordinator) isExclusive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exclusive
}

// nextFencingToken returns a fencing token that has not been used before.
func (c *Coordinator) nextFencingToken() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkEra()
	if c.nextToken >= c.endToken {
		return 0, false
	}
	c.nextToken++
	return c.nextToken - 1, true
}
