package directory

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/restore"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// listOf is a list of the store with the given objects.
func listOf(era, asOf uint64, entries ...Entry) Batch {
	return Batch{Era: era, AsOf: asOf, Entries: entries}
}

func configEntry(revision, version uint64) Entry {
	return Entry{Name: "main", Revision: revision, Config: &catalog.Config{Version: version}}
}

// transferAll sends the updates that to lacks from the one directory to the other.
func transferAll(from, to *Directory) {
	to.mu.Lock()
	known := make(map[Kind]state.Revision)
	for kind, doc := range to.docs {
		known[kind] = doc.Revision
	}
	request := encodeKnown(known, to.configVersion())
	to.mu.Unlock()
	to.applyUpdates("peer", from.EncodeUpdates(request), known)
}

// Guards against VMs that keep the document of a lost era because its number is higher,
// or send it to VMs that have the present one.
func TestLaterEraReplacesHigherRevision(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		lost := Entry{Name: "lost", Revision: 100, Server: &catalog.Server{ID: "lost", Group: "g"}}
		kept := Entry{Name: "kept", Revision: 80, Server: &catalog.Server{ID: "kept", Group: "g"}}
		behind, _ := testDirectory(Bounds{})
		behind.applyBatch(Servers, listOf(1, 100, lost, kept), true)
		ahead, _ := testDirectory(Bounds{})
		ahead.applyBatch(Servers, listOf(1, 100, lost, kept), true)
		ahead.applyBatch(Servers, listOf(2, 90, kept), true)
		want := state.Revision{Era: 2, Number: 90}
		if ahead.revision(Servers) != want {
			t.Fatalf("the document is of %+v", ahead.revision(Servers))
		}
		transferAll(behind, ahead)
		transferAll(ahead, behind)
		for _, d := range []*Directory{ahead, behind} {
			if _, has := d.docs[Servers].Entries["lost"]; d.revision(Servers) != want || has {
				t.Errorf("revision %+v, with the lost registration: %v", d.revision(Servers), has)
			}
		}
		behind.applyBatch(Servers, listOf(1, 120, lost), true) // arrives late
		if behind.revision(Servers) != want {
			t.Error("a late list of an earlier era replaced the document")
		}
	})
}

// Guards against changes that are relative to a revision of one era and are applied to a
// document of another one.
func TestChangesOfAnotherEraAreNotApplied(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		server := func(name string, revision uint64) Entry {
			return Entry{Name: name, Revision: revision, Server: &catalog.Server{ID: name, Group: "g"}}
		}
		sender, _ := testDirectory(Bounds{})
		sender.applyBatch(Servers, listOf(2, 90, server("a", 80), server("b", 85)), true)
		sender.applyBatch(Servers, listOf(2, 95, server("c", 95)), false)
		receiver, _ := testDirectory(Bounds{})
		receiver.applyBatch(Servers, listOf(1, 92, server("lost", 92)), true)
		known := map[Kind]state.Revision{Servers: {Era: 2, Number: 92}} // what it had known would bring changes only
		receiver.applyUpdates("sender", sender.EncodeUpdates(encodeKnown(known, 0)), known)
		if receiver.revision(Servers) != (state.Revision{Era: 1, Number: 92}) {
			t.Error("relative changes were applied to a document of another era")
		}
		receiver.applyBatch(Servers, listOf(2, 93, server("d", 93)), false) // a watch from a position of era 1
		if receiver.revision(Servers).Era != 1 {
			t.Error("changes from a watch were applied to a document of another era")
		}
		// A VM of an earlier build answers a request that was sent before the new era.
		known = map[Kind]state.Revision{Servers: {Era: 1, Number: 92}}
		updates, err := decodeUpdates(sender.EncodeUpdates(encodeKnown(map[Kind]state.Revision{Servers: {Era: 2, Number: 92}}, 0)))
		if u := updates[Servers]; err != nil || u.Full {
			t.Fatalf("update %+v, %v", u, err)
		}
		ahead, _ := testDirectory(Bounds{})
		ahead.applyBatch(Servers, listOf(2, 90, server("a", 80)), true)
		u := updates[Servers]
		u.Era = nil
		ahead.applyUpdates("earlier build", encodeUpdates(map[Kind]update{Servers: u}), known)
		if ahead.revision(Servers).Number != 90 {
			t.Error("changes relative to a revision of era 1 were applied to a document of era 2")
		}
		transferAll(sender, receiver)
		if diff := cmp.Diff(sender.docs[Servers].Entries, receiver.docs[Servers].Entries); diff != "" {
			t.Errorf("the documents differ: %s", diff)
		}
	})
}

