package state

import "time"

// Role is the replication role of a backend server.
type Role string

// Values of Role.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// TermStart is the position at which the log of a term begins.
type TermStart struct {
	Term     uint64
	Position uint64
}

// ServerStatus is the status that a backend server reports of itself.
type ServerStatus struct {
	Server      string
	Role        Role
	AdoptedTerm uint64      // highest term that the server has adopted; it no longer counts towards a majority under an earlier one
	LogTerm     uint64      // term of the last log record held
	Position    uint64      // position of the last log record held
	Primary     string      // server that a replica follows
	SwitchingTo string      // successor for which a primary refuses writes; empty if it accepts them
	History     []TermStart // starts of the latest terms in the log, ascending
	Truncations uint64      // number of times the server has truncated its log; never decreases
}

// Leads reports whether the server can accept writes under the given term.
func (s *ServerStatus) Leads(term uint64) bool {
	return s.Role == Primary && s.LogTerm == term && s.AdoptedTerm == term
}

// Holds reports whether the server counts towards the majority that holds p:
// its log contains p and it has adopted no later term.
func (s *ServerStatus) Holds(p Point) bool {
	return s.LogTerm == p.Term && s.AdoptedTerm == p.Term && s.Position >= p.Position
}

// Start returns the position at which the given term begins in the server's
// log. known is false if the term is not in History.
func (s *ServerStatus) Start(term uint64) (position uint64, known bool) {
	for _, h := range s.History {
		if h.Term == term {
			return h.Position, true
		}
	}
	return 0, false
}

// End returns the position at which the given term ends in the server's log,
// which is where the next term in the log starts. known is false if the term or
// its successor is not in History.
func (s *ServerStatus) End(term uint64) (position uint64, known bool) {
	for i, h := range s.History {
		if h.Term == term && i+1 < len(s.History) {
			return s.History[i+1].Position, true
		}
	}
	return 0, false
}

// Point is a position in a group's log under a term.
type Point struct {
	Term     uint64
	Position uint64
}

// Covers reports whether the server holds every acknowledged write up to p.
// Acknowledged writes of an earlier term precede the start of every later term,
// so a server whose log has reached a later term holds them.
func (s *ServerStatus) Covers(p Point) bool {
	switch {
	case s.LogTerm == p.Term:
		return s.Position >= p.Position
	case s.LogTerm > p.Term:
		start, known := s.Start(s.LogTerm)
		return known && s.Position >= start
	default:
		return false
	}
}

// ServerView is this VM's view of a backend server.
type ServerView struct {
	Status     ServerStatus
	QueriedAt  time.Time // sending time of the query that Status answers; zero if none
	FailedAt   time.Time // latest failure after QueriedAt; zero if none
	ReturnedAt time.Time // when the server returned to service; its weight ramps up from then on

	Round                uint64    // latest round that the server answered
	Outstanding          uint64    // round of the unanswered status query; zero if none
	SilentSince          time.Time // sending time of the first query after the latest answer; zero if none
	Missed               int       // failed status queries since the latest answer
	Down                 bool      // the latest of them was refused by the host: no process listens
	UntruncatedSinceTerm uint64    // lowest term that the server was seen to lead since its latest known truncation; zero if none
	Truncations          uint64    // as reported by the server while it led UntruncatedSinceTerm
	DetachedSince        time.Time // when the server was first seen not to follow the primary; zero if it follows
	FollowAt             time.Time // earliest time of the next follow order
}

// Reachable reports whether the latest contact with the server succeeded.
func (v *ServerView) Reachable() bool { return !v.QueriedAt.IsZero() && v.FailedAt.IsZero() }

// recordTruncations records the server's number of truncations while it leads.
func (v *ServerView) recordTruncations() {
	st := &v.Status
	if !st.Leads(st.LogTerm) || v.UntruncatedSinceTerm != 0 && v.Truncations == st.Truncations {
		return
	}
	v.UntruncatedSinceTerm, v.Truncations = st.LogTerm, st.Truncations
}

// LogEnd returns a point at or after every write that the server has executed
// since it was first seen to lead the given term. The point is known while the
// server leads, and afterwards as long as it has not truncated its log:
// whichever primary it follows then, these writes remain in its log.
func (v *ServerView) LogEnd(term uint64) (p Point, known bool) {
	st := &v.Status
	untruncated := v.UntruncatedSinceTerm != 0 && v.UntruncatedSinceTerm <= term && v.Truncations == st.Truncations
	if !untruncated && !st.Leads(term) {
		return Point{}, false
	}
	return Point{Term: st.LogTerm, Position: st.Position}, true
}
