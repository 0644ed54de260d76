package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Bounds on the time since the last contact with a VM.
const (
	// SilentAfter is the time without contact after which a VM of the same data
	// centre counts as silent. A contact is made, directly or through another VM,
	// about every 0.5 s.
	SilentAfter = 2 * time.Second
	// RemoteSilentAfter is the same for a VM of another data centre, with which
	// contact is made only every few seconds.
	RemoteSilentAfter = 10 * time.Second
	// ForgetAfter is the time without contact after which a VM that the
	// configuration does not list is removed.
	ForgetAfter = 2 * time.Minute
)

// RelayCount is the number of relays of a data centre.
const RelayCount = 2

// Alive reports whether there was recent contact with the member, by the bound for
// an observer in the given data centre. A nil member is not alive.
func Alive(m *state.Member, dataCentre string, now time.Time) bool {
	if m == nil || m.Contact.IsZero() {
		return false
	}
	bound := RemoteSilentAfter
	if m.DataCentre == dataCentre {
		bound = SilentAfter
	}
	return m.Age(now) <= bound
}

// Transition is a change in the liveness of a VM.
type Transition struct {
	Name string
	To   Liveness
}

// Liveness says whether there is contact with a VM.
type Liveness string

// Values of Liveness.
const (
	Heard     Liveness = "heard"
	Silent    Liveness = "silent"
	Forgotten Liveness = "forgotten"
)

// UpdateLiveness updates which members are listed and which are silent, and
// returns the changes of their liveness. It removes members that are not listed
// and had no contact for ForgetAfter.
func UpdateLiveness(ms *state.Members, c *state.Config, self state.Self, now time.Time) []Transition {
	var changes []Transition
	names := allListedVMs(c)
	for name, m := range ms.ByName {
		m.Listed = names[name]
		if name == self.Name {
			continue
		}
		if !m.Listed && m.Age(now) > ForgetAfter {
			delete(ms.ByName, name)
			changes = append(changes, Transition{Name: name, To: Forgotten})
			continue
		}
		silent := !Alive(m, self.DataCentre, now)
		if silent == m.Silent {
			continue
		}
		m.Silent = silent
		to := Heard
		if silent {
			to = Silent
		}
		changes = append(changes, Transition{Name: name, To: to})
	}
	return changes
}

// allListedVMs returns the names of the VMs of all data centres that the
// configuration, which may be nil, lists.
func allListedVMs(c *state.Config) map[string]bool {
	names := make(map[string]bool)
	if c == nil {
		return names
	}
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			names[dc.VMs[i].Name] = true
		}
	}
	return names
}

// Relays returns the relays of a data centre, as seen by this VM: the first live
// VMs in rendezvous order for the name of the data centre. VMs that are leaving
// are chosen only if there are too few others.
func Relays(ms *state.Members, self state.Self, dataCentre string, now time.Time) []string {
	var inService, leaving []string
	for name, m := range ms.ByName {
		switch {
		case m.DataCentre != dataCentre || !Alive(m, self.DataCentre, now):
		case m.State == state.InService:
			inService = append(inService, name)
		default:
			leaving = append(leaving, name)
		}
	}
	ranked := append(Rank(dataCentre, inService), Rank(dataCentre, leaving)...)
	return ranked[:min(RelayCount, len(ranked))]
}

// PushTargets returns the VMs of its own data centre to which a relay sends the
// configuration of the given ticket. The live relays divide the VMs between them,
// so that each VM receives it once, and also send it to each other. Silent VMs are
// left out; they receive it through the exchange when they are back.
func PushTargets(ms *state.Members, self state.Self, ticket uint64, now time.Time) []string {
	relays := Relays(ms, self, self.DataCentre, now)
	own := slices.Index(relays, self.Name)
	if own < 0 {
		return nil
	}
	var names []string
	for name, m := range ms.ByName {
		if m.DataCentre == self.DataCentre && Alive(m, self.DataCentre, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var targets []string
	for i, name := range names {
		assigned := i%len(relays) == own || slices.Contains(relays, name)
		if assigned && name != self.Name && ms.ByName[name].AppliedTicket < ticket {
			targets = append(targets, name)
		}
	}
	return targets
}

// OldestApplied returns the lowest ticket that a listed VM may still be using. A VM
// without an entry counts as ticket 0.
func OldestApplied(c *state.Config, ms *state.Members) uint64 {
	if c == nil {
		return 0
	}
	oldest := c.Ticket.Number
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			m := ms.ByName[dc.VMs[i].Name]
			if m == nil {
				return 0
			}
			oldest = min(oldest, m.AppliedTicket)
		}
	}
	return oldest
}
