package succession

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against replacing a primary too early or too late, and against replacing
// it from the minority side of a partition.
func TestDecide(t *testing.T) {
	primary := &catalog.Server{ID: "a"}
	const now = time.Minute
	for name, tt := range map[string]struct {
		facts Facts
		want  Action
	}{
		"proven":                     {Facts{Primary: primary, ProvenAt: now - confirmationInterval/2}, Nothing},
		"confirmation is old":        {Facts{Primary: primary, ProvenAt: now - confirmationInterval*2}, Ask},
		"one query failed":           {Facts{Primary: primary, ProvenAt: now - 2*lostTimeout, Failures: 1}, Ask},
		"lost":                       {Facts{Primary: primary, ProvenAt: now - 2*lostTimeout, Failures: minFailures}, Replace},
		"gone":                       {Facts{Primary: primary, ProvenAt: now - refusedTimeout - 1, Failures: minFailures, Refusals: minFailures}, Replace},
		"gone for less time":         {Facts{Primary: primary, ProvenAt: now - refusedTimeout, Failures: minFailures, Refusals: minFailures}, Ask},
		"refused once":               {Facts{Primary: primary, ProvenAt: now - lostTimeout, Failures: minFailures, Refusals: 1}, Ask},
		"gone and isolated":          {Facts{Primary: primary, ProvenAt: now - 2*lostTimeout, Failures: minFailures, Refusals: minFailures, Isolated: true}, Ask},
		"lost and isolated":          {Facts{Primary: primary, ProvenAt: now - 2*lostTimeout, Failures: minFailures, Isolated: true}, Ask},
		"none is known":              {Facts{ProvenAt: now - 2*lostTimeout}, Replace},
		"none was ever known":        {Facts{RegisteredAt: now - registrationGrace - 1}, Replace},
		"not registered yet":         {Facts{RegisteredAt: now - registrationGrace}, Nothing},
		"lost while others register": {Facts{ProvenAt: now - 2*lostTimeout, RegisteredAt: now}, Replace},
		"watched since now":          {Facts{ProvenAt: now - 2*lostTimeout, Since: now}, Nothing},
		"leaving":                    {Facts{Primary: primary, ProvenAt: now, Leaving: true}, HandOver},
		"leaving and lost":           {Facts{Primary: primary, ProvenAt: now - 2*lostTimeout, Failures: minFailures, Leaving: true}, Replace},
	} {
		tt.facts.Now, tt.facts.Interval = now, AskInterval(3)
		if got := Decide(tt.facts); got != tt.want {
			t.Errorf("%s: action %d, want %d", name, got, tt.want)
		}
	}
}

// Guards against a coordinator that is overloaded by its queries in a large
// deployment and then replaces working primaries, and against one that detects
// failures there too late.
func TestAskIntervalGrowsWithGroups(t *testing.T) {
	const (
		planned    = 800             // groups
		within     = 7 * time.Second // for a change of primary
		detectLate = time.Second     // two consecutive queries that fail
		promotion  = time.Second     // the order and its effect
	)
	if got := AskInterval(3); got != confirmationInterval {
		t.Errorf("interval of 3 groups: %v", got)
	}
	interval := AskInterval(planned)
	if interval+detectLate+promotion > within {
		t.Errorf("an idle group is queried every %v", interval)
	}
	if perSecond := planned / interval.Seconds(); perSecond > 200 {
		t.Errorf("%.0f queries per second", perSecond)
	}
}

// Guards against the promotion of a server that is leaving or has a shorter log.
func TestBest(t *testing.T) {
	candidate := func(id string, term, position uint64, usable bool) Candidate {
		return Candidate{Server: &catalog.Server{ID: id}, Received: state.Point{Term: term, Position: position}, Usable: usable}
	}
	best, ok := Best([]Candidate{candidate("a", 2, 9, true), candidate("b", 3, 4, true), candidate("c", 3, 5, false), candidate("d", 3, 3, true)})
	if !ok || best.Server.ID != "b" {
		t.Errorf("best is %v", best.Server)
	}
	if _, ok := Best([]Candidate{candidate("c", 3, 5, false)}); ok {
		t.Error("Best returned a leaving server")
	}
	if !Holds(state.Point{Term: 3, Position: 4}, state.Point{Term: 3, Position: 4}) || Holds(state.Point{Term: 3, Position: 3}, state.Point{Term: 3, Position: 4}) {
		t.Error("Holds is wrong")
	}
}
