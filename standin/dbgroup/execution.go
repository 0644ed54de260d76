package dbgroup

import (
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
)

// execution is a statement that waits for a slot or executes.
type execution struct {
	statement   *sqltext.Statement
	args        []string
	slotRequest *slotRequest
	done        func(*result, *sqlError)
}

// runStatement executes a statement and calls done, either before it returns or
// from a later event. A statement that is not allowed fails before it executes.
func (c *session) runStatement(st *sqltext.Statement, args []string, done func(*result, *sqlError)) {
	if c.stage == stageEnded {
		return
	}
	if err := c.checkAllowed(st); err != nil {
		done(nil, err)
		return
	}
	if !st.UsesData() {
		r, err := c.executeControl(st)
		c.countStatement(st)
		done(r, err)
		return
	}
	c.execution = &execution{statement: st, args: args, done: done, slotRequest: &slotRequest{}}
	c.execution.slotRequest.notify = c.suspend(c.startExecution)
	if c.server.slots.acquire(c.execution.slotRequest) {
		c.continuation = nil
		c.startExecution()
	}
}

// checkAllowed returns an error if the transaction has failed or may not write.
func (c *session) checkAllowed(st *sqltext.Statement) *sqlError {
	if c.tx != nil && c.tx.failed && !st.EndsTransaction() {
		return errorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
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
	return c.server.node.checkWrite(&tx.permit)
}

// startExecution starts a statement that has been granted its slot.
func (c *session) startExecution() {
	st := c.execution.statement
	if st.Writes() {
		if err := c.server.node.acquireWrite(&c.tx.permit); err != nil {
			c.finishStatement(nil, err)
			return
		}
		c.tx.writeText = st.Text
	}
	duration := c.server.options.StatementDuration
	if st.Kind == sqltext.SelectSleep {
		seconds, err := strconv.ParseFloat(c.execution.args[0], 64)
		if err != nil {
			c.finishStatement(nil, errorf(codeSyntaxError, "invalid number of seconds %q", c.execution.args[0]))
			return
		}
		duration += time.Duration(seconds * float64(time.Second))
	}
	c.continueAfter(duration, c.completeExecution)
}

// completeExecution applies a statement at the end of its execution time.
func (c *session) completeExecution() {
	st := c.execution.statement
	r, err := c.executeData(st, c.execution.args)
	c.countStatement(st)
	if !st.Writes() && !c.tx.explicit {
		_, primary := c.server.node.primaryTerm()
		c.server.faults.countRead(primary)
	}
	c.finishStatement(r, err)
}

// countStatement counts an executed statement and adds the faults of its response
// to those of the buffered responses.
func (c *session) countStatement(st *sqltext.Statement) {
	f := c.server.faults.recordStatement(st.Text, st.UsesData())
	c.fault.delay += f.delay
	c.fault.truncate = c.fault.truncate || f.truncate
}

func (c *session) finishStatement(r *result, err *sqlError) {
	done := c.execution.done
	c.stopExecution()
	done(r, err)
}

// stopExecution returns the slot of the current statement, if there is one, or
// withdraws its request.
func (c *session) stopExecution() {
	if c.execution == nil {
		return
	}
	c.server.slots.release(c.execution.slotRequest)
	c.execution = nil
}

// handleCancel handles a cancel request. It has no effect unless a statement is
// waiting for a slot or executing.
func (c *session) handleCancel() {
	if c.execution == nil {
		return
	}
	c.continuation = nil
	c.runnable = func() {
		c.finishStatement(nil, errorf(codeCancelled, "canceling statement due to user request"))
	}
	c.advance()
}
