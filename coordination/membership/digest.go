package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Ages are sent in one byte for each VM. An entry in JSON takes about 90 bytes,
// so 49 of them in 40 messages a second would exceed the budget eight times.
const (
	ageUnit    = 50 * time.Millisecond
	ageUnknown = 255 // never heard, or not for ageUnknown units or longer
)

// Digest summarises what a VM knows of the listed VMs of one data centre.
// Slices and maps are indexed by the place of the VM in the list, which is
// sorted by name.
type Digest struct {
	DataCentre string
	List       uint32 // hash of the names listed
	Entries    uint64 // hash of the names, incarnations, addresses and states
	Ages       []byte // units since each VM was heard, rounded up
	// Lags holds how many tickets the applied ticket of a VM is behind that of
	// the sender's configuration. A VM that is not behind is left out.
	Lags map[int]uint64
}

// DigestOf summarises a data centre of the configuration.
func DigestOf(ms *state.Members, c *state.Config, dataCentre string, now time.Time) Digest {
	names := listed(c, dataCentre)
	d := Digest{
		DataCentre: dataCentre,
		List:       hashList(names),
		Entries:    hashEntries(ms, names),
		Ages:       make([]byte, len(names)),
	}
	for i, name := range names {
		m := ms.ByName[name]
		d.Ages[i] = encodeAge(m, now)
		if lag := lagOf(m, c.Ticket.Number); lag > 0 {
			if d.Lags == nil {
				d.Lags = make(map[int]uint64)
			}
			d.Lags[i] = lag
		}
	}
	return d
}

// MergeDigest records a digest of a VM whose configuration has the given ticket
// number. Ages are counted back from the local time at. Contacts and applied
// tickets only grow, so a digest that is merged twice or late has no effect. It
// reports whether both VMs have the same entries; entries have to be sent if
// not. Applied tickets are taken over only in that case, because they hold for
// one incarnation.
func MergeDigest(ms *state.Members, c *state.Config, number uint64, d Digest, at time.Time) (same bool) {
	names := listed(c, d.DataCentre)
	if d.List != hashList(names) || len(d.Ages) != len(names) {
		return false
	}
	same = d.Entries == hashEntries(ms, names)
	for i, name := range names {
		m := ms.ByName[name]
		if m == nil {
			continue
		}
		if d.Ages[i] != ageUnknown {
			raiseContact(m, at.Add(-time.Duration(d.Ages[i])*ageUnit))
		}
		if lag := d.Lags[i]; same && lag < number {
			m.AppliedTicket = max(m.AppliedTicket, number-lag)
		}
	}
	return same
}

func raiseContact(m *state.Member, at time.Time) {
	if at.After(m.Contact) {
		m.Contact = at
	}
}

func encodeAge(m *state.Member, now time.Time) byte {
	if m == nil || m.Contact.IsZero() {
		return ageUnknown
	}
	units := (max(m.Age(now), 0) + ageUnit - 1) / ageUnit
	return byte(min(units, ageUnknown))
}

func lagOf(m *state.Member, number uint64) uint64 {
	if m == nil {
		return number
	}
	return number - min(number, m.AppliedTicket)
}

// listed returns the names of the VMs that the configuration lists in the data
// centre, sorted. The configuration may be nil.
func listed(c *state.Config, dataCentre string) []string {
	if c == nil || c.DataCentres[dataCentre] == nil {
		return nil
	}
	vms := c.DataCentres[dataCentre].VMs
	names := make([]string, len(vms))
	for i := range vms {
		names[i] = vms[i].Name
	}
	slices.Sort(names)
	return names
}

func hashList(names []string) uint32 {
	h := uint64(fnvOffset)
	for _, name := range names {
		h = hashString(h, name)
	}
	return uint32(h ^ h>>32)
}

func hashEntries(ms *state.Members, names []string) uint64 {
	h := uint64(fnvOffset)
	for _, name := range names {
		h = hashString(h, name)
		if m := ms.ByName[name]; m != nil {
			h = hashNumber(h, m.Incarnation)
			h = hashString(h, m.Address)
			h = hashString(h, string(m.State))
		}
	}
	return h
}
