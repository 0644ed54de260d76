package managed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// syncDeployment acknowledges a commit once one replica has received it.
var syncDeployment = Options{Zones: 3, VMs: 2, Groups: 2, Customers: 3, Rate: 1000, Lag: 60 * time.Millisecond, MaxConns: 20, SyncReplicas: 1}

// underSyncLoad runs a test on a group of a deployment with synchronous replication, and
// then checks that no acknowledged write is lost and that the group is served.
func underSyncLoad(t *testing.T, o Options, test func(d *Deployment, g *Group, old *Server)) {
	t.Helper()
	inDeployment(t, o, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(0)]
		old := g.Primary()
		test(d, g, old)
		if now := g.Primary(); now == nil || now == old {
			t.Error("the primary was not replaced")
		}
		c := connect(t, d.VM("vm-1-0"), "probe", Database(Latest, 0), 0)
		if _, a := c.Do(statement.Write, "probe 1"); a.Code != statement.OK {
			t.Errorf("write after the replacement: %s %s", a.Code, a.Text)
		}
		c.Close()
		l.finish()
	})
}

// Guards against the promotion of a replica that lacks acknowledged commits, because the
// replica that has them is being drained.
func TestSyncCommitsSurviveBesideDrain(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "unfenced": true} {
		t.Run(name, func(t *testing.T) {
			o := syncDeployment
			o.Unfenced = unfenced
			underSyncLoad(t, o, func(d *Deployment, g *Group, old *Server) {
				replicas := g.Replicas()
				Drain(d.Store, replicas[0])
				time.Sleep(500 * time.Millisecond)
				replicas[1].SetReplicationPaused(true)
				time.Sleep(time.Second)
				old.Crash()
				time.Sleep(5500 * time.Millisecond)
				replicas[1].SetReplicationPaused(false)
				time.Sleep(5 * time.Second)
				if now := g.Primary(); now != replicas[1] {
					t.Errorf("the draining server was not replaced once the other one had caught up")
				}
			})
		})
	}
}

// Guards against the promotion of a replica that lacks acknowledged commits, because the
// replica that has them does not answer for a while.
func TestSyncCommitsSurviveSilentReplica(t *testing.T) {
	underSyncLoad(t, syncDeployment, func(d *Deployment, g *Group, old *Server) {
		replicas := g.Replicas()
		replicas[1].SetReplicationPaused(true)
		time.Sleep(time.Second)
		vms := make([]string, 0, len(d.VMs))
		for name := range d.VMs {
			vms = append(vms, name)
		}
		partition := d.Net.Partition(memnet.Hosts(replicas[0].ID), memnet.Hosts(vms...))
		old.Crash()
		time.Sleep(4 * time.Second)
		if g.Term() != 1 {
			t.Error("a replica was promoted although another one may have had more commits")
		}
		partition.Heal()
		time.Sleep(3 * time.Second)
		replicas[1].SetReplicationPaused(false)
		time.Sleep(3 * time.Second)
	})
}

// Guards against a planned switchover that promotes a replica without the complete log,
// or stops the writes of the group while no replica keeps up.
func TestSyncSwitchoverWaitsForReplica(t *testing.T) {
	o := syncDeployment
	o.SyncReplicas = 2
	underSyncLoad(t, o, func(d *Deployment, g *Group, old *Server) {
		for _, s := range g.Replicas() {
			s.SetReplicationPaused(true)
		}
		time.Sleep(300 * time.Millisecond)
		Drain(d.Store, old)
		time.Sleep(3 * time.Second)
		if g.Primary() != old {
			t.Error("the primary was replaced although no replica kept up")
		}
		for _, s := range g.Replicas() {
			s.SetReplicationPaused(false)
		}
		time.Sleep(5 * time.Second)
	})
}

