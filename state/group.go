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

// PositionSample says that the primary of Term had reached Position by At.
type PositionSample struct {
	At       time.Time // when the query was sent
	Term     uint64
	Position uint64
	// Unconfirmed is set until a majority is known not to have promised to a
	// later term before At. An isolated primary that was replaced still answers,
	// and being level with it says nothing about age.
	Unconfirmed bool
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
	Server   string        // WaitDurable: the primary that ran the write; WaitCover: the replica
	Point    Point         // WaitCover
	MaxAge   time.Duration // WaitCover; zero sets no bound
	Alone    bool          // WaitDurable: no other write is served by the same round; a baseline for measurements

	// The fields below are written by package replication.
	FirstRound  uint64 // first round that started after the waiter joined
	Target      Point  // WaitDurable: the point to be held
	TargetKnown bool
}

// PositionRound is one query of the status of every server of a group.
type PositionRound struct {
	Number   uint64
	Started  time.Time
	Pending  int           // answers outstanding
	Answered int           // answers received
	Settled  int           // waiters that got their result since the round started
	Spacing  time.Duration // time from Started after which the next round may start
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
	// Majority is the number of servers that make a majority; zero until the
	// group was configured.
	Majority   int
	configured *Group
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

// Condition is what this VM concludes about a group's primary.
type Condition int

// Conditions of a group.
const (
	ConditionUncertain Condition = iota // not enough is known to act
	ConditionHealthy
	ConditionFailed   // the primary does not answer
	ConditionHeadless // a majority answers, and no server can get writes acknowledged
	ConditionStray    // the primary works, but a server has promised to a later term and cannot follow it
)

// FailoverState is this VM's part in the failover of one group.
type FailoverState struct {
	Condition      Condition
	ConditionSince time.Time
	SuspectSince   time.Time // zero while the primary is trusted
	ReportedAt     time.Time // when another VM last reported that it suspects the primary
	LeavingSince   time.Time // since when the primary is known to be leaving; zero if it is not
	SwitchingSince time.Time // since when the primary is seen to refuse writes for a switchover

	Step        FailoverStep
	Term        uint64 // latest term that this VM tried to establish; never used twice
	Candidate   string // server to promote; in a planned switchover known from the start
	Predecessor string // primary that was drained for this attempt; empty unless planned
	Adopted     map[string]ServerStatus
	Refused     map[string]bool // servers that will not adopt Term
	Following   map[string]bool // servers whose answer to a follow order is outstanding
	Began       time.Time       // when the attempt began
	StepStarted time.Time
	StepEnds    time.Time // when the step is given up
	MajorityAt  time.Time // when a majority had adopted Term; zero until then
	Attempts    int       // failed attempts in a row
	RetryAt     time.Time // no new attempt before this time
	// SwitchoverAt is the earliest time of the next planned switchover. It is
	// apart from RetryAt, so that a failed switchover delays no failover.
	SwitchoverAt time.Time
}

// The positions of the primary that are remembered per group to measure the age
// of replicas. Under load positions arrive every millisecond; without a spacing
// the samples would reach back less far than replicas lag.
const (
	maxSamples    = 128
	sampleSpacing = 25 * time.Millisecond // least time between two samples before the latest
)

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

// Configure records the configured servers of the group and forgets servers
// that it no longer has. grp is nil if the group is not configured.
func (g *GroupState) Configure(grp *Group) {
	if grp == g.configured {
		return
	}
	g.configured = grp
	if grp == nil {
		return
	}
	g.Majority = grp.Majority()
	for name := range g.Servers {
		if grp.Server(name) == nil {
			delete(g.Servers, name)
		}
	}
}

// Observe records the answer to a query that was sent at asked. Answers that
// are older than the recorded one are ignored.
func (g *GroupState) Observe(st ServerStatus, asked time.Time) {
	v := g.View(st.Server)
	// The adopted term never decreases, so it orders answers whose queries
	// overlapped.
	switch later := st.AdoptedTerm > v.Status.AdoptedTerm; {
	case asked.Before(v.AskedAt) && !later:
		return
	case asked.Equal(v.AskedAt) && st.AdoptedTerm < v.Status.AdoptedTerm:
		return
	}
	v.Status = st
	v.Missed, v.Down = 0, false
	v.SilentSince = time.Time{}
	if asked.After(v.AskedAt) {
		v.AskedAt = asked
	}
	if !asked.Before(v.FailedAt) {
		v.FailedAt = time.Time{}
	}
	v.noteIntact()
	g.observePrimary(&st, asked)
	g.confirmSamples()
}

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

func (g *GroupState) observePrimary(st *ServerStatus, asked time.Time) {
	if !st.Leads(st.LogTerm) || st.LogTerm < g.Term {
		return
	}
	g.Learn(st.LogTerm, st.Server)
	g.addSample(PositionSample{At: asked, Term: st.LogTerm, Position: st.Position, Unconfirmed: true})
}

func (g *GroupState) addSample(s PositionSample) {
	n := len(g.Samples)
	switch {
	case n > 0 && s.At.Before(g.Samples[n-1].At):
		return
	case n > 1 && g.Samples[n-1].Term == s.Term && g.Samples[n-1].At.Sub(g.Samples[n-2].At) < sampleSpacing:
		g.Samples[n-1] = s
		return
	case n == maxSamples:
		g.Samples = append(g.Samples[:0], g.Samples[1:]...)
	}
	g.Samples = append(g.Samples, s)
}

// Learn records that primary was promoted under term. It reports whether that
// was new. The term never decreases.
func (g *GroupState) Learn(term uint64, primary string) bool {
	if term < g.Term || term == g.Term && g.Primary != "" {
		return false
	}
	g.Term, g.Primary = term, primary
	return true
}

// confirmSamples marks the samples at whose time no later primary can have
// existed: a majority answered queries sent since then without a later term.
func (g *GroupState) confirmSamples() {
	for i := len(g.Samples) - 1; i >= 0 && g.Samples[i].Unconfirmed; i-- {
		s := &g.Samples[i]
		s.Unconfirmed = g.supporters(s.Term, s.At) < g.Majority
	}
}

// supporters counts the servers that answered a query sent since the given
// time and had promised to no term above the given one.
func (g *GroupState) supporters(term uint64, since time.Time) int {
	n := 0
	for _, v := range g.Servers {
		if !v.AskedAt.IsZero() && !v.AskedAt.Before(since) && v.Status.AdoptedTerm <= term {
			n++
		}
	}
	return n
}

// ObserveFailure records that a contact with the server failed at the given
// time.
func (g *GroupState) ObserveFailure(server string, at time.Time) {
	v := g.View(server)
	if at.Before(v.AskedAt) {
		return
	}
	v.FailedAt = at
}

// UsablePrimary returns the primary and its term, unless it is not known, known
// to have failed, deposed or drained for a switchover.
func (g *GroupState) UsablePrimary() (server string, term uint64, ok bool) {
	if g.Primary == "" {
		return "", 0, false
	}
	v := g.Servers[g.Primary]
	if v == nil {
		return g.Primary, g.Term, true
	}
	if !v.FailedAt.IsZero() || v.Status.AdoptedTerm > g.Term || v.Status.SwitchingTo != "" {
		return "", 0, false
	}
	return g.Primary, g.Term, true
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
		if !s.Unconfirmed && s.Term == v.Status.LogTerm && s.Position <= v.Status.Position {
			return now.Sub(s.At), true
		}
	}
	return 0, false
}
