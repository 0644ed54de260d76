package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// Guards against a primary that gets work again although its data centre was taken out
// of service long ago: its registration expires while it is cut off from the store and
// comes back, and the time for handing over to another primary starts anew.
func TestReregisteredPrimaryStaysOutOfService(t *testing.T) {
	const evacuatedWithin = 5 * time.Second // required by operators
	synctest.Test(t, func(t *testing.T) {
		epoch := time.Now().Add(-time.Hour)
		clock.SetForTest(func() time.Duration { return time.Since(epoch) })
		defer clock.SetForTest(nil)
		table := catalog.NewTable()
		d := New(&compactedStore{}, singleVMFleet{}, table, leadership.NewTable(), Member{Name: "vm"}, 0, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		primary := Entry{Name: "s1", Revision: 1, Server: &catalog.Server{ID: "s1", Group: "g", DataCentre: "dc"}}
		d.applyBatch(Servers, Batch{AsOf: 1, Entries: []Entry{primary}}, true)
		d.applyBatch(OutOfService, Batch{AsOf: 2, Entries: []Entry{{Name: "dc", Revision: 2}}}, true)
		time.Sleep(2 * time.Second)
		d.applyBatch(Servers, Batch{AsOf: 3, Entries: []Entry{{Name: "s1", Revision: 3, Deleted: true}}}, false)
		time.Sleep(evacuatedWithin)
		primary.Revision = 4
		d.applyBatch(Servers, Batch{AsOf: 4, Entries: []Entry{primary}}, false)
		deployment := table.Current()
		if s := deployment.Servers["s1"]; s == nil || deployment.UsableAsPrimary(s, clock.Now()) {
			t.Errorf("server %+v gets work 7 s after its data centre was taken out of service", s)
		}
	})
}
