package placement

import (
	"fmt"
	"testing"
)

func members(dataCentres, vmsEach int) []Member {
	var all []Member
	for z := range dataCentres {
		for n := range vmsEach {
			name := fmt.Sprintf("vm-%d-%d", z, n)
			all = append(all, Member{Name: name, Address: name + ":1", DataCentre: fmt.Sprint(z), Weight: 0.2})
		}
	}
	return all
}

// Guards against a number of cores that grows with a large fleet, and against a small
// fleet in which VMs are left without tasks.
func TestCores(t *testing.T) {
	for _, tt := range []struct{ dataCentres, vmsEach, want int }{{3, 1, 3}, {3, 26, 78}, {4, 32, 128}, {5, 59, 30}, {10, 49, 60}, {3, 333, 18}} {
		cores, large := Cores(members(tt.dataCentres, tt.vmsEach))
		if len(cores) != tt.want || large != (tt.want < tt.dataCentres*tt.vmsEach) {
			t.Errorf("%d data centres of %d VMs: %d cores, large %v; want %d", tt.dataCentres, tt.vmsEach, len(cores), large, tt.want)
		}
	}
}

// Guards against cores that move when other VMs come or go: each move costs connections
// to servers.
func TestCoresAreStable(t *testing.T) {
	all := members(1, 60)
	before, _ := Cores(all)
	for i := range all {
		changed := append(append([]Member(nil), all[:i]...), all[i+1:]...)
		after, _ := Cores(changed)
		moved := 0
		for a := range after {
			if !before[a] {
				moved++
			}
		}
		if removed := before[all[i].Address]; moved > 1 || moved == 1 && !removed {
			t.Errorf("without %s, %d other cores are chosen", all[i].Name, moved)
		}
	}
}

// Guards against cores that are mostly small VMs.
func TestCoresPreferLargeVMs(t *testing.T) {
	all := members(1, 300)
	for i := range 100 {
		all[3*i].Weight = 0.8
	}
	cores, _ := Cores(all)
	large := 0
	for _, m := range all {
		if cores[m.Address] && m.Weight == 0.8 {
			large++
		}
	}
	if 2*large <= len(cores) {
		t.Errorf("%d of %d cores are large VMs", large, len(cores))
	}
}

// Guards against VMs of an earlier version, which do not announce their data centre, that
// get no tasks.
func TestMembersWithoutDataCentreAreCores(t *testing.T) {
	all := members(1, 60)
	for i := range 40 {
		all[i].DataCentre = ""
	}
	if cores, _ := Cores(all); len(cores) != 60 {
		t.Errorf("%d cores, want 60", len(cores))
	}
}
