package succession

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against primaries that are replaced too early, too late, or by a VM on
// the small side of a partition.
func TestDecide(t *testing.T) {
	primary := &catalog.Server{ID: "a"}
	const now = time.Minute
	for name, tt := range map[string]struct {
		facts Facts
		want  Action
	}{
		"proven":                     {Facts{Primary: primary, ProvenAt: now - proofInterval/2}, Nothing},
		"proof is old":               {Facts{Primary: primary, ProvenAt: now - proofInterval*2}, Ask},
		"one question failed":        {Facts{Primary: primary, ProvenAt: now - 2*deadAfter, Failures: 1}, Ask},
		"lost":                       {Facts{Primary: primary, ProvenAt: now - 2*deadAfter, Failures: minFailures}, Replace},
		"gone":                       {Facts{Primary: primary, ProvenAt: now - goneAfter - 1, Failures: minFailures, Refusals: minFailures}, Replace},
		"gone a moment ago":          {Facts{Primary: primary, ProvenAt: now - goneAfter, Failures: minFailures, Refusals: minFailures}, Ask},
		"refused once":               {Facts{Primary: primary, ProvenAt: now - deadAfter, Failures: minFailures, Refusals: 1}, Ask},
		"gone and isolated":          {Facts{Primary: primary, ProvenAt: now - 2*deadAfter, Failures: minFailures, Refusals: minFailures, Isolated: true}, Ask},
		"lost and isolated":          {Facts{Primary: primary, ProvenAt: now - 2*deadAfter, Failures: minFailures, Isolated: true}, Ask},
		"none is known":              {Facts{ProvenAt: now - 2*deadAfter}, Replace},
		"none was ever known":        {Facts{RegisteredAt: now - registeredWithin - 1}, Replace},
		"not registered yet":         {Facts{RegisteredAt: now - registeredWithin}, Nothing},
		"lost while others register": {Facts{ProvenAt: now - 2*deadAfter, RegisteredAt: now}, Replace},
		"watched since now":          {Facts{ProvenAt: now - 2*deadAfter, Since: now}, Nothing},
		"leaving":                    {Facts{Primary: primary, ProvenAt: now, Leaving: true}, HandOver},
		"leaving and lost":           {Facts{Primary: primary, ProvenAt: now - 2*deadAfter, Failures: minFailures, Leaving: true}, Replace},
	} {
		tt.facts.Now, tt.facts.Interval = now, AskInterval(3)
		if got := Decide(tt.facts); got != tt.want {
			t.Errorf("%s: action %d, want %d", name, got, tt.want)
		}
	}
}

// Guards against a steward that cannot keep up with its questions in a large
// deployment and takes primaries for lost, and against one that is too slow there.
func TestAskIntervalGrowsWithGroups(t *testing.T) {
	const (
		planned    = 800             // groups
		within     = 7 * time.Second // for a change of primary
		detectLate = time.Second     // two questions that fail, one after the other
		promotion  = time.Second     // the order and its effect
	)
	if got := AskInterval(3); got != proofInterval {
		t.Errorf("interval of 3 groups: %v", got)
	}
	interval := AskInterval(planned)
	if interval+detectLate+promotion > within {
		t.Errorf("a group without statements is asked every %v", interval)
	}
	if perSecond := planned / interval.Seconds(); perSecond > 200 {
		t.Errorf("%.0f questions a second", perSecond)
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
		t.Error("a leaving server was chosen")
	}
	if !Holds(state.Point{Term: 3, Position: 4}, state.Point{Term: 3, Position: 4}) || Holds(state.Point{Term: 3, Position: 3}, state.Point{Term: 3, Position: 4}) {
		t.Error("Holds is wrong")
	}
}
