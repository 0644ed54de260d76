package managed

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// largeDeployment has data centres in which not all VMs are cores. It is as small as that
// allows: the race detector supports 8128 goroutines.
var largeDeployment = Options{Zones: 2, VMs: 33, Groups: 4, Customers: 12, Rate: 1000, Lag: 10 * time.Millisecond, MaxConns: 60}

// coresOf returns the names of the cores by zone.
func coresOf(d *Deployment) map[string][]string {
	cores := make(map[string][]string)
	for _, vm := range d.VM("vm-0-0").Node.View().VMs {
		if !vm.Edge {
			cores[vm.DataCentre] = append(cores[vm.DataCentre], vm.Name)
		}
	}
	return cores
}

// edgeOf returns the name of a VM of the zone that is not a core.
func edgeOf(d *Deployment, zone string) string {
	cores := coresOf(d)[zone]
	for v := range d.Options.VMs {
		name := strings.Replace(zone, "zone", "vm", 1) + fmt.Sprintf("-%d", v)
		isCore := false
		for _, core := range cores {
			isCore = isCore || core == name
		}
		if !isCore {
			return name
		}
	}
	return ""
}

// someOfEachZone returns the names of n VMs of each zone.
func someOfEachZone(d *Deployment, n int) []string {
	var names []string
	for z := range d.Options.Zones {
		for v := range n {
			names = append(names, fmt.Sprintf("vm-%d-%d", z, v))
		}
	}
	return names
}

// checkServed fails the test unless writes and reads through the VM succeed.
func checkServed(t *testing.T, d *Deployment, vm string) {
	t.Helper()
	for group := range d.Options.Groups {
		c := connect(t, d.VM(vm), fmt.Sprintf("probe-%s-%d", vm, group), Database(Latest, group), group)
		mustDo(t, c, statement.Write, "probe-"+vm+" 1")
		mustDo(t, c, statement.Read, "probe-"+vm)
		c.Close()
	}
}

// Guards against a start of a large fleet at which VMs read the store although others
// can send them its contents.
func TestLargeFleetStoreCallsAtStart(t *testing.T) {
	inDeployment(t, largeDeployment, func(d *Deployment) {
		const (
			perVM    = 2  // announcing itself and reading the list of members
			perFleet = 80 // watches, the duty, later lists of members, and the first cores
		)
		if calls, limit := d.Store.Calls(), perVM*len(d.VMs)+perFleet; calls > limit {
			t.Errorf("%d calls by %d VMs, want %d at most", calls, len(d.VMs), limit)
		}
	})
}

// Guards against a restart of all VMs of a large fleet at which they call the store more
// often than at its first start.
func TestLargeFleetStoreCallsAtRestart(t *testing.T) {
	inDeployment(t, largeDeployment, func(d *Deployment) {
		const (
			perVM    = 2  // announcing itself and reading the list of members
			perFleet = 80 // as in TestLargeFleetStoreCallsAtStart
			settled  = 5 * time.Second
		)
		before := d.Store.Calls()
		zones := make(map[string]string) // by name of the VM
		for name, vm := range d.VMs {
			zones[name] = vm.Zone
			vm.Kill()
		}
		for name, zone := range zones {
			d.StartVM(name, zone)
		}
		time.Sleep(settled)
		if calls, limit := d.Store.Calls()-before, perVM*len(d.VMs)+perFleet; calls > limit {
			t.Errorf("%d calls by %d VMs, want %d at most", calls, len(d.VMs), limit)
		}
	})
}

// Guards against links whose number grows with the square of the fleet, and against VMs
// that disagree about the cores.
func TestLargeFleetHasFewLinks(t *testing.T) {
	inDeployment(t, largeDeployment, func(d *Deployment) {
		time.Sleep(8 * time.Second) // lists of members that were read during the start are replaced
		cores := coresOf(d)
		all := 0
		for zone, names := range cores {
			all += len(names)
			if len(names) > 6 {
				t.Errorf("%s has %d cores", zone, len(names))
			}
		}
		// Every VM dials the cores, and some connections lead to servers.
		const serverConnections = 200
		if limit, n := len(d.VMs)*all+serverConnections, d.Net.Connections(); n > limit {
			t.Errorf("%d connections, want at most %d", n, limit)
		}
		for name, vm := range d.VMs {
			view := vm.Node.View()
			if view.Members != all || view.AliveCount() != all {
				t.Errorf("%s knows %d cores, %d of them alive, want %d", name, view.Members, view.AliveCount(), all)
			}
		}
		for zone := range cores {
			checkServed(t, d, edgeOf(d, zone))
			checkServed(t, d, cores[zone][0])
		}
	})
}

