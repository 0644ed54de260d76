// Package placement assigns tasks to VMs.
//
// A connection to a backend server belongs to one customer, and there are fewer
// connections than combinations of VM and customer. Therefore one VM, the
// connection owner, holds the connections of a customer to a server, and the
// other VMs forward statements to it. Connection owners are chosen in the
// server's data centre: a statement then crosses data centres at most once, and
// reads on a local replica never do.
//
// The choice uses a weighted rendezvous hash over the VMs that this VM considers
// alive. VMs with different views may choose different connection owners; that
// costs connections and is otherwise harmless.
package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// VM is the latest known status of a VM, as reported by that VM.
type VM struct {
	Name        string
	DataCentre  string
	Weight      float64         // share of the processor
	Incarnation int64           // start time of its process, Unix nanoseconds
	Alive       bool            // heard from recently; always true for this VM
	Leaving     bool            // shutting down
	StoreCutOff bool            // cannot reach the store
	NoLease     bool            // must not use primaries, see package fencing
	Edge        bool            // not a core, see Cores
	Unreachable map[string]bool // backend servers that it cannot reach
}

// View is this VM's view of the cores and of itself. It is immutable.
type View struct {
	Self    string
	VMs     []VM // including this VM
	Members int  // number of cores, alive or not; each owns a share of the limits
	Large   bool // not all VMs are cores
	Listed  bool // the list of VMs was read from the store
}

// SelfIsCore reports whether this VM is a core.
func (v *View) SelfIsCore() bool { return !v.vm(v.Self).Edge }

// IsCore reports whether the VM is known and a core.
func (v *View) IsCore(name string) bool {
	vm := v.vm(name)
	return vm != nil && !vm.Edge
}

// AliveCount returns the number of cores that are alive, including this VM if it is one.
func (v *View) AliveCount() int {
	n := 0
	for i := range v.VMs {
		if v.VMs[i].Alive && !v.VMs[i].Edge {
			n++
		}
	}
	return n
}

// DataCentreCutOff reports whether no VM of another data centre is alive although
// VMs of two or more others are known. It is then more likely that this data
// centre is cut off than that all others have failed.
func (v *View) DataCentreCutOff() bool {
	self := v.vm(v.Self)
	others := make(map[string]bool)
	for i := range v.VMs {
		vm := &v.VMs[i]
		if vm.DataCentre == self.DataCentre {
			continue
		}
		if vm.Alive {
			return false
		}
		others[vm.DataCentre] = true
	}
	return len(others) > 1
}

// InMinority reports whether no majority of the VMs is alive from this VM's
// perspective. It is then probably on the minority side of a partition.
func (v *View) InMinority() bool { return v.Members > 2 && 2*v.AliveCount() <= v.Members }

// ConnectionOwner returns the VM that holds the customer's connections to the
// server. It is one of at most maxOwners VMs for the server, or of all if that is zero;
// see MaxConnectionOwners. It reports false if no VM that is alive can reach the server.
func (v *View) ConnectionOwner(customer string, s *catalog.Server, maxOwners int) (string, bool) {
	key := customer + "|" + s.ID
	for _, eligible := range ownerPreferences(s) {
		if maxOwners > 0 {
			owners := v.bestVMs("owners|"+s.ID, eligible, maxOwners)
			eligible = func(vm *VM) bool { return slices.Contains(owners, vm.Name) }
		}
		if vm := v.bestVM(key, eligible); vm != "" {
			return vm, true
		}
	}
	// An edge that reaches no core runs reads itself.
	if self := v.vm(v.Self); self.Edge && v.AliveCount() == 0 && reaches(self, s) {
		return v.Self, true
	}
	return "", false
}

// ConnectionOwners returns the VMs that hold connections to the server, see ConnectionOwner.
func (v *View) ConnectionOwners(s *catalog.Server, maxOwners int) []string {
	if maxOwners == 0 {
		maxOwners = len(v.VMs)
	}
	for _, eligible := range ownerPreferences(s) {
		if owners := v.bestVMs("owners|"+s.ID, eligible, maxOwners); len(owners) > 0 {
			return owners
		}
	}
	return nil
}

