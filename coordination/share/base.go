package share

import (
	"math"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// minBurst is the minimum burst, in requests, of a VM's share. A bucket with a
	// capacity below 2 is nearly always empty or full.
	minBurst = 2
	// minDataCentreBurst is the minimum burst, in requests, of a data centre's part.
	// A bucket with a capacity below 1 can never grant a request.
	minDataCentreBurst = 1
)

// vmLocation names a VM in service and its data centre.
type vmLocation struct {
	vm         string
	dataCentre string
}

// inService returns the data centres in service that have VMs in service, and these
// VMs by data centre, both sorted by name.
func inService(config *state.Config) (dataCentres []string, vms map[string][]string) {
	vms = make(map[string][]string)
	for name, dc := range config.DataCentres {
		if dc.State != state.InService {
			continue
		}
		for _, vm := range dc.VMs {
			if vm.State == state.InService {
				vms[name] = append(vms[name], vm.Name)
			}
		}
		if len(vms[name]) > 0 {
			dataCentres = append(dataCentres, name)
			slices.Sort(vms[name])
		}
	}
	slices.Sort(dataCentres)
	return dataCentres, vms
}

// topology holds the VMs in service, from which the base shares are computed.
type topology struct {
	static      bool // equal shares for all VMs, the baseline for measurements
	dataCentres []string
	vms         map[string][]string // in service, by data centre
	all         []vmLocation
}

func newTopology(config *state.Config, static bool) topology {
	t := topology{static: static}
	t.dataCentres, t.vms = inService(config)
	for _, dc := range t.dataCentres {
		for _, vm := range t.vms[dc] {
			t.all = append(t.all, vmLocation{vm, dc})
		}
	}
	return t
}

// requestShare returns the base share of one VM. The limit is divided equally among
// data centres, and each part among as many VMs as leave each one minBurst.
func (t topology) requestShare(c *state.Customer, vm, dataCentre string) state.RateShare {
	if t.static {
		return t.staticShare(c, vm, dataCentre)
	}
	dcs := t.sharingDataCentres(c)
	if !slices.Contains(dcs, dataCentre) {
		return state.RateShare{}
	}
	part := divide(state.RateShare{Rate: c.Rate, Burst: c.Burst}, len(dcs))
	sharing := t.sharingVMs(c, dataCentre, part.Burst)
	if !slices.Contains(sharing, vm) {
		return state.RateShare{}
	}
	return divide(part, len(sharing))
}

func (t topology) staticShare(c *state.Customer, vm, dataCentre string) state.RateShare {
	if !slices.Contains(t.vms[dataCentre], vm) {
		return state.RateShare{}
	}
	return divide(state.RateShare{Rate: c.Rate, Burst: c.Burst}, len(t.all))
}

// sharingDataCentres returns the data centres that have a part of the customer's
// limit: all of them, or fewer if the burst is too small for all.
func (t topology) sharingDataCentres(c *state.Customer) []string {
	maxCount := max(1, int(math.Floor(c.Burst/minDataCentreBurst)))
	if maxCount >= len(t.dataCentres) {
		return t.dataCentres
	}
	return lease.Rendezvous(c.Name, t.dataCentres)[:maxCount]
}

// sharingVMs returns the VMs of a data centre that have a share of its part.
func (t topology) sharingVMs(c *state.Customer, dataCentre string, burst float64) []string {
	names := t.vms[dataCentre]
	maxCount := max(1, int(math.Floor(burst/minBurst)))
	if maxCount >= len(names) {
		return names
	}
	return lease.Rendezvous(c.Name, names)[:maxCount]
}

// requestLenders returns the other VMs that have a base share of the customer's limit.
func (t topology) requestLenders(c *state.Customer, self, dataCentre string) []state.LenderCandidate {
	var candidates []state.LenderCandidate
	for _, p := range t.all {
		share := t.requestShare(c, p.vm, p.dataCentre)
		if p.vm != self && share.Rate > 0 {
			candidates = append(candidates, state.LenderCandidate{VM: p.vm, Remote: p.dataCentre != dataCentre, Share: share})
		}
	}
	return sortLenders(candidates, self)
}

// connectionShare returns a VM's base share of a backend server's connections: an
// equal integer part, plus one for the VMs that rank first by rendezvous hashing
// until the remainder is used up.
func (t topology) connectionShare(server string, limit int, vm, dataCentre string) int {
	n := len(t.all)
	if !slices.Contains(t.vms[dataCentre], vm) {
		return 0
	}
	units := limit / n
	if remainder := limit % n; remainder > 0 && t.rank(server, vm) < remainder {
		units++
	}
	return units
}

// rank returns the VM's position among all VMs by rendezvous hashing of the key.
func (t topology) rank(key, vm string) int {
	own := lease.RendezvousHash(key, vm)
	rank := 0
	for _, p := range t.all {
		score := lease.RendezvousHash(key, p.vm)
		if score > own || score == own && p.vm < vm {
			rank++
		}
	}
	return rank
}

// connectionLenders returns the other VMs that have a base share of the server's
// connections.
func (t topology) connectionLenders(server string, limit int, self, dataCentre string) []state.LenderCandidate {
	if len(t.all) == 0 {
		return nil
	}
	extra := t.vmsWithExtraConnection(server, limit%len(t.all))
	var candidates []state.LenderCandidate
	for _, p := range t.all {
		units := limit / len(t.all)
		if extra[p.vm] {
			units++
		}
		if p.vm != self && units > 0 {
			candidates = append(candidates, state.LenderCandidate{VM: p.vm, Remote: p.dataCentre != dataCentre, Units: units})
		}
	}
	return sortLenders(candidates, self)
}

// vmsWithExtraConnection returns the n VMs that rank first by rendezvous hashing of
// the server.
func (t topology) vmsWithExtraConnection(server string, n int) map[string]bool {
	names := make([]string, len(t.all))
	for i, p := range t.all {
		names[i] = p.vm
	}
	extra := make(map[string]bool, n)
	for _, name := range lease.Rendezvous(server, names)[:n] {
		extra[name] = true
	}
	return extra
}

// sortLenders puts the VMs of the local data centre first. Within a data centre each
// VM has a different order, so that not all ask the same lender first.
func sortLenders(candidates []state.LenderCandidate, self string) []state.LenderCandidate {
	slices.SortFunc(candidates, func(a, b state.LenderCandidate) int {
		if a.Remote != b.Remote {
			if a.Remote {
				return 1
			}
			return -1
		}
		x, y := lease.RendezvousHash(self, a.VM), lease.RendezvousHash(self, b.VM)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return candidates
}

func divide(s state.RateShare, n int) state.RateShare {
	return state.RateShare{Rate: s.Rate / float64(n), Burst: s.Burst / float64(n)}
}
