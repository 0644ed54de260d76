package leadership

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

func newGroup() *Group { return &Group{servers: make(map[string]*serverStats)} }

func point(term, position uint64) state.Point { return state.Point{Term: term, Position: position} }

const second = time.Second

// Guards against a minimum read point that is older than the staleness bound: a
// read could miss a commit that it must see.
func TestMinReadPointIsInsideTheBound(t *testing.T) {
	g := newGroup()
	if _, ok := g.MinReadPoint(10*second, second); ok {
		t.Error("MinReadPoint returned a point without any sample")
	}
	for i := range 20 {
		g.RecordConfirmation("a", point(1, uint64(i)), 10*second+time.Duration(i)*100*time.Millisecond)
	}
	now := 12 * second
	p, ok := g.MinReadPoint(now, second)
	if !ok || p != point(1, 10) {
		t.Errorf("minimum read point %v, %v", p, ok)
	}
	if _, ok := g.MinReadPoint(now+10*second, second); ok {
		t.Error("MinReadPoint returned a sample that is too old")
	}
}

// Guards against late confirmations: one of an earlier term must not replace the
// primary, and one sent earlier must not replace the latest sample.
func TestLateConfirmations(t *testing.T) {
	g := newGroup()
	g.RecordConfirmation("a", point(1, 5), second)
	g.RecordConfirmation("b", point(2, 6), 2*second)
	g.RecordConfirmation("a", point(1, 9), 3*second)
	server, s, ok := g.LatestConfirmation()
	if !ok || server != "b" || s.Point != point(2, 6) || g.Term() != 2 {
		t.Errorf("latest confirmation is %s %v", server, s)
	}
	g.RecordConfirmation("b", point(2, 8), 4*second)
	g.RecordConfirmation("b", point(2, 7), 3*second)
	if _, s, _ := g.LatestConfirmation(); s.Point != point(2, 8) || s.At != 4*second {
		t.Errorf("a late confirmation replaced the latest sample: %v", s)
	}
	if p, ok := g.MinReadPoint(4*second, 3*second); !ok || p.Term != 2 {
		t.Errorf("minimum read point %v from an earlier term", p)
	}
}

// Guards against a session that waits forever for a point in a log tail that a
// promotion dropped.
func TestMaxPointAfterPromotion(t *testing.T) {
	for _, tt := range []struct{ minPoint, own, want state.Point }{
		{point(1, 5), point(1, 9), point(1, 9)},
		{point(1, 9), point(1, 5), point(1, 9)},
		{point(2, 7), point(1, 9), point(2, 7)},
		{point(1, 9), point(2, 3), point(2, 3)},
		{point(1, 9), state.Point{}, point(1, 9)},
	} {
		if got := MaxPoint(tt.minPoint, tt.own); got != tt.want {
			t.Errorf("MaxPoint(%v, %v) = %v, want %v", tt.minPoint, tt.own, got, tt.want)
		}
	}
}

// Guards against repeatedly selecting a server that denied being the primary, and
// against never selecting it again after a new registration.
func TestDeniedPrimary(t *testing.T) {
	g := newGroup()
	old := &catalog.Server{ID: "a", Primary: true, Revision: 4}
	other := &catalog.Server{ID: "b", Revision: 5}
	servers := []*catalog.Server{old, other}
	if p := g.Primary(servers, second); p != old {
		t.Fatalf("primary %v", p)
	}
	g.RecordNotPrimary(old)
	if p := g.Primary(servers, second); p != nil {
		t.Errorf("primary %v after its denial", p)
	}
	other.Primary, other.Revision = true, 6
	if p := g.Primary(servers, second); p != other {
		t.Errorf("primary %v, want the one that registered the role", p)
	}
	old.Revision = 9
	g.RecordNotPrimary(other)
	if p := g.Primary(servers, second); p != old {
		t.Errorf("primary %v, want the one that registered anew", p)
	}
}

