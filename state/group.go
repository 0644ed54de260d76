package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

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
