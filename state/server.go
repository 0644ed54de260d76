package state

import "time"

// Role is the replication role of a backend server.
type Role string

// Roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// TermStart is the position at which a term's log begins.
type TermStart struct {
	Term     uint64
	Position uint64
}

// ServerStatus is what a backend server says of itself.
type ServerStatus struct {
	Server      string
	Role        Role
	AdoptedTerm uint64      // highest term that the server has promised to
	LogTerm     uint64      // term of the last log record held
	Position    uint64      // position of the last log record held
	Primary     string      // server that a replica follows
	SwitchingTo string      // successor for which a primary refuses writes; empty if it accepts them
	History     []TermStart // starts of the most recent terms in the log, ascending
	Truncations uint64      // how often the server has dropped a tail of its log; never decreases
}

// Leads reports whether the server can accept writes under the given term.
func (s *ServerStatus) Leads(term uint64) bool {
	return s.Role == Primary && s.LogTerm == term && s.AdoptedTerm == term
}

// Holds reports whether the server counts towards the majority that holds p:
// it has p in its log and has promised to no later term.
func (s *ServerStatus) Holds(p Point) bool {
	return s.LogTerm == p.Term && s.AdoptedTerm == p.Term && s.Position >= p.Position
}

// Start returns the position at which the given term begins in the server's
// log, if the server knows it.
func (s *ServerStatus) Start(term uint64) (position uint64, known bool) {
	for _, h := range s.History {
		if h.Term == term {
			return h.Position, true
		}
	}
	return 0, false
}

// End returns the position at which the given term ends in the server's log,
// which is the start of the term that directly follows it there.
func (s *ServerStatus) End(term uint64) (position uint64, known bool) {
	for i, h := range s.History {
		if h.Term == term && i+1 < len(s.History) {
			return s.History[i+1].Position, true
		}
	}
	return 0, false
}

// Point is a place in a group's log.
type Point struct {
	Term     uint64
	Position uint64
}

// Covers reports whether the server holds every acknowledged write up to p.
// Acknowledged writes of an earlier term lie before the start of every later
// term, so a server that has begun a later term holds them.
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

// ServerView is what this VM knows of a backend server.
type ServerView struct {
	Status    ServerStatus
	AskedAt   time.Time // when the query was sent that Status answers; zero if never
	FailedAt  time.Time // latest failure after AskedAt; zero if none
	ReturnsAt time.Time // when the server was seen to come back into service; its weight ramps up from here

	Round         uint64    // latest round that the server answered
	Outstanding   uint64    // round of the status query that is unanswered; zero if none
	SilentSince   time.Time // when the first query after the latest answer was sent; zero if none was
	Missed        int       // status queries that failed since the latest answer
	Down          bool      // the latest of them was refused by the host: no process listens
	IntactFrom    uint64    // lowest term that the server was seen to lead since its latest known truncation; zero if none
	Truncations   uint64    // as the server said while it led IntactFrom
	DetachedSince time.Time // since when the server is seen not to follow the primary; zero if it follows
	FollowAt      time.Time // when it may be told again to follow
}

// Reachable reports whether the latest contact with the server succeeded.
func (v *ServerView) Reachable() bool { return !v.AskedAt.IsZero() && v.FailedAt.IsZero() }

// noteIntact notes the server's number of truncations while it leads.
func (v *ServerView) noteIntact() {
	st := &v.Status
	if !st.Leads(st.LogTerm) || v.IntactFrom != 0 && v.Truncations == st.Truncations {
		return
	}
	v.IntactFrom, v.Truncations = st.LogTerm, st.Truncations
}

// LogEnd returns a point that lies behind every write that the server has
// executed since it was first seen to lead the given term. It is known while the
// server leads, and later as long as it has dropped nothing: whichever primary
// it follows then, these writes are in its log up to its end.
func (v *ServerView) LogEnd(term uint64) (p Point, known bool) {
	st := &v.Status
	intact := v.IntactFrom != 0 && v.IntactFrom <= term && v.Truncations == st.Truncations
	if !intact && !st.Leads(term) {
		return Point{}, false
	}
	return Point{Term: st.LogTerm, Position: st.Position}, true
}
