package fleet

import "github.com/chestnutdyke/chestnutdyke/standin/memnet"

// CutOffVM cuts a VM off from all data centres and from the platform. Clients
// reach it still.
func (f *Fleet) CutOffVM(vm int) *memnet.Cut {
	rest := append([]string{storeZone}, f.Profile.DataCentres...)
	return f.Net.Partition(memnet.Hosts(vmHost(vm)), memnet.Zones(rest...))
}

// CutOffClients cuts the clients off from a VM.
func (f *Fleet) CutOffClients(vm int) *memnet.Cut {
	return f.Net.Partition(memnet.Hosts(vmHost(vm)), memnet.Zones(clientZone))
}

// ResetVM makes the connections between a VM and everything but the clients
// fail at both ends. New connections can be opened at once.
func (f *Fleet) ResetVM(vm int) {
	rest := append([]string{storeZone}, f.Profile.DataCentres...)
	f.Net.Break(memnet.Hosts(vmHost(vm)), memnet.Zones(rest...))
}
