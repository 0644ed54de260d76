package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	m.Run()
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// configOf returns a configuration with one data centre of n VMs, vm1 to vmN.
func configOf(ticket uint64, n int) *state.Config {
	dc := &state.DataCentre{Name: "dc1", State: state.InService}
	for i := range n {
		dc.VMs = append(dc.VMs, state.VM{Name: fmt.Sprintf("vm%d", i+1), State: state.InService})
	}
	return &state.Config{
		Ticket:      state.TicketID{Number: ticket},
		DataCentres: map[string]*state.DataCentre{"dc1": dc},
	}
}

func newTables(name string, incarnation uint64, config *state.Config, started time.Time) *state.Tables {
	t := state.NewTables(state.Self{Name: name, DataCentre: "dc1", Incarnation: incarnation})
	t.Config.Advance(config)
	Start(t.Lease, started)
	return t
}

// Guards against two quorums that share no voter besides the VM itself, so that
// two processes hold the lease at once, and against a wrong number of voters.
func TestVoterSetsIntersect(t *testing.T) {
	want := map[int]struct{ others, renew, acquire int }{
		1: {1, 1, 1}, 2: {2, 1, 2}, 3: {2, 1, 2}, 4: {2, 1, 2}, 5: {4, 2, 3}, 6: {4, 2, 3}, 49: {4, 2, 3},
	}
	for n, w := range want {
		v := VotersOf(configOf(1, n), "vm1")
		if v.otherCount() != w.others || v.renewQuorum() != w.renew || v.acquireQuorum() != w.acquire {
			t.Errorf("%d VMs: %d voters, renew %d, acquire %d, want %+v", n, v.otherCount(), v.renewQuorum(), v.acquireQuorum(), w)
		}
		if v.Store != (n < 3) {
			t.Errorf("%d VMs: store votes: %v", n, v.Store)
		}
		if v.renewQuorum()+v.acquireQuorum() <= v.otherCount() {
			t.Errorf("%d VMs: renewal and acquisition need no voter in common", n)
		}
	}
}

// Guards against voters that may be switched off.
func TestVMsOutOfServiceDoNotVote(t *testing.T) {
	config := configOf(1, 5)
	config.DataCentres["dc1"].VMs[4].State = state.Out
	for _, voter := range VotersOf(config, "vm1").VMs {
		if voter == "vm5" {
			t.Error("vm5 is out of service and votes")
		}
	}
}

// Guards against added or removed VMs that change the voters of unrelated VMs.
func TestRendezvousMovesNoOtherName(t *testing.T) {
	names := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
	all := Rendezvous("key", names)
	for i := range all {
		var rest []string
		for _, name := range names {
			if name != all[i] {
				rest = append(rest, name)
			}
		}
		got := Rendezvous("key", rest)
		want := append(append([]string(nil), all[:i]...), all[i+1:]...)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("without %s: %v, want %v", all[i], got, want)
		}
	}
}

// Guards against a voter that confirms a second process of one name, in each
// way in which this can come about.
func TestConfirm(t *testing.T) {
	config, ready := configOf(2, 3), epoch.Add(ExclusivePeriod)
	digest := VotersOf(config, "vm1").digest()
	query := func(incarnation uint64) Query { return Query{Incarnation: incarnation, Ticket: 2, Voters: digest} }
	for _, c := range []struct {
		name    string
		prepare func(t *state.Tables)
		query   Query
		at      time.Time
		want    bool
	}{
		{"first query", func(*state.Tables) {}, query(1), ready, true},
		{"voter started recently", func(*state.Tables) {}, query(1), ready.Add(-1), false},
		{"higher incarnation known", func(t *state.Tables) { ObserveIncarnation(t, "vm1", 2) }, query(1), ready, false},
		{"lower incarnation confirmed", func(t *state.Tables) { Confirm(t, "vm1", query(1), ready) }, query(2), ready.Add(ExclusivePeriod - 1), false},
		{"confirmation of lower incarnation expired", func(t *state.Tables) { Confirm(t, "vm1", query(1), ready) }, query(2), ready.Add(ExclusivePeriod), true},
		{"voter is superseded", func(t *state.Tables) { ObserveIncarnation(t, "vm2", 9) }, query(1), ready, false},
		{"old list of voters", func(*state.Tables) {}, Query{Incarnation: 1, Ticket: 1, Voters: 1}, ready, false},
		{"newer list of voters", func(*state.Tables) {}, Query{Incarnation: 1, Ticket: 3, Voters: 1}, ready, true},
		{"lacks a ticket applied by all VMs", func(t *state.Tables) { t.Shares.With(func(s *state.Shares) { s.Agreed = 2 }) },
			Query{Incarnation: 1, Ticket: 1, Voters: digest}, ready, false},
	} {
		tables := newTables("vm2", 1, config, epoch)
		c.prepare(tables)
		if got := Confirm(tables, "vm1", c.query, c.at).Confirmed; got != c.want {
			t.Errorf("%s: confirmed %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a confirmation that is counted from its receipt, a late or
// duplicate answer that extends the hold, and queries by a process that has
// been replaced.
func TestHoldCountsFromSending(t *testing.T) {
	tables := newTables("vm1", 1, configOf(1, 3), epoch)
	sent := epoch.Add(time.Minute)
	var answers []func(now time.Time)
	for _, out := range Queries(tables, sent) {
		answers = append(answers, func(now time.Time) {
			Receive(tables, out.Voter, Answer{Number: out.Query.Number, Confirmed: true}, now)
		})
	}
	answers[0](sent.Add(time.Second))
	if Valid(tables.Lease, sent.Add(time.Second)) {
		t.Error("one of two other voters sufficed to acquire the lease")
	}
	answers[1](sent.Add(time.Second))
	answers[1](sent.Add(2 * time.Second))
	if !Valid(tables.Lease, sent.Add(Duration-1)) || Valid(tables.Lease, sent.Add(Duration)) {
		t.Errorf("hold %+v, want it to end %v after %v", tables.Lease.Hold(), Duration, sent)
	}
	ObserveIncarnation(tables, "vm1", 2)
	if len(Queries(tables, sent)) != 0 {
		t.Error("a superseded process asks for confirmation")
	}
}

// Guards against use of the store's confirmation while an earlier process may
// still rely on its last reading of the object.
func TestStoreConfirmsAfterWait(t *testing.T) {
	tables := newTables("vm1", 2, configOf(1, 1), epoch)
	ask := func(at time.Time) {
		q := Queries(tables, at)[0].Query
		answer, write := StoreAnswer(q, 2)
		if write || !answer.Confirmed {
			t.Fatalf("answer %+v, write %v", answer, write)
		}
		Receive(tables, Store, answer, at)
	}
	if _, write := StoreAnswer(Query{Incarnation: 2}, 1); !write {
		t.Error("the store keeps an older incarnation")
	}
	ask(epoch)
	ask(epoch.Add(ExclusivePeriod - 1))
	if Valid(tables.Lease, epoch.Add(ExclusivePeriod-1)) {
		t.Error("the store's confirmation is counted before the wait ended")
	}
	ask(epoch.Add(ExclusivePeriod))
	if !Valid(tables.Lease, epoch.Add(ExclusivePeriod)) {
		t.Error("the store's confirmation is not counted after the wait")
	}
}
