package lease

import (
	"hash/fnv"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Store is the name under which the platform's store takes part as a voter.
const Store = "(store)"

// maxVoters is the largest number of voters of a VM, itself included. Five
// tolerate two that are down.
const maxVoters = 5

// Voters are those that confirm the incarnation of a VM, besides the VM itself.
type Voters struct {
	VMs   []string
	Store bool
}

// VotersOf returns the voters of a VM under a configuration: VMs of its data
// centre by rendezvous hashing of its name, an odd number including itself. A
// data centre with one or two VMs adds the store. VMs that are out of service
// may be switched off and do not vote.
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
// act on. A hold needs each of these sets, because another process of this VM's
// name may act on the older ones.
func voterSets(tables *state.Tables) []Voters {
	configs := tables.Shares.Relevant()
	if current := tables.Config.Current(); current != nil {
		configs = append(configs, current)
	}
	var sets []Voters
	seen := make(map[uint64]bool)
	for _, config := range configs {
		voters := VotersOf(config, tables.Self.Name)
		if digest := voters.digest(); voters.others() > 0 && !seen[digest] {
			seen[digest] = true
			sets = append(sets, voters)
		}
	}
	return sets
}

// allNames returns the voters of all sets, each once.
func allNames(sets []Voters) []string {
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

// others is the number of voters besides the VM itself.
func (v Voters) others() int {
	if v.Store {
		return len(v.VMs) + 1
	}
	return len(v.VMs)
}

// majority is the smallest majority of the voters, the VM itself included.
func (v Voters) majority() int { return (v.others()+1)/2 + 1 }

// toRenew is the number of confirmations by others that keep a hold: with the
// process's own vote they are a majority.
func (v Voters) toRenew() int { return v.majority() - 1 }

// toTake is the number of confirmations by others that start a hold. The
// process's own vote does not count here: an earlier process of the same name
// casts that vote for itself. Any such set and any set that keeps a hold have a
// voter in common.
func (v Voters) toTake() int { return min(v.majority(), v.others()) }

// names returns all voters besides the VM itself.
func (v Voters) names() []string {
	names := append([]string(nil), v.VMs...)
	if v.Store {
		names = append(names, Store)
	}
	return names
}

// digest tells two lists of voters apart.
func (v Voters) digest() uint64 {
	h := fnv.New64a()
	for _, name := range v.names() {
		h.Write([]byte(name))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
