package share

import (
	"math"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// minBurst is the smallest burst in requests that a customer's share is
	// split into. A bucket of less than 2 is nearly always empty or full.
	minBurst = 2
	// minDataCentreBurst is the smallest burst in requests of a data centre. A
	// bucket below 1 can never pay for a request.
	minDataCentreBurst = 1
)

// placed is a VM in service with its data centre.
type placed struct {
	vm         string
	dataCentre string
}

// inService returns the VMs that have base shares, grouped by the data centres
// in service that have any, in the order of their names.
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

// layout is what base shares are computed from.
type layout struct {
	static      bool // the measuring baseline: equal shares of all VMs
	dataCentres []string
	vms         map[string][]string // in service, by data centre
	all         []placed
}

func layoutOf(config *state.Config, static bool) layout {
	l := layout{static: static}
	l.dataCentres, l.vms = inService(config)
	for _, dc := range l.dataCentres {
		for _, vm := range l.vms[dc] {
			l.all = append(l.all, placed{vm, dc})
		}
	}
	return l
}

// requestShare returns the base share of one VM: its data centre's part, split
// over as many VMs as give each the minimum burst.
func (l layout) requestShare(c *state.Customer, vm, dataCentre string) state.RateShare {
	if l.static {
		return l.staticShare(c, vm, dataCentre)
	}
	dcs := l.sharingDataCentres(c)
	if !slices.Contains(dcs, dataCentre) {
		return state.RateShare{}
	}
	part := divide(state.RateShare{Rate: c.Rate, Burst: c.Burst}, len(dcs))
	sharing := l.sharingVMs(c, dataCentre, part.Burst)
	if !slices.Contains(sharing, vm) {
		return state.RateShare{}
	}
	return divide(part, len(sharing))
}

func (l layout) staticShare(c *state.Customer, vm, dataCentre string) state.RateShare {
	if !slices.Contains(l.vms[dataCentre], vm) {
		return state.RateShare{}
	}
	return divide(state.RateShare{Rate: c.Rate, Burst: c.Burst}, len(l.all))
}

// sharingDataCentres are all data centres in service, fewer only if the burst
// is too small for all.
func (l layout) sharingDataCentres(c *state.Customer) []string {
	most := max(1, int(math.Floor(c.Burst/minDataCentreBurst)))
	if most >= len(l.dataCentres) {
		return l.dataCentres
	}
	return lease.Rendezvous(c.Name, l.dataCentres)[:most]
}

func (l layout) sharingVMs(c *state.Customer, dataCentre string, burst float64) []string {
	names := l.vms[dataCentre]
	most := max(1, int(math.Floor(burst/minBurst)))
	if most >= len(names) {
		return names
	}
	return lease.Rendezvous(c.Name, names)[:most]
}

// requestHolders returns the VMs with a base share, other than self.
func (l layout) requestHolders(c *state.Customer, self, dataCentre string) []state.Holder {
	var holders []state.Holder
	for _, p := range l.all {
		share := l.requestShare(c, p.vm, p.dataCentre)
		if p.vm != self && share.Rate > 0 {
			holders = append(holders, state.Holder{VM: p.vm, Remote: p.dataCentre != dataCentre, Share: share})
		}
	}
	return inAskingOrder(holders, self)
}

// units returns a VM's base share of a backend server's connections: equal
// whole parts, and one of the rest for the first VMs by rendezvous hashing.
func (l layout) units(server string, limit int, vm, dataCentre string) int {
	n := len(l.all)
	if !slices.Contains(l.vms[dataCentre], vm) {
		return 0
	}
	units := limit / n
	if rest := limit % n; rest > 0 && l.rank(server, vm) < rest {
		units++
	}
	return units
}

// rank is the VM's place among all VMs by rendezvous hashing of the key.
func (l layout) rank(key, vm string) int {
	own := lease.Score(key, vm)
	rank := 0
	for _, p := range l.all {
		score := lease.Score(key, p.vm)
		if score > own || score == own && p.vm < vm {
			rank++
		}
	}
	return rank
}

// unitHolders returns the VMs with connections to the server, other than self.
func (l layout) unitHolders(server string, limit int, self, dataCentre string) []state.Holder {
	if len(l.all) == 0 {
		return nil
	}
	extra := l.withExtraUnit(server, limit%len(l.all))
	var holders []state.Holder
	for _, p := range l.all {
		units := limit / len(l.all)
		if extra[p.vm] {
			units++
		}
		if p.vm != self && units > 0 {
			holders = append(holders, state.Holder{VM: p.vm, Remote: p.dataCentre != dataCentre, Units: units})
		}
	}
	return inAskingOrder(holders, self)
}

// withExtraUnit returns the first n VMs by rendezvous hashing of the server.
func (l layout) withExtraUnit(server string, n int) map[string]bool {
	names := make([]string, len(l.all))
	for i, p := range l.all {
		names[i] = p.vm
	}
	extra := make(map[string]bool, n)
	for _, name := range lease.Rendezvous(server, names)[:n] {
		extra[name] = true
	}
	return extra
}

// inAskingOrder puts VMs of the own data centre first, and otherwise orders
// them differently on every VM, so that not all ask the same lender first.
func inAskingOrder(holders []state.Holder, self string) []state.Holder {
	slices.SortFunc(holders, func(a, b state.Holder) int {
		if a.Remote != b.Remote {
			if a.Remote {
				return 1
			}
			return -1
		}
		x, y := lease.Score(self, a.VM), lease.Score(self, b.VM)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return holders
}

func divide(s state.RateShare, n int) state.RateShare {
	return state.RateShare{Rate: s.Rate / float64(n), Burst: s.Burst / float64(n)}
}
