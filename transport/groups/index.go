package groups

import (
	"maps"
	"math"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// ConfigIndex returns a VM's index among all VMs of the configuration, ordered
// by the names of their data centres and then as listed. It reports false if the
// VM is not listed, or is beyond the indexes that fit into a term.
//
// Two VMs that apply different tickets can have the same index. That is safe,
// because a server adopts a term once; the indexes only keep promoters from
// choosing the same term in general.
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
