package fencer

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

// noLinks are the links of a VM that reaches no other one.
type noLinks struct{}

func (noLinks) Call(string, fleetwire.Kind, []byte, func(fleetwire.Frame, bool)) bool { return false }
func (noLinks) Peers() []fleetwire.Status                                             { return nil }
func (noLinks) View() *placement.View {
	return &placement.View{Self: "vm", Members: 3, Listed: true, VMs: []placement.VM{{Name: "vm", Alive: true}}}
}
func (noLinks) PingInterval() time.Duration                           { return 200 * time.Millisecond }
func (noLinks) UpdateStatus(fleetlink.Scope, func(*fleetwire.Status)) {}

// idleExecutor runs no statements.
type idleExecutor struct{}

func (idleExecutor) StopUsingOthers(_ map[string]string, _ time.Duration, accept, done func()) {
	accept()
	done()
}

// Guards against a failover coordinator that was paused, and whose designations VMs accept
// after another coordinator has taken over: no server would be used as the primary.
func TestSucceededCoordinatorIsIgnored(t *testing.T) {
	f := New(Options{Links: noLinks{}, Executor: idleExecutor{}, Leadership: leadership.NewTable(), Logger: &log.Logger{Handler: discard.Default}})
	send := func(claim, token uint64, server string) fencing.State {
		t.Helper()
		m := fleetwire.Fence{State: fencing.State{Claim: claim, Designations: []fencing.Designation{{Group: "g", Server: server, Token: token}}}}
		var response []byte
		if err := f.HandleFence(m.Append(nil), func(b []byte) { response = b }); err != nil {
			t.Fatal(err)
		}
		state, err := fleetwire.DecodeFencingState(response)
		if err != nil {
			t.Fatal(err)
		}
		return state
	}
	send(1001, 1001, "new")
	if state := send(1, 900, "old"); state.Claim != 1001 || len(state.Designations) != 1 || state.Designations[0].Server != "new" {
		t.Errorf("after the message of an earlier coordinator the state is %+v", state)
	}
	if state := send(1, 2000, "old"); state.Designations[0].Server != "new" {
		t.Errorf("an earlier coordinator with a high token designated %+v", state.Designations)
	}
	if state := send(2001, 2002, "next"); state.Designations[0].Server != "next" {
		t.Errorf("the next coordinator could not designate: %+v", state.Designations)
	}
}
