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

func config() *catalog.Config {
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

func open(t *testing.T, database string) *Session {
	t.Helper()
	s, refusal := Open(config(), database, key)
	if s == nil {
		t.Fatalf("refused: %s", refusal.Code)
	}
	return s
}

func request(verb statement.Verb, payload string) statement.Request {
	return statement.Request{ID: "1", Verb: verb, Payload: payload}
}

// Guards against sessions without a route or with a key that is not known.
func TestOpen(t *testing.T) {
	if s, a := Open(config(), "other", key); s != nil || a.Code != statement.UnknownDatabase {
		t.Errorf("unknown database: %s", a.Code)
	}
	if s, a := Open(config(), "own", state.KeyHash{}); s != nil || a.Code != statement.AccessDenied {
		t.Errorf("unknown key: %s", a.Code)
	}
}

// Guards against a key or route that is gone and still used by an open session,
// and against a transaction that changes its route midway.
func TestConfigurationChanges(t *testing.T) {
	s := open(t, "own")
	revoked := config()
	revoked.Customers[0].Keys = nil
	revoked.Index()
	if step := s.Handle(request(statement.Read, "x"), revoked); step.Answer == nil || step.Answer.Code != statement.AccessDenied || !step.Close {
		t.Errorf("read with a revoked key: %+v", step)
	}
	s.Handle(request(statement.Begin, ""), config())
	if step := s.Handle(request(statement.Read, "x"), revoked); step.Run == nil {
		t.Errorf("a transaction was cut by a change: %+v", step.Answer)
	}
}

// Guards against statements outside of their transaction's connection, and
// against answers after a failure that a client cannot act on.
func TestTransactionPhases(t *testing.T) {
	s := open(t, "latest")
	step := s.Handle(request(statement.Begin, ""), config())
	if !step.Charge || step.Answer.State != statement.InTx {
		t.Fatalf("BEGIN: %+v", step)
	}
	o := s.Handle(request(statement.Write, "a 1"), config()).Run
	if !o.Opens || o.Charge || !o.NeedsLead {
		t.Errorf("first statement: %+v", o)
	}
	s.Finish(o, statement.Result{Tx: 7}, "vm", "s")
	o = s.Handle(request(statement.Write, "b 1"), config()).Run
	if o.Opens || o.Tx != (Tx{VM: "vm", ID: 7, Server: "s"}) {
		t.Errorf("second statement: %+v", o)
	}
	r := statement.Result{Answer: statement.Refusal(statement.Lost, "")}
	o.Judge(&r)
	if a := s.Finish(o, r, "vm", "s"); a.Code != statement.Aborted || a.State != statement.FailedTx {
		t.Errorf("a lost write in a transaction is told as %+v", a)
	}
	if a := s.Handle(request(statement.Read, "a"), config()).Answer; a.Code != statement.Malformed {
		t.Errorf("a read after the failure: %+v", a)
	}
	if a := s.Handle(request(statement.Commit, ""), config()).Answer; a.Code != statement.Aborted || a.State != statement.Idle {
		t.Errorf("COMMIT after the failure: %+v", a)
	}
}

// Guards against outcomes that promise what is not known, and against writes
// that are repeated.
func TestJudge(t *testing.T) {
	read := &Operation{Request: request(statement.Read, "")}
	write := &Operation{Request: request(statement.Write, "")}
	inTx := &Operation{Request: request(statement.Write, ""), Tx: Tx{ID: 1}}
	commit := &Operation{Request: request(statement.Commit, ""), Tx: Tx{ID: 1}}
	for _, tt := range []struct {
		name    string
		o       *Operation
		code    statement.Code
		verdict Verdict
		told    statement.Code
	}{
		{"read not run", read, statement.Lagging, Retry, statement.Lagging},
		{"read lost", read, statement.Lost, Retry, statement.Lost},
		{"write not run", write, statement.ReadOnly, Retry, statement.ReadOnly},
		{"write lost", write, statement.Lost, Tell, statement.InDoubt},
		{"write timed out", write, statement.Timeout, Tell, statement.Timeout},
		{"write failed", write, statement.Failed, Tell, statement.Failed},
		{"write in a transaction lost", inTx, statement.Lost, Tell, statement.Aborted},
		{"write in a transaction timed out", inTx, statement.Timeout, Tell, statement.Aborted},
		{"write in a transaction on a former primary", inTx, statement.ReadOnly, Tell, statement.Aborted},
		{"commit lost", commit, statement.Lost, Tell, statement.InDoubt},
		{"commit timed out", commit, statement.Timeout, Tell, statement.InDoubt},
		{"commit not sent", commit, statement.Unreachable, Tell, statement.Aborted},
	} {
		r := statement.Result{Answer: statement.Refusal(tt.code, "")}
		if got := tt.o.Judge(&r); got != tt.verdict || r.Answer.Code != tt.told {
			t.Errorf("%s: verdict %d, told %s", tt.name, got, r.Answer.Code)
		}
	}
}

// Guards against prepared names and values that leak between sessions.
func TestValuesAndPreparedNames(t *testing.T) {
	a, b := open(t, "own"), open(t, "own")
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "z", Payload: "1"}, config())
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "a", Payload: "2"}, config())
	before := a.Handle(request(statement.Read, "x"), config()).Run.Values
	a.Handle(statement.Request{ID: "1", Verb: statement.Set, Name: "z", Payload: "3"}, config())
	if before[0].Name != "a" || before[1] != (statement.Value{Name: "z", Data: "1"}) {
		t.Errorf("values of an operation under way changed: %v", before)
	}
	for s, shape := range map[*Session]string{a: "q1", b: "q2"} {
		s.Handle(statement.Request{ID: "1", Verb: statement.Prepare, Name: "s1", Payload: shape}, config())
	}
	run := func(s *Session) *statement.Prepared {
		return s.Handle(statement.Request{ID: "1", Verb: statement.Execute, Name: "s1", Payload: "x"}, config()).Run.Prepared
	}
	if x, y := run(a), run(b); x.Name == y.Name || x.Shape != "q1" || y.Shape != "q2" {
		t.Errorf("prepared names collide: %+v %+v", x, y)
	}
	a.Handle(statement.Request{ID: "1", Verb: statement.Close, Name: "s1"}, config())
	if step := a.Handle(statement.Request{ID: "1", Verb: statement.Execute, Name: "s1"}, config()); step.Answer == nil || step.Answer.Code != statement.UnknownStatement {
		t.Errorf("a closed name runs: %+v", step)
	}
}

