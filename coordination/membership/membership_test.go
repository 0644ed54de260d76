package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var now = time.Date(2030, 3, 1, 12, 0, 0, 0, time.UTC)

// fleet returns a configuration with VMs a-0, a-1 and so on in data centre a, and
// likewise for the others, and members with contact now.
func fleet(perDataCentre int, dataCentres ...string) (*state.Config, *state.Members) {
	c := &state.Config{Ticket: state.TicketID{Number: 7}, DataCentres: make(map[string]*state.DataCentre)}
	ms := state.NewMembers()
	for _, dc := range dataCentres {
		d := &state.DataCentre{Name: dc, State: state.InService}
		for i := range perDataCentre {
			name := fmt.Sprintf("%s-%d", dc, i)
			d.VMs = append(d.VMs, state.VM{Name: name, Address: name + ":1", State: state.InService})
			ms.ByName[name] = &state.Member{
				Name: name, Incarnation: 1, Sequence: 1, DataCentre: dc, Address: name + ":1",
				State: state.InService, AppliedTicket: 7, Contact: now, Changed: now.Add(-time.Hour),
			}
		}
		c.DataCentres[dc] = d
	}
	return c, ms
}

func self(dc string, i int) state.Self {
	return state.Self{Name: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Incarnation: 1}
}

// Guards against reassigning keys of other VMs when a VM fails, and against an
// uneven distribution of keys.
func TestRankIsStableAndEven(t *testing.T) {
	var names []string
	for i := range 49 {
		names = append(names, fmt.Sprintf("fes-1-vm-%02d", i))
	}
	first := make(map[string]int)
	for g := range 800 {
		key := fmt.Sprintf("group-%d", g)
		ranked := Rank(key, names)
		first[ranked[0]]++
		without := append([]string{}, ranked[1:]...)
		if diff := cmp.Diff(without, Rank(key, without)); diff != "" {
			t.Fatalf("order of %s changed: %s", key, diff)
		}
	}
	for name, n := range first {
		if n > 40 {
			t.Errorf("%s is first for %d of 800 keys, want about 16", name, n)
		}
	}
}

// Guards against duplicate, late and reordered messages that change the result, and
// against a paused VM that spreads outdated entries when it resumes.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Entry {
			inc := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			seq := rapid.Uint64Range(1, 4).Draw(t, "sequence")
			return Entry{ // the contents depend on the version only, as for a real process
				Name: "a-0", Incarnation: inc, Sequence: seq, DataCentre: "a", Address: fmt.Sprint(inc, ":", seq/2),
				State: state.InService, AppliedTicket: seq, Age: time.Duration(10-seq) * time.Millisecond,
			}
		})
		entries := rapid.SliceOfN(entry, 1, 12).Draw(t, "entries")
		deliver := func(order []Entry) *state.Member {
			ms := state.NewMembers()
			for _, e := range order {
				Merge(ms, nil, e, now, now)
			}
			return ms.ByName["a-0"]
		}
		other := append(rapid.Permutation(entries).Draw(t, "order"), entries...)
		if diff := cmp.Diff(deliver(entries), deliver(other)); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against entries of an old process that override those of the process that
// replaced it, and against taking over the applied ticket of the old process.
func TestHigherIncarnationReplaces(t *testing.T) {
	c, ms := fleet(1, "a")
	e := Entry{Name: "a-0", Incarnation: 2, Sequence: 1, State: state.InService, AppliedTicket: 3}
	if got := Merge(ms, c, e, now, now); got != Replaced {
		t.Fatalf("merge returned %v", got)
	}
	late := Entry{Name: "a-0", Incarnation: 1, Sequence: 99, State: state.InService, AppliedTicket: 7}
	if got := Merge(ms, c, late, now, now); got != Unchanged {
		t.Fatalf("merge of the old incarnation returned %v", got)
	}
	m := ms.ByName["a-0"]
	if m.Incarnation != 2 || m.AppliedTicket != 3 || m.Address != "a-0:1" {
		t.Fatalf("got %+v", m)
	}
}

