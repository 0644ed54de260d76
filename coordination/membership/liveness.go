package membership

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Bounds of liveness.
const (
	// SilentAfter is the time after which an unheard VM of the same data centre
	// counts as silent. Each VM is heard directly or through others about every
	// 0.5 s.
	SilentAfter = 2 * time.Second
	// RemoteSilentAfter is the bound for a VM of another data centre, from
	// which this VM hears every few seconds only.
	RemoteSilentAfter = 10 * time.Second
	// ForgetAfter is the time after which an unheard VM is forgotten if the
	// configuration does not list it.
	ForgetAfter = 2 * time.Minute
)

// RelayCount is the number of relays of a data centre.
const RelayCount = 2

// Alive reports whether the member was heard recently, seen from a VM of the
// given data centre. A nil member is not alive.
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

// Liveness says whether a VM is heard.
type Liveness string

// Values of Liveness.
const (
	Heard     Liveness = "heard"
	Silent    Liveness = "silent"
	Forgotten Liveness = "forgotten"
)

// Sweep marks the members that the configuration lists, and those that have
// fallen silent or are heard again. It removes members that are neither heard
// nor listed.
func Sweep(ms *state.Members, c *state.Config, self state.Self, now time.Time) []Transition {
	var changes []Transition
	names := allListed(c)
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

func allListed(c *state.Config) map[string]bool {
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

// Relays returns the relays of a data centre, as seen by this VM: the first
// live VMs by the hash of the data centre's name. A VM that is leaving is not
// chosen while another one is alive.
func Relays(ms *state.Members, self state.Self, dataCentre string, now time.Time) []string {
	var staying, leaving []string
	for name, m := range ms.ByName {
		switch {
		case m.DataCentre != dataCentre || !Alive(m, self.DataCentre, now):
		case m.State == state.InService:
			staying = append(staying, name)
		default:
			leaving = append(leaving, name)
		}
	}
	ranked := append(Rank(dataCentre, staying), Rank(dataCentre, leaving)...)
	return ranked[:min(RelayCount, len(ranked))]
}

// PushTargets returns the VMs of its own data centre to which a relay sends a
// new configuration. The live relays divide the VMs between them, so that each
// VM receives it once, and send it to each other. VMs that are not heard get it
// through the exchange once they are.
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
		mine := i%len(relays) == own || slices.Contains(relays, name)
		if mine && name != self.Name && ms.ByName[name].AppliedTicket < ticket {
			targets = append(targets, name)
		}
	}
	return targets
}

// OldestApplied returns the lowest ticket that some VM of the configuration's
// list may still apply. A VM that was never heard of counts as ticket 0.
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
