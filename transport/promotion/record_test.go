package promotion

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// setGroup makes the coordinator's deployment one group with the servers, whose commits
// wait for a replica.
func setGroup(c *Coordinator, servers ...*catalog.Server) {
	config := &catalog.Config{Routes: []catalog.Route{{Name: "r", Group: "g"}}, Groups: []catalog.Group{{Name: "g", SyncReplicas: 1}}}
	config.Index()
	c.Table.Update(func(d catalog.Deployment) catalog.Deployment {
		d.Config, d.Servers = config, make(map[string]*catalog.Server)
		for _, s := range servers {
			d.Servers[s.ID] = s
		}
		return d
	})
}

// observe makes the coordinator look at its group, and write what it learned.
func observe(t *testing.T, c *Coordinator) {
	t.Helper()
	registered := c.Table.Current().GroupServers("g")
	c.decide("g", &succession.GroupStatus{Now: time.Hour}, registered, true, &groupCheck{})
	c.background.Wait() // one attempt to write the record at a time
	c.saveRecord(context.Background())
	c.background.Wait()
}

// Guards against a failover coordinator that does not know of a server whose registration
// expired before it claimed the duty, also if the store has lost the latest record.
func TestMembersOutliveTheirCoordinator(t *testing.T) {
	a, b, late := &catalog.Server{ID: "a", Group: "g", Born: 1}, &catalog.Server{ID: "b", Group: "g", Born: 2}, &catalog.Server{ID: "late", Group: "g", Born: 3}
	record := &dutyRecord{era: 1}
	first, second := newHolder("first", record), newHolder("second", record)
	setGroup(first, a, b)
	setGroup(second, a)
	mustClaim(t, first)
	observe(t, first)
	mustClaim(t, second)
	observe(t, second)
	want := map[string]GroupRecord{"g": {Members: succession.Members{"a": 1, "b": 2}}}
	if diff := cmp.Diff(want, record.duty.Groups); diff != "" {
		t.Errorf("record (-want +got):\n%s", diff)
	}
	setGroup(first, a, b, late)
	observe(t, first) // it has lost the duty, but does not know that
	if diff := cmp.Diff(want, record.duty.Groups); diff != "" {
		t.Errorf("record after the former holder tried to write it (-want +got):\n%s", diff)
	}
	setGroup(second, a, late)
	observe(t, second)
	record.duty, record.era = Duty{Holder: "second", NextFree: 2001, Revision: state.Revision{Number: 2}, Groups: map[string]GroupRecord{"g": {Members: succession.Members{"a": 1}}}}, 2
	second.groups = make(map[string]*groupState)
	mustClaim(t, second)
	setGroup(second, a)
	observe(t, second)
	want["g"] = GroupRecord{Members: succession.Members{"a": 1, "b": 2, "late": 3}}
	if diff := cmp.Diff(want, record.duty.Groups); diff != "" {
		t.Errorf("record after a restore of the store (-want +got):\n%s", diff)
	}
	if got := second.membersOf("g"); !cmp.Equal(got, succession.Members{"a": 1, "b": 2, "late": 3}) {
		t.Errorf("members after a restore of the store: %v", got)
	}
}

// lostOrders leaves orders without an answer while lost is set.
type lostOrders struct{ lost bool }

// Promote implements Platform.
func (o *lostOrders) Promote(ctx context.Context, _, _, _ string, _ uint64) error {
	if o.lost {
		return context.DeadlineExceeded
	}
	return nil
}

// Guards against an order without an answer that no successor knows of, in a group whose
// commits wait for no replica, and against a record of it that stays for ever.
func TestOrderWithoutAnswerOutlivesItsCoordinator(t *testing.T) {
	server := &catalog.Server{ID: "a", Group: "g", Born: 1}
	record, platform := &dutyRecord{era: 1}, &lostOrders{lost: true}
	first, second := newHolder("first", record), newHolder("second", record)
	for _, c := range []*Coordinator{first, second} {
		setGroup(c, server)
		c.Table.Current().Config.Group("g").SyncReplicas = 0
		c.Platform = platform
	}
	mustClaim(t, first)
	observe(t, first)
	first.giveOrder(t.Context(), "g", server, first.groups["g"])
	first.background.Wait()
	if !record.duty.Groups["g"].OrderOpen {
		t.Fatalf("record %+v after an order without an answer", record.duty)
	}
	mustClaim(t, second)
	observe(t, second)
	if !second.groups["g"].orderUnconfirmed {
		t.Fatal("the successor does not know of the order")
	}
	platform.lost = false
	second.giveOrder(t.Context(), "g", server, second.groups["g"])
	observe(t, second)
	if len(record.duty.Groups) != 0 {
		t.Errorf("record %+v after a newer order", record.duty)
	}
}

// Guards against a VM that goes on with the duty after it was cut off, although another one
// has claimed it meanwhile: it would not supersede the orders of that one, and not know of
// its promotions.
func TestDutyIsVerifiedAfterMinority(t *testing.T) {
	for name, tt := range map[string]struct {
		claimed      bool
		syncReplicas int
	}{
		"another VM has claimed the duty":                 {true, 0},
		"another VM has claimed the duty, replicas count": {true, 1},
		"nobody has claimed the duty":                     {false, 0},
		"nobody has claimed the duty, replicas count":     {false, 1},
	} {
		record := &dutyRecord{era: 1}
		first, second := newHolder("first", record), newHolder("second", record)
		setGroup(first, &catalog.Server{ID: "a", Group: "g", Born: 1})
		first.Table.Current().Config.Group("g").SyncReplicas = tt.syncReplicas
		mustClaim(t, first)
		token := first.firstToken
		first.View = func() *placement.View { return &placement.View{Self: "first", Members: 3} }
		if first.selected() {
			t.Fatal("a VM in a minority is selected")
		}
		if tt.claimed {
			mustClaim(t, second)
		}
		mustClaim(t, first)
		if again := first.firstToken != token; again != tt.claimed {
			t.Errorf("%s: claimed again %v", name, again)
		}
		if tt.claimed && first.firstToken <= second.firstToken {
			t.Errorf("token %d after %d", first.firstToken, second.firstToken)
		}
	}
}
