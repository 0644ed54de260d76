package managed

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// learnedWithin is the time after which all VMs know of a new era and of what the store
// has in it: a watch, its margin, a list and the links.
const learnedWithin = 4 * time.Second

// raiseCounter makes changes that the next restore loses, so that the counter of the store
// needs long to catch up.
func raiseCounter(d *Deployment) {
	for range 60 {
		d.Configure(func(*catalog.Config) {})
		d.Store.Put(directory.Servers, directory.Entry{Name: "odd", Invalid: "{}"})
	}
	time.Sleep(time.Second)
}

// checkRevoked fails the test if a VM accepts the withdrawn key of customer 1.
func checkRevoked(t *testing.T, d *Deployment, when string) {
	t.Helper()
	for name, vm := range d.VMs {
		if c, _ := vm.Connect("revoked-"+name+when, Database(Latest, 0), 1); c != nil {
			c.Close()
			t.Errorf("%s: %s accepts a withdrawn key", when, name)
		}
	}
}

// Guards against a key that is valid again because the store came back without the version
// that withdrew it, on VMs that had that version, on one that reads the older version from
// the store when it starts, and after further restores.
func TestWithdrawnKeyAfterRestore(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		time.Sleep(5 * time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
		raiseCounter(d)
		time.Sleep(configWithin)
		for _, age := range []time.Duration{configWithin + 3*time.Second, time.Second} {
			d.Store.Restore(age)
			time.Sleep(learnedWithin)
			checkRevoked(t, d, fmt.Sprint("after ", d.Store.Era()))
			d.VM("vm-1-0").Kill()
			d.StartVM("vm-1-0", zoneName(1))
			time.Sleep(2 * time.Second)
			checkRevoked(t, d, fmt.Sprint("after a start after ", d.Store.Era()))
		}
		d.Configure(func(c *catalog.Config) { c.Customers[2].Keys = nil })
		time.Sleep(configWithin)
		for name, vm := range d.VMs {
			if c, _ := vm.Connect("later-"+name, Database(Latest, 0), 2); c != nil {
				t.Errorf("%s does not follow the store any more", name)
			}
		}
	})
}

// Guards against VMs that do not follow the store after a restore until its counter has
// caught up: a configuration must be in force in time.
func TestConfigurationRightAfterRestore(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		time.Sleep(5 * time.Second)
		raiseCounter(d)
		d.Store.Restore(2 * time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
		time.Sleep(configWithin)
		checkRevoked(t, d, "after the bound")
	})
}

// Guards against statements that run in a data centre that is out of service because the
// store has lost its entry, until the operator writes it again, also on a VM that starts.
func TestDataCentreStaysOutAfterRestore(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(5 * time.Second)
		executions := func() (n int) {
			for _, g := range d.Groups {
				n += executionsIn(g, zoneName(0))
			}
			return n
		}
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
		time.Sleep(evacuateWithin)
		before := executions()
		d.Store.Restore(evacuateWithin + time.Second)
		time.Sleep(3 * time.Second)
		d.VM("vm-2-1").Kill()
		d.StartVM("vm-2-1", zoneName(2))
		time.Sleep(7 * time.Second)
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
		time.Sleep(30 * time.Second)
		if n := executions() - before; n > 0 {
			t.Errorf("%d statements ran in the data centre", n)
		}
		// In service again, and the entry reappears.
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0), Deleted: true})
		time.Sleep(5 * time.Second)
		d.Store.Restore(7 * time.Second)
		time.Sleep(learnedWithin)
		before = executions()
		time.Sleep(3 * time.Second)
		if executions() == before {
			t.Error("an entry that had been removed keeps the data centre out of service")
		}
		l.finish()
	})
}

// Guards against work for a server that is draining, because the store came back with its
// earlier registration, and against one that stays unused after it has registered again.
func TestDrainingServerAfterRestore(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(5 * time.Second)
		draining := d.Groups[GroupName(0)].Replicas()[0]
		Drain(d.Store, draining)
		raiseCounter(d)
		time.Sleep(7 * time.Second)
		before := draining.Executions()
		d.Store.Restore(9 * time.Second)
		time.Sleep(rewriteDelay + learnedWithin)
		if n := draining.Executions() - before; n > 0 {
			t.Errorf("%d statements ran on a server that is draining", n)
		}
		Undrain(d.Store, draining)
		time.Sleep(learnedWithin)
		if draining.Executions() == before {
			t.Error("the server gets no work although it has registered as ready")
		}
		l.finish()
	})
}

