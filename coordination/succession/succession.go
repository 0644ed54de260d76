// Package succession decides when a group needs a new primary and selects it.
//
// The platform performs promotions on the order of a single VM, the failover
// coordinator (see placement.View.FailoverCoordinator). Each order carries a
// unique fencing token, so an order that is executed after a newer one has no
// effect.
package succession

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// confirmationInterval is the age from which the coordinator renews a
	// confirmation of leadership, in a deployment with few groups.
	confirmationInterval = 300 * time.Millisecond
	// intervalPerGroup limits the coordinator to 200 queries per second. With 800
	// groups an idle group is queried every 4 s, which leaves 3 s of the 7 s in
	// which a change of primary must be complete.
	intervalPerGroup = 5 * time.Millisecond
	// lostTimeout is how long all VMs must have been without a confirmation for the
	// primary to count as lost. It exceeds the duration of the longest
	// statements and the time in which a VM that lost its connection owner finds
	// another one.
	lostTimeout = time.Second
	// refusedTimeout is the same for a primary that refuses connections.
	refusedTimeout = 500 * time.Millisecond
	// registrationGrace is how long after the latest registration of a new server
	// others may still be missing. When a large deployment starts, servers register
	// one after the other, and the replicas of a group may be known before its
	// primary.
	registrationGrace = 2500 * time.Millisecond
	// minFailures is the number of queries that must have failed since the latest
	// confirmation, or for refusedTimeout the number of refused connections.
	minFailures = 2
	// RepeatAfter is how long an order may have no effect before it is repeated.
	RepeatAfter = 700 * time.Millisecond
)

// QueryInterval returns the age from which the coordinator renews a confirmation of
// leadership, for the given number of groups.
func QueryInterval(groups int) time.Duration {
	return max(confirmationInterval, time.Duration(groups)*intervalPerGroup)
}

// GroupStatus holds what the coordinator knows about a group.
type GroupStatus struct {
	Interval     time.Duration   // see QueryInterval
	Primary      *catalog.Server // most likely primary; nil if none is known
	Leaving      bool            // Primary is being taken out of service
	Confirmed    bool            // Primary confirmed its leadership last; orders for any other server promote it
	ConfirmedAt  time.Duration   // latest leadership confirmation that any VM has
	Failures     int             // queries that failed since then
	Refusals     int             // of these, refused connections
	WatchedSince time.Duration   // when the coordinator began to watch the group
	Isolated     bool            // the coordinator has no contact with a majority of the VMs
	// RegisteredAt is the time of the latest registration of a new server.
	RegisteredAt time.Duration
	Now          time.Duration
}

// RecentlyConfirmed reports whether the primary has confirmed its leadership within the
// time after which it would count as lost.
func (s *GroupStatus) RecentlyConfirmed() bool {
	return s.Confirmed && s.Now-s.ConfirmedAt <= lostTimeout
}

// Action is the coordinator's action on a group.
type Action uint8

// Values of Action.
const (
	Nothing      Action = iota
	QueryPrimary        // query the primary for a leadership confirmation
	Switchover          // replace a leaving primary without losing commits
	Replace             // replace a lost primary
)

// Decide returns the action that is due. A switchover begins only with a recent leadership
// confirmation: a primary that is merely watched may have been replaced by another
// coordinator meanwhile.
func Decide(s GroupStatus) Action {
	age := s.Now - max(s.ConfirmedAt, s.WatchedSince)
	missing := s.Primary == nil && (s.ConfirmedAt != 0 || s.Now-s.RegisteredAt > registrationGrace)
	lost := age > lostTimeout && (s.Failures >= minFailures || missing)
	refusing := age > refusedTimeout && s.Refusals >= minFailures
	leaving := s.Leaving && !s.Isolated
	confirmed := s.Now-s.ConfirmedAt <= lostTimeout
	switch {
	case (lost || refusing) && !s.Isolated:
		return Replace
	case leaving && confirmed:
		return Switchover
	case s.Primary != nil && (age > s.Interval || leaving):
		return QueryPrimary
	}
	return Nothing
}

// Candidate is a server that may become the primary.
type Candidate struct {
	Server   *catalog.Server
	Received state.Point // end of its log
	Usable   bool        // accepts new work
	// Diverged says that the log has commits which a promotion dropped, see
	// leadership.Group.Diverged and Promotions.Diverged. All other logs are better.
	Diverged  bool
	LeadsTerm uint64 // term of which it says that it is the primary, or zero
	KnownTerm uint64 // newest term that any server knows
}

// BeginsTerm returns a lower bound of the term that a promotion of the candidate begins,
// where known is the newest term that the fleet knows. It reports false if the candidate
// already leads the newest one.
func (c Candidate) BeginsTerm(known uint64) (uint64, bool) {
	newest := max(known, c.KnownTerm)
	return newest + 1, c.LeadsTerm == 0 || c.LeadsTerm < newest
}

// Survey holds what the servers of a group reported that may replace its primary.
type Survey struct {
	Candidates []Candidate
	// Silent has the IDs of the other members of the group, which did not report or whose
	// log may still grow. The lost primary is one of them.
	Silent []string
	Led    bool // another server than the lost primary reported that it leads
}

// SelectSuccessor returns the server to promote in place of a lost primary. It reports
// false if there is none, if a server that did not report may be the only one that has all
// acknowledged commits, or if the group has a primary.
//
// If a commit is acknowledged only once syncReplicas replicas have received it, it is in
// the logs of syncReplicas + 1 members. So the longest of the reported logs has all
// acknowledged commits unless more than syncReplicas members are silent. The server with
// that log is selected even if it is being taken out of service. With syncReplicas zero no
// replica is sure to have them, so the usable server with the longest log is selected.
func SelectSuccessor(s Survey, syncReplicas int) (Candidate, bool) {
	usable, found := BestCandidate(s.Candidates)
	if syncReplicas == 0 {
		return usable, found
	}
	if s.Led || len(s.Silent) > syncReplicas {
		return Candidate{}, false
	}
	best := usable
	for _, c := range s.Candidates {
		if !found || c.isBetter(best) {
			best, found = c, true
		}
	}
	return best, found
}

// BestCandidate returns the usable candidate with the longest log that has not diverged, or
// else the longest one. It reports false if there is none.
func BestCandidate(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	found := false
	for _, c := range candidates {
		if c.Usable && (!found || c.isBetter(best)) {
			best, found = c, true
		}
	}
	return best, found
}

func (c Candidate) isBetter(other Candidate) bool {
	if c.Diverged != other.Diverged {
		return other.Diverged
	}
	return isLonger(c.Received, other.Received)
}

func isLonger(a, b state.Point) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Position > b.Position
}

// Holds reports whether a log that ends at p includes everything up to q.
func Holds(p, q state.Point) bool { return p == q || isLonger(p, q) }
