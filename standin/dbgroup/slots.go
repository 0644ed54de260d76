package dbgroup

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// slotTable holds the execution slots of a server and the statements that wait
// for one, in order.
type slotTable struct {
	mu      lockrank.Mutex // guards the fields below
	free    int
	waiting []*slotClaim
	longest int // greatest number that waited at once
}

// slotClaim is a statement's claim to a slot.
type slotClaim struct {
	granted bool   // guarded by slotTable.mu
	notify  func() // posts an event; called when a slot becomes free
}

func newSlotTable(slots int) *slotTable {
	return &slotTable{mu: lockrank.New(rankSlots), free: slots}
}

// acquire reports whether the claim got a slot at once. Otherwise it waits, and
// notify will be called.
func (t *slotTable) acquire(c *slotClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free > 0 {
		t.free--
		c.granted = true
		return true
	}
	t.waiting = append(t.waiting, c)
	t.longest = max(t.longest, len(t.waiting))
	return false
}

// release gives up a claim, whether or not it got its slot.
func (t *slotTable) release(c *slotClaim) {
	if next := t.pass(c); next != nil {
		next.notify()
	}
}

// pass returns the claim that gets the slot, if there is one.
func (t *slotTable) pass(c *slotClaim) *slotClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.granted {
		t.remove(c)
		return nil
	}
	c.granted = false
	if len(t.waiting) == 0 {
		t.free++
		return nil
	}
	next := t.waiting[0]
	t.waiting = t.waiting[1:]
	next.granted = true
	return next
}

// remove takes a claim out of the queue. The caller holds t.mu.
func (t *slotTable) remove(c *slotClaim) {
	for i, w := range t.waiting {
		if w == c {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return
		}
	}
}

func (t *slotTable) longestQueue() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.longest
}
