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
// shown to be safe. The write ran on a under term 2 and ended at position 15.
func TestDurable(t *testing.T) {
	p, r := state.Primary, state.Replica
	old := state.Point{Term: 2, Position: 15}
	for name, c := range map[string]struct {
		statuses []state.ServerStatus
		unknown  bool // the target is not known
		want     Kind // zero if the write must go on waiting
		point    state.Point
	}{
		"majority":                   {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 2, 15)}, want: Satisfied, point: old},
		"primary alone":              {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 2, 14)}},
		"replica promised later":     {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 3, 2, 15)}},
		"replica of an earlier term": {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("b", r, 2, 1, 30)}},
		"one server twice":           {statuses: []state.ServerStatus{st("a", p, 2, 2, 15), st("a", p, 2, 2, 16)}},
		"deposed before target":      {statuses: []state.ServerStatus{st("a", p, 3, 2, 15)}, unknown: true, want: Lost},
		"in new term": {statuses: []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 3, 21)},
			want: Satisfied, point: state.Point{Term: 3, Position: 21}},
		// A majority may still hold another history: the new primary can be
		// replaced by a server that lacks the write.
		"in new term, not established": {statuses: []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 2, 20)}},
		"new term, target unknown":     {statuses: []state.ServerStatus{st("b", p, 3, 3, 21), st("c", r, 3, 3, 21)}, unknown: true, want: Lost},
	} {
		g := newState(c.statuses...)
		w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Target: 15, TargetKnown: !c.unknown, Deadline: start.Add(time.Second)}
		_, results, _ := sort(Wait(g, three, w, start))
		check(t, name, results, c.want, c.point)
	}
	// The dropped tail: the write ended behind the start of the next term.
	g := newState(st("b", p, 3, 3, 30), st("c", r, 3, 3, 30))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Target: 21, TargetKnown: true, Deadline: start.Add(time.Second)}
	_, results, _ := sort(Wait(g, three, w, start))
	check(t, "dropped tail", results, Lost, state.Point{})
	g = newState(st("b", p, 3, 3, 30), st("c", r, 3, 3, 30))
	w.Term, w.Target = 1, 5
	_, results, _ = sort(Wait(g, three, w, start))
	check(t, "term not in the history", results, Lost, state.Point{})
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
	first, _, _ := sort(Probe(g, three, start))
	w := state.PositionWaiter{Kind: state.WaitDurable, Server: "a", Term: 2, Deadline: start.Add(time.Second)}
	Wait(g, three, w, start.Add(100*time.Microsecond))
	now := start.Add(500 * time.Microsecond)
	var next []AskStatus
	for _, ask := range append(first, first...) { // every answer arrives twice
		asks, results, _ := sort(Answer(g, three, ask, st(ask.Server, role(ask.Server), 2, 2, 15), now))
		if len(results) != 0 {
			t.Fatalf("acknowledged by a round that started before the write: %+v", results)
		}
		next = append(next, asks...)
	}
	if len(next) != 0 {
		t.Fatalf("a round started after %v, before the spacing had passed", now.Sub(start))
	}
	now = start.Add(minSpacing)
	next, _, _ = sort(Tick(g, three, now))
	var all []Result
	for _, ask := range next {
		_, results, _ := sort(Answer(g, three, ask, st(ask.Server, role(ask.Server), 2, 2, 16), now))
		all = append(all, results...)
	}
	check(t, "second round", all, Satisfied, state.Point{Term: 2, Position: 16})
}

func role(server string) state.Role {
	if server == "a" {
		return state.Primary
	}
	return state.Replica
}

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
				_, _, wake = sort(Answer(g, three, ask, st(ask.Server, role(ask.Server), 2, 2, map[string]uint64{"a": 15, "b": 14}[ask.Server]), now))
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
