package succession

import (
	"slices"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against a server that no longer counts because its registration is gone, and
// against one that counts as having its log although it started again without it.
func TestMembers(t *testing.T) {
	a, b := &catalog.Server{ID: "a", Born: 1}, &catalog.Server{ID: "b", Born: 2}
	m := Registered([]*catalog.Server{a, b})
	if m.Add([]*catalog.Server{a}) || m.Match([]*catalog.Server{a}) || !m.Match([]*catalog.Server{b, a}) {
		t.Errorf("members %v after b left", m)
	}
	if missing := m.Missing([]*catalog.Server{a}); !slices.Equal(missing, []string{"b"}) {
		t.Errorf("missing %v, want b", missing)
	}
	again := &catalog.Server{ID: "b", Born: 3}
	if m.Add([]*catalog.Server{again}) || m.Match([]*catalog.Server{a, again}) {
		t.Errorf("members %v after b started again", m)
	}
	for _, tt := range []struct {
		server   *catalog.Server
		position uint64
		want     bool
	}{{again, 0, true}, {again, 7, false}, {b, 0, false}, {&catalog.Server{ID: "new", Born: 3}, 0, false}} {
		if got := m.HasLostLog(tt.server, state.Point{Term: 1, Position: tt.position}); got != tt.want {
			t.Errorf("%s of start %d with position %d: log lost %v", tt.server.ID, tt.server.Born, tt.position, got)
		}
	}
}

// Guards against a member that is dropped while too few of the others have its commits.
func TestCover(t *testing.T) {
	p := state.Point{Term: 2, Position: 5}
	reports := []Candidate{{Received: state.Point{Term: 2, Position: 4}}, {Received: p}, {Received: state.Point{Term: 1, Position: 9}}}
	if !Cover(reports, p, 1) || Cover(reports, p, 2) || Cover(nil, p, 1) {
		t.Error("one log of three goes up to the point")
	}
}
