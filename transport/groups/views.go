package groups

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// updateRepeats is the number of messages in which a VM sends each change. If every
	// VM repeats a change this often, it reaches 490 VMs with near certainty.
	updateRepeats = 12
	// maxUpdatesPerMessage limits the changed views in one message.
	maxUpdatesPerMessage = 16
	// repairViewsPerMessage limits the further views in one message. They are sent in
	// round-robin order, so that VMs which missed a change catch up.
	repairViewsPerMessage = 2
)

// ViewGossip disseminates the primaries of the database groups among VMs by
// gossip. It is a part of the regular exchange between VMs.
type ViewGossip struct {
	driver *Driver

	mu             sync.Mutex     // guards the fields below; no other lock is taken under it
	pendingUpdates map[string]int // by group: the number of messages that are still to carry its change
	repairIndex    int            // position of the round-robin order
}

// NewViewGossip returns a ViewGossip without a driver. SetDriver must be called
// before the first exchange.
func NewViewGossip() *ViewGossip { return &ViewGossip{pendingUpdates: make(map[string]int)} }

// SetDriver sets the driver that provides this VM's views and merges received ones.
func (v *ViewGossip) SetDriver(d *Driver) { v.driver = d }

// Announce schedules the changed view of a group for the next messages.
func (v *ViewGossip) Announce(g peerapi.GroupView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pendingUpdates[g.Group] = updateRepeats
}

// AddSections adds views to an outgoing message.
func (v *ViewGossip) AddSections(_ string, m *peerapi.Exchange) { m.Groups = v.selectViews() }

// HandleRequest merges the views of another VM, and adds this VM's view to the
// answer wherever it is newer.
func (v *ViewGossip) HandleRequest(_ peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	for _, remote := range m.Groups {
		if local, newer := v.merge(remote); newer {
			a.Groups = append(a.Groups, local)
		}
	}
}

// HandleResponse merges the views in an answer.
func (v *ViewGossip) HandleResponse(_ peerapi.Sender, _ time.Time, _ *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	for _, remote := range a.Groups {
		v.merge(remote)
	}
}

// merge merges a view of another VM. It returns this VM's view and whether that has
// the higher term.
func (v *ViewGossip) merge(remote peerapi.GroupView) (local peerapi.GroupView, newer bool) {
	v.driver.opts.Tables.Groups.With(remote.Group, func(g *state.GroupState) { local = view(g) })
	switch {
	case local.Term > remote.Term:
		return local, true
	case local.Term < remote.Term:
		v.Announce(remote)
		v.driver.MergeView(remote)
	case remote.Suspect && !local.Suspect:
		v.driver.MergeView(remote)
	}
	return local, false
}

// selectViews returns the scheduled changes, followed by further views in round-robin
// order.
func (v *ViewGossip) selectViews() []peerapi.GroupView {
	all := v.driver.Views()
	v.mu.Lock()
	defer v.mu.Unlock()
	var selected []peerapi.GroupView
	for _, g := range all {
		if v.pendingUpdates[g.Group] == 0 || len(selected) == maxUpdatesPerMessage {
			continue
		}
		selected = append(selected, g)
		v.pendingUpdates[g.Group]--
		if v.pendingUpdates[g.Group] == 0 {
			delete(v.pendingUpdates, g.Group)
		}
	}
	for range min(repairViewsPerMessage, len(all)) {
		v.repairIndex++
		selected = append(selected, all[v.repairIndex%len(all)])
	}
	return selected
}
