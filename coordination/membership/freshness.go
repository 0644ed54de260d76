package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// MissedAfter is the age of the configuration from which a VM tells others that
// it does not reach the store. It lies below access.ContactBound by the time
// that it takes to hear the same from every other data centre, so that no
// customer is refused while the store is down for everyone.
const MissedAfter = 8 * time.Second

// downMargin keeps the age of the configuration above MissedAfter while the
// store is down for all VMs, so that the finding does not end itself.
const downMargin = RoundInterval

// reportSlack is added to two rotations over the other data centres for the
// time that a report of theirs stays valid.
const reportSlack = 2 * time.Second

// Confirmation returns the local time at which the configuration in force was
// the newest in the store, shown by the answer of a VM whose configuration was
// confirmed age before it answered. The age is counted back from the sending of
// the question, because the answer may have been on its way for any time. It is
// valid only if both VMs have the same ticket.
func Confirmation(same bool, age time.Duration, sentAt time.Time) (at time.Time, valid bool) {
	if !same || age <= 0 {
		return time.Time{}, false
	}
	return sentAt.Add(-age), true
}

// Missed reports whether this VM can say that its data centre does not reach
// the store: it has a configuration that was confirmed once, no VM that it
// hears has confirmed it lately, and it hears enough of its data centre that
// the relays are among those.
func Missed(c *state.Config, ms *state.Members, self state.Self, fresh state.Freshness, now time.Time) bool {
	if c == nil || fresh.ConfirmedAt.IsZero() {
		return false
	}
	return access.Elapsed(fresh.ConfirmedAt, now) > MissedAfter && hearsDataCentre(c, ms, self, now)
}

// hearsDataCentre reports whether half of the VMs in service in this data
// centre are alive. Without another data centre more than half must be, since
// no one else can tell whether the other half still reaches the store.
func hearsDataCentre(c *state.Config, ms *state.Members, self state.Self, now time.Time) bool {
	dc := c.DataCentres[self.DataCentre]
	if dc == nil {
		return false
	}
	listed, heard := 0, 0
	for i := range dc.VMs {
		if dc.VMs[i].State == state.Out {
			continue
		}
		listed++
		if Alive(ms.ByName[dc.VMs[i].Name], self.DataCentre, now) {
			heard++
		}
	}
	if len(OtherDataCentres(c, self.DataCentre)) == 0 {
		return 2*heard > listed
	}
	return 2*heard >= listed
}

// Report says what a data centre knows of the store. Both fields are false if
// the VM that was asked does not know.
type Report struct {
	Reached bool // the store confirmed the configuration lately
	Missed  bool // the data centre does not reach the store
}

// Record records the report of a data centre in an answer. It counts from the
// sending of the question.
func (r Report) Record(ms *state.Members, dataCentre string, sentAt time.Time) {
	switch {
	case dataCentre == "":
	case r.Reached:
		delete(ms.StoreMissed, dataCentre)
	case r.Missed && sentAt.After(ms.StoreMissed[dataCentre]):
		ms.StoreMissed[dataCentre] = sentAt
	}
}

// StoreDown reports whether the store is down for all VMs: this data centre
// does not reach it, and every other data centre in use has said lately that it
// does not either. No revocation can have been accepted up to the returned
// time, so the configuration counts as confirmed at that time.
func StoreDown(c *state.Config, ms *state.Members, self state.Self, fresh state.Freshness, now time.Time) (down bool, until time.Time) {
	if !Missed(c, ms, self, fresh, now) {
		return false, time.Time{}
	}
	dataCentres := OtherDataCentres(c, self.DataCentre)
	valid := 2*RemoteInterval*time.Duration(len(dataCentres)) + reportSlack
	oldest := now
	for _, dc := range dataCentres {
		at, said := ms.StoreMissed[dc]
		if !said || access.Elapsed(at, now) > valid {
			return false, time.Time{}
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return true, oldest.Add(-MissedAfter - downMargin)
}

// OtherDataCentres returns the other data centres that have VMs in use, sorted.
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
