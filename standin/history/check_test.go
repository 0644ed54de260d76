package history

import (
	"slices"
	"testing"
)

// scenario builds a history and the matching truth. Term 1 begins at position 1.
type scenario struct {
	history History
	truth   ServerRecord
}

func newScenario() *scenario {
	return &scenario{truth: ServerRecord{Terms: []TermStart{{Term: 1}}, Final: Point{Term: 1, Position: 100}}}
}

// request adds a request, with its result, and returns its ID.
func (s *scenario) request(r Request) int {
	r.ID = len(s.history.Requests) + 1
	s.history.Requests = append(s.history.Requests, r)
	return r.ID
}

func (s *scenario) write(session string, o Outcome, changes ...Change) int {
	return s.request(Request{Session: session, Kind: Write, Changes: changes, Result: Result{Outcome: o}})
}

func (s *scenario) inTx(tx int, session string, kind Kind, o Outcome, changes ...Change) {
	s.request(Request{Session: session, Tx: tx, Kind: kind, Changes: changes, Result: Result{Outcome: o}})
}

func (s *scenario) read(session, key string, values ...string) {
	s.request(Request{
		Session: session, Kind: Read, Key: key,
		Result: Result{Outcome: Answered, Values: values, Rows: len(values)},
	})
}

func (s *scenario) readLog(session string, values ...string) {
	s.request(Request{
		Session: session, Kind: ReadLog,
		Result: Result{Outcome: Answered, Values: values, Rows: len(values)},
	})
}

func (s *scenario) commit(term, position uint64, changes ...Change) {
	s.truth.Commits = append(s.truth.Commits, CommitRecord{Point: Point{Term: term, Position: position}, Server: "a", Changes: changes})
}

func (s *scenario) term(term, baseTerm, basePosition uint64) {
	s.truth.Terms = append(s.truth.Terms, TermStart{Term: term, Base: Point{Term: baseTerm, Position: basePosition}})
	s.truth.Final = Point{Term: term, Position: 100}
}

func put(key, value string) Change { return Change{Key: key, Value: value} }
func entry(value string) Change    { return Change{Value: value} }

