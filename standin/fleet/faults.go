package fleet

import "github.com/chestnutdyke/chestnutdyke/standin/memnet"

// CutOffVM cuts a VM off from all data centres and from the platform. Clients still
// reach it.
func (f *Fleet) CutOffVM(vm int) *memnet.Partition {
	others := append([]string{storeZone}, f.Profile.DataCentres...)
	return f.Net.Partition(memnet.Hosts(vmHost(vm)), memnet.Zones(others...))
}

// CutOffClients cuts the clients off from a VM.
func (f *Fleet) CutOffClients(vm int) *memnet.Partition {
	return f.Net.Partition(memnet.Hosts(vmHost(vm)), memnet.Zones(clientZone))
}

// ResetVM breaks a VM's connections to all data centres and to the platform at both
// ends. New connections can be opened at once.
func (f *Fleet) ResetVM(vm int) {
	others := append([]string{storeZone}, f.Profile.DataCentres...)
	f.Net.Break(memnet.Hosts(vmHost(vm)), memnet.Zones(others...))
}
