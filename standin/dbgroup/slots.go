package dbgroup

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// slotTable holds the execution slots of a server and the FIFO queue of
// statements that wait for one.
type slotTable struct {
	mu         lockrank.Mutex // guards the fields below
	free       int
	waiting    []*slotRequest
	maxWaiting int // highest number of requests that waited at the same time
}

// slotRequest is the request of a statement for a slot.
type slotRequest struct {
	granted bool   // guarded by slotTable.mu
	notify  func() // posts an event; called when a waiting request is granted its slot
}

func newSlotTable(slots int) *slotTable {
	return &slotTable{mu: lockrank.New(rankSlots), free: slots}
}

// acquire reports whether the request was granted a slot at once. Otherwise the
// request is queued, and notify is called when it is granted.
func (t *slotTable) acquire(r *slotRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free > 0 {
		t.free--
		r.granted = true
		return true
	}
	t.waiting = append(t.waiting, r)
	t.maxWaiting = max(t.maxWaiting, len(t.waiting))
	return false
}

// release returns the slot of a request, or withdraws the request if it has not
// been granted.
func (t *slotTable) release(r *slotRequest) {
	if next := t.releaseOrWithdraw(r); next != nil {
		next.notify()
	}
}

// releaseOrWithdraw updates the table for release. It returns the waiting request
// to which the slot was passed on, or nil.
func (t *slotTable) releaseOrWithdraw(r *slotRequest) *slotRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.granted {
		t.removeWaiting(r)
		return nil
	}
	r.granted = false
	if len(t.waiting) == 0 {
		t.free++
		return nil
	}
	next := t.waiting[0]
	t.waiting = t.waiting[1:]
	next.granted = true
	return next
}

// removeWaiting removes a request from the queue. The caller holds t.mu.
func (t *slotTable) removeWaiting(r *slotRequest) {
	for i, other := range t.waiting {
		if other == r {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return
		}
	}
}

func (t *slotTable) maxWaitingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxWaiting
}
