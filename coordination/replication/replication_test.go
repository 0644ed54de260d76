package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var (
	start        = time.Unix(1000, 0)
	threeServers = &state.Group{Name: "g", Servers: []state.BackendServer{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
)

// newStatus returns a server's status. Terms 2 and 3 start at positions 10 and 20.
func newStatus(server string, role state.Role, adopted, logTerm, position uint64) state.ServerStatus {
	s := state.ServerStatus{Server: server, Role: role, AdoptedTerm: adopted, LogTerm: logTerm, Position: position}
	for _, h := range []state.TermStart{{Term: 2, Position: 10}, {Term: 3, Position: 20}} {
		if h.Term <= logTerm {
			s.History = append(s.History, h)
		}
	}
	return s
}

func newState(observed ...state.ServerStatus) *state.GroupState {
	g := &state.GroupState{Name: "g", Servers: map[string]*state.ServerView{}}
	g.Configure(threeServers)
	for _, s := range observed {
		g.Observe(s, start)
	}
	return g
}

// splitEffects splits effects into queries, results and the wake-up time.
func splitEffects(effects []Effect) (queries []QueryStatus, results []Result, wake time.Time) {
	for _, e := range effects {
		switch e := e.(type) {
		case QueryStatus:
			queries = append(queries, e)
		case Resolve:
			results = append(results, e.Result)
		case WakeAt:
			wake = e.At
		}
	}
	return queries, results, wake
}

// Guards against acknowledging a write without a majority in its own term or in an
// established later term, and against reporting a safe write as lost. The write
// ran on a.
func TestDurable(t *testing.T) {
	p, r := state.Primary, state.Replica
	old, none := state.Point{Term: 2, Position: 15}, state.Point{}
	for name, c := range map[string]struct {
		term, target uint64 // a zero target is unknown
		statuses     []state.ServerStatus
		want         ResultKind // zero if the write must stay pending
		point        state.Point
	}{
		"majority":                   {2, 15, []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 2, 2, 15)}, Satisfied, old},
		"primary alone":              {2, 15, []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 2, 2, 14)}, 0, none},
		"replica adopted later term": {2, 15, []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 3, 2, 15)}, 0, none},
		"replica of an earlier term": {2, 15, []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 2, 1, 30)}, 0, none},
		"one server twice":           {2, 15, []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("a", p, 2, 2, 16)}, 0, none},
		"deposed, not queried again": {2, 0, []state.ServerStatus{newStatus("a", p, 3, 2, 15)}, 0, none},
		"in new term":                {2, 15, []state.ServerStatus{newStatus("b", p, 3, 3, 21), newStatus("c", r, 3, 3, 21)}, Satisfied, state.Point{Term: 3, Position: 21}},
		// No majority holds the new term, so the new primary can still be
		// replaced by a server that lacks the write.
		"in new term, not established": {2, 15, []state.ServerStatus{newStatus("b", p, 3, 3, 21), newStatus("c", r, 3, 2, 20)}, 0, none},
		"new term, not queried again":  {2, 0, []state.ServerStatus{newStatus("b", p, 3, 3, 21), newStatus("c", r, 3, 3, 21)}, 0, none},
		"in the dropped tail":          {2, 21, []state.ServerStatus{newStatus("b", p, 3, 3, 30), newStatus("c", r, 3, 3, 30)}, Lost, none},
		"term not in the history":      {1, 5, []state.ServerStatus{newStatus("b", p, 3, 3, 30), newStatus("c", r, 3, 3, 30)}, Lost, none},
	} {
		w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: c.term, Target: state.Point{Term: c.term, Position: c.target}, TargetKnown: c.target != 0, Deadline: start.Add(time.Second)}
		_, results, _ := splitEffects(Wait(newState(c.statuses...), threeServers, w, start))
		checkResult(t, name, results, c.want, c.point)
	}
}