// underSyncFaults plays a test on each group of a deployment with synchronous replication
// under load, and then checks that no acknowledged write is lost and that each group is
// served.
func underSyncFaults(t *testing.T, test func(d *Deployment, g *Group, index int)) {
	t.Helper()
	inDeployment(t, syncDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for i := range syncDeployment.Groups {
			wg.Go(func() { test(d, d.Groups[GroupName(i)], i) })
		}
		wg.Wait()
		time.Sleep(8 * time.Second)
		for i := range syncDeployment.Groups {
			c := connect(t, d.VM("vm-1-0"), fmt.Sprintf("probe-%d", i), Database(Latest, i), 0)
			if _, a := c.Do(statement.Write, "probe 1"); a.Code != statement.OK {
				t.Errorf("%s: write after the faults: %s %s", GroupName(i), a.Code, a.Text)
			}
			c.Close()
		}
		l.finish()
	})
}

// Guards against commits that a primary acknowledges when it is back between the order to
// promote a replica and its effect.
func TestSyncCommitsSurvivePrimaryBackDuringPromotion(t *testing.T) {
	for _, down := range []time.Duration{700 * time.Millisecond, 800 * time.Millisecond, 900 * time.Millisecond, time.Second} {
		for deaf := range 2 {
			t.Run(fmt.Sprintf("%v replica %d", down, deaf), func(t *testing.T) {
				underSyncFaults(t, func(d *Deployment, g *Group, _ int) {
					g.SetPromoteDelay(600 * time.Millisecond)
					replica, primary := g.Replicas()[deaf], g.Primary()
					replica.SetReplicationPaused(true)
					primary.Crash()
					time.Sleep(down)
					d.RestartServer(primary)
					time.Sleep(6*time.Second - down)
					replica.SetReplicationPaused(false)
				})
			})
		}
	}
}

// crashPair makes a replica of the group receive nothing for a second, then crashes the
// primary and the other replica, and starts both again after the given time.
func crashPair(d *Deployment, g *Group, down time.Duration) {
	replicas, primary := g.Replicas(), g.Primary()
	replicas[0].SetReplicationPaused(true)
	time.Sleep(time.Second)
	primary.Crash()
	replicas[1].Crash()
	replicas[0].SetReplicationPaused(false)
	time.Sleep(down)
	d.RestartServer(primary)
	d.RestartServer(replicas[1])
}

// Guards against the promotion of a replica that lacks acknowledged commits once the
// registration of the crashed one that has them has expired.
func TestSyncCommitsSurviveExpiredRegistration(t *testing.T) {
	underSyncFaults(t, func(d *Deployment, g *Group, _ int) { crashPair(d, g, 9*time.Second) })
}

// Guards against the same loss by a failover coordinator that starts after the
// registrations have expired.
func TestSyncCommitsSurviveNewCoordinatorAfterExpiry(t *testing.T) {
	for name, all := range map[string]bool{"the coordinator": false, "all VMs": true} {
		t.Run(name, func(t *testing.T) {
			underSyncFaults(t, func(d *Deployment, g *Group, index int) {
				if index > 0 {
					return
				}
				time.AfterFunc(6500*time.Millisecond, func() { // after the crash, beyond the grace for missing registrations
					for name, vm := range d.VMs {
						if all || name == d.Store.DutyHolder() {
							vm.Kill()
							d.StartVM(name, vm.Zone)
						}
					}
				})
				crashPair(d, g, 12*time.Second)
			})
		})
	}
}

// Guards against a group that gets no new primary because a replica that is gone for good
// still counts, although all others have had its commits for long.
func TestSyncGroupOutlivesLostReplica(t *testing.T) {
	underSyncLoad(t, syncDeployment, func(d *Deployment, g *Group, old *Server) {
		g.Replicas()[0].Crash()
		time.Sleep(9 * time.Second) // its registration expires, and the others show that they have its commits
		old.Crash()
		time.Sleep(4 * time.Second)
		if g.Primary() == nil {
			t.Error("the last replica was not promoted")
		}
		d.RestartServer(old) // commits wait for a replica
		time.Sleep(2 * time.Second)
	})
}

