package ticket

import (
	"fmt"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// checkChanges checks the way from the current configuration to the merged one.
func checkChanges(f *findings, current, merged *state.Config) {
	for _, name := range sorted(current.Groups) {
		if now := merged.Groups[name]; now != nil {
			checkServerChanges(f, current.Groups[name], now)
		}
	}
	for _, name := range sorted(current.DataCentres) {
		before := current.DataCentres[name]
		if now := merged.DataCentres[name]; now != nil {
			checkSkippedLeaving(f, "data centre "+name, before.State, now.State, path(DataCentres, name, "state"))
		}
		checkVMChanges(f, before, merged)
	}
}

// checkServerChanges refuses to add or remove more than one server of a group
// at once. VMs apply a ticket at different times, and a majority of the old
// servers and one of the new must share a server, or an acknowledged write can
// be lost (P2). That holds for a difference of one server only.
func checkServerChanges(f *findings, before, now *state.Group) {
	place := path(Groups, now.Name, "servers")
	changed := 0
	for i := range before.Servers {
		old := &before.Servers[i]
		if s := now.Server(old.Name); s != nil {
			checkSkippedLeaving(f, "server "+s.Name, old.State, s.State, place)
			continue
		}
		changed++
		if old.State != state.Out {
			f.warn(fmt.Sprintf("server %s of group %s is removed in the state %s; running requests are interrupted", old.Name, now.Name, old.State), place)
		}
	}
	for i := range now.Servers {
		if before.Server(now.Servers[i].Name) == nil {
			changed++
		}
	}
	if changed > 1 {
		f.error(fmt.Sprintf("group %s gains and loses %d servers; one ticket may add or remove one, so that old and new majorities overlap", now.Name, changed), place)
	}
}

// checkVMChanges warns when a VM is taken off the list that may still run. It
// could go on spending from its share, which the others then spend as well (P7).
func checkVMChanges(f *findings, before *state.DataCentre, merged *state.Config) {
	place := path(DataCentres, before.Name, "vms")
	for _, old := range before.VMs {
		vm, dc := findVM(merged, old.Name, before.Name)
		switch {
		case vm == nil && old.State != state.Out:
			f.warn(fmt.Sprintf("VM %s is removed in the state %s; apply the ticket only if its process has stopped", old.Name, old.State), place)
		case vm != nil && dc.Name != before.Name:
			f.warn(fmt.Sprintf("VM %s moves from data centre %s to %s; apply the ticket only if its process has stopped", old.Name, before.Name, dc.Name),
				path(DataCentres, dc.Name, "vms"), place)
		case vm != nil:
			checkSkippedLeaving(f, "VM "+vm.Name, old.State, vm.State, place)
		}
	}
}

// findVM returns the named VM and its data centre, or nil. A name that is listed
// twice is found in the preferred data centre.
func findVM(c *state.Config, name, preferred string) (*state.VM, *state.DataCentre) {
	if dc := c.DataCentres[preferred]; dc != nil {
		i := slices.IndexFunc(dc.VMs, func(vm state.VM) bool { return vm.Name == name })
		if i >= 0 {
			return &dc.VMs[i], dc
		}
	}
	return c.VM(name)
}

// checkSkippedLeaving warns of a step from in_service to out, which interrupts
// running requests.
func checkSkippedLeaving(f *findings, what string, before, now state.ServiceState, place []string) {
	if before == state.InService && now == state.Out {
		f.warn(what+" goes from in_service to out without leaving; running requests are interrupted", place)
	}
}
