package placement

import (
	"cmp"
	"slices"
)

// In a large data centre only some VMs, the cores, hold connections to backend servers,
// account for limits, follow the store and order promotions. The other VMs, the edges,
// accept clients and forward statements. Every VM links to the cores only, so the
// number of its links does not grow with the fleet.
const (
	// maxCores is the largest data centre in which all VMs are cores.
	maxCores = 32
	// coresPerLargeDataCentre bounds the links of each VM. The loss of one core
	// affects a sixth of the customers' connections to the servers of a data centre.
	coresPerLargeDataCentre = 6
)

// Member is a VM that has announced itself, alive or not.
type Member struct {
	Name       string
	Address    string // where it accepts links, HOST:PORT
	DataCentre string // empty if it was announced by a version that did not say
	Weight     float64
}

// Cores returns the addresses of the cores among the members, and whether any
// data centre is large. The choice prefers VMs with a high weight and depends on
// nothing but the members, so that VMs which know the same members agree.
func Cores(members []Member) (cores map[string]bool, large bool) {
	byDataCentre := make(map[string][]Member)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	cores = make(map[string]bool)
	for dataCentre, all := range byDataCentre {
		if dataCentre != "" && len(all) > maxCores {
			large = true
			all = highestScores(all, coresPerLargeDataCentre)
		}
		for _, m := range all {
			cores[m.Address] = true
		}
	}
	return cores, large
}

// highestScores returns the n members with the highest weighted rendezvous scores.
func highestScores(members []Member, n int) []Member {
	scores := make(map[string]float64, len(members))
	for i := range members {
		m := &members[i]
		scores[m.Address] = weightedScore("core", &VM{Name: m.Name, Weight: m.Weight})
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(scores[b.Address], scores[a.Address]), cmp.Compare(a.Name, b.Name))
	})
	return members[:n]
}
