package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// inVirtualTime runs a test in virtual time, which the clock of ages follows.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		epoch := time.Now().Add(-time.Hour)
		clock.SetForTest(func() time.Duration { return time.Since(epoch) })
		defer clock.SetForTest(nil)
		test(t)
	})
}

// testDirectory returns a directory without other VMs, and its table.
func testDirectory(bounds Bounds) (*Directory, *catalog.Table) {
	table := catalog.NewTable()
	return New(&compactedStore{}, singleVMFleet{}, table, leadership.NewTable(), Member{Name: "vm"}, bounds, &log.Logger{Handler: discard.Default}, tally.NoopScope), table
}

// change applies a change from the store, which follows a response of the store.
func change(d *Directory, kind Kind, e Entry) {
	d.applyBatch(kind, Batch{AsOf: e.Revision, Entries: []Entry{e}}, false)
	d.confirm(kind, clock.Now())
}

// checkUsable fails the test unless the only server gets operations that need a primary, or
// gets none.
func checkUsable(t *testing.T, table *catalog.Table, want bool, when string) {
	t.Helper()
	deployment := table.Current()
	s := deployment.Servers["s1"]
	if s == nil {
		t.Fatalf("%s: the server is not known", when)
	}
	if got := deployment.UsableAsPrimary(s, clock.Now()); got != want {
		t.Errorf("%s: the server gets work: %v, want %v", when, got, want)
	}
}

// Guards against a handover that begins anew when a registration expires and comes back.
func TestReregisteredPrimaryStaysOutOfService(t *testing.T) {
	const evacuatedWithin = 5 * time.Second // required by operators
	inVirtualTime(t, func(t *testing.T) {
		d, table := testDirectory(Bounds{OutOfService: evacuatedWithin})
		primary := Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc"}}
		change(d, Servers, primary)
		d.confirm(OutOfService, clock.Now())
		change(d, OutOfService, Entry{Name: "dc", Revision: 2})
		checkUsable(t, table, true, "at the change")
		time.Sleep(2 * time.Second)
		change(d, Servers, Entry{Name: "s1", Revision: 3, Deleted: true})
		time.Sleep(evacuatedWithin)
		primary.Revision = 4
		change(d, Servers, primary)
		checkUsable(t, table, false, "7 s after its data centre was taken out of service")
	})
}

// Guards against the same for a draining primary.
func TestReregisteredPrimaryStaysDraining(t *testing.T) {
	const drainedWithin = 7 * time.Second
	inVirtualTime(t, func(t *testing.T) {
		d, table := testDirectory(Bounds{Draining: drainedWithin})
		primary := Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc", Born: 1}}
		change(d, Servers, primary)
		draining := Entry{Name: "s1", Revision: 2, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc", Born: 1, Draining: true}}
		change(d, Servers, draining)
		checkUsable(t, table, true, "at the change")
		time.Sleep(2 * time.Second)
		change(d, Servers, Entry{Name: "s1", Revision: 3, Deleted: true})
		time.Sleep(drainedWithin)
		draining.Revision = 4
		change(d, Servers, draining)
		checkUsable(t, table, false, "9 s after it started to drain")
		restarted := Entry{Name: "s1", Revision: 5, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc", Born: 2}}
		change(d, Servers, restarted)
		checkUsable(t, table, true, "after a restart of the server")
	})
}

// Guards against a bound that begins anew on each VM that learns of the change.
func TestBoundCountsFromTheChange(t *testing.T) {
	const evacuatedWithin = 3 * time.Second
	inVirtualTime(t, func(t *testing.T) {
		server := Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc"}}
		watching, watchingTable := testDirectory(Bounds{OutOfService: evacuatedWithin})
		change(watching, Servers, server)
		watching.applyBatch(OutOfService, Batch{AsOf: 1, Entries: []Entry{{Name: "before", Revision: 1}}}, true)
		watching.confirm(OutOfService, clock.Now())
		other, otherTable := testDirectory(Bounds{OutOfService: evacuatedWithin})
		transfer := func(known map[Kind]state.Revision) {
			other.applyUpdates("watching", watching.EncodeUpdates(encodeKnown(known, 0)), known)
		}
		transfer(nil)
		pingedAt := clock.Now()
		time.Sleep(100 * time.Millisecond)
		other.RecordConfirmations(watching.Confirmations(), pingedAt)

		time.Sleep(900 * time.Millisecond) // the change is made meanwhile
		change(watching, OutOfService, Entry{Name: "dc", Revision: 2})
		time.Sleep(500 * time.Millisecond)
		transfer(map[Kind]state.Revision{Servers: {Number: 1}, OutOfService: {Number: 1}})
		checkUsable(t, otherTable, true, "1.5 s after the last response without the change")
		time.Sleep(time.Second)
		for _, table := range []*catalog.Table{watchingTable, otherTable} {
			checkUsable(t, table, false, "2.5 s after it")
		}
	})
}

// Guards against the confirmation of a VM that knew of the change already.
func TestConfirmationOfNewerDocumentDoesNotCount(t *testing.T) {
	const evacuatedWithin = 3 * time.Second
	inVirtualTime(t, func(t *testing.T) {
		d, table := testDirectory(Bounds{OutOfService: evacuatedWithin})
		change(d, Servers, Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc"}})
		d.applyBatch(OutOfService, Batch{AsOf: 1, Entries: []Entry{{Name: "before", Revision: 1}}}, true)
		d.confirm(OutOfService, clock.Now())
		time.Sleep(evacuatedWithin)
		d.RecordConfirmations(fleetwire.StoreConfirmations{OutOfService: fleetwire.StoreConfirmation{Revision: 2}}, clock.Now())
		d.applyBatch(OutOfService, Batch{AsOf: 2, Entries: []Entry{{Name: "dc", Revision: 2}}}, false)
		checkUsable(t, table, false, "3 s after the last confirmation of its own document")
	})
}

// Guards against a handover although the change may have any age.
func TestPrimaryIsNotUsedAfterChangeOfUnknownAge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d, table := testDirectory(Bounds{})
		change(d, Servers, Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc"}})
		d.applyBatch(OutOfService, Batch{AsOf: 2, Entries: []Entry{{Name: "dc", Revision: 2}}}, true)
		checkUsable(t, table, false, "after the first list")
	})
}
