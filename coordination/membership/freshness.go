package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// StoreMissedAfter is the age of the configuration above which a VM reports to
// others that it does not reach the store. It is lower than
// access.MaxConfirmationAge by the time that it takes to receive the same report
// from every other data centre, so that no customer is refused while the store is
// down for all VMs.
const StoreMissedAfter = 8 * time.Second

// storeDownMargin keeps the age of the configuration above StoreMissedAfter while
// the store is down for all VMs. Otherwise the confirmation that follows from
// StoreDown would make StoreMissed, and thereby StoreDown, false again.
const storeDownMargin = RoundInterval

// A report of another data centre is valid for two rotations over the other data
// centres and reportValidityMargin.
const reportValidityMargin = 2 * time.Second

// Confirmation returns a local time at which the configuration in force was the
// newest in the store. It follows from the answer of a VM whose configuration was
// last confirmed age before it answered. The age is subtracted from the time at
// which the request was sent, because the delay of the answer is not known. The
// result is valid only if both VMs have the same ticket.
func Confirmation(same bool, age time.Duration, sentAt time.Time) (at time.Time, valid bool) {
	if !same || age <= 0 {
		return time.Time{}, false
	}
	return sentAt.Add(-age), true
}

// StoreMissed reports whether this VM can report that its data centre does not
// reach the store: its configuration was confirmed before but not recently, and
// it is in contact with enough VMs of its data centre that the relays are among
// them.
func StoreMissed(c *state.Config, ms *state.Members, self state.Self, fresh state.Freshness, now time.Time) bool {
	if c == nil || fresh.ConfirmedAt.IsZero() {
		return false
	}
	return access.Elapsed(fresh.ConfirmedAt, now) > StoreMissedAfter && reachesDataCentre(c, ms, self, now)
}

// reachesDataCentre reports whether at least half of this data centre's VMs that
// are not out of service are alive. If there is no other data centre, more than
// half must be, because no other VM can report whether the other half still
// reaches the store.
func reachesDataCentre(c *state.Config, ms *state.Members, self state.Self, now time.Time) bool {
	dc := c.DataCentres[self.DataCentre]
	if dc == nil {
		return false
	}
	listed, live := 0, 0
	for i := range dc.VMs {
		if dc.VMs[i].State == state.Out {
			continue
		}
		listed++
		if Alive(ms.ByName[dc.VMs[i].Name], self.DataCentre, now) {
			live++
		}
	}
	if len(OtherDataCentres(c, self.DataCentre)) == 0 {
		return 2*live > listed
	}
	return 2*live >= listed
}

// StoreReport says whether a data centre reaches the store. Both fields are false
// if the VM that was asked does not know.
type StoreReport struct {
	Reached bool // the store confirmed the configuration recently
	Missed  bool // the data centre does not reach the store
}

// Record stores a data centre's report, which was received in an answer. It counts
// from the time at which the request was sent.
func (r StoreReport) Record(ms *state.Members, dataCentre string, sentAt time.Time) {
	switch {
	case dataCentre == "":
	case r.Reached:
		delete(ms.StoreMissed, dataCentre)
	case r.Missed && sentAt.After(ms.StoreMissed[dataCentre]):
		ms.StoreMissed[dataCentre] = sentAt
	}
}

// StoreDown reports whether the store is down for all VMs: this data centre does
// not reach it, and every other data centre in use has reported recently that it
// does not either. No key can have been revoked up to the returned time, so the
// configuration counts as confirmed at that time.
func StoreDown(c *state.Config, ms *state.Members, self state.Self, fresh state.Freshness, now time.Time) (down bool, until time.Time) {
	if !StoreMissed(c, ms, self, fresh, now) {
		return false, time.Time{}
	}
	dataCentres := OtherDataCentres(c, self.DataCentre)
	validity := 2*RemoteInterval*time.Duration(len(dataCentres)) + reportValidityMargin
	oldest := now
	for _, dc := range dataCentres {
		at, reported := ms.StoreMissed[dc]
		if !reported || access.Elapsed(at, now) > validity {
			return false, time.Time{}
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return true, oldest.Add(-StoreMissedAfter - storeDownMargin)
}

// OtherDataCentres returns the names of the other data centres that are in use and
// have a VM in use, sorted.
func OtherDataCentres(c *state.Config, own string) []string {
	var names []string
	for name, dc := range c.DataCentres {
		if name == own || dc.State == state.Out {
			continue
		}
		for i := range dc.VMs {
			if dc.VMs[i].State != state.Out {
				names = append(names, name)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}
