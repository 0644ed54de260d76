package dbgroup

import (
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
)

// running is a statement that waits for a slot or executes.
type running struct {
	statement *sqltext.Statement
	args      []string
	claim     *slotClaim
	done      func(*result, *sqlError)
}

// run executes a statement and calls done, at once or from a later event. A
// statement that is not allowed is refused before it runs.
func (c *session) run(st *sqltext.Statement, args []string, done func(*result, *sqlError)) {
	if c.stage == stageEnded {
		return
	}
	if err := c.allow(st); err != nil {
		done(nil, err)
		return
	}
	if !st.UsesData() {
		r, err := c.control(st)
		c.count(st)
		done(r, err)
		return
	}
	c.running = &running{statement: st, args: args, done: done, claim: &slotClaim{}}
	c.running.claim.notify = c.suspend(c.execute)
	if c.server.slots.acquire(c.running.claim) {
		c.pending = nil
		c.execute()
	}
}

// allow checks the transaction's state and its right to write.
func (c *session) allow(st *sqltext.Statement) *sqlError {
	if c.tx != nil && c.tx.failed && !st.EndsTransaction() {
		return errorf(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if st.EndsTransaction() {
		return nil
	}
	tx := c.transaction()
	if !st.Writes() {
		return nil
	}
	if tx.readOnly {
		return errorf(codeReadOnly, "cannot execute %s in a read-only transaction", st.Command())
	}
	return c.server.node.checkWrite(&tx.claim)
}

// execute starts a statement that has its slot.
func (c *session) execute() {
	st := c.running.statement
	if st.Writes() {
		if err := c.server.node.claimWrite(&c.tx.claim); err != nil {
			c.finishStatement(nil, err)
			return
		}
		c.tx.text = st.Text
	}
	cost := c.server.options.StatementCost
	if st.Kind == sqltext.SelectSleep {
		seconds, err := strconv.ParseFloat(c.running.args[0], 64)
		if err != nil {
			c.finishStatement(nil, errorf(codeSyntax, "invalid number of seconds %q", c.running.args[0]))
			return
		}
		cost += time.Duration(seconds * float64(time.Second))
	}
	c.after(cost, c.complete)
}

// complete takes effect at the end of the statement's time.
func (c *session) complete() {
	st := c.running.statement
	r, err := c.perform(st, c.running.args)
	c.count(st)
	if !st.Writes() && !c.tx.explicit {
		_, primary := c.server.node.primaryTerm()
		c.server.faults.read(primary)
	}
	c.finishStatement(r, err)
}

func (c *session) count(st *sqltext.Statement) {
	f := c.server.faults.executed(st.Text, st.UsesData())
	c.fault.delay += f.delay
	c.fault.half = c.fault.half || f.half
}

func (c *session) finishStatement(r *result, err *sqlError) {
	done := c.running.done
	c.stopRunning()
	done(r, err)
}

// stopRunning gives up the slot of the statement that runs, if there is one.
func (c *session) stopRunning() {
	if c.running == nil {
		return
	}
	c.server.slots.release(c.running.claim)
	c.running = nil
}

// cancelled handles a cancel request. It has no effect unless a statement waits
// for a slot or executes.
func (c *session) cancelled() {
	if c.running == nil {
		return
	}
	c.pending = nil
	c.due = func() {
		c.finishStatement(nil, errorf(codeCancelled, "canceling statement due to user request"))
	}
	c.advance()
}