// Guards against an unknown outcome of a write that ran just before a planned
// switchover, and against acknowledging a write whose record the server has since
// dropped. The VM learns of the switchover before it reads the end of the write.
func TestDeposedBeforeTarget(t *testing.T) {
	p, r := state.Primary, state.Replica
	truncated := func(s state.ServerStatus) state.ServerStatus {
		s.Truncations = 1
		return s
	}
	led := newStatus("a", p, 2, 2, 10)
	// The switchover to b ended term 2 at position 20.
	after := []state.ServerStatus{newStatus("b", p, 3, 3, 21), newStatus("c", r, 3, 3, 21)}
	for name, c := range map[string]struct {
		seen   []state.ServerStatus // before the write
		answer state.ServerStatus   // of a, after it
		want   ResultKind
		point  state.Point
	}{
		"end of the old log":                 {[]state.ServerStatus{led}, newStatus("a", r, 3, 2, 20), Satisfied, state.Point{Term: 3, Position: 21}},
		"end of the new log":                 {[]state.ServerStatus{led}, newStatus("a", r, 3, 3, 21), Satisfied, state.Point{Term: 3, Position: 21}},
		"behind the start of the later term": {[]state.ServerStatus{led}, newStatus("a", r, 3, 2, 22), Lost, state.Point{}},
		"a tail was dropped":                 {[]state.ServerStatus{led}, truncated(newStatus("a", r, 3, 2, 20)), Lost, state.Point{}},
		"never seen to lead":                 {nil, newStatus("a", r, 3, 2, 20), Lost, state.Point{}},
	} {
		g := newState(c.seen...)
		w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(time.Second)}
		queries, results, _ := splitEffects(Wait(g, threeServers, w, start.Add(time.Millisecond)))
		for _, answer := range append(after, c.answer) {
			for _, query := range queries {
				if query.Server == answer.Server {
					_, more, _ := splitEffects(Answer(g, threeServers, query, answer, start.Add(2*time.Millisecond)))
					results = append(results, more...)
				}
			}
		}
		checkResult(t, name, results, c.want, c.point)
	}
}

// Guards against a write that waits for the log end of a server that does not
// answer.
func TestUnresponsiveServerBeforeTarget(t *testing.T) {
	g := newState(newStatus("a", state.Primary, 2, 2, 10))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Joined: start, Deadline: start.Add(time.Second)}
	queries, _, _ := splitEffects(Wait(g, threeServers, w, start))
	var results []Result
	for _, query := range queries {
		var effects []Effect
		at := start.Add(2 * time.Millisecond)
		switch query.Server {
		case "a":
			effects = QueryFailed(g, threeServers, query, false, at)
		case "b":
			effects = Answer(g, threeServers, query, newStatus("b", state.Primary, 3, 3, 21), at)
		case "c":
			effects = Answer(g, threeServers, query, newStatus("c", state.Replica, 3, 3, 21), at)
		}
		_, more, _ := splitEffects(effects)
		results = append(results, more...)
	}
	checkResult(t, "silent", results, Lost, state.Point{})
}

func checkResult(t *testing.T, name string, results []Result, want ResultKind, point state.Point) {
	t.Helper()
	switch {
	case want == 0 && len(results) != 0, want != 0 && len(results) != 1:
		t.Errorf("%s: results %+v, want kind %v", name, results, want)
	case want != 0 && (results[0].Kind != want || results[0].Point != point):
		t.Errorf("%s: got %+v, want %v at %+v", name, results[0], want, point)
	}
}

// Guards against taking a write's target from a query that was sent before the
// write's commit, which would acknowledge the write without its own records.
func TestRoundBeforeTheWriteIsNotUsed(t *testing.T) {
	g := newState()
	queries, _, _ := splitEffects(Probe(g, threeServers, start))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(time.Second)}
	Wait(g, threeServers, w, start.Add(100*time.Microsecond))
	for round, now := range []time.Time{start.Add(minSpacing / 2), start.Add(minSpacing)} {
		var effects []Effect
		for _, query := range append(queries, queries...) { // every answer arrives twice
			effects = append(effects, Answer(g, threeServers, query, newStatus(query.Server, roles[query.Server], 2, 2, 15+uint64(round)), now)...)
		}
		early, results, _ := splitEffects(effects)
		if round == 0 {
			checkResult(t, "round from before the write", results, 0, state.Point{})
			queries, _, _ = splitEffects(Tick(g, threeServers, start.Add(minSpacing)))
		} else {
			checkResult(t, "round from after the write", results, Satisfied, state.Point{Term: 2, Position: 16})
		}
		if len(early) != 0 {
			t.Errorf("round %d: the next one started before the spacing had passed or without a waiter", round)
		}
	}
}

var roles = map[string]state.Role{"a": state.Primary, "b": state.Replica, "c": state.Replica}

// Guards against rounds delayed by an unresponsive server, rounds whose spacing
// does not grow while nothing changes, and wake-ups that cause a busy loop.
func TestRoundSpacing(t *testing.T) {
	g := newState()
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(200 * time.Millisecond)}
	effects, now := Wait(g, threeServers, w, start), start
	var spacings []time.Duration
	for {
		queries, results, wake := splitEffects(effects)
		for _, query := range queries {
			if query.Server != "c" { // c never answers; the write never reaches b
				_, _, wake = splitEffects(Answer(g, threeServers, query, newStatus(query.Server, roles[query.Server], 2, 2, map[string]uint64{"a": 15, "b": 14}[query.Server]), now))
			}
		}
		if len(results) > 0 {
			checkResult(t, "at the deadline", results, TimedOut, state.Point{})
			break
		}
		if !wake.After(now) {
			t.Fatalf("wake-up at %v, which is not after %v", wake, now)
		}
		spacings, now = append(spacings, wake.Sub(now)), wake
		effects = Tick(g, threeServers, now)
	}
	want := []time.Duration{1, 2, 4, 8, 10, 10}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if diff := cmp.Diff(want, spacings[:len(want)]); diff != "" {
		t.Errorf("spacings of rounds (-want +got):\n%s", diff)
	}
}

