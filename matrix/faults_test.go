package matrix

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
)

type server = dbgroup.Server

// fault is something that goes wrong. cause takes effect at once and registers
// what ends it.
type fault struct {
	name  string
	cause func(c *cell)
}

var faults = []fault{
	{"stop-primary", func(c *cell) { c.stop(c.primary()) }},
	{"stop-replica", func(c *cell) { c.stop(c.replica()) }},
	{"stop-replicas", func(c *cell) { c.stop(c.replicas()...) }},
	{"restart-primary", func(c *cell) { c.restart(c.primary()) }},
	{"pause-primary", func(c *cell) { c.pause(c.primary()) }},
	{"pause-replica", func(c *cell) { c.pause(c.replica()) }},
	{"isolate-primary", func(c *cell) { c.isolate(c.primary().DataCentre()) }},
	{"isolate-replica", func(c *cell) { c.isolate(c.replica().DataCentre()) }},
	{"flapping-partition", flappingPartition},
	{"hold-replica", func(c *cell) { c.holdReplication(c.replica()) }},
	{"hold-replicas", func(c *cell) { c.holdReplication(c.replicas()...) }},
	{"slow-replication", slowReplication},
	{"isolate-replication", isolateReplication},
	{"break-before-commit", func(c *cell) { c.breakConnections(dbgroup.BeforeCommit) }},
	{"break-after-commit", func(c *cell) { c.breakConnections(dbgroup.AfterCommit) }},
	{"break-answer", func(c *cell) { c.breakConnections(dbgroup.MidAnswer) }},
	{"late-answer", lateAnswer},
	{"reset-connections", func(c *cell) { c.fleet.ResetVM(c.focusVM()) }},
	{"kill-vm", killVM},
	{"restart-vm", restartVM},
	{"cut-off-vm", cutOffVM},
	{"cut-off-clients", cutOffClients},
	{"store-refuses", func(c *cell) { c.storeOutage(store.Refusing) }},
	{"store-hangs", func(c *cell) { c.storeOutage(store.Hanging) }},
	{"client-leaves", func(c *cell) { c.focus.abandon() }},
	{"cancel", func(c *cell) { c.focus.cancel() }},
}

// Times of faults that come and go by themselves.
const (
	shortestOutage = 20 * time.Millisecond
	longestOutage  = 600 * time.Millisecond
)

func (c *cell) outage() time.Duration {
	return shortestOutage + time.Duration(c.rng.Int64N(int64(longestOutage-shortestOutage)))
}

// primary returns the server of the latest term.
func (c *cell) primary() *server {
	terms := c.group.TermStarts()
	return c.group.Server(terms[len(terms)-1].Server)
}

func (c *cell) replicas() []*server {
	var found []*server
	for _, s := range c.group.Servers() {
		if s != c.primary() {
			found = append(found, s)
		}
	}
	return found
}

func (c *cell) replica() *server {
	all := c.replicas()
	return all[c.rng.IntN(len(all))]
}

// focusVM returns the VM of the focus client.
func (c *cell) focusVM() int { return focusVM }

func (c *cell) stop(servers ...*server) {
	for _, s := range servers {
		s.Stop()
		c.onHeal(func() { c.must(s.Start()) })
	}
}

func (c *cell) restart(s *server) {
	s.Stop()
	time.Sleep(c.outage())
	c.must(s.Start())
}

func (c *cell) pause(s *server) {
	s.Pause()
	c.onHeal(s.Resume)
}

// isolate cuts a data centre off and returns what ends that. A data centre that
// is cut off already is left to the fault that did it.
func (c *cell) isolate(dc string) (heal func()) {
	if c.isolated[dc] {
		return func() {}
	}
	c.isolated[dc] = true
	i := c.fleet.Isolate(dc)
	healed := false
	heal = func() {
		if !healed {
			healed = true
			c.isolated[dc] = false
			i.Heal()
		}
	}
	c.onHeal(heal)
	return heal
}

// flappingPartition cuts a data centre off again and again.
func flappingPartition(c *cell) {
	dc := c.primary().DataCentre()
	for range 2 + c.rng.IntN(2) {
		heal := c.isolate(dc)
		time.Sleep(c.outage())
		heal()
		time.Sleep(c.outage())
	}
	c.isolate(dc)
}

func (c *cell) holdReplication(servers ...*server) {
	for _, s := range servers {
		s.HoldReplication(true)
		c.onHeal(func() { s.HoldReplication(false) })
	}
}

func slowReplication(c *cell) {
	for _, s := range c.group.Servers() {
		s.SetReplicationDelay(50*time.Millisecond + c.outage())
		c.onHeal(func() { s.SetReplicationDelay(c.fleet.Profile.ReplicationDelay) })
	}
}

func isolateReplication(c *cell) {
	s := c.primary()
	s.IsolateReplication(true)
	c.onHeal(func() { s.IsolateReplication(c.isolated[s.DataCentre()]) })
}

// breakConnections breaks some of the connections on which servers answer.
func (c *cell) breakConnections(m dbgroup.Moment) {
	for _, s := range c.group.Servers() {
		s.BreakConnections(dbgroup.Break{Moment: m, Count: 1 + c.rng.IntN(4)})
		c.onHeal(s.ClearFaults)
	}
}

// lateAnswer delays answers, some of them beyond the deadline of requests.
func lateAnswer(c *cell) {
	for _, s := range c.group.Servers() {
		for range 1 + c.rng.IntN(4) {
			s.DelayNextAnswer(time.Duration(c.rng.Int64N(int64(2 * c.fleet.Profile.Deadline))))
		}
		c.onHeal(s.ClearFaults)
	}
}

func killVM(c *cell) {
	vm := c.focusVM()
	c.must(c.fleet.KillVM(vm))
	c.onHeal(func() { c.startVM(vm) })
}

func restartVM(c *cell) {
	vm := c.focusVM()
	c.must(c.fleet.KillVM(vm))
	time.Sleep(c.outage())
	c.startVM(vm)
}

func (c *cell) storeOutage(o store.Outage) {
	c.fleet.Store.SetOutage(o)
	c.onHeal(func() { c.fleet.Store.SetOutage(store.InService) })
}

func cutOffVM(c *cell) { c.onHeal(c.fleet.CutOffVM(c.focusVM()).Heal) }

func cutOffClients(c *cell) { c.onHeal(c.fleet.CutOffClients(c.focusVM()).Heal) }
