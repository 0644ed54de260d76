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

// Guards against a replaced primary that counts as the primary again once it registers as
// a replica, since it was the last that confirmed its leadership to this VM.
func TestReplacedPrimaryIsNotThePrimary(t *testing.T) {
	const now = time.Minute
	table := NewTable()
	table.With("g", func(g *Group) {
		former := &catalog.Server{ID: "former", Primary: true, Revision: 5}
		g.RecordConfirmation("former", state.Point{Term: 1, Position: 3}, now)
		if g.Primary([]*catalog.Server{former}, now) != former {
			t.Fatal("the confirmed primary is not the primary")
		}
		g.RecordNotPrimary(former)
		asReplica := &catalog.Server{ID: "former", Revision: 6}
		if s := g.Primary([]*catalog.Server{asReplica}, now); s != nil {
			t.Errorf("%s is the primary after it denied that", s.ID)
		}
		again := &catalog.Server{ID: "former", Primary: true, Revision: 7}
		if g.Primary([]*catalog.Server{again}, now) != again {
			t.Error("a server that registers as the primary anew is not tried")
		}
		g.RecordNotPrimary(again)
		g.RecordConfirmation("former", state.Point{Term: 3, Position: 4}, now)
		if g.Primary([]*catalog.Server{{ID: "former", Revision: 8}}, now) == nil {
			t.Error("a server that confirmed its leadership anew is not the primary")
		}
	})
}

// Guards against a log with dropped commits that passes for a longer one, and against a
// complete log that passes for one with dropped commits.
func TestDiverged(t *testing.T) {
	type confirmation struct {
		server string
		point  state.Point
	}
	at := func(term, position uint64) state.Point { return state.Point{Term: term, Position: position} }
	for name, tt := range map[string]struct {
		confirmations []confirmation
		point         state.Point // of the server "x"
		want          bool
	}{
		"nothing is known":                        {nil, at(1, 9), false},
		"first primary, longer log":               {[]confirmation{{"a", at(3, 350)}}, at(3, 354), false},
		"first primary, former term, shorter":     {[]confirmation{{"a", at(3, 350)}}, at(2, 349), false},
		"first primary, former term, as long":     {[]confirmation{{"a", at(3, 350)}}, at(2, 350), true},
		"new primary without commits, longer":     {[]confirmation{{"a", at(3, 350)}, {"b", at(3, 354)}}, at(3, 374), true},
		"new primary without commits, as long":    {[]confirmation{{"a", at(3, 350)}, {"b", at(3, 354)}}, at(3, 354), false},
		"new primary committed, former longer":    {[]confirmation{{"a", at(3, 350)}, {"b", at(3, 354)}, {"b", at(4, 360)}}, at(3, 355), true},
		"new primary committed, replica":          {[]confirmation{{"a", at(3, 350)}, {"b", at(3, 354)}, {"b", at(4, 360)}}, at(4, 370), false},
		"new primary, first known with a commit":  {[]confirmation{{"a", at(3, 350)}, {"b", at(4, 356)}}, at(3, 356), true},
		"before its first known commit":           {[]confirmation{{"a", at(3, 350)}, {"b", at(4, 356)}}, at(3, 355), false},
		"late confirmation of the former primary": {[]confirmation{{"b", at(4, 356)}, {"a", at(3, 350)}}, at(3, 355), false},
	} {
		NewTable().With("g", func(g *Group) {
			for i, c := range tt.confirmations {
				g.RecordConfirmation(c.server, c.point, time.Duration(i+1)*time.Second)
			}
			if got := g.Diverged("x", tt.point); got != tt.want {
				t.Errorf("%s: %v, want %v", name, got, tt.want)
			}
			if g.Diverged("b", at(1, 999)) && g.ConfirmedPrimary() == "b" {
				t.Errorf("%s: the primary itself has diverged", name)
			}
		})
	}
}