// Guards against querying for known positions, against accepting a replica that is
// too old or has failed, and against waiting past the deadline.
func TestCover(t *testing.T) {
	p, r := state.Primary, state.Replica
	fresh := []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 2, 2, 15)}
	for name, c := range map[string]struct {
		statuses []state.ServerStatus
		point    state.Point
		maxAge   time.Duration
		failed   bool
		want     ResultKind
	}{
		"covered":                 {statuses: fresh, point: state.Point{Term: 2, Position: 15}, want: Satisfied},
		"behind":                  {statuses: fresh, point: state.Point{Term: 2, Position: 16}},
		"later term":              {statuses: []state.ServerStatus{newStatus("b", r, 3, 3, 21)}, point: state.Point{Term: 2, Position: 99}, want: Satisfied},
		"earlier term":            {statuses: fresh, point: state.Point{Term: 3, Position: 1}},
		"young enough":            {statuses: fresh, maxAge: 20 * time.Millisecond, want: Satisfied},
		"too old":                 {statuses: fresh, maxAge: 5 * time.Millisecond},
		"age unknown":             {statuses: fresh[1:], maxAge: time.Hour},
		"primary not trusted":     {statuses: []state.ServerStatus{newStatus("a", p, 2, 2, 15), newStatus("b", r, 3, 2, 15), newStatus("c", r, 3, 2, 15)}, maxAge: time.Hour},
		"failed since its answer": {statuses: fresh, failed: true},
	} {
		g := newState(c.statuses...)
		now := start.Add(10 * time.Millisecond)
		if c.failed {
			g.ObserveFailure("b", now)
		}
		w := state.PositionWaiter{Kind: state.WaitCover, Server: "b", Point: c.point, MaxAge: c.maxAge, Deadline: now.Add(5 * time.Millisecond)}
		queries, results, _ := splitEffects(Wait(g, threeServers, w, now))
		if c.want == Satisfied && (len(results) != 1 || len(queries) != 0) || c.want == 0 && (len(results) != 0 || len(queries) != 3) {
			t.Errorf("%s: %d queries, results %+v", name, len(queries), results)
		}
		if _, late, _ := splitEffects(Tick(g, threeServers, w.Deadline)); c.want == 0 && (len(late) != 1 || late[0].Kind != TimedOut) {
			t.Errorf("%s: results %+v at the deadline", name, late)
		}
	}
}

// Guards against sending a request to a primary that was replaced, is being
// replaced, or refuses writes, and against accepting the answer of another server
// at a server's control address.
func TestPrimary(t *testing.T) {
	p, r := state.Primary, state.Replica
	switching := newStatus("a", p, 2, 2, 15)
	switching.SwitchingTo = "b"
	for name, c := range map[string]struct {
		a, b      state.ServerStatus
		replacing bool // this VM is replacing the primary
		want      ResultKind
	}{
		"confirmed":                     {a: newStatus("a", p, 2, 2, 15), b: newStatus("b", r, 2, 2, 15), want: Satisfied},
		"majority adopted a later term": {a: newStatus("a", p, 2, 2, 15), b: newStatus("b", r, 3, 2, 15)},
		"drained":                       {a: switching, b: newStatus("b", r, 2, 2, 15)},
		"deposed":                       {a: newStatus("a", p, 3, 2, 15), b: newStatus("b", r, 3, 2, 15)},
		"being replaced":                {a: newStatus("a", p, 2, 2, 15), b: newStatus("b", r, 2, 2, 15), replacing: true},
		"wrong address":                 {a: newStatus("a", p, 2, 2, 15), b: newStatus("a", p, 2, 2, 15)},
	} {
		g := newState(newStatus("a", p, 2, 2, 15), newStatus("b", r, 2, 2, 15)) // from before the waiter joined
		if c.replacing {
			g.Failover.Step = state.FailoverAdopting
		}
		queries, all, _ := splitEffects(Wait(g, threeServers, state.PositionWaiter{Kind: state.WaitPrimary, Deadline: start.Add(time.Second)}, start))
		for i, answer := range []state.ServerStatus{c.a, c.b} {
			_, results, _ := splitEffects(Answer(g, threeServers, queries[i], answer, start))
			all = append(all, results...)
		}
		checkResult(t, name, all, c.want, state.Point{Term: 2, Position: 15})
	}
}