// ownerPreferences returns which VMs may hold connections to the server, in order of
// preference.
func ownerPreferences(s *catalog.Server) []func(*VM) bool {
	return []func(*VM) bool{
		func(vm *VM) bool { return reaches(vm, s) && !vm.NoLease && vm.DataCentre == s.DataCentre },
		func(vm *VM) bool { return reaches(vm, s) && !vm.NoLease },
		func(vm *VM) bool { return reaches(vm, s) },
	}
}

func reaches(vm *VM, s *catalog.Server) bool { return !vm.Leaving && !vm.Unreachable[s.ID] }

// QuotaCoordinators returns the VMs that account for the partitions of a
// customer's limit. They are in different data centres if VMs of two are alive,
// so that the loss of a data centre affects at most one partition. The quota
// coordinator of the other partition then stays where it is.
func (v *View) QuotaCoordinators(customer string) [catalog.LimitPartitions]string {
	dataCentres := v.rankDataCentres(customer)
	var coordinators [catalog.LimitPartitions]string
	for partition := range coordinators {
		coordinators[partition] = v.quotaCoordinator(customer, partition, dataCentres)
	}
	return coordinators
}

// quotaCoordinator returns the VM that accounts for one partition of the
// customer's limit, given the customer's ranking of the data centres.
func (v *View) quotaCoordinator(customer string, partition int, dataCentres []string) string {
	// The prefix is part of the hash, so VMs of all versions must use the same one.
	key := "ledger|" + strconv.Itoa(partition) + "|" + customer
	inDataCentre := func(i int) string {
		if i >= len(dataCentres) {
			return ""
		}
		return v.bestVM(key, func(vm *VM) bool { return !vm.Leaving && vm.DataCentre == dataCentres[i] })
	}
	// The preferred data centre of this partition comes first, then those that neither
	// partition prefers, then that of the other partition.
	if vm := inDataCentre(partition); vm != "" {
		return vm
	}
	for i := catalog.LimitPartitions; i < len(dataCentres); i++ {
		if vm := inDataCentre(i); vm != "" {
			return vm
		}
	}
	if vm := inDataCentre(catalog.LimitPartitions - 1 - partition); vm != "" {
		return vm
	}
	return v.Self
}

// PreferredPartition returns the partition whose quota coordinator this VM asks
// first if neither is closer. The choice spreads the VMs of a data centre over
// both partitions.
func (v *View) PreferredPartition() uint8 {
	// The key is part of the hash, so VMs of all versions must use the same one.
	return uint8(lease.RendezvousHash("half", v.Self) % catalog.LimitPartitions)
}

// rankDataCentres returns the data centres in descending order of their
// rendezvous score for the key.
func (v *View) rankDataCentres(key string) []string {
	var dataCentres []string
	for i := range v.VMs {
		if dc := v.VMs[i].DataCentre; !slices.Contains(dataCentres, dc) {
			dataCentres = append(dataCentres, dc)
		}
	}
	slices.SortFunc(dataCentres, func(a, b string) int {
		return cmp.Or(cmp.Compare(lease.RendezvousHash(key, b), lease.RendezvousHash(key, a)), cmp.Compare(a, b))
	})
	return dataCentres
}

// Complete reports whether the list of VMs was read from the store and all cores are
// alive.
func (v *View) Complete() bool { return v.Listed && v.AliveCount() == v.Members }

// FailoverCoordinator returns the failover coordinator, which orders promotions: the
// core with the longest uptime, or "" if an edge reaches none. A hash would return this
// duty to a VM that has just restarted after a crash, and no primary is replaced until
// that VM has claimed it.
func (v *View) FailoverCoordinator() string {
	var oldest *VM
	for i := range v.VMs {
		vm := &v.VMs[i]
		if !vm.Alive || vm.Leaving || vm.StoreCutOff || vm.Edge {
			continue
		}
		if oldest == nil || vm.Incarnation < oldest.Incarnation || vm.Incarnation == oldest.Incarnation && vm.Name < oldest.Name {
			oldest = vm
		}
	}
	switch {
	case oldest != nil:
		return oldest.Name
	case v.SelfIsCore():
		return v.Self
	}
	return ""
}

