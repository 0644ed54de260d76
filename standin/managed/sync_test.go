package managed

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
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
