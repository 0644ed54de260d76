package fencer

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// round is one message of the failover coordinator to all VMs.
type round struct {
	mu       sync.Mutex      // guards accepted
	accepted map[string]bool // VMs that have accepted the message
	progress chan struct{}   // signals a new entry in accepted; has a buffer of one
}

func (r *round) accept(vm string) {
	r.mu.Lock()
	r.accepted[vm] = true
	r.mu.Unlock()
	select {
	case r.progress <- struct{}{}:
	default:
	}
}

func (r *round) has(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted[vm]
}

func (r *round) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accepted)
}

// Designate makes the VMs use no other server of the group as the primary. It returns
// true once no VM does. Statements that were sent to the former primary may be answered
// during the drain period. Designate returns false if no majority accepts the
// designation in time, or if another failover coordinator claimed its role.
func (f *Fencer) Designate(ctx context.Context, d fencing.Designation, drain time.Duration) bool {
	state, _ := f.table.State()
	m := &fleetwire.Fence{State: fencing.State{Claim: state.Claim, Designations: []fencing.Designation{d}}, Drain: drain}
	return f.announce(ctx, m, 0) && f.table.Designated(d.Group) == d
}

// AnnounceClaim tells the VMs that this VM is the failover coordinator from the fencing
// token on. It returns true once no earlier coordinator can send another order, given
// the longest time that an order takes to be sent.
func (f *Fencer) AnnounceClaim(ctx context.Context, token uint64, orderTimeout time.Duration) bool {
	m := &fleetwire.Fence{State: fencing.State{Claim: token}}
	return f.announce(ctx, m, orderTimeout) && f.table.Claim() == token
}

// announce sends the message to all VMs until all have accepted it, or until a majority
// has and the leases of the others have ended. extraWait is added to the wait for the
// leases. It returns false if no majority accepts the message in time.
func (f *Fencer) announce(ctx context.Context, m *fleetwire.Fence, extraWait time.Duration) bool {
	r := &round{accepted: make(map[string]bool), progress: make(chan struct{}, 1)}
	begin := clock.Now()
	f.acceptFence(m, func() { r.accept(f.Links.View().Self) })
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	f.send(m, r)
	majorityAt := time.Duration(0)
	for {
		fleet := f.fleet(clock.Now())
		count := r.count()
		now := clock.Now()
		switch {
		case fleet.Members > 0 && count >= fleet.Members:
			return true
		case fleet.Members == 0 || count < fencing.Majority(fleet.Members):
			if now-begin > majorityTimeout+m.Drain {
				f.Logger.WithFields(log.Fields{"accepted": count, "vms": fleet.Members}).Warn("fencing: no majority of the VMs responds.")
				return false
			}
		case majorityAt == 0:
			majorityAt = now
		case now-majorityAt > fencing.WaitForLeases(fleet.Lease)+extraWait:
			f.Logger.WithFields(log.Fields{"accepted": count, "vms": fleet.Members, "waited_ms": (now - begin).Milliseconds()}).
				Info("fencing: the leases of the VMs that did not respond have ended.")
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-r.progress:
		case <-ticker.C:
			f.send(m, r)
		}
	}
}

// send sends the message to the voters that have not accepted it.
func (f *Fencer) send(m *fleetwire.Fence, r *round) {
	body := m.Append(nil)
	for _, vm := range f.voters() {
		if r.has(vm) {
			continue
		}
		f.Links.Call(vm, fleetwire.KindFence, body, func(frame fleetwire.Frame, ok bool) {
			if !ok {
				return
			}
			state, err := fleetwire.DecodeFencingState(frame.Body)
			if err != nil {
				f.Logger.WithError(err).WithField("vm", vm).Error("fencing: a response cannot be decoded.")
				return
			}
			f.merge(state)
			r.accept(vm)
		})
	}
}