// StoreReached reports whether a VM that is alive can reach the store.
func (v *View) StoreReached() bool {
	return slices.ContainsFunc(v.VMs, func(vm VM) bool { return vm.Alive && !vm.StoreCutOff })
}

// watchersPerKind is the number of VMs that watch the store for a kind of
// objects. One suffices while it receives answers; the second covers the time
// until a failed one is detected.
const watchersPerKind = 2

// Watches reports whether this VM watches the store for the kind of objects. The
// other VMs receive the changes from the watchers. If no VM that is alive can reach
// the store, the same number keep polling it for all VMs, because each call is
// billed.
func (v *View) Watches(kind string) bool {
	reached := v.StoreReached()
	chosen := ""
	for range watchersPerKind {
		next := v.bestVM("watch|"+kind, func(vm *VM) bool {
			return !vm.Leaving && (!vm.StoreCutOff || !reached) && vm.Name != chosen
		})
		if next == v.Self || next == "" {
			return true
		}
		chosen = next
	}
	return false
}

// relaysPerLargeDataCentre is the number of relays if edges get updates only from them,
// so that a relay that does not respond delays no edge.
const relaysPerLargeDataCentre = 2

// Relays reports whether this VM fetches updates from other data centres on behalf
// of its own. The other VMs of the data centre get them from it or from each other,
// because traffic between data centres is billed.
func (v *View) Relays() bool {
	relays := 1
	if v.Large {
		relays = relaysPerLargeDataCentre
	}
	self := v.vm(v.Self)
	chosen := ""
	for range relays {
		next := v.bestVM("relay", func(vm *VM) bool {
			return !vm.Leaving && vm.DataCentre == self.DataCentre && vm.Name != chosen
		})
		if next == v.Self {
			return true
		}
		chosen = next
	}
	return false
}

// InSameDataCentre reports whether the VM is in this VM's data centre.
func (v *View) InSameDataCentre(name string) bool {
	vm := v.vm(name)
	return vm != nil && vm.DataCentre == v.vm(v.Self).DataCentre
}

func (v *View) vm(name string) *VM {
	for i := range v.VMs {
		if v.VMs[i].Name == name {
			return &v.VMs[i]
		}
	}
	return nil
}

// bestVM returns the eligible VM with the highest weighted rendezvous score for the
// key, among the cores that are alive, or "".
func (v *View) bestVM(key string, eligible func(*VM) bool) string {
	name, score := "", 0.0
	for i := range v.VMs {
		vm := &v.VMs[i]
		if !vm.Alive || vm.Edge || !eligible(vm) {
			continue
		}
		s := weightedScore(key, vm)
		if name == "" || s > score || s == score && vm.Name < name {
			name, score = vm.Name, s
		}
	}
	return name
}

// bestVMs returns the n eligible VMs with the highest weighted rendezvous scores for the
// key, among the cores that are alive.
func (v *View) bestVMs(key string, eligible func(*VM) bool, n int) []string {
	type ranked struct {
		name  string
		score float64
	}
	var all []ranked
	for i := range v.VMs {
		if vm := &v.VMs[i]; vm.Alive && !vm.Edge && eligible(vm) {
			all = append(all, ranked{vm.Name, weightedScore(key, vm)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	var names []string
	for _, vm := range all[:min(n, len(all))] {
		names = append(names, vm.name)
	}
	return names
}

// weightedScore maps the hash to a uniform number u in (0, 1) and returns
// -weight/ln(u), which assigns keys to VMs in proportion to their weights.
func weightedScore(key string, vm *VM) float64 {
	u := (float64(lease.RendezvousHash(key, vm.Name)>>11) + 0.5) / (1 << 53)
	return -vm.Weight / math.Log(u)
}
