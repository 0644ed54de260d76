package fleetlink

import (
	"maps"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
)

// SetMembers sets the VMs in the store's list of members. VMs that are neither in the
// list nor alive are removed.
func (l *Links) SetMembers(members []placement.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = make(map[string]placement.Member, len(members))
	for _, m := range members {
		l.members[m.Address] = m
	}
	for a, p := range l.peers {
		if _, listed := l.members[a]; !listed && !p.alive && p.hasStatus {
			l.removePeer(p)
		}
	}
	l.updateCores()
}

func (l *Links) removePeer(p *peer) {
	p.cancel()
	delete(l.peers, p.address)
}

// updateCores computes the cores among the members and the VMs that have sent their
// status. It dials new ones, and closes unused links to others. The caller holds mu.
func (l *Links) updateCores() {
	known := make(map[string]placement.Member, len(l.members)+1)
	for a, m := range l.members {
		known[a] = m
	}
	add := func(s *fleetwire.Status) {
		if m, listed := known[s.Address]; !listed || m.DataCentre == "" {
			known[s.Address] = placement.Member{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Weight: s.Weight}
		}
	}
	add(&l.self)
	for _, p := range l.peers {
		if p.hasStatus {
			add(&p.status)
		}
	}
	for _, s := range l.accepted {
		add(s)
	}
	l.cores, l.large = placement.Cores(slices.Collect(maps.Values(known)))
	l.view = nil
	for a := range l.cores {
		l.dial(a)
	}
	for a, p := range l.peers {
		unused := p.link == nil || !p.link.used()
		if !l.cores[a] && unused && (p.hasStatus || len(l.members) > 0) {
			l.removePeer(p)
		}
	}
}

// rebuildView rebuilds the view and maxPingInterval. The caller holds mu.
func (l *Links) rebuildView() {
	v := &placement.View{Self: l.self.Name, Members: len(l.cores), Large: l.large, Listed: len(l.members) > 0}
	v.VMs = append(v.VMs, l.placementVM(&l.self, true))
	for _, p := range l.peers {
		if p.hasStatus {
			v.VMs = append(v.VMs, l.placementVM(&p.status, p.alive))
		}
	}
	l.view = v
	near, far := l.pingIntervals()
	l.maxPingInterval = max(near, far)
}

func (l *Links) placementVM(s *fleetwire.Status, alive bool) placement.VM {
	vm := placement.VM{
		Name: s.Name, DataCentre: s.DataCentre, Weight: s.Weight, Alive: alive, Incarnation: s.Incarnation,
		Leaving: s.Leaving, StoreCutOff: s.StoreCutOff, NoLease: s.NoLease, Edge: !l.cores[s.Address],
	}
	if len(s.Unreachable) > 0 {
		vm.Unreachable = make(map[string]bool, len(s.Unreachable))
		for _, id := range s.Unreachable {
			vm.Unreachable[id] = true
		}
	}
	return vm
}
