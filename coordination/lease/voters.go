package lease

import (
	"hash/fnv"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Store is the voter name of the platform's store.
const Store = "(store)"

// maxVoters is the maximum number of voters of a VM, including itself. Five
// voters tolerate the failure of two.
const maxVoters = 5

// Voters are the voters of a VM other than the VM itself.
type Voters struct {
	VMs   []string
	Store bool
}

// VotersOf returns the voters of a VM under a configuration. They are VMs of
// its data centre, selected by rendezvous hashing of its name, and their number
// including the VM itself is odd. In a data centre with one or two VMs the
// store votes as well. VMs that are out of service do not vote, since they may
// be switched off.
func VotersOf(config *state.Config, vm string) Voters {
	if config == nil {
		return Voters{}
	}
	_, dc := config.VM(vm)
	if dc == nil {
		return Voters{}
	}
	var names []string
	for _, other := range dc.VMs {
		if other.Name != vm && other.State != state.Out {
			names = append(names, other.Name)
		}
	}
	if len(names) < 2 {
		return Voters{VMs: names, Store: true}
	}
	others := min(len(names), maxVoters-1)
	others -= others % 2
	return Voters{VMs: Rendezvous(vm, names)[:others]}
}

// voterSets returns this VM's voters under every ticket that some VM may still
// use. A hold needs a quorum of each set, because another process of this VM's
// name may use an older ticket.
func voterSets(tables *state.Tables) []Voters {
	configs := tables.Shares.EffectiveConfigs()
	if current := tables.Config.Current(); current != nil {
		configs = append(configs, current)
	}
	var sets []Voters
	seen := make(map[uint64]bool)
	for _, config := range configs {
		voters := VotersOf(config, tables.Self.Name)
		if digest := voters.digest(); voters.otherCount() > 0 && !seen[digest] {
			seen[digest] = true
			sets = append(sets, voters)
		}
	}
	return sets
}

// unionOfNames returns the voters of all sets without duplicates.
func unionOfNames(sets []Voters) []string {
	var names []string
	for _, voters := range sets {
		for _, name := range voters.names() {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// otherCount returns the number of voters other than the VM itself.
func (v Voters) otherCount() int {
	if v.Store {
		return len(v.VMs) + 1
	}
	return len(v.VMs)
}

// majority returns the smallest majority of the voters, including the VM
// itself.
func (v Voters) majority() int { return (v.otherCount()+1)/2 + 1 }

// renewQuorum returns the number of confirmations by others that extend a hold.
// Together with the process's own vote they form a majority.
func (v Voters) renewQuorum() int { return v.majority() - 1 }

// acquireQuorum returns the number of confirmations by others that start a
// hold. The process's own vote does not count, because an earlier process of
// the same name may use that vote to extend its hold. Every acquire quorum
// therefore shares a voter with every renew quorum.
func (v Voters) acquireQuorum() int { return min(v.majority(), v.otherCount()) }

// names returns all voters other than the VM itself.
func (v Voters) names() []string {
	names := append([]string(nil), v.VMs...)
	if v.Store {
		names = append(names, Store)
	}
	return names
}

// digest returns a hash that identifies the list of voters.
func (v Voters) digest() uint64 {
	h := fnv.New64a()
	for _, name := range v.names() {
		h.Write([]byte(name))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