// Guards against VMs that keep sending each other the entry of an unlisted VM that
// is gone, and against removing a listed VM, whose applied ticket is needed to
// compute limits.
func TestSilentAndForgotten(t *testing.T) {
	c, ms := fleet(2, "a")
	Merge(ms, c, Entry{Name: "extra", Incarnation: 1, Sequence: 1, DataCentre: "a"}, now, now)
	later := now.Add(SilentAfter + time.Millisecond)
	if got := UpdateLiveness(ms, c, self("a", 0), later); len(got) != 2 || got[0].To != Silent {
		t.Fatalf("after 2 s: %v", got)
	}
	later = now.Add(ForgetAfter + time.Millisecond)
	if diff := cmp.Diff([]Transition{{"extra", Forgotten}}, UpdateLiveness(ms, c, self("a", 0), later)); diff != "" {
		t.Fatal(diff)
	}
	old := Entry{Name: "extra", Incarnation: 1, Sequence: 2, DataCentre: "a", Age: ForgetAfter + time.Second}
	if got := Merge(ms, c, old, later, later); got != Unchanged {
		t.Fatalf("a forgotten VM was added again: %v", got)
	}
	ms.ByName["a-1"].Contact = later
	if diff := cmp.Diff([]Transition{{"a-1", Heard}}, UpdateLiveness(ms, c, self("a", 0), later)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a digest that makes the last contact with a VM appear more recent
// than it is, and against applying the ticket of one incarnation to another.
func TestDigest(t *testing.T) {
	c, sender := fleet(3, "a")
	sender.ByName["a-1"].Contact = now.Add(-730 * time.Millisecond)
	sender.ByName["a-2"].AppliedTicket = 5
	d := NewDigest(sender, c, "a", now)

	_, ms := fleet(3, "a")
	for _, m := range ms.ByName {
		m.Contact, m.AppliedTicket = now.Add(-time.Minute), 0
	}
	if !MergeDigest(ms, c, 7, d, now) {
		t.Fatal("equal entries not recognised")
	}
	if got := ms.ByName["a-1"].Age(now); got < 730*time.Millisecond || got > 780*time.Millisecond {
		t.Errorf("age %v, want 730 ms rounded up", got)
	}
	if got := ms.ByName["a-2"].AppliedTicket; got != 5 {
		t.Errorf("applied ticket %d, want 5", got)
	}
	before := *ms.ByName["a-1"]
	MergeDigest(ms, c, 7, d, now.Add(-time.Second))
	if diff := cmp.Diff(before, *ms.ByName["a-1"]); diff != "" {
		t.Errorf("a late digest changed the entry: %s", diff)
	}
	ms.ByName["a-2"] = &state.Member{Name: "a-2", Incarnation: 2}
	if MergeDigest(ms, c, 7, d, now) || ms.ByName["a-2"].AppliedTicket != 0 {
		t.Error("the applied ticket of the old incarnation was merged")
	}
	shorter, _ := fleet(2, "a")
	if MergeDigest(ms, shorter, 7, d, now.Add(time.Minute)) || ms.ByName["a-0"].Contact.After(now) {
		t.Error("a digest of another list was merged")
	}
}

// Guards against entries that are never sent because others change constantly, and
// against messages of unbounded size.
func TestSelectionCoversAllEntries(t *testing.T) {
	c, ms := fleet(49, "a")
	for i := range 40 {
		ms.ByName[fmt.Sprintf("a-%d", i)].Changed = now.Add(-time.Duration(i) * time.Millisecond)
	}
	all := func(*state.Member) bool { return true }
	var s EntrySelector
	seen := make(map[string]bool)
	for range 4 { // 24 changed recently; the other 25 take 4 messages with 8 entries each
		entries := s.Choose(ms, c, MaxEntries, now, all)
		if len(entries) != MaxEntries || entries[0].Name != "a-0" {
			t.Fatalf("%d entries, first %s", len(entries), entries[0].Name)
		}
		for _, e := range entries {
			seen[e.Name] = true
		}
	}
	if len(seen) != 49 {
		t.Fatalf("%d of 49 entries sent", len(seen))
	}
}

// Guards against a data centre that is not addressed within a bounded time, a voter
// that is left out of a round, and exchanges with a data centre that is out of
// service.
func TestPartners(t *testing.T) {
	c, ms := fleet(5, "a", "b", "c", "d", "out")
	c.DataCentres["out"].State = state.Out
	r := Round{
		Self: self("a", 0), Config: c, Members: ms, Voters: []string{"a-0", "a-1", "a-2"},
		Random: rand.New(rand.NewPCG(1, 2)).IntN, Now: now,
	}
	var s Schedule
	reached := make(map[string]bool)
	neighbours := make(map[string]bool)
	rounds := int(3 * RemoteInterval / RoundInterval)
	for range rounds {
		count := make(map[Kind]int)
		for _, p := range s.Peers(r) {
			count[p.Kind]++
			if p.Kind == Remote {
				reached[p.DataCentre] = true
			}
			if p.Kind == Neighbour {
				neighbours[p.Name] = true
			}
		}
		if count[Voter] != 2 || count[Neighbour] != 1 || count[Remote] > 1 {
			t.Fatalf("peers by kind: %v", count)
		}
		r.Now = r.Now.Add(RoundInterval)
	}
	if diff := cmp.Diff(map[string]bool{"b": true, "c": true, "d": true}, reached); diff != "" {
		t.Errorf("data centres reached in %d rounds: %s", rounds, diff)
	}
	if len(neighbours) < 2 {
		t.Errorf("random neighbours: %v", neighbours)
	}
}

// Guards against entries of other data centres that do not spread within a data
// centre in which all VMs are voters, because no message asks for them.
func TestSmallDataCentreAsksNeighbours(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5} {
		c, ms := fleet(size, "a", "b")
		r := Round{
			Self: self("a", 0), Config: c, Members: ms,
			Random: rand.New(rand.NewPCG(1, 2)).IntN, Now: now,
		}
		for i := range size {
			r.Voters = append(r.Voters, self("a", i).Name)
		}
		var s Schedule
		asked := make(map[string]bool)
		for range 40 {
			var local []string
			neighbours := 0
			for _, p := range s.Peers(r) {
				if p.Kind != Remote {
					local = append(local, p.Name)
				}
				if p.Kind == Neighbour {
					neighbours++
					asked[p.Name] = true
					if p.Brief {
						t.Errorf("%d VMs: the message to neighbour %s is brief", size, p.Name)
					}
				}
			}
			if want := min(1, size-1); neighbours != want || len(local) != size-1 {
				t.Fatalf("%d VMs: %d neighbours among %v, want %d", size, neighbours, local, want)
			}
			r.Now = r.Now.Add(RoundInterval)
		}
		if len(asked) != size-1 {
			t.Errorf("%d VMs: only %v were asked", size, asked)
		}
	}
}

// Guards against a data centre without a relay after one relay has failed and the
// other is leaving.
func TestRelaysTakeOver(t *testing.T) {
	_, ms := fleet(4, "a", "b")
	first := Relays(ms, self("a", 0), "a", now)
	if len(first) != RelayCount {
		t.Fatalf("relays %v", first)
	}
	ms.ByName[first[0]].Contact = now.Add(-SilentAfter - 1)
	ms.ByName[first[1]].State = state.Leaving
	second := Relays(ms, self("a", 0), "a", now)
	for _, name := range second {
		if name == first[0] || name == first[1] {
			t.Fatalf("relays %v, then %v", first, second)
		}
	}
}

// Guards against a VM to which no relay pushes a configuration, and against
// pushing it twice.
func TestRelaysDivideThePush(t *testing.T) {
	_, ms := fleet(7, "a", "b")
	relays := Relays(ms, self("a", 0), "a", now)
	received := make(map[string]int)
	for _, relay := range relays {
		for _, name := range PushTargets(ms, state.Self{Name: relay, DataCentre: "a"}, 8, now) {
			received[name]++
		}
	}
	want := make(map[string]int)
	for i := range 7 {
		want[self("a", i).Name] = 1
	}
	if diff := cmp.Diff(want, received); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against treating a configuration as confirmed at a time at which the store
// may already have had a newer one.
func TestConfirmationIsConservative(t *testing.T) {
	if at, valid := Confirmation(true, time.Second, now); !valid || !at.Equal(now.Add(-time.Second)) {
		t.Errorf("got %v, valid %v", at, valid)
	}
	if _, valid := Confirmation(false, time.Second, now); valid {
		t.Error("a different ticket confirms the configuration")
	}
	if _, valid := Confirmation(true, 0, now); valid {
		t.Error("a VM whose configuration was never confirmed confirms it")
	}
}

// Guards against refusing customers while the store is down for all VMs, and
// against accepting a revoked key because a data centre cannot be reached.
func TestStoreDown(t *testing.T) {
	unconfirmed := state.Freshness{ConfirmedAt: now.Add(-StoreMissedAfter - time.Second)}
	tests := []struct {
		name   string
		change func(c *state.Config, ms *state.Members, f *state.Freshness)
		down   bool
	}{
		{"no data centre reaches it", func(*state.Config, *state.Members, *state.Freshness) {}, true},
		{"confirmed recently", func(_ *state.Config, _ *state.Members, f *state.Freshness) {
			f.ConfirmedAt = now.Add(-StoreMissedAfter)
		}, false},
		{"another data centre reaches it", func(_ *state.Config, ms *state.Members, _ *state.Freshness) {
			StoreReport{Reached: true}.Record(ms, "b", now)
		}, false},
		{"another data centre does not know", func(_ *state.Config, ms *state.Members, _ *state.Freshness) {
			StoreReport{}.Record(ms, "b", now)
		}, true},
		{"no recent report of another data centre", func(_ *state.Config, ms *state.Members, _ *state.Freshness) {
			ms.StoreMissed["b"] = now.Add(-11 * time.Second)
		}, false},
		{"another data centre is out of service", func(c *state.Config, ms *state.Members, _ *state.Freshness) {
			delete(ms.StoreMissed, "b")
			c.DataCentres["b"].State = state.Out
		}, true},
		{"no contact with own data centre", func(_ *state.Config, ms *state.Members, _ *state.Freshness) {
			ms.ByName["a-1"].Contact = now.Add(-time.Minute)
			ms.ByName["a-2"].Contact = now.Add(-time.Minute)
		}, false},
		{"never confirmed", func(_ *state.Config, _ *state.Members, f *state.Freshness) { f.ConfirmedAt = time.Time{} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, ms := fleet(3, "a", "b", "c")
			StoreReport{Missed: true}.Record(ms, "b", now.Add(-time.Second))
			StoreReport{Missed: true}.Record(ms, "c", now.Add(-2*time.Second))
			f := unconfirmed
			tt.change(c, ms, &f)
			down, until := StoreDown(c, ms, self("a", 0), f, now)
			if down != tt.down {
				t.Fatalf("down %v, want %v", down, tt.down)
			}
			if down && now.Sub(until) <= StoreMissedAfter {
				t.Fatalf("a confirmation %v ago would end the state at once", now.Sub(until))
			}
		})
	}
}

// Guards against raising a limit before a silent VM has applied the ticket.
func TestOldestApplied(t *testing.T) {
	c, ms := fleet(2, "a", "b")
	ms.ByName["b-1"].AppliedTicket = 4
	ms.ByName["extra"] = &state.Member{Name: "extra"}
	if got := OldestApplied(c, ms); got != 4 {
		t.Errorf("oldest %d, want 4", got)
	}
	delete(ms.ByName, "a-1")
	if got := OldestApplied(c, ms); got != 0 {
		t.Errorf("with a VM without an entry: oldest %d, want 0", got)
	}
}
