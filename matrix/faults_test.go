package matrix

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
)

type server = dbgroup.Server

// fault is a failure to inject. cause takes effect at once and registers with
// onHeal what ends the fault.
type fault struct {
	name  string
	cause func(r *scenarioRun)
}

var faults = []fault{
	{"stop-primary", func(r *scenarioRun) { r.stop(r.primary()) }},
	{"stop-replica", func(r *scenarioRun) { r.stop(r.replica()) }},
	{"stop-replicas", func(r *scenarioRun) { r.stop(r.replicas()...) }},
	{"restart-primary", func(r *scenarioRun) { r.restart(r.primary()) }},
	{"pause-primary", func(r *scenarioRun) { r.pause(r.primary()) }},
	{"pause-replica", func(r *scenarioRun) { r.pause(r.replica()) }},
	{"isolate-primary", func(r *scenarioRun) { r.isolate(r.primary().DataCentre()) }},
	{"isolate-replica", func(r *scenarioRun) { r.isolate(r.replica().DataCentre()) }},
	{"flapping-partition", flappingPartition},
	{"hold-replica", func(r *scenarioRun) { r.holdReplication(r.replica()) }},
	{"hold-replicas", func(r *scenarioRun) { r.holdReplication(r.replicas()...) }},
	{"slow-replication", slowReplication},
	{"isolate-replication", isolateReplication},
	{"break-before-commit", func(r *scenarioRun) { r.breakConnections(dbgroup.BeforeCommit) }},
	{"break-after-commit", func(r *scenarioRun) { r.breakConnections(dbgroup.AfterCommit) }},
	{"break-answer", func(r *scenarioRun) { r.breakConnections(dbgroup.MidResponse) }},
	{"late-answer", lateAnswer},
	{"reset-connections", func(r *scenarioRun) { r.fleet.ResetVM(r.focusVM()) }},
	{"kill-vm", killVM},
	{"restart-vm", restartVM},
	{"cut-off-vm", cutOffVM},
	{"cut-off-clients", cutOffClients},
	{"store-refuses", func(r *scenarioRun) { r.storeOutage(store.Refusing) }},
	{"store-hangs", func(r *scenarioRun) { r.storeOutage(store.Hanging) }},
	{"client-leaves", func(r *scenarioRun) { r.focus.closeAbruptly() }},
	{"cancel", func(r *scenarioRun) { r.focus.cancel() }},
}

// Limits of the random length of each phase of faults that start and end several
// times, and of the downtime of what restarts. maxOutage is also the longest delay
// between two faults, and is part of the delay of slow replication.
const (
	minOutage = 20 * time.Millisecond
	maxOutage = 600 * time.Millisecond
)

// outage returns a random duration between minOutage and maxOutage.
func (r *scenarioRun) outage() time.Duration {
	return minOutage + time.Duration(r.rng.Int64N(int64(maxOutage-minOutage)))
}

// primary returns the server that became the primary in the latest term.
func (r *scenarioRun) primary() *server {
	terms := r.group.TermStarts()
	return r.group.Server(terms[len(terms)-1].Server)
}

func (r *scenarioRun) replicas() []*server {
	var found []*server
	for _, s := range r.group.Servers() {
		if s != r.primary() {
			found = append(found, s)
		}
	}
	return found
}

func (r *scenarioRun) replica() *server {
	all := r.replicas()
	return all[r.rng.IntN(len(all))]
}

// focusVM returns the VM of the focus client.
func (r *scenarioRun) focusVM() int { return focusVM }

func (r *scenarioRun) stop(servers ...*server) {
	for _, s := range servers {
		s.Stop()
		r.onHeal(func() { r.recordError(s.Start()) })
	}
}

func (r *scenarioRun) restart(s *server) {
	s.Stop()
	time.Sleep(r.outage())
	r.recordError(s.Start())
}

func (r *scenarioRun) pause(s *server) {
	s.Pause()
	r.onHeal(s.Resume)
}

// isolate cuts a data centre off and returns a function that ends that. If the
// other fault has already cut it off, isolate does nothing.
func (r *scenarioRun) isolate(dc string) (heal func()) {
	if r.isolated[dc] {
		return func() {}
	}
	r.isolated[dc] = true
	i := r.fleet.Isolate(dc)
	healed := false
	heal = func() {
		if !healed {
			healed = true
			r.isolated[dc] = false
			i.Heal()
		}
	}
	r.onHeal(heal)
	return heal
}

// flappingPartition cuts the primary's data centre off and heals it several times,
// and leaves it cut off until the heal.
func flappingPartition(r *scenarioRun) {
	dc := r.primary().DataCentre()
	for range 2 + r.rng.IntN(2) {
		heal := r.isolate(dc)
		time.Sleep(r.outage())
		heal()
		time.Sleep(r.outage())
	}
	r.isolate(dc)
}

func (r *scenarioRun) holdReplication(servers ...*server) {
	for _, s := range servers {
		s.HoldReplication(true)
		r.onHeal(func() { s.HoldReplication(false) })
	}
}

func slowReplication(r *scenarioRun) {
	for _, s := range r.group.Servers() {
		s.SetReplicationDelay(50*time.Millisecond + r.outage())
		r.onHeal(func() { s.SetReplicationDelay(r.fleet.Profile.ReplicationDelay) })
	}
}

func isolateReplication(r *scenarioRun) {
	s := r.primary()
	s.IsolateReplication(true)
	r.onHeal(func() { s.IsolateReplication(r.isolated[s.DataCentre()]) })
}

// breakConnections makes each server break 1 to 4 connections at the given moment
// of a request.
func (r *scenarioRun) breakConnections(m dbgroup.BreakPoint) {
	for _, s := range r.group.Servers() {
		s.BreakConnections(dbgroup.ConnectionFault{Point: m, Count: 1 + r.rng.IntN(4)})
		r.onHeal(s.ClearFaults)
	}
}

// lateAnswer delays 1 to 4 answers of each server, some of them beyond the deadline
// of requests.
func lateAnswer(r *scenarioRun) {
	for _, s := range r.group.Servers() {
		for range 1 + r.rng.IntN(4) {
			s.DelayNextResponse(time.Duration(r.rng.Int64N(int64(2 * r.fleet.Profile.Deadline))))
		}
		r.onHeal(s.ClearFaults)
	}
}

func killVM(r *scenarioRun) {
	vm := r.focusVM()
	r.recordError(r.fleet.KillVM(vm))
	r.onHeal(func() { r.startVM(vm) })
}

func restartVM(r *scenarioRun) {
	vm := r.focusVM()
	r.recordError(r.fleet.KillVM(vm))
	time.Sleep(r.outage())
	r.startVM(vm)
}

func (r *scenarioRun) storeOutage(o store.Outage) {
	r.fleet.Store.SetOutage(o)
	r.onHeal(func() { r.fleet.Store.SetOutage(store.InService) })
}

func cutOffVM(r *scenarioRun) { r.onHeal(r.fleet.CutOffVM(r.focusVM()).Heal) }

func cutOffClients(r *scenarioRun) { r.onHeal(r.fleet.CutOffClients(r.focusVM()).Heal) }
