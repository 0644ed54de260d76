package dbgroup

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// maxStatusTerms is the greatest number of term starts in a status.
const maxStatusTerms = 16

// node is the replication state of a server: its role, terms and log. It is kept
// while the server is stopped.
type node struct {
	name string

	mu               lockrank.Mutex // guards the fields below
	log              *translog.Log
	role             state.Role
	adoptedTerm      uint64 // lower terms are refused
	term             uint64 // of which this server is primary, or whose primary it follows
	followedPrimary  string // empty if the server follows none
	aligned          bool   // the log has been truncated to its common part with that of the followed primary
	switchoverTarget string // server to which a switchover in progress hands over; empty if there is none
	openWriters      int    // open transactions that have written
	incarnation      uint64 // number of starts and stops; transactions of an earlier incarnation cannot commit
	running          bool
	paused           bool
	isolated         bool          // neither sends nor receives log records
	receiveHeld      bool          // sends log records but receives none
	replicationDelay time.Duration // from a commit on the primary until the record arrives here
}

func newNode(o ServerOptions, primary string) *node {
	n := &node{
		name:             o.Name,
		mu:               lockrank.New(rankNode),
		log:              translog.New(),
		role:             state.Primary,
		adoptedTerm:      initialTerm,
		term:             initialTerm,
		replicationDelay: o.ReplicationDelay,
	}
	if o.Name != primary {
		n.role, n.followedPrimary = state.Replica, primary
	}
	n.startTerm(initialTerm)
	return n
}

// startTerm appends the record that starts a term. The caller holds n.mu or is
// the only user of n.
func (n *node) startTerm(term uint64) {
	n.log.Append(translog.Record{
		Term:      term,
		Position:  n.log.Position() + 1,
		TermStart: true,
		Committed: time.Now(),
	})
}

func (n *node) status() state.ServerStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return state.ServerStatus{
		Server:      n.name,
		Role:        n.role,
		AdoptedTerm: n.adoptedTerm,
		LogTerm:     n.log.Term(),
		Position:    n.log.Position(),
		Primary:     n.followedPrimary,
		SwitchingTo: n.switchoverTarget,
		History:     n.log.LatestTerms(maxStatusTerms),
		Truncations: n.log.Truncations(),
	}
}

// primaryTerm returns the term of the server and whether it is the primary of
// that term.
func (n *node) primaryTerm() (term uint64, primary bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term, n.role == state.Primary
}

// adopt makes the server refuse lower terms. A primary of a lower term becomes a
// replica. Like the other control orders it returns the reason for a refusal, or
// an empty string.
func (n *node) adopt(term uint64) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term <= n.adoptedTerm {
		return fmt.Sprintf("term %d is not above the adopted term %d", term, n.adoptedTerm)
	}
	n.adoptedTerm = term
	if n.role == state.Primary {
		n.role, n.followedPrimary, n.switchoverTarget = state.Replica, "", ""
	}
	return ""
}

// promote makes the server primary of the adopted term. It is idempotent.
func (n *node) promote(term uint64, recordTermStart func(TermStart)) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term != n.adoptedTerm:
		return fmt.Sprintf("term %d is not the adopted term %d", term, n.adoptedTerm)
	case n.role == state.Primary:
		return ""
	case n.followedPrimary != "" && n.term == term:
		return fmt.Sprintf("follows %s, which is primary of term %d", n.followedPrimary, term)
	}
	n.role, n.term, n.followedPrimary, n.switchoverTarget = state.Primary, term, "", ""
	recordTermStart(TermStart{Server: n.name, Term: term, Base: state.Point{Term: n.log.Term(), Position: n.log.Position()}})
	n.startTerm(term)
	return ""
}

// follow makes the server a replica of the primary of the term. The log tail that
// this primary lacks is truncated when replication from it begins.
func (n *node) follow(term uint64, primary string) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term < n.adoptedTerm:
		return fmt.Sprintf("term %d is below the adopted term %d", term, n.adoptedTerm)
	case n.role == state.Primary && n.term == term:
		return fmt.Sprintf("is primary of term %d itself", term)
	case n.followedPrimary == primary && n.term == term:
		return ""
	}
	n.adoptedTerm, n.term = term, term
	n.role, n.followedPrimary, n.switchoverTarget = state.Replica, primary, ""
	n.aligned = false
	return ""
}

// beginSwitchover begins a switchover to the target: transactions that have not
// written yet are refused writes.
func (n *node) beginSwitchover(term uint64, target string) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refusal := n.refusalUnlessPrimary(term); refusal != "" {
		return refusal
	}
	n.switchoverTarget = target
	return ""
}

// switchoverStatus reports whether no transaction that wrote is open any more,
// and returns the end of the log. It refuses if the switchover is no longer in
// progress.
func (n *node) switchoverStatus(term uint64, target string) (noOpenWriters bool, end state.Point, refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refusal := n.refusalUnlessPrimary(term); refusal != "" {
		return false, state.Point{}, refusal
	}
	if n.switchoverTarget != target {
		return false, state.Point{}, "the switchover was given up"
	}
	return n.openWriters == 0, state.Point{Term: n.log.Term(), Position: n.log.Position()}, ""
}

// resume ends a switchover and accepts writes again.
func (n *node) resume(term uint64) (refusal string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refusal := n.refusalUnlessPrimary(term); refusal != "" {
		return refusal
	}
	n.switchoverTarget = ""
	return ""
}

// refusalUnlessPrimary returns the reason for refusing an order to the primary of
// the term, or an empty string if the server is that primary. The caller holds
// n.mu.
func (n *node) refusalUnlessPrimary(term uint64) string {
	if n.role != state.Primary || n.term != term {
		return fmt.Sprintf("is not primary of term %d", term)
	}
	return ""
}

// update changes fields of the node under its lock.
func (n *node) update(change func(n *node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// currentIncarnation returns the current number of starts and stops.
func (n *node) currentIncarnation() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// setRunning records a start or stop. Open transactions can no longer commit, and
// a pause and a switchover in progress end.
func (n *node) setRunning(running bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = running
	n.incarnation++
	n.openWriters = 0
	n.paused = false
	n.switchoverTarget = ""
}
