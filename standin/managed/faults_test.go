package managed

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

const (
	// failoverWithin is the longest allowed time between two successful requests on
	// a latest route when a primary is replaced.
	failoverWithin = 7 * time.Second
	// configWithin is the time after which a configuration must be in force on all
	// VMs.
	configWithin = 3 * time.Second
	// evacuateWithin is the time after which a data centre that is taken out of
	// service must get no more work.
	evacuateWithin = 5 * time.Second
)

// Guards against a crashed primary that is not replaced, and against wrong answers
// to writes and stale reads meanwhile.
func TestPrimaryCrash(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Groups[GroupName(0)].Primary().Crash()
		time.Sleep(8 * time.Second)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no successful request on a latest route for %v", gap)
		}
		if n := len(d.Store.Orders()); n != 1 {
			t.Errorf("%d orders to promote: %v", n, d.Store.Orders())
		}
	})
}

// Guards against reads from a primary that is behind a partition and still answers
// the VMs on its side: they are stale once another server is promoted.
func TestPrimaryCutOff(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(0)]
		old := g.Primary()
		partition := d.Net.Partition(memnet.Zones(zoneName(0)), memnet.Zones(zoneName(1), zoneName(2)))
		time.Sleep(5 * time.Second)
		if g.Primary() == old {
			t.Errorf("%s is still the primary", old.ID)
		}
		partition.Heal()
		time.Sleep(3 * time.Second)
		l.finish()
		if l.codes[statement.OK] == 0 {
			t.Error("nothing was served")
		}
	})
}

// Guards against commits that are lost in a planned switchover.
func TestSwitchoverLosesNothing(t *testing.T) {
	o := smallDeployment
	o.Lag = 60 * time.Millisecond
	inDeployment(t, o, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(1)]
		old := g.Primary()
		Drain(d.Store, old)
		time.Sleep(4 * time.Second)
		if now := g.Primary(); now == nil || now == old {
			t.Errorf("the draining primary was not replaced")
		}
		l.finish()
		if n := g.DroppedCommits(); n > 0 {
			t.Errorf("%d commits were lost", n)
		}
		// The order that verifies that the platform responds must not promote the
		// primary again after it has stepped down.
		if term := g.Term(); term != 2 {
			t.Errorf("term %d after one switchover, want 2", term)
		}
	})
}

// Guards against statements that run in a data centre that is out of service, and
// against primaries that stay there.
func TestDataCentreTakenOut(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zoneName(0)})
		time.Sleep(evacuateWithin)
		var before, after int
		for _, g := range d.Groups {
			before += executionsIn(g, zoneName(0))
		}
		time.Sleep(3 * time.Second)
		l.finish()
		for _, g := range d.Groups {
			after += executionsIn(g, zoneName(0))
			if p := g.Primary(); p == nil || p.Zone == zoneName(0) {
				t.Errorf("the primary of %s is still in the data centre that is out of service", g.Name)
			}
		}
		if after > before {
			t.Errorf("%d statements ran in the data centre that is out of service", after-before)
		}
	})
}

// executionsIn returns the number of statements that the group's servers in the zone
// have executed.
func executionsIn(g *Group, zone string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.servers {
		if s.Zone == zone {
			for _, executions := range s.executions {
				n += executions
			}
		}
	}
	return n
}

// Guards against an order to promote whose answer is lost and which is executed
// late, after another order has replaced the primary: it must change nothing.
func TestLateOrderHasNoEffect(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(0)]
		d.Store.LoseOrders(1, 3*time.Second)
		g.Primary().Crash()
		time.Sleep(2500 * time.Millisecond)
		term := g.Term()
		if term < 2 {
			t.Errorf("no promotion after a lost order")
		}
		time.Sleep(4 * time.Second)
		l.finish()
		if now := g.Term(); now != term {
			t.Errorf("the late order changed term %d to %d", term, now)
		}
	})
}

// Guards against a primary that is not replaced because the failover
// coordinator is killed, and against two VMs that use the same fencing token.
func TestFailoverCoordinatorKilled(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		holder := d.Store.DutyHolder()
		d.Groups[GroupName(0)].Primary().Crash()
		d.VM(holder).Kill()
		time.Sleep(8 * time.Second)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no successful request on a latest route for %v", gap)
		}
		holders := make(map[uint64]string)
		for _, o := range d.Store.Orders() {
			if other, used := holders[o.Token]; used && other != o.Holder {
				t.Errorf("%s and %s used token %d", o.Holder, other, o.Token)
			}
			holders[o.Token] = o.Holder
		}
	})
}

// Guards against a failover that waits for the store while the store is down.
func TestPrimaryCrashDuringStoreOutage(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Store.SetOutage("", Unresponsive)
		time.Sleep(time.Second)
		d.Groups[GroupName(0)].Primary().Crash()
		time.Sleep(8 * time.Second)
		d.Store.SetOutage("", Available)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no successful request on a latest route for %v", gap)
		}
	})
}

// Guards against stale reads from replicas whose replication has been paused.
func TestPausedReplication(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(time.Second)
		for _, g := range d.Groups {
			for _, s := range g.Replicas() {
				s.SetReplicationPaused(true)
			}
		}
		time.Sleep(4 * time.Second)
		for _, g := range d.Groups {
			for _, s := range g.Replicas() {
				s.SetReplicationPaused(false)
			}
		}
		time.Sleep(time.Second)
		l.finish()
		if l.codes[statement.Busy] > 0 {
			t.Errorf("%d refusals although the primaries are available: %v", l.codes[statement.Busy], l.reasons)
		}
	})
}

