package groups

import (
	"maps"
	"math"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// ConfigIndex returns a VM's index among all VMs of the configuration, ordered by
// the names of their data centres and then as listed. It returns false if the VM is
// not listed or the index exceeds the 16 bits that a term has for it.
//
// Two VMs that have applied different tickets can have the same index. That is safe,
// because a server adopts each term only once; distinct indexes merely make it
// unlikely that two VMs choose the same term.
func ConfigIndex(cfg *state.Config, vm string) (index uint16, ok bool) {
	if cfg == nil {
		return 0, false
	}
	n := 0
	for _, name := range slices.Sorted(maps.Keys(cfg.DataCentres)) {
		for _, v := range cfg.DataCentres[name].VMs {
			if v.Name == vm {
				return uint16(n), n <= math.MaxUint16
			}
			n++
		}
	}
	return 0, false
}
