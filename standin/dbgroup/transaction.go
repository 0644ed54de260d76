package dbgroup

import (
	"maps"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
)

// Transaction status codes of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// transaction is an open transaction of a session. Its changes are applied when
// it commits.
type transaction struct {
	explicit            bool // begun by BEGIN rather than by a statement outside a transaction
	readOnly            bool
	failed              bool
	permit              writePermit
	writeText           string // of the latest statement that wrote
	ops                 []translog.Op
	changedValues       map[string]*string // by key; nil for a deleted key
	inserted            map[string]bool
	appendedEntries     []string
	settingsAtBegin     map[string]string // restored by a rollback
	settingsBeforeLocal map[string]string // values before SET LOCAL, restored by a commit
}

// transaction returns the open transaction. It begins an implicit one if there is
// none.
func (c *session) transaction() *transaction {
	if c.tx == nil {
		c.tx = &transaction{
			readOnly:            c.settings[settingDefaultReadOnly] == "on",
			changedValues:       make(map[string]*string),
			inserted:            make(map[string]bool),
			permit:              writePermit{incarnation: c.serverIncarnation},
			settingsAtBegin:     maps.Clone(c.settings),
			settingsBeforeLocal: make(map[string]string),
		}
	}
	return c.tx
}

// transactionStatus returns the status code for ReadyForQuery.
func (c *session) transactionStatus() byte {
	switch {
	case c.tx == nil || !c.tx.explicit:
		return statusIdle
	case c.tx.failed:
		return statusFailed
	default:
		return statusOpen
	}
}

// begin makes the open implicit transaction explicit.
func (c *session) begin(mode sqltext.AccessMode) {
	tx := c.transaction()
	if tx.explicit {
		c.responses.warningNotice(codeActiveTransaction, "there is already a transaction in progress")
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

// commitImplicit commits the open transaction if it is implicit.
func (c *session) commitImplicit() *sqlError {
	if c.tx == nil || c.tx.explicit {
		return nil
	}
	return c.commit()
}

// commit commits the open transaction. On an error the transaction is rolled
// back.
func (c *session) commit() *sqlError {
	tx := c.tx
	if len(tx.ops) > 0 {
		if err := c.commitOps(tx); err != nil {
			c.rollback()
			return err
		}
	}
	for name, value := range tx.settingsBeforeLocal {
		_ = c.setSetting(name, value) // was a valid value before
	}
	c.endTransaction()
	return nil
}

// commitOps writes the transaction to the log. If a fault breaks the connection,
// it ends the session and returns nil; no response reaches the client.
func (c *session) commitOps(tx *transaction) *sqlError {
	faults := c.server.faults
	if faults.takeCommitBreak(BeforeCommit, tx.writeText) {
		c.end()
		return nil
	}
	err := c.server.node.commit(&tx.permit, tx, func(r translog.Record) {
		c.server.group.history.recordCommit(c.commitOfRecord(r))
	})
	if err != nil {
		return err
	}
	c.server.group.scheduleReplication()
	c.server.group.notifier.notify()
	if faults.takeCommitBreak(AfterCommit, tx.writeText) {
		c.end()
	}
	return nil
}

func (c *session) commitOfRecord(r translog.Record) Commit {
	return Commit{
		Server:   c.server.Name(),
		Term:     r.Term,
		Position: r.Position,
		Process:  c.pid,
		User:     c.startupParameters["user"],
		Ops:      r.Ops,
		At:       r.Committed,
	}
}

// rollback rolls back the open transaction, if there is one, with its settings.
func (c *session) rollback() {
	if c.tx == nil {
		return
	}
	c.restoreSettings(c.tx.settingsAtBegin)
	c.endTransaction()
}

// discardTransaction drops the open transaction of a session that ends.
func (c *session) discardTransaction() {
	if c.tx != nil {
		c.endTransaction()
	}
}

// endTransaction returns the write permit of the transaction and closes its
// portals.
func (c *session) endTransaction() {
	if c.tx != nil && c.tx.permit.granted {
		c.server.node.releaseWrite(&c.tx.permit)
		c.server.group.notifier.notify()
	}
	c.tx = nil
	clear(c.portals)
}

// failStatement adds an error to the buffered responses. It marks an explicit
// transaction as failed and rolls back an implicit one.
func (c *session) failStatement(err *sqlError) {
	c.responses.errorResponse(err)
	switch {
	case c.tx == nil:
	case c.tx.explicit:
		c.tx.failed = true
	default:
		c.rollback()
	}
}
