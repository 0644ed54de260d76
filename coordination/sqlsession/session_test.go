package sqlsession

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

var key = state.KeyHash(sha256.Sum256([]byte("key")))

func testConfig() *catalog.Config {
	c := &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Database: "latest", Group: "g", Consistency: catalog.Latest, Timeout: time.Second},
			{Database: "own", Group: "g", Consistency: catalog.ReadYourWrites, MaxStaleness: time.Second, Timeout: time.Second},
		},
		Customers: []catalog.Customer{{Name: "c", Rate: 10, Burst: 10, Keys: []state.KeyHash{key}}},
		Groups:    []catalog.Group{{Name: "g", MaxConnections: 10}},
	}
	c.Index()
	return c
}

func openSession(t *testing.T, database string) *Session {
	t.Helper()
	s, refusal := Open(testConfig(), database, key)
	if s == nil {
		t.Fatalf("refused: %s", refusal.Code)
	}
	return s
}

func newRequest(verb statement.Verb, payload string) statement.Request {
	return statement.Request{ID: "1", Verb: verb, Payload: payload}
}

// Guards against opening a session for an unknown database or with an unknown key.
func TestOpen(t *testing.T) {
	if s, a := Open(testConfig(), "other", key); s != nil || a.Code != statement.UnknownDatabase {
		t.Errorf("unknown database: %s", a.Code)
	}
	if s, a := Open(testConfig(), "own", state.KeyHash{}); s != nil || a.Code != statement.AccessDenied {
		t.Errorf("unknown key: %s", a.Code)
	}
}

// Guards against running a statement outside the connection of its transaction, and
// against wrong answers after a transaction has failed.
func TestTransactionPhases(t *testing.T) {
	s := openSession(t, "latest")
	step := s.Handle(newRequest(statement.Begin, ""), testConfig())
	if !step.Charge || step.Answer.State != statement.InTx {
		t.Fatalf("BEGIN: %+v", step)
	}
	o := s.Handle(newRequest(statement.Write, "a 1"), testConfig()).Run
	if !o.BeginsTx || o.Charge || !o.NeedsPrimary {
		t.Errorf("first statement: %+v", o)
	}
	s.Finish(o, statement.Result{Tx: 7}, "vm", "s")
	o = s.Handle(newRequest(statement.Write, "b 1"), testConfig()).Run
	if o.BeginsTx || o.Tx != (Tx{VM: "vm", ID: 7, Server: "s"}) {
		t.Errorf("second statement: %+v", o)
	}
	r := statement.Result{Answer: statement.Refusal(statement.Lost, "")}
	o.HandleResult(&r)
	if a := s.Finish(o, r, "vm", "s"); a.Code != statement.Aborted || a.State != statement.FailedTx {
		t.Errorf("a lost write in a transaction is answered with %+v", a)
	}
	if a := s.Handle(newRequest(statement.Read, "a"), testConfig()).Answer; a.Code != statement.Malformed {
		t.Errorf("a read after the failure: %+v", a)
	}
	if a := s.Handle(newRequest(statement.Commit, ""), testConfig()).Answer; a.Code != statement.Aborted || a.State != statement.Idle {
		t.Errorf("COMMIT after the failure: %+v", a)
	}
}

// Guards against reporting a definite outcome for a statement that may have taken
// effect, and against running a write twice.
func TestJudge(t *testing.T) {
	read := &Operation{Request: newRequest(statement.Read, "")}
	write := &Operation{Request: newRequest(statement.Write, "")}
	inTx := &Operation{Request: newRequest(statement.Write, ""), Tx: Tx{ID: 1}}
	commit := &Operation{Request: newRequest(statement.Commit, ""), Tx: Tx{ID: 1}}
	for _, tt := range []struct {
		name    string
		o       *Operation
		code    statement.Code
		verdict Verdict
		want    statement.Code
	}{
		{"read not run", read, statement.Lagging, Retry, statement.Lagging},
		{"read lost", read, statement.Lost, Retry, statement.Lost},
		{"write not run", write, statement.ReadOnly, Retry, statement.ReadOnly},
		{"write lost", write, statement.Lost, Answer, statement.InDoubt},
		{"write timed out", write, statement.Timeout, Answer, statement.Timeout},
		{"write failed", write, statement.Failed, Answer, statement.Failed},
		{"write in a transaction lost", inTx, statement.Lost, Answer, statement.Aborted},
		{"write in a transaction timed out", inTx, statement.Timeout, Answer, statement.Aborted},
		{"write in a transaction on a former primary", inTx, statement.ReadOnly, Answer, statement.Aborted},
		{"commit lost", commit, statement.Lost, Answer, statement.InDoubt},
		{"commit timed out", commit, statement.Timeout, Answer, statement.InDoubt},
		{"commit not sent", commit, statement.Unreachable, Answer, statement.Aborted},
	} {
		r := statement.Result{Answer: statement.Refusal(tt.code, "")}
		if got := tt.o.HandleResult(&r); got != tt.verdict || r.Answer.Code != tt.want {
			t.Errorf("%s: verdict %d, code for the client %s", tt.name, got, r.Answer.Code)
		}
	}
}

