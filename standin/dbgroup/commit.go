package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// writePermit allows a transaction to write. It is granted at the first write and
// lasts until the transaction ends.
type writePermit struct {
	incarnation uint64 // of the server when the session began
	granted     bool
	term        uint64 // under which the permit was granted
}

// acquireWrite grants a permit, or checks that a granted one is still valid. It is
// called before each write executes.
func (n *node) acquireWrite(p *writePermit) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.writeError(p); err != nil || p.granted {
		return err
	}
	p.granted, p.term = true, n.term
	n.openWriters++
	return nil
}

// checkWrite returns the error that acquireWrite would return now.
func (n *node) checkWrite(p *writePermit) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.writeError(p)
}

// writeError returns an error if a transaction may not write. During a switchover
// only transactions that have already written may continue. The caller holds
// n.mu.
func (n *node) writeError(p *writePermit) *sqlError {
	switch {
	case n.role != state.Primary:
		return errorf(codeReadOnly, "cannot write: server %s is not the primary", n.name)
	case p.incarnation != n.incarnation:
		return errorf(codeReadOnly, "cannot write: server %s has been stopped", n.name)
	case p.granted && p.term != n.term:
		return errorf(codeReadOnly, "cannot write: the term has changed")
	case !p.granted && n.switchoverTarget != "":
		return errorf(codeReadOnly, "cannot write: server %s hands over to %s", n.name, n.switchoverTarget)
	}
	return nil
}

// releaseWrite returns the permit of a transaction that ends.
func (n *node) releaseWrite(p *writePermit) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p.granted && p.incarnation == n.incarnation {
		n.openWriters--
	}
	p.granted = false
}

// commit appends a transaction to the log. It fails if the server is no longer
// primary of the term under which the transaction wrote, if it has been stopped
// since, or if a key that the transaction inserted exists by now.
func (n *node) commit(p *writePermit, tx *transaction, recordCommit func(translog.Record)) *sqlError {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != state.Primary || n.term != p.term || n.incarnation != p.incarnation {
		return errorf(codeSerializationFailure, "the transaction was rolled back: server %s is no longer primary of term %d", n.name, p.term)
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
	recordCommit(r)
	return nil
}

// read calls f with the log and its committed data under the lock of the node.
func (n *node) read(f func(log *translog.Log)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.log)
}
