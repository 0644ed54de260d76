package ticket

import (
	"fmt"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// checkChanges checks the transition from the current to the merged
// configuration.
func checkChanges(f *findings, current, merged *state.Config) {
	for _, name := range sorted(current.Groups) {
		if after := merged.Groups[name]; after != nil {
			checkServerChanges(f, current.Groups[name], after)
		}
	}
	for _, name := range sorted(current.DataCentres) {
		before := current.DataCentres[name]
		if after := merged.DataCentres[name]; after != nil {
			checkSkippedDrain(f, "data centre "+name, before.State, after.State, objectPath(DataCentres, name, "state"))
		}
		checkVMChanges(f, before, merged)
	}
}

// checkServerChanges refuses to add or remove more than one server of a group
// at once. VMs apply a ticket at different times, so every majority of the old
// servers must share a server with every majority of the new ones; otherwise an
// acknowledged write can be lost. This holds only if the two sets differ by one
// server.
func checkServerChanges(f *findings, before, after *state.Group) {
	path := objectPath(Groups, after.Name, "servers")
	changed := 0
	for i := range before.Servers {
		old := &before.Servers[i]
		if s := after.Server(old.Name); s != nil {
			checkSkippedDrain(f, "server "+s.Name, old.State, s.State, path)
			continue
		}
		changed++
		if old.State != state.Out {
			f.warn(fmt.Sprintf("server %s of group %s is removed in the state %s; running requests are interrupted", old.Name, after.Name, old.State), path)
		}
	}
	for i := range after.Servers {
		if before.Server(after.Servers[i].Name) == nil {
			changed++
		}
	}
	if changed > 1 {
		f.error(fmt.Sprintf("group %s gains and loses %d servers; one ticket may add or remove one, so that old and new majorities overlap", after.Name, changed), path)
	}
}

// checkVMChanges warns if a VM is removed that may still run. It could continue
// to spend from its share while the other VMs spend the same share.
func checkVMChanges(f *findings, before *state.DataCentre, merged *state.Config) {
	path := objectPath(DataCentres, before.Name, "vms")
	for _, old := range before.VMs {
		vm, dc := findVM(merged, old.Name, before.Name)
		switch {
		case vm == nil && old.State != state.Out:
			f.warn(fmt.Sprintf("VM %s is removed in the state %s; apply the ticket only if its process has stopped", old.Name, old.State), path)
		case vm != nil && dc.Name != before.Name:
			f.warn(fmt.Sprintf("VM %s moves from data centre %s to %s; apply the ticket only if its process has stopped", old.Name, before.Name, dc.Name),
				objectPath(DataCentres, dc.Name, "vms"), path)
		case vm != nil:
			checkSkippedDrain(f, "VM "+vm.Name, old.State, vm.State, path)
		}
	}
}

// findVM returns the named VM and its data centre, or nil. If the name is
// listed more than once, the VM in the preferred data centre is returned.
func findVM(c *state.Config, name, preferred string) (*state.VM, *state.DataCentre) {
	if dc := c.DataCentres[preferred]; dc != nil {
		i := slices.IndexFunc(dc.VMs, func(vm state.VM) bool { return vm.Name == name })
		if i >= 0 {
			return &dc.VMs[i], dc
		}
	}
	return c.VM(name)
}

// checkSkippedDrain warns of a change from in_service to out without leaving in
// between, which interrupts running requests.
func checkSkippedDrain(f *findings, subject string, before, after state.ServiceState, path []string) {
	if before == state.InService && after == state.Out {
		f.warn(subject+" goes from in_service to out without leaving; running requests are interrupted", path)
	}
}