// Guards against checks that miss a violation, and against checks that report one in
// a correct history.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		build    func(s *scenario)
		violated []string
	}{
		{"empty", func(*scenario) {}, nil},
		{"write and read", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.read("s", "k", "1")
		}, nil},
		{"unknown writes may be there or not", func(s *scenario) {
			s.write("s", Unknown, entry("1"))
			s.write("s", Unknown, entry("2"))
			s.write("s", Pending, entry("3"))
			s.commit(1, 2, entry("1"))
			s.commit(1, 3, entry("3"))
		}, nil},
		{"lost: never committed", func(s *scenario) {
			s.write("s", Answered, entry("1"))
		}, []string{LostWrite}},
		{"lost: dropped by a promotion", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.commit(1, 5, entry("1"))
			s.term(2, 1, 4)
		}, []string{LostWrite}},
		{"kept by a promotion", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.commit(1, 4, entry("1"))
			s.term(2, 1, 4)
		}, nil},
		{"unacknowledged write dropped by a promotion", func(s *scenario) {
			s.write("s", Unknown, entry("1"))
			s.commit(1, 5, entry("1"))
			s.term(2, 1, 4)
		}, nil},
		{"twice", func(s *scenario) {
			s.write("s", Unknown, entry("1"))
			s.commit(1, 2, entry("1"))
			s.commit(1, 3, entry("1"))
		}, []string{DoubleWrite, RanTwice}},
		{"twice, and dropped once", func(s *scenario) {
			s.write("s", Unknown, entry("1"))
			s.commit(1, 5, entry("1"))
			s.commit(2, 6, entry("1"))
			s.term(2, 1, 4)
		}, []string{RanTwice}},
		{"twice as allowed", func(s *scenario) {
			s.request(Request{Session: "s", Kind: Write, Idempotent: true, Changes: []Change{put("k", "1")}, Result: Result{Outcome: Answered}})
			s.commit(1, 2, put("k", "1"))
			s.commit(1, 3, put("k", "1"))
		}, nil},
		{"not run, but committed and dropped later", func(s *scenario) {
			s.write("s", NotRun, entry("1"))
			s.commit(1, 5, entry("1"))
			s.term(2, 1, 4)
		}, []string{CommittedNotRun}},
		{"commit not run, but committed", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Commit, NotRun)
			s.commit(1, 2, entry("1"))
		}, []string{CommittedNotRun}},
		{"statement of a transaction not run, but committed", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Write, NotRun, entry("2"))
			s.inTx(tx, "s", Commit, Answered)
			s.commit(1, 2, entry("1"), entry("2"))
		}, []string{CommittedNotRun, MixedWrites}},
		{"failed, but committed", func(s *scenario) {
			s.write("s", Failed, entry("1"))
			s.commit(1, 2, entry("1"))
		}, []string{CommittedFailure}},
		{"rolled back, but committed", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Rollback, Answered)
			s.commit(1, 2, entry("1"))
		}, []string{CommittedFailure}},
		{"client left before the commit, but committed", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.commit(1, 2, entry("1"))
		}, []string{CommittedFailure}},
		{"whole transaction", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, put("k", "1"))
			s.request(Request{Session: "s", Tx: tx, Kind: Read, Key: "k", Result: Result{Outcome: Answered, Values: []string{"1"}, Rows: 1}})
			s.inTx(tx, "s", Write, Answered, entry("2"))
			s.inTx(tx, "s", Commit, Answered)
			s.commit(1, 2, put("k", "1"), entry("2"))
			s.read("s", "k", "1")
			s.readLog("s", "2")
		}, nil},
		{"commit with a last change", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Commit, Answered, entry("2"))
			s.commit(1, 2, entry("1"), entry("2"))
		}, nil},
		{"last change lost", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Commit, Answered, entry("2"))
			s.commit(1, 2, entry("1"))
		}, []string{MixedWrites}},
		{"half a transaction", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, entry("1"))
			s.inTx(tx, "s", Write, Answered, entry("2"))
			s.inTx(tx, "s", Commit, Unknown)
			s.commit(1, 2, entry("1"))
		}, []string{MixedWrites}},
		{"mixed transactions", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.write("t", Unknown, entry("2"))
			s.commit(1, 2, entry("1"), entry("2"))
		}, []string{MixedWrites}},
		{"a value that nobody wrote", func(s *scenario) {
			s.commit(1, 2, entry("1"))
		}, []string{MixedWrites}},
		{"transaction does not see its own write", func(s *scenario) {
			tx := s.request(Request{Session: "s", Kind: Begin, Result: Result{Outcome: Answered}})
			s.inTx(tx, "s", Write, Answered, put("k", "1"))
			s.request(Request{Session: "s", Tx: tx, Kind: Read, Key: "k", Result: Result{Outcome: Answered}})
		}, []string{WrongAnswer}},
		{"own write not found", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.read("s", "k")
		}, []string{StaleRead}},
		{"older value than the own one", func(s *scenario) {
			s.write("t", Answered, put("k", "0"))
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "0"))
			s.commit(1, 3, put("k", "1"))
			s.read("s", "k", "0")
		}, []string{StaleRead}},
		{"later value than the own one", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.write("t", Unknown, put("k", "2"))
			s.commit(1, 2, put("k", "1"))
			s.commit(1, 3, put("k", "2"))
			s.read("s", "k", "2")
		}, nil},
		{"value of an old primary that lacks the own write", func(s *scenario) {
			s.write("t", Unknown, put("k", "0"))
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 5, put("k", "0"))
			s.commit(2, 7, put("k", "1"))
			s.term(2, 1, 4)
			s.read("s", "k", "0")
		}, []string{StaleRead}},
		{"another session may read older data", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.read("t", "k")
		}, nil},
		{"read after a move with the token", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.history.Moves = append(s.history.Moves, Move{Session: "s", Proxy: "vm-2", After: 1, WithToken: true})
			s.read("s", "k")
		}, []string{StaleRead}},
		{"read after a move without the token", func(s *scenario) {
			s.write("s", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.history.Moves = append(s.history.Moves, Move{Session: "s", Proxy: "vm-2", After: 1})
			s.read("s", "k")
		}, nil},
		{"own entry not in the log", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.write("s", Answered, entry("2"))
			s.commit(1, 2, entry("1"))
			s.commit(1, 3, entry("2"))
			s.readLog("s", "1")
		}, []string{StaleRead}},
		{"value of another key", func(s *scenario) {
			s.write("t", Answered, put("other", "1"))
			s.commit(1, 2, put("other", "1"))
			s.read("s", "k", "1")
		}, []string{WrongAnswer}},
		{"value that was rolled back", func(s *scenario) {
			s.write("t", Failed, put("k", "1"))
			s.read("s", "k", "1")
		}, []string{WrongAnswer}},
		{"answer of another write", func(s *scenario) {
			s.write("t", Answered, put("k", "1"))
			s.commit(1, 2, put("k", "1"))
			s.request(Request{
				Session: "s", Kind: Write, Changes: []Change{put("k", "2")}, Returning: true,
				Result: Result{Outcome: Answered, Values: []string{"1"}, Rows: 1},
			})
			s.commit(1, 3, put("k", "2"))
		}, []string{WrongAnswer}},
		{"rows missing at the end", func(s *scenario) {
			s.write("t", Answered, entry("1"))
			s.write("t", Answered, entry("2"))
			s.commit(1, 2, entry("1"))
			s.commit(1, 3, entry("2"))
			s.request(Request{Session: "s", Kind: ReadLog, Result: Result{Outcome: Answered, Values: []string{"1"}, Rows: 2}})
		}, []string{WrongAnswer}},
		{"rows missing in the middle", func(s *scenario) {
			s.write("t", Answered, entry("1"))
			s.write("t", Answered, entry("2"))
			s.commit(1, 2, entry("1"))
			s.commit(1, 3, entry("2"))
			s.readLog("s", "2")
		}, []string{WrongAnswer}},
		{"half a transaction read", func(s *scenario) {
			s.write("t", Answered, entry("1"), entry("2"))
			s.commit(1, 2, entry("1"), entry("2"))
			s.readLog("s", "1")
		}, []string{WrongAnswer}},
		{"appends out of order", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.write("s", Answered, entry("2"))
			s.commit(1, 2, entry("2"))
			s.commit(1, 3, entry("1"))
		}, []string{AppendOrder}},
		{"appends of two sessions in any order", func(s *scenario) {
			s.write("s", Answered, entry("1"))
			s.write("t", Answered, entry("2"))
			s.commit(1, 2, entry("2"))
			s.commit(1, 3, entry("1"))
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario()
			c.build(s)
			var violated []string
			for _, v := range Violated(Check(s.history, s.truth)) {
				violated = append(violated, v.Name)
				t.Log(v.String())
			}
			if !slices.Equal(violated, c.violated) {
				t.Errorf("violated checks %q, want %q", violated, c.violated)
			}
		})
	}
}

// Guards against a recorder that assigns results to the wrong requests, or loses the
// order of requests and connections of a session.
func TestRecorder(t *testing.T) {
	r := NewRecorder()
	r.Moved("s", "vm-1", false)
	first := r.Invoke(Request{Session: "s", Kind: Write, Changes: []Change{entry("1")}})
	second := r.Invoke(Request{Session: "t", Kind: Read, Key: "k"})
	r.End(second, Result{Outcome: Answered, Values: []string{"v"}, Rows: 1})
	r.End(first, Result{Outcome: Unknown, Code: "08007"})
	r.Moved("s", "vm-2", true)
	h := r.History()
	if h.Requests[0].Outcome != Unknown || h.Requests[1].Outcome != Answered || h.Requests[1].Values[0] != "v" {
		t.Errorf("requests %+v", h.Requests)
	}
	want := []Move{{Session: "s", Proxy: "vm-1"}, {Session: "s", Proxy: "vm-2", After: first, WithToken: true}}
	if !slices.Equal(h.Moves, want) {
		t.Errorf("moves %+v, want %+v", h.Moves, want)
	}
}
