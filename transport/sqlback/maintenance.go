package sqlback

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// setReachable records whether a server is reachable. A change is reported to the
// other VMs after the current event. The caller holds mu.
func (e *Executor) setReachable(server string, reachable bool) {
	if e.unreachable[server] == !reachable {
		return
	}
	if reachable {
		delete(e.unreachable, server)
	} else {
		e.unreachable[server] = true
	}
	e.logger.WithFields(log.Fields{"server": server, "reachable": reachable}).Info("backend: reachability changed.")
	var ids []string
	for id := range e.unreachable {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	e.callbacks = append(e.callbacks, func() { e.reportUnreachable(ids) })
}

// Run closes connections that are no longer needed and probes unreachable servers
// until ctx is done. It returns nil.
func (e *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.closeAll()
			return nil
		case <-ticker.C:
			e.post(e.sweep)
			if now := time.Now(); now.Sub(e.lastProbe) >= probeInterval {
				e.lastProbe = now
				e.post(func() { e.probe(ctx) })
			}
		}
	}
}

// closeAll closes all connections when the VM stops.
func (e *Executor) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		for _, c := range p.conns {
			c.state = connClosed
			if c.out != nil {
				c.out.CloseNow()
			}
		}
	}
}

// sweep rolls back abandoned transactions and those on servers that must get nothing more,
// and closes connections that do not
// answer, that lead to servers which take no work, whose customers are assigned to
// another VM, or that were idle for too long.
func (e *Executor) sweep() {
	d := e.table.Current()
	e.mu.Lock()
	e.leaveServers(d)
	e.rollbackAbandoned(d)
	e.closeUnanswered()
	e.sweepAdmission(d)
	var idle []*conn
	for key, p := range e.pools {
		if len(p.conns) == 0 && p.waitingCount() == 0 {
			e.removePool(key, p)
		}
		for _, c := range p.conns {
			if c.state == connIdle {
				idle = append(idle, c)
			}
		}
	}
	e.mu.Unlock()
	for _, c := range idle {
		server := d.Servers[c.pool.key.server]
		usable := server != nil && d.Usable(server)
		assigned := usable && e.holdsConnections(c.pool.key.customer, server)
		e.mu.Lock()
		idleFor := time.Since(c.idleSince)
		if c.state == connIdle && (!usable || !assigned && idleFor > reassignedIdleTimeout || idleFor > idleTimeout) {
			e.closeConn(c, statement.Unreachable, "not needed")
		}
		e.mu.Unlock()
	}
	e.sweepBudgets(d)
}

// rollbackAbandoned rolls back transactions that were idle for longer than VMs
// allow their clients: the VM that opened one may have stopped before it got the
// answer. The caller holds mu.
func (e *Executor) rollbackAbandoned(d *catalog.Deployment) {
	if d.Config == nil || d.Config.TxIdle <= 0 {
		return
	}
	for _, c := range e.txs {
		if c.state == connIdleInTx && time.Since(c.idleSince) > d.Config.TxIdle+abandonedTxMargin {
			e.logger.WithField("server", c.pool.key.server).Warn("backend: abandoned transaction rolled back.")
			e.rollback(c)
		}
	}
}

// closeUnanswered closes connections on which a command without a job was not
// answered in time. Nothing else bounds such a command, and the connection counts
// against the limit until it is closed. The caller holds mu.
func (e *Executor) closeUnanswered() {
	var overdue []*conn
	for _, p := range e.pools {
		for _, c := range p.conns {
			if c.state == connBusy && c.job == nil && time.Since(c.internalSince) > internalTimeout {
				overdue = append(overdue, c)
			}
		}
	}
	for _, c := range overdue {
		e.logger.WithField("server", c.pool.key.server).Warn("backend: internal command not answered, connection closed.")
		e.closeConn(c, statement.Lost, "no answer in time")
	}
}

// probe dials the unreachable servers. A connection without a handshake takes no
// slot on the server.
func (e *Executor) probe(ctx context.Context) {
	d := e.table.Current()
	e.mu.Lock()
	var removed, candidates []string
	for id := range e.unreachable {
		if d.Servers[id] == nil {
			removed = append(removed, id)
		} else {
			candidates = append(candidates, id)
		}
	}
	for _, id := range removed {
		delete(e.failingSince, id)
		e.setReachable(id, true)
	}
	e.mu.Unlock()
	for _, id := range candidates {
		go func() {
			dialCtx, cancel := context.WithTimeout(ctx, probeInterval)
			defer cancel()
			nc, err := e.net.Dial(dialCtx, d.Servers[id].Address)
			if err != nil {
				return
			}
			nc.Close()
			e.post(func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				delete(e.failingSince, id)
				e.setReachable(id, true)
			})
		}()
	}
}

// OpenCount returns the number of running or waiting statements plus the number
// of open transactions. A VM that drains waits until it is zero.
func (e *Executor) OpenCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runningJobs + len(e.txs)
}
