package matrix

import (
	"context"
	"errors"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// step is a moment in the fleet's operations at which faults are caused.
type step struct {
	name    string
	focus   func(cl *client)          // sends requests of the focus client; called repeatedly
	prepare func(r *scenarioRun)      // starts the operation that the step is part of; may be nil
	reached func(r *scenarioRun) bool // polled
}

var steps = []step{
	{"read-sent", focusRead, nil, func(r *scenarioRun) bool { return r.focusActivity().busy }},
	{"read-executed", focusRead, nil, func(r *scenarioRun) bool {
		a := r.focusActivity()
		return a.busy && r.statements() > a.statements
	}},
	{"write-sent", focusWrite, nil, func(r *scenarioRun) bool { return r.focusActivity().busy }},
	{"write-committed", focusWrite, nil, func(r *scenarioRun) bool { return r.serversWithWrite() >= 1 }},
	{"write-replicated", focusWrite, nil, func(r *scenarioRun) bool { return r.serversWithWrite() >= 2 }},
	{"tx-open", focusTransaction, nil, func(r *scenarioRun) bool {
		a := r.focusActivity()
		return a.inTx && a.kind == history.Write
	}},
	{"tx-commit-sent", focusTransaction, nil, func(r *scenarioRun) bool {
		a := r.focusActivity()
		return a.busy && a.kind == history.Commit
	}},
	{"tx-committed", focusTransaction, nil, func(r *scenarioRun) bool {
		a := r.focusActivity()
		return a.busy && a.kind == history.Commit && len(r.group.Commits()) > a.commits
	}},
	{"promotion-begins", focusWrite, stopPrimary, func(r *scenarioRun) bool { return r.failoverAt(state.FailoverAdopting) || r.serversAdopted() > 0 }},
	{"promotion-adopted", focusWrite, stopPrimary, func(r *scenarioRun) bool { return r.serversAdopted() > 1 }},
	{"promotion-done", focusWrite, stopPrimary, func(r *scenarioRun) bool { return r.newTermBegun() }},
	{"switchover-begins", focusWrite, switchOverPrimary, func(r *scenarioRun) bool { return r.failoverAt(state.FailoverSwitching) }},
	{"switchover-drained", focusTransaction, switchOverPrimary, func(r *scenarioRun) bool { return r.draining() || r.newTermBegun() }},
	{"switchover-adopted", focusWrite, switchOverPrimary, func(r *scenarioRun) bool { return r.serversAdopted() > 0 }},
	{"switchover-done", focusWrite, switchOverPrimary, func(r *scenarioRun) bool { return r.newTermBegun() }},
	{"ticket-written", focusWrite, revokeKey, func(*scenarioRun) bool { return true }},
	{"ticket-applied", focusWrite, revokeKey, func(r *scenarioRun) bool { return r.vmsWithNewTicket() > 0 }},
	{"vm-leaves", focusTransaction, stopFocusVM, func(r *scenarioRun) bool { return r.stopping }},
}

func focusRead(cl *client) { cl.read(cl.sharedKey()) }

func focusWrite(cl *client) {
	if cl.rng.IntN(2) == 0 {
		cl.append()
	} else {
		cl.upsert(cl.ownKey())
	}
}

func focusTransaction(cl *client) { cl.transaction(true) }

// stopPrimary stops the primary, which causes a promotion.
func stopPrimary(r *scenarioRun) {
	s := r.primary()
	s.Stop()
	r.onHeal(func() { r.recordError(s.Start()) })
}

// switchOverPrimary sets the primary's service state to leaving, which causes a
// planned switchover.
func switchOverPrimary(r *scenarioRun) { r.setServer(r.primary().Name(), state.Leaving) }

// revokeKey revokes a customer's key by a ticket. At the end of the run, no VM may
// accept the key any more.
func revokeKey(r *scenarioRun) {
	r.recordError(r.fleet.Change(func(cfg *state.Config) { cfg.Customers[revokedCustomer].Keys[0].Revoked = true }))
	r.finalChecks = append(r.finalChecks, r.checkKeyRevoked)
}

// stopFocusVM shuts the focus client's VM down gracefully, and starts it again
// after the heal.
func stopFocusVM(r *scenarioRun) {
	r.stopping = true
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	stopped := make(chan error, 1)
	go func() { stopped <- r.fleet.StopVM(ctx, r.focusVM()) }()
	r.onHeal(func() {
		if err := <-stopped; err != nil && !errors.Is(err, context.DeadlineExceeded) {
			r.problemf("%v", err)
		}
		cancel()
		r.recordError(r.fleet.KillVM(r.focusVM())) // a transaction may have delayed the stop beyond stopTimeout
		r.startVM(r.focusVM())
	})
}

// vmsWithNewTicket returns the number of VMs that have a later ticket than the first
// in force.
func (r *scenarioRun) vmsWithNewTicket() int {
	n := 0
	for i := range r.fleet.Profile.VMs {
		if vm := r.fleet.VM(i); vm != nil && vm.Tables().Config.Current().Ticket.Number > 1 {
			n++
		}
	}
	return n
}

// focusActivity returns the current activity of the focus client.
func (r *scenarioRun) focusActivity() activity { return r.focus.currentActivity() }

// statements returns the number of statements that the group has executed.
func (r *scenarioRun) statements() uint64 {
	var n uint64
	for _, s := range r.group.Servers() {
		n += s.Statements()
	}
	return n
}

// serversWithWrite returns the number of servers that hold the first change of the
// focus client's current request.
func (r *scenarioRun) serversWithWrite() int {
	a := r.focusActivity()
	if !a.busy || len(a.changes) == 0 {
		return 0
	}
	n := 0
	for _, s := range r.group.Servers() {
		if change := a.changes[0]; change.Key == "" {
			if slices.Contains(s.Entries(), change.Value) {
				n++
			}
		} else if v, _ := s.Value(change.Key); v == change.Value {
			n++
		}
	}
	return n
}

// serversAdopted returns the number of servers that have adopted a later term than
// the primary had before the step was prepared.
func (r *scenarioRun) serversAdopted() int {
	n := 0
	for _, s := range r.group.Servers() {
		if s.Status().AdoptedTerm > r.term {
			n++
		}
	}
	return n
}

// newTermBegun reports whether a later term has begun than the primary had before
// the step was prepared.
func (r *scenarioRun) newTermBegun() bool {
	terms := r.group.TermStarts()
	return terms[len(terms)-1].Term > r.term
}

// draining reports whether a primary refuses writes because of a switchover.
func (r *scenarioRun) draining() bool {
	return slices.ContainsFunc(r.group.Servers(), func(s *server) bool { return s.Status().SwitchingTo != "" })
}

// failoverAt reports whether an attempt of some VM to change the primary is at the
// given step.
func (r *scenarioRun) failoverAt(step state.FailoverStep) bool {
	found := false
	for i := range r.fleet.Profile.VMs {
		if vm := r.fleet.VM(i); vm != nil {
			vm.Tables().Groups.With(groupName, func(g *state.GroupState) { found = found || g.Failover.Step == step })
		}
	}
	return found
}