// Guards against prepared statements of different sessions that share a name, and
// against a change of session values that affects a running operation.
func TestValuesAndPreparedNames(t *testing.T) {
	a, b := openSession(t, "own"), openSession(t, "own")
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "z", Payload: "1"}, testConfig())
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "a", Payload: "2"}, testConfig())
	before := a.Handle(newRequest(statement.Read, "x"), testConfig()).Run.Values
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "z", Payload: "3"}, testConfig())
	if before[0].Name != "a" || before[1] != (statement.Value{Name: "z", Data: "1"}) {
		t.Errorf("values of a running operation changed: %v", before)
	}
	for s, shape := range map[*Session]string{a: "q1", b: "q2"} {
		s.Handle(statement.Request{ID: "1", Verb: statement.Prepare, Name: "s1", Payload: shape}, testConfig())
	}
	run := func(s *Session) *statement.Prepared {
		return s.Handle(statement.Request{ID: "1", Verb: statement.Execute, Name: "s1", Payload: "x"}, testConfig()).Run.Prepared
	}
	if x, y := run(a), run(b); x.Name == y.Name || x.Shape != "q1" || y.Shape != "q2" {
		t.Errorf("prepared names collide: %+v %+v", x, y)
	}
	a.Handle(statement.Request{ID: "1", Verb: statement.Close, Name: "s1"}, testConfig())
	if step := a.Handle(statement.Request{ID: "1", Verb: statement.Execute, Name: "s1"}, testConfig()); step.Answer == nil || step.Answer.Code != statement.UnknownStatement {
		t.Errorf("a closed prepared statement runs: %+v", step)
	}
}

// Guards against running a read-only transaction of a route with consistency latest
// on a replica, and against running a read without a known minimum position
// anywhere but on a server that is confirmed as the primary.
func TestChoose(t *testing.T) {
	c := testConfig()
	d := &catalog.Deployment{Config: c, Servers: map[string]*catalog.Server{
		"p": {ID: "p", Group: "g", DataCentre: "x", Primary: true}, "r": {ID: "r", Group: "g", DataCentre: "y"},
	}}
	view := &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", DataCentre: "y", Weight: 1, Alive: true}}, Members: 1}
	table := leadership.NewTable()
	choose := func(o *Operation) Target {
		target, ok := Choose(o, Env{Deployment: d, Leadership: table, View: view, DataCentre: "y", Now: time.Minute})
		if !ok {
			t.Fatal("no target")
		}
		return target
	}
	own := openSession(t, "own")
	if got := choose(own.Handle(newRequest(statement.Read, "x"), c).Run); got.Server != "p" || !got.Statement.RequirePrimary {
		t.Errorf("a read without a known minimum position runs on %s, RequirePrimary %v", got.Server, got.Statement.RequirePrimary)
	}
	table.With("g", func(g *leadership.Group) {
		g.RecordConfirmation("p", state.Point{Term: 1, Position: 8}, time.Minute-time.Second/2)
	})
	got := choose(own.Handle(newRequest(statement.Read, "x"), c).Run)
	if got.Server != "r" || got.Statement.RequirePrimary || got.Statement.Command.After != (state.Point{Term: 1, Position: 8}) {
		t.Errorf("a read with a known minimum position runs on %s as %+v", got.Server, got.Statement)
	}
	latest := openSession(t, "latest")
	latest.Handle(newRequest(statement.BeginReadOnly, ""), c)
	if got := choose(latest.Handle(newRequest(statement.Read, "x"), c).Run); got.Server != "p" || got.Statement.ReadOnlyTx || !got.Statement.ConfirmsLeadership() {
		t.Errorf("a read-only transaction on a route with consistency latest runs on %s as %+v", got.Server, got.Statement)
	}
	own.Handle(newRequest(statement.BeginReadOnly, ""), c)
	if got := choose(own.Handle(newRequest(statement.Read, "x"), c).Run); got.Server != "r" || !got.Statement.ReadOnlyTx || !got.Statement.BeginsTx {
		t.Errorf("a read-only transaction runs on %s as %+v", got.Server, got.Statement)
	}
}

// Guards against hedging an operation that must run only once or on one server
// only.
func TestHedgeAfter(t *testing.T) {
	route := &catalog.Route{TargetLatency: 600 * time.Millisecond}
	read := Operation{Request: newRequest(statement.Read, ""), Route: route}
	if delay, may := read.HedgeAfter(); !may || delay != 200*time.Millisecond {
		t.Errorf("a read: %v %v", delay, may)
	}
	for name, change := range map[string]func(*Operation){
		"a write":                                       func(o *Operation) { o.Request.Verb = statement.Write },
		"a prepared write":                              func(o *Operation) { o.Prepared = &statement.Prepared{Writes: true} },
		"a read on the primary":                         func(o *Operation) { o.NeedsPrimary = true },
		"a read in a transaction":                       func(o *Operation) { o.Tx.ID = 1 },
		"a read that begins a transaction":              func(o *Operation) { o.BeginsTx = true },
		"a read on a route without a latency objective": func(o *Operation) { o.Route = &catalog.Route{} },
	} {
		o := read
		change(&o)
		delay, may := o.HedgeAfter()
		if short := o.Route.TargetLatency == 0; may != short || short && delay != minHedgeDelay {
			t.Errorf("%s: %v %v", name, delay, may)
		}
	}
}
