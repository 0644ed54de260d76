package failover

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var start = time.Unix(1000, 0)

func newStatus(server string, adopted, logTerm, position uint64) state.ServerStatus {
	s := state.ServerStatus{Server: server, Role: state.Replica, Primary: "a", AdoptedTerm: adopted, LogTerm: logTerm, Position: position}
	if server == "a" {
		s.Role, s.Primary = state.Primary, ""
	}
	return s
}

// newInput returns a group of servers a, b and c in three data centres. The
// primary is a, and all servers answered at start.
func newInput(role VMRole, states ...state.ServiceState) Input {
	grp := &state.Group{Name: "g"}
	g := &state.GroupState{Name: "g", Servers: map[string]*state.ServerView{}}
	for i, name := range []string{"a", "b", "c"} {
		s := state.BackendServer{Name: name, DataCentre: "dc-" + name, State: state.InService}
		if i < len(states) {
			s.State = states[i]
		}
		grp.Servers = append(grp.Servers, s)
		g.Observe(newStatus(name, 1, 1, 10), start)
	}
	g.Round.Started = start
	role.HasIndex = true
	return Input{State: g, Config: &state.Config{}, Group: grp, Role: role, Now: start}
}

func (in *Input) at(d time.Duration) Input {
	in.Now = start.Add(d)
	return *in
}

// calls returns the orders among the effects, formatted as "order server", and
// the first call.
func calls(effects []Effect) (orders []string, first Call) {
	for _, e := range effects {
		if c, ok := e.(Call); ok {
			if len(orders) == 0 {
				first = c
			}
			orders = append(orders, string(c.Order)+" "+c.Server)
		}
	}
	return orders, first
}

// Guards against promoting a server that may lack acknowledged writes, and
// against promoting a leaving server although another candidate is eligible.
func TestChooseCandidate(t *testing.T) {
	const in, leaving = state.InService, state.Leaving
	for name, c := range map[string]struct {
		states  []state.ServiceState
		adopted []state.ServerStatus
		target  string
		want    string
	}{
		"higher position":              {adopted: []state.ServerStatus{newStatus("b", 9, 1, 10), newStatus("c", 9, 1, 11)}, want: "c"},
		"later term before position":   {adopted: []state.ServerStatus{newStatus("b", 9, 2, 10), newStatus("c", 9, 1, 11)}, want: "b"},
		"equal: working primary":       {adopted: []state.ServerStatus{newStatus("c", 9, 1, 10), newStatus("a", 9, 1, 10)}, want: "a"},
		"equal: target of switchover":  {states: []state.ServiceState{leaving, in, in}, adopted: []state.ServerStatus{newStatus("a", 9, 1, 10), newStatus("b", 9, 1, 10), newStatus("c", 9, 1, 10)}, target: "c", want: "c"},
		"target behind":                {adopted: []state.ServerStatus{newStatus("b", 9, 1, 10), newStatus("c", 9, 1, 9)}, target: "c", want: "b"},
		"leaving, majority without it": {states: []state.ServiceState{leaving, in, in}, adopted: []state.ServerStatus{newStatus("a", 9, 1, 12), newStatus("b", 9, 1, 10), newStatus("c", 9, 1, 11)}, want: "c"},
		"leaving, needed":              {states: []state.ServiceState{in, leaving, in}, adopted: []state.ServerStatus{newStatus("b", 9, 1, 12), newStatus("c", 9, 1, 11)}, want: "b"},
	} {
		d := &decision{Input: newInput(VMRole{}, c.states...)}
		d.failover = &d.State.Failover
		d.failover.Candidate, d.failover.Adopted = c.target, map[string]state.ServerStatus{}
		for _, s := range c.adopted {
			d.failover.Adopted[s.Server] = s
		}
		if got := d.chooseCandidate(); got != c.want {
			t.Errorf("%s: chose %s, want %s", name, got, c.want)
		}
	}
}

// failQueries makes all servers answer at the given time, except for the named
// ones, whose queries have failed since start.
func (in *Input) failQueries(at time.Duration, servers ...string) {
	for _, s := range in.Group.Servers {
		in.State.Observe(newStatus(s.Name, 1, 1, 10), start.Add(at))
	}
	for _, name := range servers {
		v := in.State.View(name)
		v.SilentSince, v.Missed, v.FailedAt = start, missedProbesWithoutWaiters, start
	}
}

