package matrix

import (
	"context"
	"errors"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// step is a moment of what a fleet does. A fault is caused once it is reached.
type step struct {
	name    string
	focus   func(cl *client)   // what the focus client does again and again
	prepare func(c *cell)      // starts what the step is part of; may be nil
	reached func(c *cell) bool // polled
}

var steps = []step{
	{"read-sent", focusRead, nil, func(c *cell) bool { return c.phase().busy }},
	{"read-executed", focusRead, nil, func(c *cell) bool {
		p := c.phase()
		return p.busy && c.statements() > p.read
	}},
	{"write-sent", focusWrite, nil, func(c *cell) bool { return c.phase().busy }},
	{"write-committed", focusWrite, nil, func(c *cell) bool { return c.committed() >= 1 }},
	{"write-replicated", focusWrite, nil, func(c *cell) bool { return c.committed() >= 2 }},
	{"tx-open", focusTransaction, nil, func(c *cell) bool {
		p := c.phase()
		return p.inTx && p.kind == history.Write
	}},
	{"tx-commit-sent", focusTransaction, nil, func(c *cell) bool {
		p := c.phase()
		return p.busy && p.kind == history.Commit
	}},
	{"tx-committed", focusTransaction, nil, func(c *cell) bool {
		p := c.phase()
		return p.busy && p.kind == history.Commit && len(c.group.Commits()) > p.commits
	}},
	{"promotion-begins", focusWrite, stopPrimary, func(c *cell) bool { return c.attempting(state.FailoverAdopting) || c.adopted() > 0 }},
	{"promotion-adopted", focusWrite, stopPrimary, func(c *cell) bool { return c.adopted() > 1 }},
	{"promotion-done", focusWrite, stopPrimary, func(c *cell) bool { return c.promoted() }},
	{"switchover-begins", focusWrite, leavePrimary, func(c *cell) bool { return c.attempting(state.FailoverSwitching) }},
	{"switchover-drained", focusTransaction, leavePrimary, func(c *cell) bool { return c.draining() || c.promoted() }},
	{"switchover-adopted", focusWrite, leavePrimary, func(c *cell) bool { return c.adopted() > 0 }},
	{"switchover-done", focusWrite, leavePrimary, func(c *cell) bool { return c.promoted() }},
	{"ticket-written", focusWrite, revokeKey, func(*cell) bool { return true }},
	{"ticket-applied", focusWrite, revokeKey, func(c *cell) bool { return c.applied() > 0 }},
	{"vm-leaves", focusTransaction, leaveVM, func(c *cell) bool { return c.leaving }},
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

// stopPrimary makes a promotion necessary.
func stopPrimary(c *cell) {
	s := c.primary()
	s.Stop()
	c.onHeal(func() { c.must(s.Start()) })
}

// leavePrimary asks for a planned switchover.
func leavePrimary(c *cell) { c.setServer(c.primary().Name(), state.Leaving) }

// revokeKey revokes the key of a customer whose client is at work. Some seconds
// after the heal no VM may accept the key any more.
func revokeKey(c *cell) {
	c.must(c.fleet.Change(func(cfg *state.Config) { cfg.Customers[revoked].Keys[0].Revoked = true }))
	c.afterwards = append(c.afterwards, c.checkRevoked)
}

// leaveVM stops the focus client's VM without cutting requests.
func leaveVM(c *cell) {
	c.leaving = true
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	stopped := make(chan error, 1)
	go func() { stopped <- c.fleet.StopVM(ctx, c.focusVM()) }()
	c.onHeal(func() {
		if err := <-stopped; err != nil && !errors.Is(err, context.DeadlineExceeded) {
			c.problem("%v", err)
		}
		cancel()
		c.must(c.fleet.KillVM(c.focusVM())) // a transaction may have outlasted the limit
		c.startVM(c.focusVM())
	})
}

// applied returns the number of VMs that apply a later ticket than the first.
func (c *cell) applied() int {
	n := 0
	for i := range c.fleet.Profile.VMs {
		if vm := c.fleet.VM(i); vm != nil && vm.Tables().Config.Current().Ticket.Number > 1 {
			n++
		}
	}
	return n
}

// phase returns what the focus client does.
func (c *cell) phase() phase { return c.focus.currentPhase() }

// statements returns the number of statements that the group has executed.
func (c *cell) statements() uint64 {
	var n uint64
	for _, s := range c.group.Servers() {
		n += s.Statements()
	}
	return n
}

// committed returns the number of servers that hold what the focus client
// writes now.
func (c *cell) committed() int {
	p := c.phase()
	if !p.busy || len(p.changes) == 0 {
		return 0
	}
	n := 0
	for _, s := range c.group.Servers() {
		if change := p.changes[0]; change.Key == "" {
			if slices.Contains(s.Entries(), change.Value) {
				n++
			}
		} else if v, _ := s.Value(change.Key); v == change.Value {
			n++
		}
	}
	return n
}

// adopted returns the number of servers that have promised to a later term than
// that of the step's beginning.
func (c *cell) adopted() int {
	n := 0
	for _, s := range c.group.Servers() {
		if s.Status().AdoptedTerm > c.term {
			n++
		}
	}
	return n
}

// promoted reports whether a later term than that of the step's beginning has
// begun.
func (c *cell) promoted() bool {
	terms := c.group.TermStarts()
	return terms[len(terms)-1].Term > c.term
}

// draining reports whether a primary refuses writes for a switchover.
func (c *cell) draining() bool {
	return slices.ContainsFunc(c.group.Servers(), func(s *server) bool { return s.Status().SwitchingTo != "" })
}

// attempting reports whether a VM's attempt to change the primary has come to
// the given step.
func (c *cell) attempting(step state.FailoverStep) bool {
	found := false
	for i := range c.fleet.Profile.VMs {
		if vm := c.fleet.VM(i); vm != nil {
			vm.Tables().Groups.With(groupName, func(g *state.GroupState) { found = found || g.Failover.Step == step })
		}
	}
	return found
}
