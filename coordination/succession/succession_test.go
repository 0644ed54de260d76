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
		status GroupStatus
		want   Action
	}{
		"proven":                            {GroupStatus{Primary: primary, ConfirmedAt: now - confirmationInterval/2}, Nothing},
		"confirmation is old":               {GroupStatus{Primary: primary, ConfirmedAt: now - confirmationInterval*2}, QueryPrimary},
		"one query failed":                  {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, Failures: 1}, QueryPrimary},
		"lost":                              {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, Failures: minFailures}, Replace},
		"gone":                              {GroupStatus{Primary: primary, ConfirmedAt: now - refusedTimeout - 1, Failures: minFailures, Refusals: minFailures}, Replace}, // refuses connections
		"refuses connections for less time": {GroupStatus{Primary: primary, ConfirmedAt: now - refusedTimeout, Failures: minFailures, Refusals: minFailures}, QueryPrimary},
		"refused once":                      {GroupStatus{Primary: primary, ConfirmedAt: now - lostTimeout, Failures: minFailures, Refusals: 1}, QueryPrimary},
		"refuses connections and isolated":  {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, Failures: minFailures, Refusals: minFailures, Isolated: true}, QueryPrimary},
		"lost and isolated":                 {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, Failures: minFailures, Isolated: true}, QueryPrimary},
		"none is known":                     {GroupStatus{ConfirmedAt: now - 2*lostTimeout}, Replace},
		"none was ever known":               {GroupStatus{RegisteredAt: now - registrationGrace - 1}, Replace},
		"not registered yet":                {GroupStatus{RegisteredAt: now - registrationGrace}, Nothing},
		"lost while others register":        {GroupStatus{ConfirmedAt: now - 2*lostTimeout, RegisteredAt: now}, Replace},
		"watched since now":                 {GroupStatus{ConfirmedAt: now - 2*lostTimeout, WatchedSince: now}, Nothing},
		"leaving":                           {GroupStatus{Primary: primary, ConfirmedAt: now, Leaving: true}, Switchover},
		"leaving, isolated":                 {GroupStatus{Primary: primary, ConfirmedAt: now, Leaving: true, Isolated: true}, Nothing},
		"leaving, not confirmed lately":     {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, WatchedSince: now, Leaving: true}, QueryPrimary},
		"leaving, never confirmed":          {GroupStatus{Primary: primary, WatchedSince: now, Leaving: true}, QueryPrimary},
		"leaving and lost":                  {GroupStatus{Primary: primary, ConfirmedAt: now - 2*lostTimeout, Failures: minFailures, Leaving: true}, Replace},
	} {
		tt.status.Now, tt.status.Interval = now, QueryInterval(3)
		if got := Decide(tt.status); got != tt.want {
			t.Errorf("%s: action %d, want %d", name, got, tt.want)
		}
	}
}

// Guards against a coordinator that is overloaded by its queries in a large
// deployment and then replaces working primaries, and against one that detects
// failures there too late.
func TestQueryIntervalGrowsWithGroups(t *testing.T) {
	const (
		groups        = 800
		maxChangeTime = 7 * time.Second // for a change of primary
		detection     = time.Second     // two consecutive queries that fail
		promotion     = time.Second     // the order and its effect
	)
	if got := QueryInterval(3); got != confirmationInterval {
		t.Errorf("interval of 3 groups: %v", got)
	}
	interval := QueryInterval(groups)
	if interval+detection+promotion > maxChangeTime {
		t.Errorf("an idle group is queried every %v", interval)
	}
	if perSecond := groups / interval.Seconds(); perSecond > 200 {
		t.Errorf("%.0f queries per second", perSecond)
	}
}

