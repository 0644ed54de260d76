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
	// failoverWithin is the time in which a change of primary must be over.
	failoverWithin = 7 * time.Second
	// configWithin is the time in which a configuration must be in force.
	configWithin = 3 * time.Second
	// evacuateWithin is the time in which a data centre that is taken out must
	// get no more work.
	evacuateWithin = 5 * time.Second
)

// Guards against a primary that is not replaced, promises that are broken, and
// reads that miss commits while a primary crashes.
func TestPrimaryCrash(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Groups[GroupName(0)].Primary().Crash()
		time.Sleep(8 * time.Second)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no write for %v", gap)
		}
		if n := len(d.Store.Orders()); n != 1 {
			t.Errorf("%d orders to promote: %v", n, d.Store.Orders())
		}
	})
}

// Guards against a primary that is silent behind a partition and still answers
// some VMs: its reads are old once another one is promoted.
func TestPrimaryCutOff(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(0)]
		old := g.Primary()
		cut := d.Net.Partition(memnet.Zones(zone(0)), memnet.Zones(zone(1), zone(2)))
		time.Sleep(5 * time.Second)
		if g.Primary() == old {
			t.Errorf("%s is still the primary", old.ID)
		}
		cut.Heal()
		time.Sleep(3 * time.Second)
		l.finish()
		if l.codes[statement.OK] == 0 {
			t.Error("nothing was served")
		}
	})
}

// Guards against commits that are lost when a primary is replaced as planned.
func TestHandoverLosesNothing(t *testing.T) {
	o := fes
	o.Lag = 60 * time.Millisecond
	inDeployment(t, o, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		g := d.Groups[GroupName(1)]
		old := g.Primary()
		Drain(d.Store, old)
		time.Sleep(4 * time.Second)
		if now := g.Primary(); now == nil || now == old {
			t.Errorf("the leaving primary was not replaced")
		}
		l.finish()
		if n := g.LostCommits(); n > 0 {
			t.Errorf("%d commits were lost", n)
		}
	})
}

// Guards against work in a data centre that is taken out, and against
// primaries that stay there.
func TestDataCentreTakenOut(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Store.Put(directory.OutOfService, directory.Entry{Name: zone(0)})
		time.Sleep(evacuateWithin)
		var before, after int
		for _, g := range d.Groups {
			before += runsIn(g, zone(0))
		}
		time.Sleep(3 * time.Second)
		l.finish()
		for _, g := range d.Groups {
			after += runsIn(g, zone(0))
			if p := g.Primary(); p == nil || p.Zone == zone(0) {
				t.Errorf("the primary of %s is still there", g.Name)
			}
		}
		if after > before {
			t.Errorf("%d statements ran in the data centre that is out", after-before)
		}
	})
}

func runsIn(g *Group, zone string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, s := range g.servers {
		if s.Zone == zone {
			for _, runs := range s.runs {
				n += runs
			}
		}
	}
	return n
}

// Guards against an order to promote whose answer is lost and which is carried
// out late, after the primary has come back: nothing may change then.
func TestLateOrderHasNoEffect(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
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

// Guards against a fleet that cannot replace a primary because the VM that
// orders promotions is killed, and against two VMs that use the same token.
func TestStewardKilled(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		holder := d.Store.DutyHolder()
		d.Groups[GroupName(0)].Primary().Crash()
		d.VM(holder).Kill()
		time.Sleep(8 * time.Second)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no write for %v", gap)
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

// Guards against failover that needs the store while it is down.
func TestPrimaryCrashDuringStoreOutage(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		d.Store.Fail("", Silent)
		time.Sleep(time.Second)
		d.Groups[GroupName(0)].Primary().Crash()
		time.Sleep(8 * time.Second)
		d.Store.Fail("", Up)
		l.finish()
		if gap := l.longestGap(Latest); gap > failoverWithin {
			t.Errorf("no write for %v", gap)
		}
	})
}

// Guards against reads that trust a replica which received nothing for a while.
func TestDeafReplicas(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(time.Second)
		for _, g := range d.Groups {
			for _, s := range g.Replicas() {
				s.SetDeaf(true)
			}
		}
		time.Sleep(4 * time.Second)
		for _, g := range d.Groups {
			for _, s := range g.Replicas() {
				s.SetDeaf(false)
			}
		}
		time.Sleep(time.Second)
		l.finish()
		if l.codes[statement.Busy] > 0 {
			t.Errorf("%d refusals though the primaries are well: %v", l.codes[statement.Busy], l.reasons)
		}
	})
}

