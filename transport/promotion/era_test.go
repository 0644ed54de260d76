package promotion

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// dutyRecord is a store that holds the record of the duty.
type dutyRecord struct {
	mu   sync.Mutex // guards duty while coordinators write it in the background
	duty Duty
	era  uint64
}

// ReadDuty implements Duties.
func (r *dutyRecord) ReadDuty(context.Context) (Duty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.duty
	d.Revision.Era = r.era
	return d, nil
}

// WriteDuty implements Duties.
func (r *dutyRecord) WriteDuty(_ context.Context, d Duty) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Revision != (state.Revision{Era: r.era, Number: r.duty.Revision.Number}) {
		return eris.New("the record has another revision")
	}
	d.Revision.Number++
	r.duty = d
	return nil
}

// newHolder returns a coordinator that reads the era from the record.
func newHolder(name string, record *dutyRecord) *Coordinator {
	table := catalog.NewTable()
	config := &catalog.Config{}
	config.Index()
	table.Update(func(d catalog.Deployment) catalog.Deployment { d.Config = config; return d })
	return New(Options{
		Name: name, Duties: record, Table: table, Leadership: leadership.NewTable(), Scope: tally.NoopScope,
		View:     func() *placement.View { return &placement.View{Self: name} },
		StoreEra: func() uint64 { return record.era }, Logger: &log.Logger{Handler: discard.Default},
	})
}

func mustClaim(t *testing.T, c *Coordinator) uint64 {
	t.Helper()
	if !c.claimDuty(t.Context(), nil) {
		t.Fatalf("%s does not hold the duty", c.Name)
	}
	token, ok := c.nextFencingToken()
	if !ok {
		t.Fatalf("%s has no token", c.Name)
	}
	return token
}

// Guards against a fencing token that is issued twice because the store has lost the
// record of its reservation, and against orders with tokens of an earlier era.
func TestTokensAfterRestore(t *testing.T) {
	for name, restored := range map[string]Duty{
		"the record is lost":               {},
		"an earlier record is back":        {Holder: "other", NextFree: 1001, Revision: state.Revision{Number: 1}},
		"this VM's earlier record is back": {Holder: "vm", NextFree: 2001, Revision: state.Revision{Number: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			record := &dutyRecord{duty: Duty{Holder: "other", NextFree: 1001, Revision: state.Revision{Number: 1}}, era: 1}
			c := newHolder("vm", record)
			highest := mustClaim(t, c)
			for era := uint64(2); era < 5; era++ { // several restores in a row
				record.duty, record.era = restored, era
				if token, ok := c.nextFencingToken(); ok {
					t.Fatalf("token %d of an earlier era is used", token)
				}
				token := mustClaim(t, c)
				if token <= highest || token < fencing.FirstToken(era) {
					t.Errorf("era %d: token %d after %d", era, token, highest)
				}
				highest = token
			}
		})
	}
}

// Guards against two VMs that act in turn, because the former holder claims the duty that
// another VM has claimed in the new era.
func TestHolderGivesWayToClaimInNewEra(t *testing.T) {
	record := &dutyRecord{era: 1}
	former, other := newHolder("former", record), newHolder("other", record)
	mustClaim(t, former)
	record.duty, record.era = Duty{}, 2
	mustClaim(t, other)
	if former.claimDuty(t.Context(), nil) || record.duty.Holder != "other" {
		t.Errorf("the former holder claimed the duty, the record says %s", record.duty.Holder)
	}
	if waits := former.selectedSince + claimDelay; waits < reclaimDelay-100*time.Millisecond {
		t.Errorf("the former holder claims the duty again at %v", waits)
	}
}

// Guards against a conditional write whose revision is of an earlier era.
func TestClaimWithRevisionOfEarlierEra(t *testing.T) {
	record := &dutyRecord{duty: Duty{Holder: "other", NextFree: 1001, Revision: state.Revision{Number: 1}}, era: 1}
	c := newHolder("vm", record)
	c.Duties = restoredInBetween{record}
	if c.claimDuty(t.Context(), nil) || record.duty.Holder != "other" {
		t.Error("a claim was written with a revision of an earlier era")
	}
}

// restoredInBetween comes back from a copy between a read and a write.
type restoredInBetween struct{ *dutyRecord }

// WriteDuty implements Duties.
func (r restoredInBetween) WriteDuty(ctx context.Context, d Duty) error {
	r.era++
	return r.dutyRecord.WriteDuty(ctx, d)
}