// Guards against a VM of an earlier build that applies changes of the present era to its
// document of a lost one, and against requests and replies that it cannot decode.
func TestUpdatesForEarlierBuild(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d, _ := testDirectory(Bounds{})
		d.applyBatch(Servers, listOf(2, 90, Entry{Name: "a", Revision: 80}), true)
		d.applyBatch(Servers, listOf(2, 101, Entry{Name: "b", Revision: 101}), false)
		updates, err := decodeUpdates(d.EncodeUpdates([]byte(`{"servers":95}`)))
		if u := updates[Servers]; err != nil || !u.Full || len(u.Entries) != 2 || u.Revision != 101 {
			t.Errorf("update %+v, %v", u, err)
		}
		if updates, err = decodeUpdates(d.EncodeUpdates([]byte(`{"servers":101}`))); err != nil || len(updates) > 0 {
			t.Errorf("updates without a newer revision: %v, %v", updates, err)
		}
		var request map[Kind]uint64 // as an earlier build decodes it
		if err := json.Unmarshal(encodeKnown(map[Kind]state.Revision{Servers: {Era: 2, Number: 7}}, 3), &request); err != nil || request[Servers] != 7 {
			t.Errorf("request %v, %v", request, err)
		}
		if d.hasNewer(&fleetwire.Status{Revisions: map[string]uint64{string(Servers): 101}}) {
			t.Error("an equal revision without an era counts as newer")
		}
		if !d.hasNewer(&fleetwire.Status{Revisions: map[string]uint64{string(Servers): 102}}) {
			t.Error("a higher revision without an era does not count as newer")
		}
		if d.hasNewer(&fleetwire.Status{Revisions: map[string]uint64{string(Servers): 102}, Eras: map[string]uint64{string(Servers): 1}}) {
			t.Error("a revision of an earlier era counts as newer")
		}
	})
}

// Guards against a confirmation of one era that dates a document of another one.
func TestConfirmationOfAnotherEraDoesNotCount(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		for _, era := range []uint64{1, 2, 3} {
			d, _ := testDirectory(Bounds{})
			d.applyBatch(Servers, listOf(2, 90, Entry{Name: "a", Revision: 80}), true)
			d.RecordConfirmations(fleetwire.StoreConfirmations{Eras: true, Servers: fleetwire.StoreConfirmation{Era: era, Revision: 70}}, clock.Now())
			if got := d.confirmedAt[Servers] > 0; got != (era == 2) {
				t.Errorf("a confirmation of era %d counts for a document of era 2: %v", era, got)
			}
		}
	})
}

// Guards against a configuration that goes back, on VMs that had a newer one and on a VM
// that starts and reads the older one, and against keys that are valid again.
func TestConfigurationDoesNotGoBack(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		old, oldTable := testDirectory(Bounds{})
		old.applyBatch(Configuration, listOf(1, 100, configEntry(100, 6)), true)
		old.applyBatch(Configuration, listOf(2, 90, configEntry(80, 5)), true)
		fresh, freshTable := testDirectory(Bounds{})
		fresh.applyBatch(Configuration, listOf(2, 90, configEntry(80, 5)), true)
		status := fleetwire.Status{}
		old.statusChange()(&status)
		if !fresh.hasNewer(&status) {
			t.Fatal("the VM that starts does not ask for the newer configuration")
		}
		transferAll(old, fresh)
		for name, table := range map[string]*catalog.Table{"old": oldTable, "fresh": freshTable} {
			if got := table.Current().Config.Version; got != 6 {
				t.Errorf("%s: version %d is in force, want 6", name, got)
			}
		}
		if fresh.hasNewer(&status) {
			t.Error("the VM would ask again")
		}
		// Another VM still has the document of the lost era, which is older.
		cutOff, _ := testDirectory(Bounds{})
		cutOff.applyBatch(Configuration, listOf(1, 110, configEntry(110, 7)), true)
		transferAll(cutOff, fresh)
		if got := freshTable.Current().Config.Version; got != 7 || fresh.revision(Configuration).Era != 2 {
			t.Errorf("version %d of era %d, want 7 of era 2", got, fresh.revision(Configuration).Era)
		}
	})
}

// Guards against servers of a data centre that get work because the store has lost that it
// is out of service, also on a VM that starts, and against one that stays out for ever.
func TestDataCentreStaysOutWhenStoreForgets(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d, table := testDirectory(Bounds{})
		d.applyBatch(OutOfService, listOf(1, 100, Entry{Name: "dc", Revision: 100}), true)
		d.applyBatch(OutOfService, listOf(2, 90), true)
		time.Sleep(restore.HoldFor / 2)
		fresh, freshTable := testDirectory(Bounds{})
		transferAll(d, fresh)
		time.Sleep(restore.HoldFor/2 - time.Second)
		for name, table := range map[string]*catalog.Table{"old": table, "fresh": freshTable} {
			if !table.Current().Out["dc"] {
				t.Errorf("%s: the data centre is in service", name)
			}
		}
		time.Sleep(2 * time.Second)
		for name, table := range map[string]*catalog.Table{"old": table, "fresh": freshTable} {
			if table.Current().Out["dc"] {
				t.Errorf("%s: the data centre is out of service %v after the restore", name, restore.HoldFor+time.Second)
			}
		}
	})
}

