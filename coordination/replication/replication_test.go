package replication

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var (
	start = time.Unix(1000, 0)
	three = &state.Group{Name: "g", Servers: []state.BackendServer{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
)

// st returns a server's status. Terms 2 and 3 start at positions 10 and 20.
func st(server string, role state.Role, adopted, logTerm, position uint64) state.ServerStatus {
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
	g.Configure(three)
	for _, s := range observed {
		g.Observe(s, start)
	}
	return g
}

// sort splits effects into queries, results and the wake-up.
func sort(effects []Effect) (asks []AskStatus, results []Result, wake time.Time) {
	for _, e := range effects {
		switch e := e.(type) {
		case AskStatus:
			asks = append(asks, e)
		case Resolve:
			results = append(results, e.Result)
		case WakeAt:
			wake = e.At
		}
	}
	return asks, results, wake
}

// Guards against an acknowledgement without a majority under the write's own
// term or an established later one, and against a refusal of a write that is
// shown to be safe. The write ran on a.
func TestDurable(t *testing.T) {
	p, r := state.Primary, state.Replica
	old, none := state.Point{Term: 2, Position: 15}, state.Point{}
	for name, c := range map[string]struct {
		term, target uint64 // zero target: not known
		statuses     []state.ServerStatus
		want         Kind // zero if the write must go on waiting
		point        state.Point
	}{
		"majority":                   {2, 15, []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 2, 15)}, Satisfied, old},
		"primary alone":              {2, 15, []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 2, 14)}, 0, none},
		"replica promised later":     {2, 15, []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 3, 2, 15)}, 0, none},
		"replica of an earlier term": {2, 15, []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 1, 30)}, 0, none},
		"one server twice":           {2, 15, []state.ServerStatus{st("a", p, 2, 2, 15), st("a", p, 2, 2, 16)}, 0, none},
		"deposed, not asked again":   {2, 0, []state.ServerStatus{st("a", p, 3, 2, 15)}, 0, none},
		"in new term":                {2, 15, []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 3, 21)}, Satisfied, state.Point{Term: 3, Position: 21}},
		// A majority may still hold another history: the new primary can be
		// replaced by a server that lacks the write.
		"in new term, not established": {2, 15, []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 2, 20)}, 0, none},
		"new term, not asked again":    {2, 0, []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 3, 21)}, 0, none},
		"in the dropped tail":          {2, 21, []state.ServerStatus{st("b", p, 3, 3, 30), st("c", r, 3, 3, 30)}, Lost, none},
		"term not in the history":      {1, 5, []state.ServerStatus{st("b", p, 3, 3, 30), st("c", r, 3, 3, 30)}, Lost, none},
	} {
		w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: c.term, Target: state.Point{Term: c.term, Position: c.target}, TargetKnown: c.target != 0, Deadline: start.Add(time.Second)}
		_, results, _ := sort(Wait(newState(c.statuses...), three, w, start))
		check(t, name, results, c.want, c.point)
	}
}

// Guards against an unknown outcome of a write that ran just before a planned
// switchover, and against an acknowledgement of one whose record its server has
// dropped since. The VM learns of the switchover before it reads where the write
// ended.
func TestDeposedBeforeTarget(t *testing.T) {
	p, r := state.Primary, state.Replica
	truncated := func(s state.ServerStatus) state.ServerStatus {
		s.Truncations = 1
		return s
	}
	led := st("a", p, 2, 2, 10)
	// The switchover to b ended term 2 at position 20.
	after := []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 3, 21)}
	for name, c := range map[string]struct {
		seen   []state.ServerStatus // before the write
		answer state.ServerStatus   // of a, after it
		want   Kind
		point  state.Point
	}{
		"end of the old log":                 {[]state.ServerStatus{led}, st("a", r, 3, 2, 20), Satisfied, state.Point{Term: 3, Position: 21}},
		"end of the new log":                 {[]state.ServerStatus{led}, st("a", r, 3, 3, 21), Satisfied, state.Point{Term: 3, Position: 21}},
		"behind the start of the later term": {[]state.ServerStatus{led}, st("a", r, 3, 2, 22), Lost, state.Point{}},
		"a tail was dropped":                 {[]state.ServerStatus{led}, truncated(st("a", r, 3, 2, 20)), Lost, state.Point{}},
		"never seen to lead":                 {nil, st("a", r, 3, 2, 20), Lost, state.Point{}},
	} {
		g := newState(c.seen...)
		w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(time.Second)}
		asks, results, _ := sort(Wait(g, three, w, start.Add(time.Millisecond)))
		for _, answer := range append(after, c.answer) {
			for _, ask := range asks {
				if ask.Server == answer.Server {
					_, more, _ := sort(Answer(g, three, ask, answer, start.Add(2*time.Millisecond)))
					results = append(results, more...)
				}
			}
		}
		check(t, name, results, c.want, c.point)
	}
}

