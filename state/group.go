package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// PositionSample records that the primary of Term had reached Position by At.
type PositionSample struct {
	At       time.Time // when the query was sent
	Term     uint64
	Position uint64
	// Unconfirmed is set until a majority is known not to have adopted a later
	// term before At. An isolated primary that was replaced still answers, and a
	// replica that has reached its position may still be stale.
	Unconfirmed bool
}

// GroupState is this VM's view of a database group and the requests that wait
// for it.
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
	// Majority is the number of servers that form a majority; zero until the
	// group is configured.
	Majority   int
	configured *Group
}

// Limits of the primary's positions that are kept per group to measure the
// staleness of replicas. Under load positions arrive every millisecond; without
// a minimum interval the samples would cover less time than replicas lag.
const (
	maxSamples        = 128
	minSampleInterval = 25 * time.Millisecond // between two samples before the latest
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

// With calls f with the state of the named group while holding the table's
// lock. It creates the state if it does not exist. f must not retain it.
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

// Each calls f with the state of every group while holding the table's lock.
func (t *GroupTable) Each(f func(g *GroupState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		f(g)
	}
}

// View returns the view of the named server and creates it if it does not
// exist.
func (g *GroupState) View(server string) *ServerView {
	v := g.Servers[server]
	if v == nil {
		v = &ServerView{}
		g.Servers[server] = v
	}
	return v
}

// Configure records the configured servers of the group and drops the views of
// servers that are no longer part of it. group is nil if it is not configured.
func (g *GroupState) Configure(group *Group) {
	if group == g.configured {
		return
	}
	g.configured = group
	if group == nil {
		return
	}
	g.Majority = group.Majority()
	for name := range g.Servers {
		if group.Server(name) == nil {
			delete(g.Servers, name)
		}
	}
}

// Observe records the answer to a status query sent at queriedAt. An answer older
// than the recorded one is ignored.
func (g *GroupState) Observe(st ServerStatus, queriedAt time.Time) {
	v := g.View(st.Server)
	// The adopted term never decreases, so it orders answers to queries that
	// overlapped.
	switch later := st.AdoptedTerm > v.Status.AdoptedTerm; {
	case queriedAt.Before(v.QueriedAt) && !later:
		return
	case queriedAt.Equal(v.QueriedAt) && st.AdoptedTerm < v.Status.AdoptedTerm:
		return
	}
	v.Status = st
	v.Missed, v.Down = 0, false
	v.SilentSince = time.Time{}
	if queriedAt.After(v.QueriedAt) {
		v.QueriedAt = queriedAt
	}
	if !queriedAt.Before(v.FailedAt) {
		v.FailedAt = time.Time{}
	}
	v.recordTruncations()
	g.observePrimary(&st, queriedAt)
	g.confirmSamples()
}

func (g *GroupState) observePrimary(st *ServerStatus, queriedAt time.Time) {
	if !st.Leads(st.LogTerm) || st.LogTerm < g.Term {
		return
	}
	g.Learn(st.LogTerm, st.Server)
	g.addSample(PositionSample{At: queriedAt, Term: st.LogTerm, Position: st.Position, Unconfirmed: true})
}

func (g *GroupState) addSample(s PositionSample) {
	n := len(g.Samples)
	switch {
	case n > 0 && s.At.Before(g.Samples[n-1].At):
		return
	case n > 1 && g.Samples[n-1].Term == s.Term && g.Samples[n-1].At.Sub(g.Samples[n-2].At) < minSampleInterval:
		g.Samples[n-1] = s
		return
	case n == maxSamples:
		g.Samples = append(g.Samples[:0], g.Samples[1:]...)
	}
	g.Samples = append(g.Samples, s)
}

// Learn records that primary was promoted under term. It reports whether this
// was new. The term never decreases.
func (g *GroupState) Learn(term uint64, primary string) bool {
	if term < g.Term || term == g.Term && g.Primary != "" {
		return false
	}
	g.Term, g.Primary = term, primary
	return true
}

// confirmSamples marks the samples at whose time no later primary can have
// existed, because a majority answered queries sent since then without a later
// term.
func (g *GroupState) confirmSamples() {
	for i := len(g.Samples) - 1; i >= 0 && g.Samples[i].Unconfirmed; i-- {
		s := &g.Samples[i]
		s.Unconfirmed = g.countAdoptedAtMost(s.Term, s.At) < g.Majority
	}
}

// countAdoptedAtMost counts the servers that answered a query sent at or
// after the given time and had not adopted a term above the given one.
func (g *GroupState) countAdoptedAtMost(term uint64, since time.Time) int {
	n := 0
	for _, v := range g.Servers {
		if !v.QueriedAt.IsZero() && !v.QueriedAt.Before(since) && v.Status.AdoptedTerm <= term {
			n++
		}
	}
	return n
}

// ObserveFailure records that contacting the server failed at the given time.
func (g *GroupState) ObserveFailure(server string, at time.Time) {
	v := g.View(server)
	if at.Before(v.QueriedAt) {
		return
	}
	v.FailedAt = at
}

// UsablePrimary returns the primary and its term. ok is false if the primary is
// unknown, known to have failed, deposed, or draining for a switchover.
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

// Age returns an upper bound of the staleness of the server's data: the time
// since the latest confirmed sample of the server's log term that the server is
// known to have reached. known is false if there is no such sample.
func (g *GroupState) Age(server string, now time.Time) (age time.Duration, known bool) {
	v := g.Servers[server]
	if v == nil || v.QueriedAt.IsZero() {
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