// Guards against a server that was draining, or removed, and gets work again.
func TestServersOfCopyGetNoWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		entry := func(name string, seq, revision uint64, draining bool) Entry {
			return Entry{Name: name, Revision: revision, Server: &catalog.Server{ID: name, Group: "g", Born: 1, Seq: seq, Revision: revision, Draining: draining}}
		}
		d, table := testDirectory(Bounds{})
		d.applyBatch(Servers, listOf(1, 90, entry("draining", 4, 80, false), entry("removed", 4, 81, false), entry("missing", 4, 82, false)), true)
		d.applyBatch(Servers, listOf(1, 100, entry("draining", 5, 95, true), Entry{Name: "removed", Revision: 96, Deleted: true}), false)
		time.Sleep(time.Minute)
		d.applyBatch(Servers, listOf(2, 90, entry("draining", 4, 80, false), entry("removed", 4, 81, false)), true)
		fresh, freshTable := testDirectory(Bounds{}) // a VM that starts
		transferAll(d, fresh)
		for name, table := range map[string]*catalog.Table{"old": table, "fresh": freshTable} {
			servers := table.Current().Servers
			if s := servers["draining"]; s == nil || !s.Draining {
				t.Errorf("%s: the draining server is registered as %+v", name, s)
			}
			if servers["removed"] != nil {
				t.Errorf("%s: the removed server is used", name)
			}
		}
		time.Sleep(deregistrationGrace - time.Millisecond)
		if table.Current().Servers["missing"] == nil {
			t.Error("a server whose registration the copy lacks is not used")
		}
		time.Sleep(time.Second)
		if table.Current().Servers["missing"] != nil {
			t.Error("a server that did not register again is used")
		}
		d.applyBatch(Servers, listOf(2, 92, entry("draining", 6, 91, false), entry("removed", 5, 92, false)), false)
		transferAll(d, fresh)
		for _, name := range []string{"draining", "removed"} {
			for vm, table := range map[string]*catalog.Table{"old": table, "fresh": freshTable} {
				if s := table.Current().Servers[name]; s == nil || s.Draining {
					t.Errorf("%s: %s registered again, and is known as %+v", vm, name, s)
				}
			}
		}
	})
}

// memberFleet records the list of members.
type memberFleet struct {
	singleVMFleet
	members map[string]bool
}

func (f *memberFleet) SetMembers(members []placement.Member) {
	f.members = make(map[string]bool)
	for _, m := range members {
		f.members[m.Name] = true
	}
}

// Guards against VMs that leave the list of members because the store lost them, and
// against a VM that does not notice that it is missing.
func TestMembersAnnounceThemselvesAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		member := func(name string) Entry { return Entry{Name: name, Revision: 1, Member: &Member{Name: name}} }
		fleet := &memberFleet{}
		d := New(&compactedStore{}, fleet, catalog.NewTable(), leadership.NewTable(), Member{Name: "vm"}, Bounds{}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		d.learnEra(1)
		d.recordAnnouncement(1)
		d.applyBatch(VMs, listOf(1, 100, member("vm"), member("lost"), member("other")), true)
		d.applyBatch(VMs, listOf(2, 90, member("other")), true)
		if !fleet.members["lost"] || !fleet.members["other"] {
			t.Errorf("members %v", fleet.members)
		}
		if d.isListed() || d.lists(listOf(2, 90, member("other")), false) {
			t.Error("the VM takes itself for listed")
		}
		time.Sleep(restore.HoldFor + time.Second)
		synctest.Wait()
		if fleet.members["lost"] || !fleet.members["other"] {
			t.Errorf("members %v although one did not announce itself", fleet.members)
		}
	})
}

// restoredStore comes back from a copy during the first watch. Its counter has caught up,
// so the watch is answered with changes.
type restoredStore struct {
	Source
	calls []string
}

func (s *restoredStore) List(context.Context, Kind) (Batch, error) {
	s.calls = append(s.calls, "list")
	if len(s.calls) == 1 {
		return listOf(1, 100, configEntry(100, 6)), nil
	}
	return listOf(2, 105, configEntry(104, 7)), nil
}

func (s *restoredStore) Watch(ctx context.Context, _ Kind, after uint64, wait time.Duration) (Batch, error) {
	s.calls = append(s.calls, "watch")
	if len(s.calls) == 2 {
		return listOf(2, 105, Entry{Name: "other", Revision: 103}), nil
	}
	sleep(ctx, wait)
	return listOf(2, max(after, 105)), ctx.Err()
}

// Guards against a watch position of one era that is used in another: the changes between
// the copy and the position would be missed.
func TestWatchPositionOfEarlierEraIsNotUsed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := &restoredStore{}
		table := catalog.NewTable()
		d := New(s, singleVMFleet{}, table, leadership.NewTable(), Member{Name: "vm"}, Bounds{}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		close(d.membersAttempted)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		d.follow(ctx, Configuration)
		if want := []string{"list", "watch", "list", "watch"}; !cmp.Equal(s.calls[:min(len(s.calls), 4)], want) || table.Current().Config.Version != 7 {
			t.Errorf("calls %v, version %d", s.calls, table.Current().Config.Version)
		}
		if _, mixed := d.docs[Configuration].Entries["other"]; mixed {
			t.Error("changes of the new era were applied to the document of the earlier one")
		}
	})
}