// Guards against a write that waits for the end of a log that nobody can read.
func TestSilentServerBeforeTarget(t *testing.T) {
	g := newState(st("a", state.Primary, 2, 2, 10))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Joined: start, Deadline: start.Add(time.Second)}
	asks, _, _ := sort(Wait(g, three, w, start))
	var results []Result
	for _, ask := range asks {
		var effects []Effect
		at := start.Add(2 * time.Millisecond)
		switch ask.Server {
		case "a":
			effects = Failure(g, three, ask, false, at)
		case "b":
			effects = Answer(g, three, ask, st("b", state.Primary, 3, 3, 21), at)
		case "c":
			effects = Answer(g, three, ask, st("c", state.Replica, 3, 3, 21), at)
		}
		_, more, _ := sort(effects)
		results = append(results, more...)
	}
	check(t, "silent", results, Lost, state.Point{})
}

func check(t *testing.T, name string, results []Result, want Kind, point state.Point) {
	t.Helper()
	switch {
	case want == 0 && len(results) != 0, want != 0 && len(results) != 1:
		t.Errorf("%s: results %+v, want kind %v", name, results, want)
	case want != 0 && (results[0].Kind != want || results[0].Point != point):
		t.Errorf("%s: got %+v, want %v at %+v", name, results[0], want, point)
	}
}

// Guards against a target from a query that was sent before the write's commit,
// which would acknowledge the write without its own records.
func TestRoundBeforeTheWriteIsNotUsed(t *testing.T) {
	g := newState()
	asks, _, _ := sort(Probe(g, three, start))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(time.Second)}
	Wait(g, three, w, start.Add(100*time.Microsecond))
	for round, now := range []time.Time{start.Add(minSpacing / 2), start.Add(minSpacing)} {
		var effects []Effect
		for _, ask := range append(asks, asks...) { // every answer arrives twice
			effects = append(effects, Answer(g, three, ask, st(ask.Server, roles[ask.Server], 2, 2, 15+uint64(round)), now)...)
		}
		early, results, _ := sort(effects)
		if round == 0 {
			check(t, "round from before the write", results, 0, state.Point{})
			asks, _, _ = sort(Tick(g, three, start.Add(minSpacing)))
		} else {
			check(t, "round from after the write", results, Satisfied, state.Point{Term: 2, Position: 16})
		}
		if len(early) != 0 {
			t.Errorf("round %d: the next one started before the spacing had passed or without a waiter", round)
		}
	}
}

var roles = map[string]state.Role{"a": state.Primary, "b": state.Replica, "c": state.Replica}

// Guards against a silent server that delays rounds, rounds that do not slow
// down while nothing changes, and wake-ups that would spin.
func TestRoundSpacing(t *testing.T) {
	g := newState()
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(200 * time.Millisecond)}
	effects, now := Wait(g, three, w, start), start
	var spacings []time.Duration
	for {
		asks, results, wake := sort(effects)
		for _, ask := range asks {
			if ask.Server != "c" { // c never answers; the write never reaches b
				_, _, wake = sort(Answer(g, three, ask, st(ask.Server, roles[ask.Server], 2, 2, map[string]uint64{"a": 15, "b": 14}[ask.Server]), now))
			}
		}
		if len(results) > 0 {
			check(t, "at the deadline", results, TimedOut, state.Point{})
			break
		}
		if !wake.After(now) {
			t.Fatalf("wake-up at %v, which is not after %v", wake, now)
		}
		spacings, now = append(spacings, wake.Sub(now)), wake
		effects = Tick(g, three, now)
	}
	want := []time.Duration{1, 2, 4, 8, 10, 10}
	for i := range want {
		want[i] *= time.Millisecond
	}
	if diff := cmp.Diff(want, spacings[:len(want)]); diff != "" {
		t.Errorf("spacings of rounds (-want +got):\n%s", diff)
	}
}

