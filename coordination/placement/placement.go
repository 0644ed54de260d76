// Package placement decides which VM does what for whom.
//
// A connection to a backend server belongs to one customer, and there are fewer
// connections than VMs and customers. So for each customer and server one VM,
// the executor, holds the connections, and the other VMs pass statements on to
// it. Executors are chosen in the server's data centre: a statement then crosses
// data centres once at most, and reads on a local replica never do.
//
// The choice is a weighted rendezvous hash over the VMs that this VM hears. Two
// VMs with different views may choose different executors; that costs
// connections and is otherwise harmless.
package placement

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// VM is another VM, or this one, as it described itself.
type VM struct {
	Name        string
	DataCentre  string
	Weight      float64         // processor share
	Incarnation int64           // start of its process, Unix nanoseconds
	Alive       bool            // heard of lately; always true for this VM
	Leaving     bool            // stops
	StoreCutOff bool            // does not reach the store
	Unreachable map[string]bool // backend servers that it cannot reach
}

// View is what this VM knows of all VMs. It is immutable.
type View struct {
	Self    string
	VMs     []VM // with this VM
	Members int  // VMs that own a share of the limits, alive or not
	Listed  bool // the store's list of VMs was read
}

// AliveCount returns the number of VMs heard of lately, with this VM.
func (v *View) AliveCount() int {
	n := 0
	for i := range v.VMs {
		if v.VMs[i].Alive {
			n++
		}
	}
	return n
}

// CutOff reports whether this VM hears nobody of other data centres although it
// knows VMs of two or more: its own is cut off, rather than all others lost.
func (v *View) CutOff() bool {
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

// Isolated reports whether this VM hears no majority of the VMs: it is probably
// on the small side of a partition.
func (v *View) Isolated() bool { return v.Members > 2 && 2*v.AliveCount() <= v.Members }

// Executor returns the VM that holds the customer's connections to the server.
// It reports false if no VM that is heard of reaches the server.
func (v *View) Executor(customer string, s *catalog.Server) (string, bool) {
	key := customer + "|" + s.ID
	local := v.best(key, func(vm *VM) bool {
		return vm.DataCentre == s.DataCentre && !vm.Leaving && !vm.Unreachable[s.ID]
	})
	if local != "" {
		return local, true
	}
	remote := v.best(key, func(vm *VM) bool { return !vm.Leaving && !vm.Unreachable[s.ID] })
	return remote, remote != ""
}

// Ledgers returns the VMs that count the halves of a customer's limit. They are
// in different data centres if VMs of two are heard of, so that a data centre
// which is lost takes one half with it at most. The other half stays where it is.
func (v *View) Ledgers(customer string) [catalog.Halves]string {
	centres := v.rank(customer)
	var ledgers [catalog.Halves]string
	for half := range ledgers {
		ledgers[half] = v.ledger(customer, half, centres)
	}
	return ledgers
}

func (v *View) ledger(customer string, half int, centres []string) string {
	key := "ledger|" + strconv.Itoa(half) + "|" + customer
	inCentre := func(i int) string {
		if i >= len(centres) {
			return ""
		}
		return v.best(key, func(vm *VM) bool { return !vm.Leaving && vm.DataCentre == centres[i] })
	}
	// Its own data centre, then those that are neither half's own, then the
	// other half's own.
	if vm := inCentre(half); vm != "" {
		return vm
	}
	for i := catalog.Halves; i < len(centres); i++ {
		if vm := inCentre(i); vm != "" {
			return vm
		}
	}
	if vm := inCentre(catalog.Halves - 1 - half); vm != "" {
		return vm
	}
	return v.Self
}

// Half returns the half whose ledger this VM asks first if neither is closer, so
// that the VMs of a data centre share both.
func (v *View) Half() uint8 { return uint8(lease.Score("half", v.Self) % catalog.Halves) }

// rank returns the data centres by the rendezvous score of the key, highest
// first.
func (v *View) rank(key string) []string {
	var centres []string
	for i := range v.VMs {
		if dc := v.VMs[i].DataCentre; !slices.Contains(centres, dc) {
			centres = append(centres, dc)
		}
	}
	slices.SortFunc(centres, func(a, b string) int {
		return cmp.Or(cmp.Compare(lease.Score(key, b), lease.Score(key, a)), cmp.Compare(a, b))
	})
	return centres
}

// Complete reports whether this VM hears all VMs that own a share of the limits.
func (v *View) Complete() bool { return v.Listed && v.AliveCount() == v.Members }

// Steward returns the VM that orders promotions: the one that has run longest.
// A hash would give the duty back to a VM that was just killed, and each change
// costs time in which no primary is replaced.
func (v *View) Steward() string {
	var oldest *VM
	for i := range v.VMs {
		vm := &v.VMs[i]
		if !vm.Alive || vm.Leaving || vm.StoreCutOff {
			continue
		}
		if oldest == nil || vm.Incarnation < oldest.Incarnation || vm.Incarnation == oldest.Incarnation && vm.Name < oldest.Name {
			oldest = vm
		}
	}
	if oldest == nil {
		return v.Self
	}
	return oldest.Name
}

// StoreReached reports whether a VM that is heard of reaches the store.
func (v *View) StoreReached() bool {
	return slices.ContainsFunc(v.VMs, func(vm VM) bool { return vm.Alive && !vm.StoreCutOff })
}

// watchers is how many VMs watch a kind of objects. One is enough while the
// store answers it; the second hides the time until a silent one is noticed.
const watchers = 2

// Watches reports whether this VM watches the store for the kind of objects.
// The other VMs learn from those that do. If the store answers no VM that is
// heard of, as many go on asking it for all: each call is paid for.
func (v *View) Watches(kind string) bool {
	reached := v.StoreReached()
	first := ""
	for range watchers {
		next := v.best("watch|"+kind, func(vm *VM) bool {
			return !vm.Leaving && (!vm.StoreCutOff || !reached) && vm.Name != first
		})
		if next == v.Self || next == "" {
			return true
		}
		first = next
	}
	return false
}

// Relays reports whether this VM fetches what others know for its data centre.
// The other VMs of the data centre ask it or each other, because bytes between
// data centres are paid for.
func (v *View) Relays() bool {
	self := v.vm(v.Self)
	return v.best("relay", func(vm *VM) bool { return !vm.Leaving && vm.DataCentre == self.DataCentre }) == v.Self
}

// Near reports whether the VM is in this VM's data centre.
func (v *View) Near(name string) bool {
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

// best returns the alive VM that fits and has the highest weighted rendezvous
// score of the key, or "".
func (v *View) best(key string, fits func(*VM) bool) string {
	name, score := "", 0.0
	for i := range v.VMs {
		vm := &v.VMs[i]
		if !vm.Alive || !fits(vm) {
			continue
		}
		s := weightedScore(key, vm)
		if name == "" || s > score || s == score && vm.Name < name {
			name, score = vm.Name, s
		}
	}
	return name
}

// weightedScore turns the hash into a uniform number u in (0, 1) and returns
// -weight/ln(u), which gives each VM keys in proportion to its weight.
func weightedScore(key string, vm *VM) float64 {
	u := (float64(lease.Score(key, vm.Name)>>11) + 0.5) / (1 << 53)
	return -vm.Weight / math.Log(u)
}
