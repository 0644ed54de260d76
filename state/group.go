package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

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
	History     []TermStart // starts of the most recent terms in the log, ascending
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
}

// Reachable reports whether the latest contact with the server succeeded.
func (v *ServerView) Reachable() bool { return !v.AskedAt.IsZero() && v.FailedAt.IsZero() }

// PositionSample says that the primary of Term had reached Position by At.
type PositionSample struct {
	At       time.Time // when the query was sent
	Term     uint64
	Position uint64
}

// WaitKind says what a position waiter waits for.
type WaitKind int

// Kinds of waiters.
const (
	WaitDurable WaitKind = iota // the writes so far are held by a majority under Term
	WaitCover                   // the server covers Point, and is no older than MaxAge if that is set
	WaitPrimary                 // a primary other than the one known to have failed
)

// WaiterID names the request that waits.
type WaiterID struct {
	Session uint64
	Request uint64
}

// PositionWaiter is a request that waits for positions of a group.
type PositionWaiter struct {
	ID       WaiterID
	Kind     WaitKind
	Joined   time.Time
	Deadline time.Time
	Term     uint64        // WaitDurable: the term under which the write ran
	Target   uint64        // WaitDurable: the position to be held; zero until known
	Server   string        // WaitDurable: the primary that ran the write; WaitCover: the replica
	Point    Point         // WaitCover
	MaxAge   time.Duration // WaitCover
}

// PositionRound is one query of the status of every server of a group.
type PositionRound struct {
	Number  uint64
	Started time.Time
	Pending int // answers outstanding
}

// GroupState is what this VM knows of a database group and who waits for it.
type GroupState struct {
	Name    string
	Term    uint64 // highest term under which a primary was seen
	Primary string // primary of Term; empty if unknown
	Servers map[string]*ServerView
	Samples []PositionSample // ascending by time
	Waiters []PositionWaiter
	Round   PositionRound
	// Failover is this VM's part in the group's failover.
	Failover FailoverState
}

// FailoverStep says how far this VM's promotion attempt has come.
type FailoverStep int

// Steps of a promotion.
const (
	FailoverIdle FailoverStep = iota
	FailoverAdopting
	FailoverPromoting
	FailoverFollowing
	FailoverSwitching // planned switchover: the primary drains to its successor
)

// FailoverState is this VM's part in the failover of one group.
type FailoverState struct {
	Step         FailoverStep
	Term         uint64 // term being established
	Candidate    string
	Adopted      map[string]ServerStatus
	Refused      map[string]bool
	StepStarted  time.Time
	SuspectSince time.Time // zero while the primary is trusted
	MissedProbes int
	NextProbe    time.Time
}

// maxSamples bounds the positions of the primary that are remembered per group
// to measure the age of replicas.
const maxSamples = 64

// GroupTable holds the views of all groups.
type GroupTable struct {
	mu     lockrank.Mutex // guards groups and everything reachable from it
	groups map[string]*GroupState
}

// NewGroupTable returns an empty table.
func NewGroupTable() *GroupTable {
	return &GroupTable{mu: lockrank.New(lockrank.Groups), groups: make(map[string]*GroupState)}
}

// With calls f with the state of the named group under the table's lock. The
// state is created if it does not exist. f must not keep it.
func (t *GroupTable) With(name string, f func(g *GroupState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		g = &GroupState{Name: name, Servers: make(map[string]*ServerView)}
		t.groups[name] = g
	}
	f(g)
}

// Each calls f with the state of every group under the table's lock.
func (t *GroupTable) Each(f func(g *GroupState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		f(g)
	}
}

// View returns the view of the named server, created if it does not exist.
func (g *GroupState) View(server string) *ServerView {
	v := g.Servers[server]
	if v == nil {
		v = &ServerView{}
		g.Servers[server] = v
	}
	return v
}

// Observe records the answer to a status query that was sent at asked. Answers
// that are older than the recorded one are ignored.
func (g *GroupState) Observe(st ServerStatus, asked time.Time) {
	v := g.View(st.Server)
	if asked.Before(v.AskedAt) {
		return
	}
	v.Status = st
	v.AskedAt = asked
	v.FailedAt = time.Time{}
	if st.Role != Primary || st.AdoptedTerm != st.LogTerm || st.LogTerm < g.Term {
		return
	}
	if st.LogTerm > g.Term || g.Primary == "" {
		g.Term, g.Primary = st.LogTerm, st.Server
	}
	g.Samples = append(g.Samples, PositionSample{At: asked, Term: st.LogTerm, Position: st.Position})
	if n := len(g.Samples) - maxSamples; n > 0 {
		g.Samples = append(g.Samples[:0], g.Samples[n:]...)
	}
}

// ObserveFailure records that a contact with the server failed.
func (g *GroupState) ObserveFailure(server string, at time.Time) {
	v := g.View(server)
	if at.Before(v.AskedAt) {
		return
	}
	v.FailedAt = at
}

// Age returns the greatest age that the server's data can have: the time since
// the latest moment at which the primary was known to be no further than the
// server is now known to be. It is unknown if there is no such moment.
func (g *GroupState) Age(server string, now time.Time) (age time.Duration, known bool) {
	v := g.Servers[server]
	if v == nil || v.AskedAt.IsZero() {
		return 0, false
	}
	for i := len(g.Samples) - 1; i >= 0; i-- {
		s := g.Samples[i]
		if s.Term == v.Status.LogTerm && s.Position <= v.Status.Position {
			return now.Sub(s.At), true
		}
	}
	return 0, false
}
