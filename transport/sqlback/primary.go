package sqlback

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// needsPrimary reports whether only the primary may run the connection's job.
func (c *conn) needsPrimary() bool {
	w := c.job.stmt
	if w.Tx != 0 {
		return !c.txReadOnly
	}
	return w.RequirePrimary || w.Writes() || w.BeginsTx && !w.ReadOnlyTx
}

// refuseIfNotPrimary ends the connection's job, whose statement has not been sent, if
// it needs the primary and this VM must not use the server as such. The caller holds
// mu.
func (e *Executor) refuseIfNotPrimary(c *conn) bool {
	if !c.needsPrimary() {
		return false
	}
	verdict := e.checkPrimary(c.pool.group, c.pool.key.server)
	if verdict == fencing.Allowed {
		return false
	}
	reason := "the primary is being replaced"
	if verdict == fencing.NoLease {
		reason = "this VM has no contact with a quorum of the VMs"
	}
	j := c.job
	c.job = nil
	if c.tx != 0 {
		e.finish(j, statement.Refusal(statement.Aborted, reason))
		e.rollback(c)
		return true
	}
	e.finish(j, statement.Refusal(statement.Busy, reason))
	txState := statement.Idle
	if j.beginPoint.Term != 0 {
		txState = statement.InTx // its BEGIN was answered
	}
	e.releaseOrRollback(c, txState)
	return true
}

// answerCounts reports whether the answer to the connection's job, which succeeded,
// may be used. A server that is no longer the primary may have run a statement that
// needs the primary. The caller holds mu.
func (e *Executor) answerCounts(c *conn) bool {
	return c.job.draining || !c.needsPrimary() || e.checkPrimary(c.pool.group, c.pool.key.server) == fencing.Allowed
}

// primaryDrain waits for statements on former primaries.
type primaryDrain struct {
	jobs map[*job]bool // that were running when the drain began
	done func()
}

// StopUsingOthers implements fencer.Executor.
func (e *Executor) StopUsingOthers(designated map[string]string, drain time.Duration, accept, done func()) {
	e.post(func() {
		e.mu.Lock()
		jobs := e.retireTransactions(designated)
		e.mu.Unlock()
		accept()
		e.mu.Lock()
		defer e.mu.Unlock()
		d := &primaryDrain{jobs: jobs, done: done}
		e.drains = append(e.drains, d)
		e.finishDrains()
		if len(jobs) > 0 {
			time.AfterFunc(drain, func() { e.post(func() { e.endDrain(d) }) })
		}
	})
}

// retireTransactions rolls back idle transactions on servers that are no longer
// designated, and returns the running jobs that need the primary. Their answers still
// count. The caller holds mu.
func (e *Executor) retireTransactions(designated map[string]string) map[*job]bool {
	jobs := make(map[*job]bool)
	for key, p := range e.pools {
		if server, known := designated[p.group]; !known || server == key.server {
			continue
		}
		for _, c := range slices.Clone(p.conns) {
			switch {
			case c.job != nil && c.needsPrimary():
				c.job.draining = true
				jobs[c.job] = true
			case c.state == connIdleInTx && !c.txReadOnly:
				e.rollback(c)
			}
		}
	}
	return jobs
}

// finishDrains ends the drains whose statements have all ended. The caller holds mu.
func (e *Executor) finishDrains() {
	e.drains = slices.DeleteFunc(e.drains, func(d *primaryDrain) bool {
		for j := range d.jobs {
			if !j.finished {
				return false
			}
		}
		e.callbacks = append(e.callbacks, d.done)
		return true
	})
}

// endDrain ends the statements that have not been answered within the drain period.
func (e *Executor) endDrain(d *primaryDrain) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for j := range d.jobs {
		if !j.finished {
			e.closeConn(j.conn, statement.Lost, "the primary was replaced")
		}
	}
}
