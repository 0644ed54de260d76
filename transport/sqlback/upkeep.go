package sqlback

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// setReachable tells the other VMs of a change, after the event that it is part
// of. The caller holds mu.
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
	var all []string
	for id := range e.unreachable {
		all = append(all, id)
	}
	slices.Sort(all)
	e.effects = append(e.effects, func() { e.reached(all) })
}

// Run looks after idle connections and unreachable servers until ctx is done.
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
			if probed := time.Now(); probed.Sub(e.probedAt) >= probeInterval {
				e.probedAt = probed
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
				c.out.Abort()
			}
		}
	}
}

// sweep closes connections that are not needed here: those of servers that take
// no work, of customers served by another VM, and those idle for long.
func (e *Executor) sweep() {
	d := e.table.Current()
	e.mu.Lock()
	e.endAbandoned(d)
	e.closeSilent()
	var idle []*conn
	for key, p := range e.pools {
		if len(p.conns) == 0 && len(p.waiting) == 0 {
			delete(e.pools, key)
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
		keep := spareIdle
		if usable && !e.plan(c.pool.key.customer, server).Permanent {
			keep = transientIdle
		}
		chosen := usable && e.chosen(c.pool.key.customer, server)
		e.mu.Lock()
		rest := time.Since(c.idleSince)
		if c.state == connIdle && (!usable || !chosen && rest > movedIdle || rest > keep) {
			e.close(c, statement.Unreachable, "not needed")
		}
		e.mu.Unlock()
	}
}

// endAbandoned ends transactions that rest for longer than VMs let their clients
// rest: the VM that opened one may have gone before it had the answer.
func (e *Executor) endAbandoned(d *catalog.Deployment) {
	if d.Config == nil || d.Config.TxIdle <= 0 {
		return
	}
	for _, c := range e.txs {
		if c.state == connResting && time.Since(c.idleSince) > d.Config.TxIdle+abandonedSlack {
			e.logger.WithField("server", c.pool.key.server).Warn("backend: abandoned transaction ended.")
			e.rollback(c)
		}
	}
}

// closeSilent closes connections on which a command of this VM's own is not
// answered: nothing else bounds it, and the connection takes a place until then.
func (e *Executor) closeSilent() {
	var silent []*conn
	for _, p := range e.pools {
		for _, c := range p.conns {
			if c.state == connBusy && c.job == nil && time.Since(c.ownSince) > ownTimeout {
				silent = append(silent, c)
			}
		}
	}
	for _, c := range silent {
		e.logger.WithField("server", c.pool.key.server).Warn("backend: no answer to a command of the VM's own.")
		e.close(c, statement.Lost, "no answer in time")
	}
}

// probe tries the servers that could not be reached. A connection without an
// opening costs the server no slot.
func (e *Executor) probe(ctx context.Context) {
	d := e.table.Current()
	e.mu.Lock()
	var gone, try []string
	for id := range e.unreachable {
		if d.Servers[id] == nil {
			gone = append(gone, id)
		} else {
			try = append(try, id)
		}
	}
	for _, id := range gone {
		delete(e.failing, id)
		e.setReachable(id, true)
	}
	e.mu.Unlock()
	for _, id := range try {
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
				delete(e.failing, id)
				e.setReachable(id, true)
			})
		}()
	}
}

// Open returns the number of statements under way and of open transactions.
func (e *Executor) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running + len(e.txs)
}
