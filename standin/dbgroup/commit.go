package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// writeClaim is a transaction's right to write, held from its first write until
// it ends.
type writeClaim struct {
	run  uint64 // of the server, in which the session began
	held bool
	term uint64 // if held
}

// claimWrite gives a transaction the right to write, or confirms it. It is
// called before each write runs.
func (n *node) claimWrite(c *writeClaim) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.refusesWrite(c); err != nil || c.held {
		return err
	}
	c.held, c.term = true, n.term
	n.writers++
	return nil
}

// checkWrite reports whether claimWrite would fail now.
func (n *node) checkWrite(c *writeClaim) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusesWrite(c)
}

// refusesWrite returns why a transaction may not write. During a switchover
// only transactions that have written before may go on. The caller holds n.mu.
func (n *node) refusesWrite(c *writeClaim) *sqlError {
	switch {
	case n.role != state.Primary:
		return errorf(codeReadOnly, "cannot write: server %s is not the primary", n.name)
	case c.run != n.run:
		return errorf(codeReadOnly, "cannot write: server %s has been stopped", n.name)
	case c.held && c.term != n.term:
		return errorf(codeReadOnly, "cannot write: the term has changed")
	case !c.held && n.draining != "":
		return errorf(codeReadOnly, "cannot write: server %s hands over to %s", n.name, n.draining)
	}
	return nil
}

// releaseWrite ends a transaction's right to write.
func (n *node) releaseWrite(c *writeClaim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.held && c.run == n.run {
		n.writers--
	}
	c.held = false
}

// commit writes a transaction to the log. It fails if the server is no longer
// primary of the term under which the transaction wrote, or has been stopped
// since, and if a key that the transaction inserted exists by now.
func (n *node) commit(c *writeClaim, tx *transaction, committed func(translog.Record)) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != state.Primary || n.term != c.term || n.run != c.run {
		return errorf(codeRolledBack, "the transaction was rolled back: server %s is no longer primary of term %d", n.name, c.term)
	}
	for key := range tx.inserted {
		if _, exists := n.log.Value(key); exists {
			return duplicateKey(key)
		}
	}
	r := translog.Record{
		Term:      n.term,
		Position:  n.log.Position() + 1,
		Ops:       tx.ops,
		Committed: time.Now(),
	}
	n.log.Append(r)
	committed(r)
	return nil
}

// read calls f with the committed data.
func (n *node) read(f func(log *translog.Log)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.log)
}
