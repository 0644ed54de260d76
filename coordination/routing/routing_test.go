package routing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newGroup returns a group with a primary in dc1 at position 100 of term 2, which
// began at position 50, a replica in dc2 at position 90, and a replica in dc3 at
// position 40 of term 1.
func newGroup() (*state.Config, *state.Group, *state.GroupState) {
	grp := &state.Group{Name: "g", Servers: []state.BackendServer{
		{Name: "a", DataCentre: "dc1", State: state.InService},
		{Name: "b", DataCentre: "dc2", State: state.InService},
		{Name: "c", DataCentre: "dc3", State: state.InService},
	}}
	cfg := &state.Config{
		Groups:      map[string]*state.Group{"g": grp},
		DataCentres: map[string]*state.DataCentre{},
	}
	g := &state.GroupState{Name: "g", Servers: make(map[string]*state.ServerView)}
	history := []state.TermStart{{Term: 1, Position: 0}, {Term: 2, Position: 50}}
	at := now.Add(-time.Second)
	g.Observe(state.ServerStatus{Server: "a", Role: state.Primary, AdoptedTerm: 2, LogTerm: 2, Position: 85, History: history}, at.Add(-time.Second))
	g.Observe(state.ServerStatus{Server: "a", Role: state.Primary, AdoptedTerm: 2, LogTerm: 2, Position: 100, History: history}, at)
	g.Observe(state.ServerStatus{Server: "b", Role: state.Replica, AdoptedTerm: 2, LogTerm: 2, Position: 90, History: history}, at)
	g.Observe(state.ServerStatus{Server: "c", Role: state.Replica, AdoptedTerm: 1, LogTerm: 1, Position: 40, History: history[:1]}, at)
	return cfg, grp, g
}

// Guards against stale reads, reads of unknown age, and requests to leaving
// servers.
func TestChoose(t *testing.T) {
	primary := Choice{Kind: Send, Server: "a", Primary: true, Term: 2}
	replica := func(name string) Choice { return Choice{Kind: Send, Server: name} }
	queryPosition := func(name string) Choice { return Choice{Kind: QueryPosition, Server: name} }
	tests := []struct {
		name   string
		change func(cfg *state.Config, g *state.GroupState, q *Query)
		want   Choice
	}{
		{"write", func(_ *state.Config, _ *state.GroupState, q *Query) { q.Read = false }, primary},
		{"read without a token", func(_ *state.Config, _ *state.GroupState, q *Query) { q.ReplicaAllowed = false }, primary},
		{"covered by the local replica", func(_ *state.Config, _ *state.GroupState, q *Query) { q.Point = state.Point{Term: 2, Position: 90} }, replica("b")},
		{"not covered by the local replica", func(_ *state.Config, _ *state.GroupState, q *Query) { q.Point = state.Point{Term: 2, Position: 91} }, queryPosition("b")},
		{"not covered after asking", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.Point, q.QueriedReplica = state.Point{Term: 2, Position: 91}, "b"
		}, primary},
		{"write of an earlier term is covered by a later one", func(_ *state.Config, _ *state.GroupState, q *Query) { q.Point = state.Point{Term: 1, Position: 50} }, replica("b")},
		{"replica of an earlier term covers nothing of a later one", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.DataCentre, q.Point, q.QueriedReplica = "dc3", state.Point{Term: 2, Position: 51}, "c"
		}, replica("b")},
		{"token of a term that is not known here", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.Point, q.QueriedReplica = state.Point{Term: 3, Position: 1}, "b"
		}, Choice{Kind: AwaitPrimary}},
		{"bounded staleness, fresh enough", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.ReplicaAllowed, q.MaxAge = false, 2*time.Second
		}, replica("b")},
		{"bounded staleness, too old", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.ReplicaAllowed, q.MaxAge, q.QueriedReplica = false, 1900*time.Millisecond, "b"
		}, primary},
		{"bounded staleness, unknown age", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.DataCentre, q.ReplicaAllowed, q.MaxAge, q.QueriedReplica = "dc3", false, time.Hour, "c"
		}, replica("b")},
		{"data centre leaves", func(cfg *state.Config, _ *state.GroupState, _ *Query) {
			cfg.DataCentres["dc2"] = &state.DataCentre{Name: "dc2", State: state.Leaving}
		}, replica("c")},
		{"replica failed", func(_ *state.Config, g *state.GroupState, q *Query) {
			g.ObserveFailure("b", now)
			q.Point = state.Point{Term: 2, Position: 60}
		}, primary},
		{"primary failed", func(_ *state.Config, g *state.GroupState, q *Query) {
			g.ObserveFailure("a", now)
			q.Read = false
		}, Choice{Kind: AwaitPrimary}},
		{"primary just refused the write", func(_ *state.Config, _ *state.GroupState, q *Query) {
			q.Read, q.Excluded = false, "a"
		}, Choice{Kind: AwaitPrimary}},
		{"all reads on the primary", func(_ *state.Config, _ *state.GroupState, q *Query) { q.PrimaryOnly = true }, primary},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, grp, g := newGroup()
			q := Query{
				Config: cfg, Group: grp, DataCentre: "dc2", Now: now, Read: true, ReplicaAllowed: true,
				Load: func(string) float64 { return 0 },
			}
			tt.change(cfg, g, &q)
			if diff := cmp.Diff(tt.want, Choose(g, q)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against sending a returned server its full share of reads while its
// caches are cold.
func TestReturnedServerRampsUp(t *testing.T) {
	cfg, grp, g := newGroup()
	g.View("b").ReturnedAt = now.Add(-RampUp / 4)
	served := 0
	const requests = 640
	for n := range uint64(requests) {
		q := Query{
			Config: cfg, Group: grp, DataCentre: "dc2", Now: now, Read: true, ReplicaAllowed: true, TieBreaker: n,
			Load: func(string) float64 { return 0 },
		}
		if Choose(g, q).Server == "b" {
			served++
		}
	}
	if served < requests/5 || served > requests*3/10 {
		t.Errorf("%d of %d requests were served after a quarter of RampUp", served, requests)
	}
}
