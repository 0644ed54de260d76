package session

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const testRequest = 7 // number of the request in newWaiting

// newWaiting returns a decider, and a session whose request waits for its turn under the
// configuration of the given ticket.
func newWaiting(key state.Key) (*Decider, *state.Session) {
	tables := state.NewTables(state.Self{Name: "vm", DataCentre: "a"})
	tables.Config.Advance(&state.Config{
		Ticket:    state.TicketID{Number: 2},
		Customers: map[string]*state.Customer{"c": {Name: "c", Rate: 1, Burst: 1, Keys: []state.Key{key}, CutOff: state.CutOffPolicy{Always: true}}},
		Routes:    map[string]*state.Route{"r": {Name: "r", Group: "g", Access: state.ReadWrite}},
		Groups:    map[string]*state.Group{"g": {Name: "g"}},
	})
	s := tables.Sessions.Add()
	s.Login, s.Customer, s.Route, s.HasKey = "c", "c", "r", true
	s.Request = state.Request{Number: testRequest, Class: state.ClassWrite, Deadline: time.Now().Add(time.Minute)}
	return &Decider{Tables: tables}, s
}

// names returns the types of effects.
func names(effects []Effect) []string {
	var all []string
	for _, e := range effects {
		all = append(all, fmt.Sprintf("%T", e))
	}
	return all
}

// Guards against a request that is sent although its key was revoked while it waited for a
// connection, and against a false "not run" if an earlier attempt may have run.
func TestConnectionIsNotUsedAfterKeyIsRevoked(t *testing.T) {
	for name, tt := range map[string]struct {
		mayHaveRun bool
		want       OutcomeKind
	}{"first attempt": {false, NotRun}, "earlier attempt lost": {true, Unknown}} {
		d, s := newWaiting(state.Key{Revoked: true})
		s.Phase, s.Server, s.MayHaveRun = state.PhaseConnection, "s", tt.mayHaveRun
		effects := d.HandleConn(s, testRequest, "s", 5, time.Now())
		if diff := cmp.Diff([]string{"session.Release", "session.EndSession", "session.Finish"}, names(effects)); diff != "" {
			t.Fatalf("%s: effects: %s", name, diff)
		}
		if out := effects[2].(Finish).Outcome; out.Kind != tt.want || out.Reason != KeyRefused {
			t.Errorf("%s: %+v", name, out)
		}
	}
	d, s := newWaiting(state.Key{})
	s.Phase, s.Server = state.PhaseConnection, "s"
	if effects := d.HandleConn(s, testRequest, "s", 5, time.Now()); s.Ending {
		t.Errorf("a valid key was refused: %v", names(effects))
	}
}

// Guards against a statement of a transaction that is sent although its key was revoked
// while it waited for a token, and against a transaction that stays open then.
func TestTransactionEndsIfKeyIsRevokedDuringAdmission(t *testing.T) {
	for _, revoked := range []bool{true, false} {
		d, s := newWaiting(state.Key{Revoked: revoked})
		s.Phase, s.InTransaction, s.Server, s.Conn = state.PhaseAdmission, true, "s", 5
		effects := d.HandleAdmission(s, testRequest, share.Admission{Verdict: share.Granted}, time.Now())
		want := []string{"session.Discard", "session.EndSession", "session.Finish"}
		if !revoked {
			want = []string{"session.Send", "session.SetTimer"}
		}
		if diff := cmp.Diff(want, names(effects)); diff != "" {
			t.Errorf("revoked %v: effects: %s", revoked, diff)
		}
	}
}

// Guards against a statement that runs outside of its transaction: the one before it was
// refused and ended the transaction, and the key became valid again.
func TestEndingSessionStaysRefused(t *testing.T) {
	d, s := newWaiting(state.Key{})
	s.Phase, s.Ending = state.PhaseIdle, true
	effects := d.StartRequest(s, s.Request, time.Now())
	if diff := cmp.Diff([]string{"session.Finish"}, names(effects)); diff != "" {
		t.Fatalf("effects: %s", diff)
	}
	if f := effects[0].(Finish); f.Outcome != Refused(KeyRefused) || f.InTransaction {
		t.Errorf("%+v", f)
	}
}
