package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// A digest encodes the age of each VM in one byte. An entry in JSON takes about 90
// bytes, so 49 entries in each of 40 messages per second would exceed the traffic
// budget by a factor of eight.
const (
	ageUnit    = 50 * time.Millisecond
	ageUnknown = 255 // no contact yet, or none for at least ageUnknown units
)

// Digest summarises what a VM knows about the listed VMs of one data centre.
// Slices and maps are indexed by the position of the VM in the list, which is
// sorted by name.
type Digest struct {
	DataCentre string
	List       uint32 // hash of the names listed
	Entries    uint64 // hash of the names, incarnations, addresses and states
	Ages       []byte // time since the last contact with each VM in age units, rounded up
	// Lags holds by how many tickets the applied ticket of a VM is behind that of
	// the sender's configuration. VMs that are up to date are omitted.
	Lags map[int]uint64
}

// NewDigest returns the digest of a data centre of the configuration.
func NewDigest(ms *state.Members, c *state.Config, dataCentre string, now time.Time) Digest {
	names := listedVMs(c, dataCentre)
	d := Digest{
		DataCentre: dataCentre,
		List:       hashList(names),
		Entries:    hashEntries(ms, names),
		Ages:       make([]byte, len(names)),
	}
	for i, name := range names {
		m := ms.ByName[name]
		d.Ages[i] = encodeAge(m, now)
		if lag := ticketLag(m, c.Ticket.Number); lag > 0 {
			if d.Lags == nil {
				d.Lags = make(map[int]uint64)
			}
			d.Lags[i] = lag
		}
	}
	return d
}

// MergeDigest merges a digest from a VM whose configuration has the given ticket
// number. Ages are subtracted from the local time at. Contact times and applied
// tickets only increase, so a digest that is merged twice or late has no effect.
// It reports whether both VMs have the same entries; if not, entries have to be
// sent. Applied tickets are merged only if the entries are the same, because they
// are valid for one incarnation.
func MergeDigest(ms *state.Members, c *state.Config, number uint64, d Digest, at time.Time) (same bool) {
	names := listedVMs(c, d.DataCentre)
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
			advanceContact(m, at.Add(-time.Duration(d.Ages[i])*ageUnit))
		}
		if lag := d.Lags[i]; same && lag < number {
			m.AppliedTicket = max(m.AppliedTicket, number-lag)
		}
	}
	return same
}

// advanceContact records a contact unless a later one is known.
func advanceContact(m *state.Member, at time.Time) {
	if at.After(m.Contact) {
		m.Contact = at
	}
}

// encodeAge returns the time since the last contact in age units, rounded up.
func encodeAge(m *state.Member, now time.Time) byte {
	if m == nil || m.Contact.IsZero() {
		return ageUnknown
	}
	units := (max(m.Age(now), 0) + ageUnit - 1) / ageUnit
	return byte(min(units, ageUnknown))
}

// ticketLag returns by how many tickets a member, which may be nil, is behind the
// given ticket number.
func ticketLag(m *state.Member, number uint64) uint64 {
	if m == nil {
		return number
	}
	return number - min(number, m.AppliedTicket)
}

// listedVMs returns the names of the VMs that the configuration lists in the data
// centre, sorted. The configuration may be nil.
func listedVMs(c *state.Config, dataCentre string) []string {
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
