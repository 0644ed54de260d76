package sqlsession

import (
	"crypto/sha256"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// changedConfig returns the test configuration with a change.
func changedConfig(change func(*catalog.Config)) *catalog.Config {
	c := testConfig()
	c.Customers = append(c.Customers, catalog.Customer{Name: "other", Keys: []state.KeyHash{sha256.Sum256([]byte("other"))}})
	change(c)
	c.Index()
	return c
}

var (
	keyRevoked      = changedConfig(func(c *catalog.Config) { c.Customers[0].Keys = nil })
	customerRemoved = changedConfig(func(c *catalog.Config) { c.Customers = c.Customers[1:] })
	routeRemoved    = changedConfig(func(c *catalog.Config) { c.Routes = c.Routes[:1] }) // of database "own"
	keyMoved        = changedConfig(func(c *catalog.Config) { c.Customers[1].Keys, c.Customers[0].Keys = []state.KeyHash{key}, nil })
	routeChanged    = changedConfig(func(c *catalog.Config) {
		c.Routes[1].Group, c.Routes[1].Consistency, c.Routes[1].Timeout = "h", catalog.Latest, 0
		c.Customers[0].Keys = append(c.Customers[0].Keys, sha256.Sum256([]byte("second")))
	})
)

// openTx returns a session with a transaction that is open on a server.
func openTx(t *testing.T, config *catalog.Config) *Session {
	t.Helper()
	s, refusal := Open(config, "own", key)
	if s == nil {
		t.Fatalf("refused: %s", refusal.Code)
	}
	s.Handle(newRequest(statement.Begin, ""), config)
	s.Finish(s.Handle(newRequest(statement.Write, "a 1"), config).Run, statement.Result{Tx: 7}, "vm", "s")
	return s
}

// Guards against an open session that keeps using a revoked key or a removed route, in an
// open transaction too, and against a change of the configuration that interrupts a
// transaction whose client still has access.
func TestConfigurationChanges(t *testing.T) {
	for name, tt := range map[string]struct {
		config *catalog.Config
		single statement.Code // of a statement outside of a transaction
		inTx   statement.Code
	}{
		"key revoked":      {keyRevoked, statement.AccessDenied, statement.AccessDenied},
		"customer removed": {customerRemoved, statement.AccessDenied, statement.AccessDenied},
		"route removed":    {routeRemoved, statement.UnknownDatabase, statement.UnknownDatabase},
		"key moved":        {keyMoved, statement.OK, statement.Aborted},
		"route changed":    {routeChanged, statement.OK, statement.OK},
	} {
		t.Run(name, func(t *testing.T) {
			for _, verb := range []statement.Verb{statement.Read, statement.Write, statement.Begin, statement.Set, statement.Prepare} {
				step := openSession(t, "own").Handle(newRequest(verb, "x"), tt.config)
				if got := codeOf(step); got != tt.single || step.Close != (tt.single != statement.OK) {
					t.Errorf("verb %d outside of a transaction: %s, close %v; want %s", verb, got, step.Close, tt.single)
				}
			}
			for _, verb := range []statement.Verb{statement.Read, statement.Write, statement.Set, statement.Prepare, statement.Commit} {
				s := openTx(t, testConfig())
				checkStepInTx(t, s, verb, s.Handle(newRequest(verb, "x"), tt.config), tt.inTx)
			}
			s := openTx(t, testConfig())
			if step := s.Handle(newRequest(statement.Rollback, ""), tt.config); codeOf(step) != statement.OK || step.End == nil || s.State() != statement.Idle {
				t.Errorf("ROLLBACK: %+v", step)
			}
		})
	}
}

// codeOf returns the code of a step's answer; OK if the request is to run.
func codeOf(step Step) statement.Code {
	if step.Run != nil {
		return statement.OK
	}
	return step.Answer.Code
}

// checkStepInTx checks the step of a request in an open transaction, which is refused with
// the code unless that is OK.
func checkStepInTx(t *testing.T, s *Session, verb statement.Verb, step Step, want statement.Code) {
	t.Helper()
	if got := codeOf(step); got != want {
		t.Errorf("verb %d in a transaction: %s, want %s", verb, got, want)
		return
	}
	if want == statement.OK {
		if step.End != nil || s.State() != statement.InTx || step.Run != nil && step.Run.Route.Group != "g" {
			t.Errorf("verb %d: the transaction was interrupted or moved: %+v", verb, step)
		}
		return
	}
	if step.End == nil || *step.End != (Tx{VM: "vm", ID: 7, Server: "s"}) {
		t.Errorf("verb %d: the transaction is not ended on its server: %+v", verb, step.End)
	}
	if verb == statement.Commit {
		if s.State() != statement.Idle || step.Answer.State != statement.Idle {
			t.Errorf("state %d after a refused COMMIT", s.State())
		}
		return
	}
	if s.State() != statement.FailedTx || step.Answer.State != statement.FailedTx || step.Close {
		t.Errorf("verb %d: state %d, close %v", verb, s.State(), step.Close)
	}
	// The client ends the transaction in any order of the configurations.
	if got := codeOf(s.Handle(newRequest(statement.Write, "x"), testConfig())); got != statement.Malformed {
		t.Errorf("a write in the failed transaction: %s", got)
	}
	if got := codeOf(s.Handle(newRequest(statement.Rollback, ""), testConfig())); got != statement.OK {
		t.Errorf("ROLLBACK of the failed transaction: %s", got)
	}
}

// Guards against a write that runs outside of its transaction: its BEGIN was refused, and
// the key became valid again before the write was handled.
func TestRefusedSessionStaysRefused(t *testing.T) {
	s := openSession(t, "own")
	if got := codeOf(s.Handle(newRequest(statement.Begin, ""), keyRevoked)); got != statement.AccessDenied {
		t.Fatalf("BEGIN: %s", got)
	}
	for _, verb := range []statement.Verb{statement.Write, statement.Commit, statement.Begin} {
		if step := s.Handle(newRequest(verb, "a 1"), testConfig()); codeOf(step) != statement.AccessDenied {
			t.Errorf("verb %d: %+v", verb, step)
		}
	}
}

// Guards against a route that becomes or was open to all and lends its access to
// transactions of another customer.
func TestOpenRoutes(t *testing.T) {
	open := changedConfig(func(c *catalog.Config) { c.Routes[1].Public = true })
	openWithoutKey := changedConfig(func(c *catalog.Config) { c.Routes[1].Public, c.Customers[0].Keys = true, nil })
	for name, tt := range map[string]struct {
		before, after *catalog.Config
		want          statement.Code
	}{
		"closed, then open to all":      {testConfig(), open, statement.OK},
		"key revoked on an open route":  {open, openWithoutKey, statement.Aborted},
		"key revoked, then open to all": {testConfig(), openWithoutKey, statement.Aborted},
		"open to all, then closed":      {openWithoutKey, keyRevoked, statement.OK},
		"open to all, then removed":     {openWithoutKey, routeRemoved, statement.UnknownDatabase},
	} {
		s := openTx(t, tt.before)
		if got := codeOf(s.Handle(newRequest(statement.Write, "x"), tt.after)); got != tt.want {
			t.Errorf("%s: %s, want %s", name, got, tt.want)
		}
	}
}

// Guards against a waiting operation that is sent after the session's access was
// withdrawn, and against a refused statement of an open transaction, which would stay open.
func TestRecheck(t *testing.T) {
	for name, tt := range map[string]struct {
		config *catalog.Config
		want   statement.Code
	}{
		"key revoked":      {keyRevoked, statement.AccessDenied},
		"customer removed": {customerRemoved, statement.AccessDenied},
		"route removed":    {routeRemoved, statement.UnknownDatabase},
		"key moved":        {keyMoved, statement.Aborted},
		"route changed":    {routeChanged, statement.OK},
	} {
		single, begun, opened := openSession(t, "own"), openSession(t, "own"), openTx(t, testConfig())
		begun.Handle(newRequest(statement.Begin, ""), testConfig())
		for kind, s := range map[string]*Session{"single": single, "first of a transaction": begun} {
			o := s.Handle(newRequest(statement.Write, "x"), testConfig()).Run
			if a, refused := s.Recheck(o, tt.config); a.Code != tt.want || refused != (tt.want != statement.OK) {
				t.Errorf("%s, %s: %s, refused %v; want %s", name, kind, a.Code, refused, tt.want)
			}
		}
		if _, refused := opened.Recheck(opened.Handle(newRequest(statement.Commit, ""), testConfig()).Run, tt.config); refused {
			t.Errorf("%s: COMMIT of an open transaction is refused", name)
		}
	}
}