// Guards against promotions that start too early, too late, on too many VMs at
// once, or without a majority.
func TestStartOfPromotion(t *testing.T) {
	const never = 0
	waiters := []state.PositionWaiter{{Kind: state.WaitPrimary}}
	for name, c := range map[string]struct {
		role    VMRole
		waiting bool
		silent  []string
		want    time.Duration
	}{
		"first watcher, requests wait":  {VMRole{Watcher: true, DataCentre: "dc-b"}, true, []string{"a"}, silenceWithWaiters},
		"second watcher":                {VMRole{Watcher: true, DataCentre: "dc-c"}, true, []string{"a"}, silenceWithWaiters + watcherStagger},
		"watcher, no requests wait":     {VMRole{Watcher: true, DataCentre: "dc-b"}, false, []string{"a"}, silenceWithoutWaiters},
		"other VM, requests wait":       {VMRole{Rank: 1, DataCentre: "dc-b"}, true, []string{"a"}, silenceWithWaiters + 2*waiterStagger},
		"other VM, no requests wait":    {VMRole{Rank: 0, DataCentre: "dc-b"}, false, []string{"a"}, never},
		"primary of a newer ticket":     {VMRole{Watcher: true, DataCentre: "dc-b"}, true, []string{"a"}, never},
		"no majority":                   {VMRole{Watcher: true, DataCentre: "dc-b"}, true, []string{"a", "c"}, never},
		"replica silent, primary works": {VMRole{Watcher: true, DataCentre: "dc-b"}, true, []string{"c"}, never},
	} {
		in := newInput(c.role)
		if c.waiting {
			in.State.Waiters = waiters
		}
		if name == "primary of a newer ticket" {
			in.State.Learn(2, "d")
		}
		var got time.Duration
		for at := 10 * time.Millisecond; at <= 3*time.Second && got == 0; at += 10 * time.Millisecond {
			in.failQueries(at, c.silent...)
			if orders, _ := calls(Tick(in.at(at))); len(orders) > 0 {
				got = at
				if diff := cmp.Diff([]string{"adopt a", "adopt b", "adopt c"}, orders); diff != "" {
					t.Errorf("%s: orders (-want +got):\n%s", name, diff)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: started after %v, want %v", name, got, c.want)
		}
	}
}

// startedAttempt returns the input of a watcher that has just sent its adopt
// orders, and the first of them.
func startedAttempt(t *testing.T) (in Input, adopt Call) {
	t.Helper()
	in = newInput(VMRole{Watcher: true, DataCentre: "dc-b", Index: 7})
	in.State.Waiters = []state.PositionWaiter{{Kind: state.WaitPrimary}}
	in.failQueries(silenceWithWaiters, "a")
	orders, adopt := calls(Tick(in.at(silenceWithWaiters)))
	if len(orders) != 3 || adopt.Term != 1<<indexBits|7 {
		t.Fatalf("orders %v, first %+v", orders, adopt)
	}
	return in, adopt
}

// deliver processes the outcome of an order and returns the orders that follow.
func (in *Input) deliver(o Order, server string, term uint64, r Result, s state.ServerStatus) []string {
	c := Call{Order: o, Server: server, Term: term, Peer: in.State.Failover.Candidate, Sent: in.Now}
	orders, _ := calls(HandleOutcome(*in, c, Outcome{Result: r, Status: s}))
	return orders
}

// Guards against counting repeated, refused, late or misdirected answers towards
// the majority.
func TestOnlyOwnAdoptersCount(t *testing.T) {
	in, adopt := startedAttempt(t)
	term := adopt.Term
	for name, orders := range map[string][]string{
		"first":                                in.deliver(Adopt, "b", term, Done, newStatus("b", term, 1, 10)),
		"repeated":                             in.deliver(Adopt, "b", term, Done, newStatus("b", term, 1, 10)),
		"other server":                         in.deliver(Adopt, "a", term, Done, newStatus("b", term, 1, 10)),
		"earlier term":                         in.deliver(Adopt, "c", term-1, Done, newStatus("c", term-1, 1, 10)),
		"refused, term adopted for another VM": in.deliver(Adopt, "a", term, Refused, newStatus("a", term, 1, 10)),
	} {
		if len(orders) != 0 {
			t.Errorf("%s answer led to %v", name, orders)
		}
	}
	if diff := cmp.Diff([]string{"promote c"}, in.deliver(Adopt, "c", term, Done, newStatus("c", term, 1, 11))); diff != "" {
		t.Errorf("orders after a majority (-want +got):\n%s", diff)
	}
	leads := newStatus("c", term, term, 12)
	leads.Role = state.Primary
	if diff := cmp.Diff([]string{"follow a", "follow b"}, in.deliver(Promote, "c", term, Done, leads)); diff != "" {
		t.Errorf("orders after the promotion (-want +got):\n%s", diff)
	}
}

// Guards against reusing a term after an unanswered order, and against
// superseding another VM's attempt immediately.
func TestRetryUsesAHigherTerm(t *testing.T) {
	for result, earliest := range map[Result]time.Duration{Failed: retryBase, Refused: promotionGrace} {
		in, adopt := startedAttempt(t)
		adoptedTerm := map[Result]uint64{Failed: adopt.Term, Refused: 5 << indexBits}[result]
		in.deliver(Adopt, "b", adopt.Term, result, newStatus("b", adoptedTerm, 1, 10))
		in.deliver(Adopt, "a", adopt.Term, Failed, state.ServerStatus{})
		next, at := Call{}, silenceWithWaiters
		for ; next.Term == 0 && at < 3*time.Second; at += 10 * time.Millisecond {
			in.failQueries(at, "a")
			in.State.Observe(newStatus("b", adoptedTerm, 1, 10), start.Add(at))
			_, next = calls(Tick(in.at(at)))
		}
		if next.Order != Adopt || next.Term <= adoptedTerm || at < silenceWithWaiters+earliest {
			t.Errorf("result %d: %v after %v", result, next, at-silenceWithWaiters)
		}
	}
	if _, ok := nextTerm(math.MaxUint64, 1); ok {
		t.Error("nextTerm returned a term above the highest possible one")
	}
}

// Guards against a drained primary that is never resumed, and against a resume
// that aborts another VM's switchover.
func TestSwitchover(t *testing.T) {
	for result, want := range map[Result][]string{
		Done:    {"adopt a", "adopt b", "adopt c"},
		Refused: nil,
		Failed:  {"resume a"},
	} {
		in := newInput(VMRole{Watcher: true, DataCentre: "dc-b"}, state.Leaving)
		orders, first := calls(Tick(in))
		if len(orders) != 1 || first.Order != Switchover || first.Peer != "b" {
			t.Fatalf("orders %v, first %+v", orders, first)
		}
		got := in.deliver(Switchover, "a", 1, result, newStatus("a", 1, 1, 10))
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("orders after result %d (-want +got):\n%s", result, diff)
		}
	}
}

// Guards against deposing a primary that another VM has just promoted: a majority
// of the servers answers before the new primary is queried.
func TestPromotedPrimaryIsQueriedFirst(t *testing.T) {
	const term = 3 << indexBits
	in := newInput(VMRole{Watcher: true, DataCentre: "dc-b"})
	in.State.Waiters = []state.PositionWaiter{{Kind: state.WaitPrimary}}
	observe := func(at time.Duration, servers ...string) []string {
		for _, name := range servers {
			s := newStatus(name, term, term, 11)
			s.Role, s.Primary = state.Replica, "c"
			if name == "c" {
				s.Role, s.Primary = state.Primary, ""
			}
			in.State.Observe(s, start.Add(at))
		}
		orders, _ := calls(Tick(in.at(at)))
		return orders
	}
	at := time.Duration(0)
	for ; at <= 2*promotionGrace; at += 10 * time.Millisecond {
		if orders := observe(at, "a", "b"); len(orders) > 0 {
			t.Fatalf("orders %v after %v, although b follows c and c was not queried", orders, at)
		}
	}
	if orders := observe(at, "c"); len(orders) > 0 || in.State.Primary != "c" {
		t.Errorf("orders %v, primary %s after c has answered", orders, in.State.Primary)
	}
	// The same if another VM reports the promotion after the group has had no
	// primary for a long time.
	in = newInput(VMRole{Watcher: true, DataCentre: "dc-b"})
	in.State.Waiters = []state.PositionWaiter{{Kind: state.WaitPrimary}}
	for at = 0; at < promotionGrace; at += 10 * time.Millisecond {
		observe(at, "a", "b")
	}
	HandlePeerReport(in.at(at), term, "c", false)
	for ; at <= 2*promotionGrace; at += 10 * time.Millisecond {
		if orders := observe(at, "a", "b"); len(orders) > 0 {
			t.Fatalf("orders %v after %v, although c was promoted and not queried", orders, at)
		}
	}
	// A new primary that does not answer must be replaced.
	in = newInput(VMRole{Watcher: true, DataCentre: "dc-b"})
	in.State.Waiters = []state.PositionWaiter{{Kind: state.WaitPrimary}}
	var orders []string
	for at = 0; at <= 3*time.Second && len(orders) == 0; at += 10 * time.Millisecond {
		in.State.ObserveFailure("c", start.Add(at))
		in.State.View("c").Missed++
		orders = observe(at, "a", "b")
	}
	if len(orders) == 0 {
		t.Error("a new primary that does not answer is not replaced")
	}
}
