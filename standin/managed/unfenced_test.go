package managed

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// unfencedDeployment is a small installation on a platform that does not enforce
// fencing.
var unfencedDeployment = Options{
	Zones: 3, VMs: 2, Groups: 2, Customers: 3, Rate: 1000, Lag: 60 * time.Millisecond, MaxConns: 20, Unfenced: true,
}

// underLoad runs a test on an unfenced deployment with clients, and then checks their
// answers and the platform's orders.
func underLoad(t *testing.T, test func(d *Deployment, g *Group, l *load)) {
	t.Helper()
	inDeployment(t, unfencedDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		test(d, d.Groups[GroupName(0)], l)
		l.finish()
		for _, o := range d.Store.Orders() {
			if o.Outdated {
				t.Errorf("outdated order %+v", o)
			}
		}
		if l.codes[statement.OK] == 0 {
			t.Error("nothing was served")
		}
	})
}

// expectReplaced fails the test unless another server than old is the primary.
func expectReplaced(t *testing.T, g *Group, old *Server) {
	t.Helper()
	if now := g.Primary(); now == nil || now == old {
		t.Errorf("%s was not replaced as the primary of %s", old.ID, g.Name)
	}
}

// Guards against a leaving primary that still takes writes after its replacement, and
// against commits that are lost in the switchover.
func TestUnfencedSwitchover(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, l *load) {
		old := g.Primary()
		Drain(d.Store, old)
		time.Sleep(4 * time.Second)
		expectReplaced(t, g, old)
		if n := g.DroppedCommits(); n > 0 {
			t.Errorf("%d commits were lost", n)
		}
	})
}

// Guards against writes and stale reads on a primary that is partitioned together with
// the VMs of its data centre, and goes on while another one is promoted.
func TestUnfencedPrimaryCutOffWithItsZone(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, l *load) {
		old := g.Primary()
		partition := d.Net.Partition(memnet.Zones(old.Zone), memnet.Zones(otherZones(old.Zone)...))
		time.Sleep(7 * time.Second)
		expectReplaced(t, g, old)
		partition.Heal()
		time.Sleep(3 * time.Second)
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no successful request on a latest route for %v", gap)
		}
	})
}

// Guards against a VM that is partitioned from the other VMs, but not from the primary,
// and uses the primary after its replacement.
func TestUnfencedVMCutOffWithPrimary(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, l *load) {
		old := g.Primary()
		alone := "vm-" + old.Zone[len("zone-"):] + "-0"
		var others, rest []string
		for name := range d.VMs {
			if name != alone {
				others = append(others, name)
			}
		}
		for _, s := range g.Replicas() {
			rest = append(rest, s.ID)
		}
		vms := d.Net.Partition(memnet.Hosts(alone), memnet.Hosts(others...))
		servers := d.Net.Partition(memnet.Hosts(old.ID), memnet.Hosts(append(others, rest...)...))
		time.Sleep(7 * time.Second)
		expectReplaced(t, g, old)
		vms.Heal()
		servers.Heal()
		time.Sleep(3 * time.Second)
	})
}

// Guards against an order without an answer that is executed late, after another server
// was promoted: it would change the primary while VMs use another one.
func TestUnfencedLateOrder(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, _ *load) {
		old := g.Primary()
		d.Store.LoseOrders(1, 3*time.Second)
		old.Crash()
		time.Sleep(8 * time.Second)
		expectReplaced(t, g, old)
		servers := make(map[string]bool)
		for _, o := range d.Store.Orders() {
			servers[o.Server] = true
		}
		if len(servers) != 1 {
			t.Errorf("orders for %d servers, want 1: %+v", len(servers), d.Store.Orders())
		}
	})
}

// Guards against a failover coordinator that is killed after it made the VMs stop using
// the primary, and whose successor does not complete the promotion.
func TestUnfencedCoordinatorKilled(t *testing.T) {
	for _, delay := range []time.Duration{0, 900 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond} {
		underLoad(t, func(d *Deployment, g *Group, l *load) {
			old := g.Primary()
			holder := d.Store.DutyHolder()
			d.Store.LoseOrders(1, 2*time.Second)
			old.Crash()
			time.Sleep(delay)
			d.VM(holder).Kill()
			time.Sleep(8 * time.Second)
			expectReplaced(t, g, old)
			if gap := l.longestGap(Latest); gap > failoverWithin {
				t.Errorf("coordinator killed %v after the primary: no successful request on a latest route for %v", delay, gap)
			}
		})
	}
}

// Guards against a failover coordinator that is partitioned from the other VMs, and
// sends an order after its successor did.
func TestUnfencedCoordinatorCutOff(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, _ *load) {
		old := g.Primary()
		holder := d.Store.DutyHolder()
		var others []string
		for name := range d.VMs {
			if name != holder {
				others = append(others, name)
			}
		}
		partition := d.Net.Partition(memnet.Hosts(holder), memnet.Hosts(others...))
		old.Crash()
		time.Sleep(7 * time.Second)
		expectReplaced(t, g, old)
		partition.Heal()
		time.Sleep(3 * time.Second)
	})
}

// Guards against VMs that stop serving a group because a switchover failed: the leaving
// primary has to be used again.
func TestUnfencedSwitchoverWithoutPlatform(t *testing.T) {
	underLoad(t, func(d *Deployment, g *Group, _ *load) {
		old := g.Primary()
		d.Store.RefuseOrders(true)
		Drain(d.Store, old)
		time.Sleep(2 * time.Second)
		c := connect(t, d.VM("vm-1-0"), "during", Database(Latest, 0), 0)
		served := false
		for range 10 {
			_, a := c.Do(statement.Write, "probe 1")
			served = served || a.Code == statement.OK
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			t.Error("the leaving primary is not used while it cannot be replaced")
		}
		c.Close()
		d.Store.RefuseOrders(false)
		time.Sleep(4 * time.Second)
		expectReplaced(t, g, old)
	})
}

func otherZones(zone string) []string {
	var others []string
	for z := range unfencedDeployment.Zones {
		if name := zoneName(z); name != zone {
			others = append(others, name)
		}
	}
	return others
}