// Guards against preferring an unresponsive primary to its successor.
func TestSuspectedPrimary(t *testing.T) {
	g := newGroup()
	old := &catalog.Server{ID: "a", Primary: true, Revision: 4}
	next := &catalog.Server{ID: "b", Primary: true, Revision: 6}
	g.RecordConfirmation("a", point(1, 1), second)
	g.Suspect("a", second)
	if p := g.Primary([]*catalog.Server{old, next}, second); p != next {
		t.Errorf("primary %v, want the one that is not suspected", p)
	}
	if p := g.Primary([]*catalog.Server{old}, second); p != old {
		t.Errorf("primary %v, want the suspected one as there is no other", p)
	}
}

// Guards against reads on replicas that are known to lag, on servers that are out
// of service, and on the primary while a replica is eligible.
func TestReader(t *testing.T) {
	g := newGroup()
	a := &catalog.Server{ID: "a", DataCentre: "x"}
	b := &catalog.Server{ID: "b", DataCentre: "y"}
	c := &catalog.Server{ID: "c", DataCentre: "z"}
	d := &catalog.Deployment{Out: map[string]bool{"z": true}}
	servers := []*catalog.Server{a, b, c}
	g.RecordConfirmation("b", point(1, 10), second)
	read := func(now time.Duration, tried map[string]bool) *catalog.Server {
		return g.Reader(d, servers, "x", point(1, 10), tried, now)
	}
	if s := read(second, nil); s != a {
		t.Errorf("reads on %v, want the near replica", s)
	}
	g.RecordLag("a", second)
	if s := read(second, nil); s != b {
		t.Errorf("reads on %v, want the primary while the replica lags", s)
	}
	if s := read(2*second, nil); s != a {
		t.Errorf("reads on %v, want the replica again", s)
	}
	if s := read(2*second, map[string]bool{"a": true, "b": true}); s != nil {
		t.Errorf("reads on %v, which is in a data centre that is out", s)
	}
	for range 20 {
		g.StatementSent("a")
	}
	if s := read(2*second, nil); s != b {
		t.Errorf("reads on %v, want the primary while the replica has many outstanding statements", s)
	}
}

// Guards against keeping the observations of a server that was restarted without
// its log.
func TestResetIfRestarted(t *testing.T) {
	g := newGroup()
	g.ResetIfRestarted("a", 1)
	g.StatementSent("a")
	g.StatementDone("a", Answered, time.Millisecond, point(3, 7), second)
	g.ResetIfRestarted("a", 2)
	if got := g.server("a").applied; got != (state.Point{}) {
		t.Errorf("a restarted server is assumed to hold %v", got)
	}
}

// Guards against hedged reads that double the load while all servers are slow.
func TestHedgesAreBounded(t *testing.T) {
	g := newGroup()
	hedged := 0
	for range 1000 {
		g.CountRead()
		if g.AllowHedge() {
			hedged++
		}
	}
	if hedged < 45 || hedged > 50 {
		t.Errorf("%d of 1000 reads hedged, want a twentieth", hedged)
	}
	for range 10000 {
		g.CountRead()
	}
	for hedged = 0; g.AllowHedge(); hedged++ {
	}
	if hedged > maxHedges {
		t.Errorf("%d hedged reads at once", hedged)
	}
}

// Guards against a late confirmation of a former primary, whose successor has not committed.
func TestOlderConfirmationOfFormerPrimaryIsIgnored(t *testing.T) {
	leaders := NewTable()
	leaders.With("g", func(g *Group) {
		end := state.Point{Term: 1, Position: 38} // of both logs
		g.RecordConfirmation("former", end, time.Second)
		g.RecordConfirmation("new", end, 3*time.Second)
		g.RecordConfirmation("former", end, 2*time.Second)
		if g.ConfirmedPrimary() != "new" || g.ConfirmedAt() != 3*time.Second {
			t.Errorf("%s confirmed last, at %v", g.ConfirmedPrimary(), g.ConfirmedAt())
		}
		g.RecordConfirmation("former", end, 4*time.Second)
		if g.ConfirmedPrimary() != "former" {
			t.Errorf("%s confirmed last, want the server that was promoted again", g.ConfirmedPrimary())
		}
	})
}