// Guards against a write that is repeated after its answer was lost, and
// against a commit with a lost answer that is said not to be kept.
func TestLostAnswers(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		l := startLoad(t, d)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			for _, g := range d.Groups {
				g.Primary().LoseAnswers(1)
			}
		}
		l.finish()
		if l.codes[statement.InDoubt] == 0 {
			t.Error("no outcome was told to be unknown")
		}
	})
}

// Guards against requests that are cut by a planned stop, one VM after the
// other; a session that rested was once closed with a request read.
func TestRollingStop(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
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

// Guards against a configuration that is not in force in time while the store
// forgets its history and leaves watches without an answer.
func TestConfigurationDuringLostHistory(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		d.Store.Fail("", Silent)
		time.Sleep(500 * time.Millisecond)
		d.Configure(func(c *catalog.Config) { c.Customers[0].Keys = nil })
		d.Store.Forget()
		d.Store.Fail("", Up)
		time.Sleep(configWithin)
		for _, vm := range d.VMs {
			c, a := vm.Connect("late-"+vm.Name, Database(Latest, 0), 0)
			if c != nil || a.Code != statement.AccessDenied {
				t.Errorf("%s: a revoked key is answered %s", vm.Name, a.Code)
			}
		}
	})
}

// Guards against a key that stays valid in open sessions, also on VMs that the
// store does not answer.
func TestRevokedKeyInOpenSessions(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		var clients []*Client
		for _, vm := range d.VMs {
			clients = append(clients, connect(t, vm, "open-"+vm.Name, Database(Latest, 0), 1))
		}
		d.Store.Fail("vm-0-0", Busy)
		d.Store.Fail("vm-1-0", Silent)
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

// Guards against a fleet that needs more than its own memory to start again.
func TestAllKilled(t *testing.T) {
	inDeployment(t, fes, func(d *Deployment) {
		names := make(map[string]string)
		for name, vm := range d.VMs {
			names[name] = vm.Zone
			vm.Kill()
		}
		for name, zone := range names {
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

// Guards against VMs of a data centre that is cut off which go on taking
// sessions because primaries beside them still answer.
func TestCutOffVMsTakeNoSessions(t *testing.T) {
	const noticedWithin = 1200 * time.Millisecond
	o := fes
	o.Groups = 3
	inDeployment(t, o, func(d *Deployment) {
		l := startLoad(t, d)
		time.Sleep(2 * time.Second)
		cut := d.Net.Partition(memnet.Zones(zone(0)), memnet.Zones(zone(1), zone(2)))
		time.Sleep(noticedWithin)
		for _, name := range l.names {
			if vm := d.VM(name); vm.Node.Ready() != (vm.Zone != zone(0)) {
				t.Errorf("%s of %s: ready is %v", name, vm.Zone, vm.Node.Ready())
			}
		}
		// A session that is closed in place of being refused may have sent a request.
		if c, a := d.VM("vm-0-0").Connect("late", Database(Latest, 0), 0); c != nil || a.Code != statement.Busy {
			t.Errorf("a session of a VM that is cut off: %v, %s", c != nil, a.Code)
		}
		cut.Heal()
		time.Sleep(2 * time.Second)
		for _, name := range l.names {
			if !d.VM(name).Node.Ready() {
				t.Errorf("%s is not ready after the cut", name)
			}
		}
		l.finish()
	})
}

// Guards against reads that wait for a server which went silent without a reset,
// until the statement's time-out, although another one could answer them.
func TestReadsAreHedged(t *testing.T) {
	const objective = 200 * time.Millisecond // of the routes, see declare
	inDeployment(t, fes, func(d *Deployment) {
		vm := d.VM("vm-0-0")
		c := connect(t, vm, "hedged", Database(Bounded, 1), 0)
		for range 40 { // opens connections, and allows hedges
			mustDo(t, c, statement.Read, "x")
			time.Sleep(10 * time.Millisecond)
		}
		for _, s := range d.Groups[GroupName(1)].Replicas() {
			if s.Zone == vm.Zone {
				d.Net.Partition(memnet.Hosts(s.ID), memnet.All())
			}
		}
		for range 20 {
			sent := time.Now()
			_, a := c.Do(statement.Read, "x")
			if took := time.Since(sent); a.Code != statement.OK || took > objective {
				t.Errorf("a read ends after %v with %s %s, want an answer within %v", took, a.Code, a.Text, objective)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}
