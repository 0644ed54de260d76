package groups

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// newsRepeats is how often a VM passes a change on. A change that every VM
	// repeats this often reaches 490 VMs with near certainty.
	newsRepeats = 12
	// newsPerMessage and oldPerMessage bound the views in one message: changes,
	// and views that are sent in turn to repair what was missed.
	newsPerMessage = 16
	oldPerMessage  = 2
)

// Views is the part of the exchange between VMs that spreads who is primary.
type Views struct {
	driver *Driver

	mu   sync.Mutex     // guards the fields below; no other lock is taken under it
	news map[string]int // by group: how often a change is still to be passed on
	turn int
}

// NewViews returns the part for a driver. Connect it with SetDriver.
func NewViews() *Views { return &Views{news: make(map[string]int)} }

// SetDriver sets the driver whose views are spread.
func (v *Views) SetDriver(d *Driver) { v.driver = d }

// Announce notes a change of the group, to be passed on in the next messages.
func (v *Views) Announce(g peerapi.GroupView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.news[g.Group] = newsRepeats
}

// Fill adds views to a message.
func (v *Views) Fill(_ string, m *peerapi.Exchange) { m.Groups = v.choose() }

// Handle takes the views of another VM and answers with those that it lacks.
func (v *Views) Handle(_ peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	for _, theirs := range m.Groups {
		if own, later := v.compare(theirs); later {
			a.Groups = append(a.Groups, own)
		}
	}
}

// HandleAnswer takes the views in an answer.
func (v *Views) HandleAnswer(_ peerapi.Sender, _ time.Time, _ *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	for _, theirs := range a.Groups {
		v.compare(theirs)
	}
}

// compare takes a view of another VM. It returns this VM's own view if that is
// the later one.
func (v *Views) compare(theirs peerapi.GroupView) (own peerapi.GroupView, later bool) {
	v.driver.opts.Tables.Groups.With(theirs.Group, func(g *state.GroupState) { own = view(g) })
	switch {
	case own.Term > theirs.Term:
		return own, true
	case own.Term < theirs.Term:
		v.Announce(theirs)
		v.driver.MergeView(theirs)
	case theirs.Suspect && !own.Suspect:
		v.driver.MergeView(theirs)
	}
	return own, false
}

// choose returns the changes that are still to be passed on, and some other
// views in turn.
func (v *Views) choose() []peerapi.GroupView {
	all := v.driver.Views()
	v.mu.Lock()
	defer v.mu.Unlock()
	var chosen []peerapi.GroupView
	for _, g := range all {
		if v.news[g.Group] == 0 || len(chosen) == newsPerMessage {
			continue
		}
		chosen = append(chosen, g)
		v.news[g.Group]--
		if v.news[g.Group] == 0 {
			delete(v.news, g.Group)
		}
	}
	for range min(oldPerMessage, len(all)) {
		v.turn++
		chosen = append(chosen, all[v.turn%len(all)])
	}
	return chosen
}
