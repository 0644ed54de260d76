package dbgroup

import (
	"maps"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
)

// Transaction states in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// transaction is an open transaction of a session.
type transaction struct {
	explicit bool // begun by BEGIN
	readOnly bool
	failed   bool
	claim    writeClaim
	text     string // of the latest statement that wrote
	ops      []translog.Op
	values   map[string]*string // changed keys; nil if deleted
	inserted map[string]bool
	entries  []string
	settings map[string]string // at the begin, restored by a rollback
	local    map[string]string // values to be restored after SET LOCAL
}

// transaction returns the open transaction; it begins an implicit one if there
// is none.
func (c *session) transaction() *transaction {
	if c.tx == nil {
		c.tx = &transaction{
			readOnly: c.settings[settingReadOnly] == "on",
			values:   make(map[string]*string),
			inserted: make(map[string]bool),
			claim:    writeClaim{run: c.serverRun},
			settings: maps.Clone(c.settings),
			local:    make(map[string]string),
		}
	}
	return c.tx
}

// status is the transaction state for ReadyForQuery.
func (c *session) status() byte {
	switch {
	case c.tx == nil || !c.tx.explicit:
		return statusIdle
	case c.tx.failed:
		return statusFailed
	default:
		return statusOpen
	}
}

// begin makes the open transaction an explicit one.
func (c *session) begin(mode sqltext.AccessMode) {
	tx := c.transaction()
	if tx.explicit {
		c.answers.warning(codeActiveTx, "there is already a transaction in progress")
	}
	tx.explicit = true
	tx.setMode(mode)
}

func (tx *transaction) setMode(mode sqltext.AccessMode) {
	switch mode {
	case sqltext.ReadOnly:
		tx.readOnly = true
	case sqltext.ReadWrite:
		tx.readOnly = false
	}
}

// commitImplicit commits a transaction that was not begun by BEGIN.
func (c *session) commitImplicit() *sqlError {
	if c.tx == nil || c.tx.explicit {
		return nil
	}
	return c.commit()
}

// commit ends the open transaction. On an error it has been rolled back.
func (c *session) commit() *sqlError {
	tx := c.tx
	if len(tx.ops) > 0 {
		if err := c.commitOps(tx); err != nil {
			c.rollback()
			return err
		}
	}
	for name, value := range tx.local {
		_ = c.setting(name, value) // was a valid value before
	}
	c.release()
	return nil
}

// commitOps writes the transaction to the log. Where a fault breaks the
// connection, the session has ended, and nothing further reaches the client.
func (c *session) commitOps(tx *transaction) *sqlError {
	faults := c.server.faults
	if faults.committing(BeforeCommit, tx.text) {
		c.end()
		return nil
	}
	err := c.server.node.commit(&tx.claim, tx, func(r translog.Record) {
		c.server.group.history.committed(c.commitOf(r))
	})
	if err != nil {
		return err
	}
	c.server.group.poke()
	c.server.group.progress.notify()
	if faults.committing(AfterCommit, tx.text) {
		c.end()
	}
	return nil
}

func (c *session) commitOf(r translog.Record) Commit {
	return Commit{
		Server:   c.server.Name(),
		Term:     r.Term,
		Position: r.Position,
		Process:  c.pid,
		User:     c.startup["user"],
		Ops:      r.Ops,
		At:       r.Committed,
	}
}

// rollback undoes the open transaction.
func (c *session) rollback() {
	if c.tx == nil {
		return
	}
	c.restoreSettings(c.tx.settings)
	c.release()
}

// abandon undoes the open transaction of a session that ends.
func (c *session) abandon() {
	if c.tx != nil {
		c.release()
	}
}

// release gives up what the transaction holds.
func (c *session) release() {
	if c.tx != nil && c.tx.claim.held {
		c.server.node.releaseWrite(&c.tx.claim)
		c.server.group.progress.notify()
	}
	c.tx = nil
	clear(c.portals)
}

// fail reports an error of a statement and fails the transaction.
func (c *session) fail(err *sqlError) {
	c.answers.failure(err)
	switch {
	case c.tx == nil:
	case c.tx.explicit:
		c.tx.failed = true
	default:
		c.rollback()
	}
}