// Guards against the promotion of a server that is leaving or has a shorter log.
func TestBestCandidate(t *testing.T) {
	candidate := func(id string, term, position uint64, usable bool) Candidate {
		return Candidate{Server: &catalog.Server{ID: id}, Received: state.Point{Term: term, Position: position}, Usable: usable}
	}
	best, ok := BestCandidate([]Candidate{candidate("a", 2, 9, true), candidate("b", 3, 4, true), candidate("c", 3, 5, false), candidate("d", 3, 3, true)})
	if !ok || best.Server.ID != "b" {
		t.Errorf("best is %v", best.Server)
	}
	if _, ok := BestCandidate([]Candidate{candidate("c", 3, 5, false)}); ok {
		t.Error("BestCandidate returned a leaving server")
	}
	if !Holds(state.Point{Term: 3, Position: 4}, state.Point{Term: 3, Position: 4}) || Holds(state.Point{Term: 3, Position: 3}, state.Point{Term: 3, Position: 4}) {
		t.Error("Holds must be true for equal points and false for a shorter log")
	}
}

// Guards against the loss of acknowledged commits that only a leaving or a silent
// server has, where commits wait for replicas.
func TestSelectSuccessor(t *testing.T) {
	candidate := func(id string, position uint64, usable bool) Candidate {
		return Candidate{Server: &catalog.Server{ID: id}, Received: state.Point{Term: 3, Position: position}, Usable: usable}
	}
	behind, leaving, level := candidate("behind", 4, true), candidate("leaving", 9, false), candidate("level", 9, true)
	names := []string{"primary", "replica", "other replica"}
	for name, tt := range map[string]struct {
		survey       Survey
		syncReplicas int
		want         string // ID of the successor, or "" if none can take over
	}{
		"leaving server has more":                    {Survey{Candidates: []Candidate{behind, leaving}, Silent: names[:1]}, 1, "leaving"},
		"usable server has as much":                  {Survey{Candidates: []Candidate{leaving, behind, level}, Silent: names[:1]}, 1, "level"},
		"a replica is silent":                        {Survey{Candidates: []Candidate{behind}, Silent: names[:2]}, 1, ""},
		"a replica is silent, three have a commit":   {Survey{Candidates: []Candidate{behind}, Silent: names[:2]}, 2, "behind"},
		"two are silent, three have a commit":        {Survey{Candidates: []Candidate{behind}, Silent: names}, 2, ""},
		"another server leads":                       {Survey{Candidates: []Candidate{behind, level}, Led: true}, 1, ""},
		"no server":                                  {Survey{}, 1, ""},
		"commits wait for none, one leaving":         {Survey{Candidates: []Candidate{behind, leaving}}, 0, "behind"},
		"commits wait for none, one silent":          {Survey{Candidates: []Candidate{behind}, Silent: names[:1]}, 0, "behind"},
		"commits wait for none, no server is usable": {Survey{Candidates: []Candidate{leaving}}, 0, ""},
	} {
		got := ""
		if best, ok := SelectSuccessor(tt.survey, tt.syncReplicas); ok {
			got = best.Server.ID
		}
		if got != tt.want {
			t.Errorf("%s: successor %q, want %q", name, got, tt.want)
		}
	}
}

// Guards against the promotion of a former primary whose log is longer only because of
// commits that an earlier promotion dropped: they would replace later ones.
func TestDivergedLogIsNotPromoted(t *testing.T) {
	former := Candidate{Server: &catalog.Server{ID: "former"}, Received: state.Point{Term: 3, Position: 374}, Usable: true, Diverged: true}
	replica := Candidate{Server: &catalog.Server{ID: "replica"}, Received: state.Point{Term: 3, Position: 354}, Usable: true}
	for _, candidates := range [][]Candidate{{former, replica}, {replica, former}} {
		if best, ok := BestCandidate(candidates); !ok || best.Server.ID != "replica" {
			t.Errorf("%v is promoted in place of the replica", best.Server)
		}
		for _, syncReplicas := range []int{0, 1} {
			if best, ok := SelectSuccessor(Survey{Candidates: candidates}, syncReplicas); !ok || best.Server.ID != "replica" {
				t.Errorf("syncReplicas %d: %v is promoted in place of the replica", syncReplicas, best.Server)
			}
		}
	}
	if best, ok := BestCandidate([]Candidate{former}); !ok || best.Server.ID != "former" {
		t.Error("the only server is not promoted")
	}
}