// Guards against a configuration that does not reach the edges in time, while the store
// refuses most VMs, or a relay does not respond.
func TestLargeFleetConfiguration(t *testing.T) {
	const largeConfigWithin = 5 * time.Second
	inDeployment(t, largeDeployment, func(d *Deployment) {
		refused := 0
		for name := range d.VMs {
			if refused < 2*len(d.VMs)/3 {
				d.Store.SetOutage(name, Unresponsive)
				refused++
			}
		}
		for zone, cores := range coresOf(d) {
			for _, core := range cores[:2] {
				// The core is silent to the other VMs of its zone.
				partition := d.Net.Partition(memnet.Hosts(core), memnet.Hosts(otherHosts(d, core)...))
				defer partition.Heal()
			}
			if zone == zoneName(0) {
				break
			}
		}
		time.Sleep(3 * time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[0].Keys = nil })
		time.Sleep(largeConfigWithin)
		late := 0
		for _, vm := range d.VMs {
			if !vm.Node.Ready() {
				continue
			}
			if c, a := vm.Connect("late", Database(Latest, 0), 0); c != nil || a.Code != statement.AccessDenied {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d VMs accept a revoked key %v after the change", late, largeConfigWithin)
		}
	})
}

// Guards against a data centre that is not served any more because all of its cores, or
// the quota coordinators of customers, are lost at once.
func TestLargeFleetCoresLost(t *testing.T) {
	const servedAgainWithin = 2 * time.Second
	o := largeDeployment
	o.Zones = 3 // with two, the cores of one are not a majority
	inDeployment(t, o, func(d *Deployment) {
		zone := zoneName(1)
		for _, name := range coresOf(d)[zone] {
			d.VM(name).Kill()
		}
		time.Sleep(servedAgainWithin)
		checkServed(t, d, edgeOf(d, zone))
		checkServed(t, d, edgeOf(d, zoneName(0)))
	})
}

// Guards against limits that are exceeded, or refuse what is inside them, because edges
// own no share.
func TestLargeFleetLimits(t *testing.T) {
	o := largeDeployment
	o.Rate = 60
	inDeployment(t, o, func(d *Deployment) {
		stop := startOverloadOn(d, someOfEachZone(d, 6))
		time.Sleep(6 * time.Second)
		for _, name := range coresOf(d)[zoneName(1)][:2] {
			vm := d.VM(name)
			vm.Kill()
			time.Sleep(300 * time.Millisecond)
			d.StartVM(name, vm.Zone)
		}
		time.Sleep(5 * time.Second)
		stop()
		checkWindows(t, d)
	})
}

// Guards against work that is sent to a data centre after it was taken out of service,
// and against requests that hang meanwhile or when it returns.
func TestLargeFleetDataCentreOutAndBack(t *testing.T) {
	inDeployment(t, largeDeployment, func(d *Deployment) {
		l := startLoadOn(t, d, someOfEachZone(d, 4))
		time.Sleep(2 * time.Second)
		out := zoneName(0)
		d.Store.Put(directory.OutOfService, directory.Entry{Name: out})
		time.Sleep(evacuateWithin)
		before := 0
		for _, g := range d.Groups {
			before += executionsIn(g, out)
		}
		time.Sleep(3 * time.Second)
		for _, g := range d.Groups {
			before -= executionsIn(g, out)
		}
		if before != 0 {
			t.Errorf("%d statements ran in the data centre that is out of service", -before)
		}
		d.Store.Put(directory.OutOfService, directory.Entry{Name: out, Deleted: true})
		time.Sleep(3 * time.Second)
		l.finish()
		if n := l.codes[statement.Timeout] + l.codes[statement.Lost]; n > 0 {
			t.Errorf("%d requests were not answered in time", n)
		}
	})
}

// Guards against a new VM that becomes a core and of which the edges do not learn.
func TestLargeFleetCoreReplaced(t *testing.T) {
	inDeployment(t, largeDeployment, func(d *Deployment) {
		time.Sleep(8 * time.Second)
		zone := zoneName(0)
		lost := coresOf(d)[zone][0]
		if lost == "vm-0-0" {
			lost = coresOf(d)[zone][1]
		}
		d.VM(lost).Kill()
		time.Sleep(40 * time.Second) // the lost VM is removed from the list of members
		var want *placement.View
		for name, vm := range d.VMs {
			if name == lost {
				continue
			}
			view := vm.Node.View()
			if want == nil {
				want = view
			}
			for _, core := range view.VMs {
				if core.Name == lost && !core.Edge {
					t.Errorf("%s still counts %s as a core", name, lost)
				}
			}
			if view.Members != want.Members || view.AliveCount() != view.Members {
				t.Errorf("%s knows %d cores, %d alive, want %d", name, view.Members, view.AliveCount(), want.Members)
			}
		}
	})
}