// Guards against queries for what is known, answers from a replica that is too
// old or failed, and a wait beyond the deadline.
func TestCover(t *testing.T) {
	p, r := state.Primary, state.Replica
	fresh := []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 2, 15)}
	for name, c := range map[string]struct {
		statuses []state.ServerStatus
		point    state.Point
		maxAge   time.Duration
		failed   bool
		want     Kind
	}{
		"covered":                 {statuses: fresh, point: state.Point{Term: 2, Position: 15}, want: Satisfied},
		"behind":                  {statuses: fresh, point: state.Point{Term: 2, Position: 16}},
		"later term":              {statuses: []state.ServerStatus{st("b", r, 3, 3, 21)}, point: state.Point{Term: 2, Position: 99}, want: Satisfied},
		"earlier term":            {statuses: fresh, point: state.Point{Term: 3, Position: 1}},
		"young enough":            {statuses: fresh, maxAge: 20 * time.Millisecond, want: Satisfied},
		"too old":                 {statuses: fresh, maxAge: 5 * time.Millisecond},
		"age unknown":             {statuses: fresh[1:], maxAge: time.Hour},
		"primary not trusted":     {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 3, 2, 15), st("c", r, 3, 2, 15)}, maxAge: time.Hour},
		"failed since its answer": {statuses: fresh, failed: true},
	} {
		g := newState(c.statuses...)
		now := start.Add(10 * time.Millisecond)
		if c.failed {
			g.ObserveFailure("b", now)
		}
		w := state.PositionWaiter{Kind: state.WaitCover, Server: "b", Point: c.point, MaxAge: c.maxAge, Deadline: now.Add(5 * time.Millisecond)}
		asks, results, _ := sort(Wait(g, three, w, now))
		if c.want == Satisfied && (len(results) != 1 || len(asks) != 0) || c.want == 0 && (len(results) != 0 || len(asks) != 3) {
			t.Errorf("%s: %d queries, results %+v", name, len(asks), results)
		}
		if _, late, _ := sort(Tick(g, three, w.Deadline)); c.want == 0 && (len(late) != 1 || late[0].Kind != TimedOut) {
			t.Errorf("%s: results %+v at the deadline", name, late)
		}
	}
}

// Guards against sending a request to a primary that was replaced, is being
// replaced, or refuses writes, and against trusting the control address of one
// server for another.
func TestPrimary(t *testing.T) {
	p, r := state.Primary, state.Replica
	switching := st("a", p, 2, 2, 15)
	switching.SwitchingTo = "b"
	for name, c := range map[string]struct {
		a, b  state.ServerStatus
		other bool // this VM replaces the primary
		want  Kind
	}{
		"confirmed":          {a: st("a", p, 2, 2, 15), b: st("b", r, 2, 2, 15), want: Satisfied},
		"majority has moved": {a: st("a", p, 2, 2, 15), b: st("b", r, 3, 2, 15)},
		"drained":            {a: switching, b: st("b", r, 2, 2, 15)},
		"deposed":            {a: st("a", p, 3, 2, 15), b: st("b", r, 3, 2, 15)},
		"being replaced":     {a: st("a", p, 2, 2, 15), b: st("b", r, 2, 2, 15), other: true},
		"wrong address":      {a: st("a", p, 2, 2, 15), b: st("a", p, 2, 2, 15)},
	} {
		g := newState(st("a", p, 2, 2, 15), st("b", r, 2, 2, 15)) // from before the waiter joined
		if c.other {
			g.Failover.Step = state.FailoverAdopting
		}
		asks, all, _ := sort(Wait(g, three, state.PositionWaiter{Kind: state.WaitPrimary, Deadline: start.Add(time.Second)}, start))
		for i, answer := range []state.ServerStatus{c.a, c.b} {
			_, results, _ := sort(Answer(g, three, asks[i], answer, start))
			all = append(all, results...)
		}
		check(t, name, all, c.want, state.Point{Term: 2, Position: 15})
	}
}
