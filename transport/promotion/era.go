package promotion

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// reclaimDelay is how long a former holder leaves the duty to another VM that claimed it
// in a new era, also if this VM is selected again. It is the lease duration of the rules
// for duties.
const reclaimDelay = 3 * time.Second

// checkEra drops the reserved tokens if the store has a later era than the one in which
// they were reserved: the store may have lost the record of them. The caller holds mu.
func (c *Coordinator) checkEra() {
	if c.StoreEra == nil || c.nextToken >= c.endToken {
		return
	}
	if era := c.StoreEra(); era > c.tokenEra {
		c.Logger.WithFields(log.Fields{"era": era, "claimed_in": c.tokenEra}).Warn("promotion: the store has a new era, the coordinator role is claimed again.")
		c.dropTokens()
		c.lostDuty = true
	}
}

// claimedByOther reports whether this VM held the duty in an earlier era and the record
// says that another VM has claimed it since. This VM then gives way for reclaimDelay. A
// record that the store restored has no tokens of the present era.
func (c *Coordinator) claimedByOther(d Duty) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lostDuty || d.Holder == c.Name || d.Revision.Era == 0 || d.NextFree <= fencing.FirstToken(d.Revision.Era) {
		return false
	}
	c.lostDuty = false
	c.selectedSince = clock.Now() + reclaimDelay - claimDelay
	c.Logger.WithFields(log.Fields{"era": d.Revision.Era, "holder": d.Holder}).Info("promotion: another VM has claimed the coordinator role in the new era.")
	return true
}