// Guards against operators who cannot bring a group back whose primary and replica are
// gone for good.
func TestOperatorsGiveUpLostServers(t *testing.T) {
	inDeployment(t, syncDeployment, func(d *Deployment) {
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(0)]
		g.Replicas()[0].Crash()
		g.Primary().Crash()
		time.Sleep(10 * time.Second)
		if now := g.Primary(); now != nil {
			t.Errorf("%s was promoted without a decision of the operators", now.ID)
		}
		d.Configure(func(c *catalog.Config) { c.Groups[0].SyncReplicas = 0 })
		g.SetSyncReplicas(0)
		time.Sleep(4 * time.Second)
		if g.Primary() == nil {
			t.Error("no server was promoted")
		}
	})
}

// Guards against an order without an answer that is carried out after its coordinator was
// stopped, and replaces a healthy primary.
func TestLateOrderOfStoppedCoordinatorHasNoEffect(t *testing.T) {
	for name, o := range map[string]Options{"commits wait for a replica": syncDeployment, "commits wait for none": smallDeployment} {
		t.Run(name, func(t *testing.T) {
			o.Groups = 2
			inDeployment(t, o, func(d *Deployment) {
				l := startLoad(t, d)
				time.Sleep(2 * time.Second)
				g := d.Groups[GroupName(0)]
				primary, replicas := g.Primary(), g.Replicas()
				d.Store.LoseOrders(1, 4*time.Second)
				for _, s := range replicas {
					s.SetReplicationPaused(true)
				}
				primary.Crash()
				for d.Store.OrdersLost() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				d.RestartServer(primary)
				holder := d.Store.DutyHolder()
				zone := d.VM(holder).Zone
				d.VM(holder).Terminate()
				d.StartVM(holder, zone)
				for _, s := range replicas {
					s.SetReplicationPaused(false)
				}
				time.Sleep(7 * time.Second)
				if now := g.Primary(); now != primary {
					t.Error("the primary was replaced by a late order")
				}
				l.finish()
			})
		})
	}
}

// isPaused reports whether a replica waits for statement.Resume.
func (s *Server) isPaused() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.pausedBy > 0
}

// Guards against commits that wait for ever, because the failover coordinator that paused
// the replicas was killed before it ended the pause.
func TestNextCoordinatorResumesReplicas(t *testing.T) {
	underSyncFaults(t, func(d *Deployment, g *Group, index int) {
		if index > 0 {
			return
		}
		primary, replicas := g.Primary(), g.Replicas()
		d.Store.RefuseOrders(true)
		primary.Crash()
		for !replicas[0].isPaused() || !replicas[1].isPaused() {
			time.Sleep(time.Millisecond)
		}
		vm := d.VM(d.Store.DutyHolder())
		vm.Kill()
		d.RestartServer(primary)
		d.Store.RefuseOrders(false)
		if !replicas[0].isPaused() || !replicas[1].isPaused() {
			t.Error("the replicas were resumed before the coordinator was killed")
		}
		d.StartVM(vm.Name, vm.Zone)
		time.Sleep(6 * time.Second)
		if replicas[0].isPaused() || replicas[1].isPaused() {
			t.Error("a replica is still paused")
		}
	})
}

// Guards against commits that wait for ever, because the network held up a PAUSE of a
// former coordinator until its successor had resumed the replicas.
func TestReplicasPausedLateAreResumed(t *testing.T) {
	underSyncFaults(t, func(_ *Deployment, g *Group, _ int) {
		replicas := g.Replicas()
		g.mu.Lock()
		for _, s := range replicas {
			s.pausedBy = g.term + 1
		}
		g.mu.Unlock()
		time.Sleep(4 * time.Second)
		if replicas[0].isPaused() || replicas[1].isPaused() {
			t.Error("a replica is still paused")
		}
	})
}
