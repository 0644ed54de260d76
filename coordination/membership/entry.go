package membership

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Entry is the state of a VM as sent in a message. DataCentre and Address are empty
// if they are the same as in the configuration.
type Entry struct {
	Name          string
	Incarnation   uint64
	Sequence      uint64
	DataCentre    string
	Address       string
	State         state.ServiceState // state of the process; the one that operators set is in the configuration
	AppliedTicket uint64
	Age           time.Duration // since the last contact with the VM
}

// Change is the result of merging an entry.
type Change int

// Changes.
const (
	Unchanged Change = iota // the entry was ignored because it is not newer than the known one
	Refreshed               // newer, with the same incarnation, address and state
	Updated                 // newer, with a different address or state
	Joined                  // a VM that was not known before
	Replaced                // a higher incarnation of a known VM
)

// NewEntry returns the entry that describes a member.
func NewEntry(m *state.Member, now time.Time) Entry {
	return Entry{
		Name:          m.Name,
		Incarnation:   m.Incarnation,
		Sequence:      m.Sequence,
		DataCentre:    m.DataCentre,
		Address:       m.Address,
		State:         m.State,
		AppliedTicket: m.AppliedTicket,
		Age:           max(m.Age(now), 0),
	}
}

// Shorten clears the data centre and the address if they are the same as in the
// configuration, which may be nil.
func (e Entry) Shorten(c *state.Config) Entry {
	vm, dc := lookUp(c, e.Name)
	if vm != nil && vm.Address == e.Address && dc.Name == e.DataCentre {
		e.Address, e.DataCentre = "", ""
	}
	return e
}

// Complete sets the data centre and the address from the configuration, which may
// be nil, if the entry has neither.
func (e Entry) Complete(c *state.Config) Entry {
	vm, dc := lookUp(c, e.Name)
	if vm != nil && e.Address == "" && e.DataCentre == "" {
		e.Address, e.DataCentre = vm.Address, dc.Name
	}
	return e
}

// Merge merges an entry, whose age is subtracted from the local time at. Only an
// entry with a higher (incarnation, sequence) than the known one has an effect, so
// duplicate, late and reordered messages do no harm. An entry of an unlisted VM
// that is older than ForgetAfter is ignored, so that a forgotten VM is not added
// again.
func Merge(ms *state.Members, c *state.Config, e Entry, at, now time.Time) Change {
	e = e.Complete(c)
	old := ms.ByName[e.Name]
	if !supersedes(old, e) {
		return Unchanged
	}
	if vm, _ := lookUp(c, e.Name); vm == nil && e.Age > ForgetAfter {
		return Unchanged
	}
	m := &state.Member{
		Name:          e.Name,
		Incarnation:   e.Incarnation,
		Sequence:      e.Sequence,
		DataCentre:    e.DataCentre,
		Address:       e.Address,
		State:         e.State,
		AppliedTicket: e.AppliedTicket,
		Contact:       at.Add(-max(e.Age, 0)),
		Changed:       now,
	}
	if old != nil {
		carryOver(m, old)
	}
	ms.ByName[e.Name] = m
	return changeOf(old, m)
}

// supersedes reports whether the entry is valid and newer than the known member,
// which may be nil.
func supersedes(old *state.Member, e Entry) bool {
	switch {
	case e.Name == "" || e.Incarnation == 0:
		return false
	case old == nil || e.Incarnation > old.Incarnation:
		return true
	default:
		return e.Incarnation == old.Incarnation && e.Sequence > old.Sequence
	}
}

// carryOver copies from the old member to the new one what the entry does not
// contain or must not revert. The applied ticket is kept within an incarnation
// only, because a process that replaces another may have an older configuration.
func carryOver(m, old *state.Member) {
	if m.Address == "" && m.DataCentre == "" {
		m.Address, m.DataCentre = old.Address, old.DataCentre
	}
	m.Silent, m.Listed = old.Silent, old.Listed
	if m.Incarnation > old.Incarnation {
		return
	}
	m.AppliedTicket = max(m.AppliedTicket, old.AppliedTicket)
	if old.Contact.After(m.Contact) {
		m.Contact = old.Contact
	}
	if m.Address == old.Address && m.DataCentre == old.DataCentre && m.State == old.State {
		m.Changed = old.Changed
	}
}

// changeOf compares the member before and after the merge of a newer entry.
func changeOf(old, m *state.Member) Change {
	switch {
	case old == nil:
		return Joined
	case m.Incarnation > old.Incarnation:
		return Replaced
	case m.Changed.Equal(old.Changed):
		return Refreshed
	default:
		return Updated
	}
}

// lookUp finds a VM and its data centre in the configuration, which may be nil.
func lookUp(c *state.Config, name string) (*state.VM, *state.DataCentre) {
	if c == nil {
		return nil, nil
	}
	return c.VM(name)
}
