package sqlback

import (
	"slices"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// maySend reports whether the statement may still be sent to the server. Commands of the
// proxy itself may always be: a switchover needs the server's reports.
func (e *Executor) maySend(w *statement.RemoteStatement, server string) bool {
	return w.Command.ID == "" || e.table.Current().MaySend(server, w.Tx != 0, clock.Now())
}

// refuseLeft refuses a job, whose statement has not been sent, because its server must get
// nothing more. The caller holds mu.
func (e *Executor) refuseLeft(j *job) {
	w := j.stmt
	e.logger.WithFields(log.Fields{"id": w.Command.ID, "customer": w.Customer, "server": w.Server, "origin": j.origin, "in_tx": w.Tx != 0}).
		Warn("backend: statement refused, its server takes no more work.")
	code := statement.Busy
	if w.Tx != 0 {
		code = statement.Aborted
	}
	e.finish(j, statement.Refusal(code, "the server is out of service"))
}

// refuseIfLeft refuses the connection's job, whose statement has not been sent, if the
// server must get nothing more. The connection is closed, which rolls back a transaction
// without another message to the server. The caller holds mu.
func (e *Executor) refuseIfLeft(c *conn) bool {
	j := c.job
	if e.maySend(j.stmt, c.pool.key.server) {
		return false
	}
	c.job = nil
	e.refuseLeft(j)
	e.refuseWaitingLeft(c.pool)
	e.closeConn(c, statement.Lost, "the server takes no more work")
	return true
}

// refuseWaitingLeft refuses the jobs that wait for a connection to a server which must get
// nothing more. The caller holds mu.
func (e *Executor) refuseWaitingLeft(p *serverPool) {
	for _, j := range p.removeAllWaiting(func(j *job) bool { return !e.maySend(j.stmt, p.key.server) }) {
		if !j.finished {
			e.refuseLeft(j)
		}
	}
}

// leaveServers ends the transactions that are open on servers which must get nothing more,
// and refuses the jobs that wait for connections to them. The caller holds mu.
func (e *Executor) leaveServers(d *catalog.Deployment) {
	now := clock.Now()
	for key, p := range e.pools {
		if _, leaving := d.Leaving[key.server]; !leaving {
			continue
		}
		e.refuseWaitingLeft(p)
		if d.MaySend(key.server, true, now) {
			continue
		}
		for _, c := range slices.Clone(p.conns) {
			if c.state == connIdleInTx {
				e.logger.WithFields(log.Fields{"server": key.server, "customer": key.customer}).Warn("backend: transaction ended, its server takes no more work.")
				e.closeConn(c, statement.Lost, "the server takes no more work")
			}
		}
	}
}
