// Package succession decides when a group needs another primary and which
// server becomes it.
//
// The platform promotes; one VM, the steward, orders it. Each order carries a
// fencing token that was never used before, so an order that is carried out
// late, after a newer one, has no effect.
package succession

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// proofInterval is the age of a proof of lead from which the steward asks
	// for a new one, in a deployment with few groups.
	proofInterval = 300 * time.Millisecond
	// intervalPerGroup bounds the steward's questions to 200 a second. With 800
	// groups one without statements is asked every 4 s, which leaves 3 of the 7 s
	// in which a change of primary must be over.
	intervalPerGroup = 5 * time.Millisecond
	// deadAfter is how long no VM has had a proof before the primary is taken
	// for lost. It is more than the longest statements and the time in which a
	// VM that lost its executor finds another one.
	deadAfter = time.Second
	// goneAfter is the same for a primary at whose address nothing listens.
	goneAfter = 500 * time.Millisecond
	// registeredWithin is how long after the latest server was registered others
	// may still be missing: in a large deployment that starts they come one after
	// the other, and a group's replicas may be known before its primary.
	registeredWithin = 2500 * time.Millisecond
	// minFailures is how many questions must have failed in that time.
	minFailures = 2
	// RepeatAfter is how long an order may stay without effect.
	RepeatAfter = 700 * time.Millisecond
)

// AskInterval returns the age of a proof of lead from which the steward of so
// many groups asks for a new one.
func AskInterval(groups int) time.Duration {
	return max(proofInterval, time.Duration(groups)*intervalPerGroup)
}

// Facts are what the steward knows of a group.
type Facts struct {
	Interval time.Duration   // see AskInterval
	Primary  *catalog.Server // to ask as the primary; nil if none is known
	Leaving  bool            // Primary should take no new work
	ProvenAt time.Duration   // latest proof of lead by any VM
	Failures int             // questions that failed since then
	Refusals int             // of these, those at whose time nothing listened at the primary's address
	Since    time.Duration   // when the steward began to watch the group
	Isolated bool            // the steward hears no majority of the VMs
	// RegisteredAt is when a server that was not known registered last.
	RegisteredAt time.Duration
	Now          time.Duration
}

// Action is what the steward does about a group.
type Action uint8

// Actions.
const (
	Nothing  Action = iota
	Ask             // ask the primary for a proof of its lead
	HandOver        // replace a primary that is leaving, and lose nothing
	Replace         // replace a primary that is lost
)

// Decide returns what to do about a group now.
func Decide(f Facts) Action {
	age := f.Now - max(f.ProvenAt, f.Since)
	missing := f.Primary == nil && (f.ProvenAt != 0 || f.Now-f.RegisteredAt > registeredWithin)
	lost := age > deadAfter && (f.Failures >= minFailures || missing)
	gone := age > goneAfter && f.Refusals >= minFailures
	switch {
	case (lost || gone) && !f.Isolated:
		return Replace
	case f.Leaving && age <= deadAfter:
		return HandOver
	case age > f.Interval && f.Primary != nil:
		return Ask
	}
	return Nothing
}

// Candidate is a server that may become the primary.
type Candidate struct {
	Server   *catalog.Server
	Received state.Point // end of its log
	Usable   bool        // takes new work
}

// Best returns the candidate to promote: one that takes new work, with the
// longest log. It reports false if there is none.
func Best(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if c.Usable && (!found || longer(c.Received, best.Received)) {
			best, found = c, true
		}
	}
	return best, found
}

func longer(a, b state.Point) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Position > b.Position
}

// Holds reports whether a log that ends at p holds everything up to q.
func Holds(p, q state.Point) bool { return p == q || longer(p, q) }
