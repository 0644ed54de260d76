package dbgroup

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// historyLength is the number of terms that a status reports.
const historyLength = 16

// node is what one server knows about replication: its role, terms and log. It
// survives a stop of the server.
type node struct {
	name string

	mu        lockrank.Mutex // guards the fields below
	log       *translog.Log
	role      state.Role
	adopted   uint64 // highest term promised to
	term      uint64 // term of which this server is primary, or whose primary it follows
	following string // primary that it follows; empty if none
	aligned   bool   // the log tail that the followed primary lacks has been dropped
	draining  string // server that a switchover hands over to; empty if none
	writers   int    // open transactions that have written
	run       uint64 // number of starts and stops; a transaction of an earlier run cannot commit
	up        bool
	paused    bool
	isolated  bool          // sends and receives no log records
	held      bool          // receives no log records
	delay     time.Duration // of replication to this server
}

func newNode(o ServerOptions, primary string) *node {
	n := &node{
		name:    o.Name,
		mu:      lockrank.New(rankNode),
		log:     translog.New(),
		role:    state.Primary,
		adopted: initialTerm,
		term:    initialTerm,
		delay:   o.ReplicationDelay,
	}
	if o.Name != primary {
		n.role, n.following = state.Replica, primary
	}
	n.startTerm(initialTerm)
	return n
}

// startTerm writes the record that starts a term. The caller holds n.mu or is
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
		AdoptedTerm: n.adopted,
		LogTerm:     n.log.Term(),
		Position:    n.log.Position(),
		Primary:     n.following,
		SwitchingTo: n.draining,
		History:     n.log.LatestTerms(historyLength),
		Truncations: n.log.Truncations(),
	}
}

// primaryTerm returns the term under which the server accepts writes.
func (n *node) primaryTerm() (term uint64, primary bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term, n.role == state.Primary
}

// adopt promises to refuse terms below the given one. A primary of a lower term
// stops being primary. It returns the reason of a refusal, or an empty string.
func (n *node) adopt(term uint64) (refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term <= n.adopted {
		return fmt.Sprintf("term %d is not above the adopted term %d", term, n.adopted)
	}
	n.adopted = term
	if n.role == state.Primary {
		n.role, n.following, n.draining = state.Replica, "", ""
	}
	return ""
}

// promote makes the server primary of the adopted term. A repeated order has no
// further effect.
func (n *node) promote(term uint64, promoted func(TermStart)) (refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term != n.adopted:
		return fmt.Sprintf("term %d is not the adopted term %d", term, n.adopted)
	case n.role == state.Primary:
		return ""
	case n.following != "" && n.term == term:
		return fmt.Sprintf("follows %s, which is primary of term %d", n.following, term)
	}
	n.role, n.term, n.following, n.draining = state.Primary, term, "", ""
	promoted(TermStart{Server: n.name, Term: term, Base: state.Point{Term: n.log.Term(), Position: n.log.Position()}})
	n.startTerm(term)
	return ""
}

// follow makes the server a replica of the term's primary. The log tail is
// dropped once the primary is reached.
func (n *node) follow(term uint64, primary string) (refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case term < n.adopted:
		return fmt.Sprintf("term %d is below the adopted term %d", term, n.adopted)
	case n.role == state.Primary && n.term == term:
		return fmt.Sprintf("is primary of term %d itself", term)
	case n.following == primary && n.term == term:
		return ""
	}
	n.adopted, n.term = term, term
	n.role, n.following, n.draining = state.Replica, primary, ""
	n.aligned = false
	return ""
}

// drain refuses new writes in favour of the given server.
func (n *node) drain(term uint64, to string) (refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused := n.notPrimaryOf(term); refused != "" {
		return refused
	}
	n.draining = to
	return ""
}

// drained reports whether the server has no write in progress, and how far its
// log reaches.
func (n *node) drained(term uint64, to string) (done bool, last state.Point, refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused := n.notPrimaryOf(term); refused != "" {
		return false, state.Point{}, refused
	}
	if n.draining != to {
		return false, state.Point{}, "the switchover was given up"
	}
	return n.writers == 0, state.Point{Term: n.log.Term(), Position: n.log.Position()}, ""
}

// resume accepts writes again after drain.
func (n *node) resume(term uint64) (refused string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused := n.notPrimaryOf(term); refused != "" {
		return refused
	}
	n.draining = ""
	return ""
}

// notPrimaryOf returns the reason why the server is not primary of the term.
// The caller holds n.mu.
func (n *node) notPrimaryOf(term uint64) string {
	if n.role != state.Primary || n.term != term {
		return fmt.Sprintf("is not primary of term %d", term)
	}
	return ""
}

// set changes a setting of the node.
func (n *node) set(f func(n *node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

// currentRun returns the number of the present run.
func (n *node) currentRun() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.run
}

// setUp records a start or stop. Transactions of the time before cannot commit,
// and a switchover in progress is forgotten.
func (n *node) setUp(up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = up
	n.run++
	n.writers = 0
	n.paused = false
	n.draining = ""
}