// Guards against a reading transaction of a latest route on a replica, and
// against reads without a floor anywhere but on a proven primary.
func TestChoose(t *testing.T) {
	c := config()
	d := &catalog.Deployment{Config: c, Servers: map[string]*catalog.Server{
		"p": {ID: "p", Group: "g", DataCentre: "x", Primary: true}, "r": {ID: "r", Group: "g", DataCentre: "y"},
	}}
	view := &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", DataCentre: "y", Weight: 1, Alive: true}}, Members: 1}
	leads := leadership.NewTable()
	choose := func(o *Operation) Target {
		target, ok := Choose(o, Env{Deployment: d, Leads: leads, View: view, DataCentre: "y", Now: time.Minute})
		if !ok {
			t.Fatal("no target")
		}
		return target
	}
	own := open(t, "own")
	if got := choose(own.Handle(request(statement.Read, "x"), c).Run); got.Server != "p" || !got.Work.Proof {
		t.Errorf("a read without a floor runs on %s, proof %v", got.Server, got.Work.Proof)
	}
	leads.With("g", func(g *leadership.Group) { g.Prove("p", state.Point{Term: 1, Position: 8}, time.Minute-time.Second/2) })
	got := choose(own.Handle(request(statement.Read, "x"), c).Run)
	if got.Server != "r" || got.Work.Proof || got.Work.Command.After != (state.Point{Term: 1, Position: 8}) {
		t.Errorf("a read with a floor runs on %s as %+v", got.Server, got.Work)
	}
	latest := open(t, "latest")
	latest.Handle(request(statement.BeginReadOnly, ""), c)
	if got := choose(latest.Handle(request(statement.Read, "x"), c).Run); got.Server != "p" || got.Work.ReadOnlyTx || !got.Work.Proves() {
		t.Errorf("a reading transaction on a latest route runs on %s as %+v", got.Server, got.Work)
	}
	own.Handle(request(statement.BeginReadOnly, ""), c)
	if got := choose(own.Handle(request(statement.Read, "x"), c).Run); got.Server != "r" || !got.Work.ReadOnlyTx || !got.Work.Opens {
		t.Errorf("a reading transaction runs on %s as %+v", got.Server, got.Work)
	}
}

// Guards against a second run of what must run once, or on one server only.
func TestHedgeAfter(t *testing.T) {
	route := &catalog.Route{TargetLatency: 600 * time.Millisecond}
	read := Operation{Request: request(statement.Read, ""), Route: route}
	if delay, may := read.HedgeAfter(); !may || delay != 200*time.Millisecond {
		t.Errorf("a read: %v %v", delay, may)
	}
	for name, change := range map[string]func(*Operation){
		"a write":                      func(o *Operation) { o.Request.Verb = statement.Write },
		"a prepared write":             func(o *Operation) { o.Prepared = &statement.Prepared{Writes: true} },
		"a read of the primary":        func(o *Operation) { o.NeedsLead = true },
		"a read in a transaction":      func(o *Operation) { o.Tx.ID = 1 },
		"a read that begins one":       func(o *Operation) { o.Opens = true },
		"a read without time to hedge": func(o *Operation) { o.Route = &catalog.Route{} },
	} {
		o := read
		change(&o)
		delay, may := o.HedgeAfter()
		if short := o.Route.TargetLatency == 0; may != short || short && delay != minHedgeDelay {
			t.Errorf("%s: %v %v", name, delay, may)
		}
	}
}