// Guards against a write that is retried after its answer was lost, and against a
// client that is told that a commit with a lost answer was not made.
func TestLostAnswers(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			for _, g := range d.Groups {
				g.Primary().LoseAnswers(1)
			}
		}
		l.finish()
		if l.codes[statement.InDoubt] == 0 {
			t.Error("no request was answered with an unknown outcome")
		}
	})
}

// Guards against requests that are cut off when VMs are drained and stopped one
// after the other, also the next request of an idle session: the session must not
// be closed after that request has been read.
func TestRollingStop(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(time.Second)
		for _, name := range []string{"vm-0-0", "vm-1-0", "vm-2-0"} {
			d.VM(name).Terminate()
		}
		l.finish()
		for _, code := range []statement.Code{statement.InDoubt, statement.Timeout} {
			if l.codes[code] > 0 {
				t.Errorf("%d requests ended as %s", l.codes[code], code)
			}
		}
	})
}

// Guards against a configuration that is in force too late after the store has left
// watches without an answer and dropped its history.
func TestConfigurationDuringLostHistory(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		d.Store.SetOutage("", Unresponsive)
		time.Sleep(500 * time.Millisecond)
		d.Configure(func(c *catalog.Config) { c.Customers[0].Keys = nil })
		d.Store.CompactHistory()
		d.Store.SetOutage("", Available)
		time.Sleep(configWithin)
		for _, vm := range d.VMs {
			c, a := vm.Connect("late-"+vm.Name, Database(Latest, 0), 0)
			if c != nil || a.Code != statement.AccessDenied {
				t.Errorf("%s: a session with a revoked key is answered %s", vm.Name, a.Code)
			}
		}
	})
}

// Guards against a revoked key that stays valid in open sessions, also on VMs that
// the store does not answer.
func TestRevokedKeyInOpenSessions(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		var clients []*Client
		for _, vm := range d.VMs {
			clients = append(clients, connect(t, vm, "open-"+vm.Name, Database(Latest, 0), 1))
		}
		d.Store.SetOutage("vm-0-0", Unavailable)
		d.Store.SetOutage("vm-1-0", Unresponsive)
		time.Sleep(time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
		time.Sleep(configWithin)
		for _, c := range clients {
			if _, a := c.Do(statement.Read, "x"); a.Code != statement.AccessDenied {
				t.Errorf("%s: answered %s", c.name, a.Code)
			}
		}
	})
}

// Guards against a fleet that cannot start again after all VMs were killed, when the
// state that they held in memory is lost.
func TestAllKilled(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		zones := make(map[string]string) // by name of the VM
		for name, vm := range d.VMs {
			zones[name] = vm.Zone
			vm.Kill()
		}
		for name, zone := range zones {
			d.StartVM(name, zone)
		}
		time.Sleep(time.Second)
		for _, vm := range d.VMs {
			c := connect(t, vm, "again-"+vm.Name, Database(Latest, 0), 0)
			mustDo(t, c, statement.Write, "x 1")
			c.Close()
		}
	})
}

// Guards against VMs in an isolated data centre that still accept sessions because
// the primaries in the same data centre answer them.
func TestCutOffVMsTakeNoSessions(t *testing.T) {
	const noticedWithin = 1200 * time.Millisecond
	o := smallDeployment
	o.Groups = 3
	inDeployment(t, o, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		partition := d.Net.Partition(memnet.Zones(zoneName(0)), memnet.Zones(zoneName(1), zoneName(2)))
		time.Sleep(noticedWithin)
		for _, name := range l.vmNames {
			if vm := d.VM(name); vm.Node.Ready() != (vm.Zone != zoneName(0)) {
				t.Errorf("%s of %s: ready is %v", name, vm.Zone, vm.Node.Ready())
			}
		}
		// The refusal must be sent: a client whose connection is only closed cannot
		// know whether its request was run.
		if c, a := d.VM("vm-0-0").Connect("late", Database(Latest, 0), 0); c != nil || a.Code != statement.Busy {
			t.Errorf("connect to a VM that is cut off: accepted is %v, code %s", c != nil, a.Code)
		}
		partition.Heal()
		time.Sleep(2 * time.Second)
		for _, name := range l.vmNames {
			if !d.VM(name).Node.Ready() {
				t.Errorf("%s is not ready after the partition healed", name)
			}
		}
		l.finish()
	})
}

// Guards against reads that wait until the statement's time-out for a server that
// became unreachable without a connection reset, although another server could
// answer them.
func TestReadsAreHedged(t *testing.T) {
	const targetLatency = 200 * time.Millisecond // of the routes, see publishInitialConfig
	inDeployment(t, smallDeployment, func(d *Deployment) {
		vm := d.VM("vm-0-0")
		c := connect(t, vm, "hedged", Database(Bounded, 1), 0)
		for range 40 { // opens connections and fills the budget for hedged reads
			mustDo(t, c, statement.Read, "x")
			time.Sleep(10 * time.Millisecond)
		}
		for _, s := range d.Groups[GroupName(1)].Replicas() {
			if s.Zone == vm.Zone {
				d.Net.Partition(memnet.Hosts(s.ID), memnet.All())
			}
		}
		for range 20 {
			sentAt := time.Now()
			_, a := c.Do(statement.Read, "x")
			if took := time.Since(sentAt); a.Code != statement.OK || took > targetLatency {
				t.Errorf("a read ended after %v with %s %s, want an answer within %v", took, a.Code, a.Text, targetLatency)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
