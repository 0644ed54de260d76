package membership

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Entry is what a message says of a VM. DataCentre and Address are empty if
// they are as the configuration lists them.
type Entry struct {
	Name          string
	Incarnation   uint64
	Sequence      uint64
	DataCentre    string
	Address       string
	State         state.ServiceState // of the process; operators' states are in the configuration
	AppliedTicket uint64
	Age           time.Duration // since the VM was heard
}

// Change says what merging an entry did.
type Change int

// Changes.
const (
	Unchanged Change = iota // the entry was known, or is older than what is known
	Refreshed               // newer, with the same incarnation, address and state
	Updated                 // newer, with another address or state
	Joined                  // a VM not heard of before
	Replaced                // a higher incarnation of a known VM
)

// EntryOf returns the entry that describes a member.
func EntryOf(m *state.Member, now time.Time) Entry {
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

// Shorten leaves out the data centre and the address if the configuration,
// which may be nil, lists them.
func (e Entry) Shorten(c *state.Config) Entry {
	vm, dc := lookUp(c, e.Name)
	if vm != nil && vm.Address == e.Address && dc.Name == e.DataCentre {
		e.Address, e.DataCentre = "", ""
	}
	return e
}

// Complete fills in the data centre and the address from the configuration,
// which may be nil, if the entry leaves them out.
func (e Entry) Complete(c *state.Config) Entry {
	vm, dc := lookUp(c, e.Name)
	if vm != nil && e.Address == "" && e.DataCentre == "" {
		e.Address, e.DataCentre = vm.Address, dc.Name
	}
	return e
}

// Merge records an entry whose age is counted back from the local time at. Only
// an entry with a higher (incarnation, sequence) than the known one changes
// anything, so duplicate, late and reordered messages have no effect. An
// unlisted VM that has been silent for too long is not recorded again.
func Merge(ms *state.Members, c *state.Config, e Entry, at, now time.Time) Change {
	e = e.Complete(c)
	old := ms.ByName[e.Name]
	if !newer(old, e) {
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
		inherit(m, old)
	}
	ms.ByName[e.Name] = m
	return changeOf(old, m)
}

func newer(old *state.Member, e Entry) bool {
	switch {
	case e.Name == "" || e.Incarnation == 0:
		return false
	case old == nil || e.Incarnation > old.Incarnation:
		return true
	default:
		return e.Incarnation == old.Incarnation && e.Sequence > old.Sequence
	}
}

// inherit keeps what the new entry does not say or must not take back. The
// applied ticket is kept within an incarnation only, because a process that
// replaces another may have an older configuration.
func inherit(m, old *state.Member) {
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

// lookUp finds the listed VM in a configuration that may be nil.
func lookUp(c *state.Config, name string) (*state.VM, *state.DataCentre) {
	if c == nil {
		return nil, nil
	}
	return c.VM(name)
}
