package managed

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// takeOut takes the data centre out of service, and fails the test if its servers run
// statements of clients after the time in which it must be empty.
func takeOut(t *testing.T, d *Deployment, zone string, within time.Duration) {
	t.Helper()
	const observed = 4 * time.Second
	executions := func() (n int) {
		for _, g := range d.Groups {
			n += executionsIn(g, zone)
		}
		return n
	}
	d.Store.Put(directory.OutOfService, directory.Entry{Name: zone})
	time.Sleep(within)
	before := executions()
	time.Sleep(observed)
	if n := executions() - before; n > 0 {
		t.Errorf("%d statements ran in %s later than %v after it was taken out of service", n, zone, within)
	}
}

// Guards against a handover that begins when a VM learns of the change, however late.
func TestPrimariesLeaveDataCentreWhileWatchesAreLost(t *testing.T) {
	const phases, phase = 3, 500 * time.Millisecond // of the watches that are lost
	for _, bounds := range []directory.Bounds{
		{},
		{Configuration: 5 * time.Second},
		{Configuration: 6 * time.Second},
		{Configuration: 6 * time.Second, OutOfService: 3500 * time.Millisecond},
		{OutOfService: 12 * time.Second},
	} {
		for i := range phases {
			t.Run(fmt.Sprint(bounds, i), func(t *testing.T) {
				o := smallDeployment
				o.Bounds = bounds
				inDeployment(t, o, func(d *Deployment) {
					l := startLoad(t, d)
					time.Sleep(2*time.Second + time.Duration(i)*phase)
					d.Store.RefuseOrders(true)
					d.Store.LoseWatches()
					takeOut(t, d, zoneName(0), cmp.Or(bounds.OutOfService, evacuateWithin))
					d.Store.RefuseOrders(false)
					time.Sleep(2 * time.Second)
					l.finish()
				})
			})
		}
	}
}

// Guards against transactions that go on there without a bound.
func TestOpenTransactionsEndInDataCentreTakenOut(t *testing.T) {
	for _, begin := range []statement.Verb{statement.Begin, statement.BeginReadOnly} {
		inDeployment(t, smallDeployment, func(d *Deployment) {
			d.Store.RefuseOrders(true)
			vm := d.VMs["vm-0-0"]
			c := connect(t, vm, "slow", Database(Bounded, 0), 0)
			mustDo(t, c, statement.Write, "x 1")
			time.Sleep(2 * time.Second) // the replicas have the write
			mustDo(t, c, begin, "")
			mustDo(t, c, statement.Read, "x")
			d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
			for range evacuateWithin / time.Second {
				time.Sleep(time.Second)
				c.Do(statement.Read, "x")
			}
			g := d.Groups[GroupName(0)]
			before := executionsIn(g, zoneName(0))
			time.Sleep(time.Second)
			c.Do(statement.Read, "x")
			if n := executionsIn(g, zoneName(0)) - before; n > 0 {
				t.Errorf("verb %d: a statement ran in the data centre 6 s after it was taken out of service", begin)
			}
		})
	}
}

// Guards against a VM that starts and takes an old change for a new one.
func TestStartedVMSendsNothingToDataCentreTakenOut(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		d.Store.RefuseOrders(true)
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
		time.Sleep(evacuateWithin)
		g := d.Groups[GroupName(0)]
		before := executionsIn(g, zoneName(0))
		for name, vm := range d.VMs {
			vm.Kill()
			d.StartVM(name, vm.Zone)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			vm := d.VM("vm-1-0")
			if c, _ := vm.Connect("early", Database(Latest, 0), 0); c != nil {
				c.Do(statement.Write, "x 1")
				c.Close()
			}
		}
		if n := executionsIn(g, zoneName(0)) - before; n > 0 {
			t.Errorf("%d statements ran in the data centre after a restart of the VMs", n)
		}
	})
}

// Guards against VMs that learn of a change too late because all watchers are cut off.
func TestWatchersAreCutOffAtTheChange(t *testing.T) {
	for _, vms := range []int{2, 4} { // in each data centre
		o := smallDeployment
		o.VMs = vms
		inDeployment(t, o, func(d *Deployment) {
			cutOff, out := "", ""
			for _, vm := range d.VMs {
				if vm.Node.View().Watches(string(directory.OutOfService)) {
					cutOff = vm.Zone
				}
			}
			for z := range o.Zones {
				if zoneName(z) != cutOff {
					out = zoneName(z)
				}
			}
			var inTouch []string
			for name, vm := range d.VMs {
				if vm.Zone != cutOff {
					inTouch = append(inTouch, name)
				}
			}
			slices.Sort(inTouch)
			l := startLoadOn(t, d, inTouch)
			time.Sleep(2 * time.Second)
			// The VMs that are cut off stop without a sign, as the others see it.
			for name, vm := range d.VMs {
				if vm.Zone == cutOff {
					d.Store.SetOutage(name, Unresponsive)
				}
			}
			d.Net.Partition(memnet.Zones(cutOff), memnet.All())
			takeOut(t, d, out, evacuateWithin)
			l.finish()
		})
	}
}