// Guards against a fencing token that is issued twice, or a primary that is not replaced,
// because the store lost the record of the failover coordinator.
func TestPromotionsAfterRestore(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		t.Run(fmt.Sprint("unfenced ", unfenced), func(t *testing.T) {
			o := smallDeployment
			o.Unfenced = unfenced
			inDeployment(t, o, func(d *Deployment) {
				l := startLoad(t, d)
				time.Sleep(2 * time.Second)
				g := d.Groups[GroupName(0)]
				g.Primary().Crash()
				time.Sleep(3 * time.Second)
				for era := uint64(1); era <= 2; era++ {
					d.Store.Restore(20 * time.Second) // a copy from before the first claim
					if holder := d.Store.DutyHolder(); holder != "" {
						t.Fatalf("the copy has the duty of %s", holder)
					}
					time.Sleep(learnedWithin)
					orders, term := len(d.Store.Orders()), g.Term()
					if era == 1 {
						Drain(d.Store, g.Primary())
					} else {
						d.Groups[GroupName(1)].Primary().Crash()
						g = d.Groups[GroupName(1)]
						term = g.Term()
					}
					time.Sleep(7 * time.Second)
					if g.Term() == term {
						t.Errorf("era %d: the primary was not replaced", era)
					}
					for _, order := range d.Store.Orders()[orders:] {
						if order.Token < fencing.FirstToken(era) {
							t.Errorf("era %d: order with token %d", era, order.Token)
						}
					}
				}
				used := make(map[uint64]bool)
				for _, order := range d.Store.Orders() {
					if used[order.Token] || order.Refused || order.Outdated {
						t.Errorf("order %+v; its token was used before: %v", order, used[order.Token])
					}
					used[order.Token] = true
				}
				l.finish()
			})
		})
	}
}

// Guards against a group without a primary because the store is restored at any moment of
// a switchover or a failover.
func TestRestoreDuringPromotion(t *testing.T) {
	const replacedWithin = 7 * time.Second
	for _, unfenced := range []bool{false, true} {
		for after := time.Duration(0); after < 3*time.Second; after += 500 * time.Millisecond {
			for name, lose := range map[string]func(*Deployment, *Server){
				"switchover": func(d *Deployment, s *Server) { Drain(d.Store, s) },
				"failover":   func(_ *Deployment, s *Server) { s.Crash() },
			} {
				t.Run(fmt.Sprint(name, unfenced, after), func(t *testing.T) {
					o := smallDeployment
					o.Unfenced = unfenced
					inDeployment(t, o, func(d *Deployment) {
						l := startLoad(t, d)
						time.Sleep(2 * time.Second)
						g := d.Groups[GroupName(0)]
						old := g.Primary()
						lose(d, old)
						time.Sleep(after)
						d.Store.Restore(20 * time.Second)
						time.Sleep(replacedWithin - after)
						if p := g.Primary(); p == nil || p == old {
							t.Errorf("the primary was not replaced within %v", replacedWithin)
						}
						l.finish()
					})
				})
			}
		}
	}
}

// Guards against VMs that are missing from the list of members because the store lost
// their announcements, and against VMs that are not reached meanwhile.
func TestMembersAreListedAgainAfterRestore(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		time.Sleep(5 * time.Second)
		d.Store.Restore(20 * time.Second) // a copy from before all announcements
		for range 26 {
			time.Sleep(time.Second)
			for name, vm := range d.VMs {
				if n := len(vm.Node.View().VMs); n != len(d.VMs) {
					t.Fatalf("%s knows %d VMs", name, n)
				}
			}
		}
		batch, err := d.Store.Client("").Members(t.Context(), true)
		if err != nil || len(batch.Entries) != len(d.VMs) {
			t.Errorf("%d of %d VMs are listed, %v", len(batch.Entries), len(d.VMs), err)
		}
	})
}

// Guards against a restore that coincides with other faults: a data centre is cut off from
// the rest and from the store, a second restore follows, and all VMs start again.
func TestRestoreBesideOtherFaults(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(5 * time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
		raiseCounter(d)
		time.Sleep(configWithin)
		partition := d.Net.Partition(memnet.Zones(zoneName(0)), memnet.Zones(zoneName(1), zoneName(2)))
		for name, vm := range d.VMs {
			if vm.Zone == zoneName(0) {
				d.Store.SetOutage(name, Unresponsive)
			}
		}
		d.Store.LoseWatches()
		d.Store.Restore(configWithin + 4*time.Second)
		time.Sleep(3 * time.Second)
		d.Store.Restore(2 * time.Second)
		time.Sleep(2 * time.Second)
		partition.Heal()
		for name := range d.VMs {
			d.Store.SetOutage(name, Available)
		}
		time.Sleep(learnedWithin)
		checkRevoked(t, d, "after the faults")
		for name, vm := range d.VMs {
			if !vm.Node.Ready() {
				t.Errorf("%s is not ready", name)
			}
		}
		l.finish()
		d.Configure(func(c *catalog.Config) { c.Customers[2].Keys = nil }) // the operator writes again
		time.Sleep(configWithin)
		for name, vm := range d.VMs {
			if c, _ := vm.Connect("later-"+name, Database(Latest, 0), 2); c != nil {
				t.Errorf("%s does not follow the store any more", name)
			}
		}
		for name, vm := range d.VMs {
			vm.Kill()
			d.StartVM(name, vm.Zone)
		}
		time.Sleep(3 * time.Second)
		checkRevoked(t, d, "after a restart of all VMs")
		for name, vm := range d.VMs {
			if !vm.Node.Ready() {
				t.Errorf("%s is not ready after a restart of all VMs", name)
			}
		}
	})
}
