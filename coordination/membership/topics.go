package membership

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// JoinPhase is the time after its start in which a VM asks for entries in every
// message. It ends earlier once the VM knows an entry of every listed VM; it is
// bounded because a listed VM may never have run.
const JoinPhase = 30 * time.Second

// remoteTopics is the number of other data centres in a message to a neighbour.
// With one, the age of VMs in other data centres exceeds 11 s for one in a
// thousand in a fleet of 10 data centres with 49 VMs each.
const remoteTopics = 2

// joinTopics is the number of other data centres in a message of a VM that is
// joining. An answer holds MaxEntries entries, less than a data centre of 49.
const joinTopics = 3

// Topics chooses the data centres whose digests a message holds. The zero value
// is ready to use.
type Topics struct {
	turn int // of the other data centres
}

// Request returns the data centres for a message to a partner: its own and that
// of a remote partner, or some of the others in turn for a neighbour. A VM that
// is joining asks about those of which it knows least.
func (t *Topics) Request(c *state.Config, ms *state.Members, self state.Self, p Partner, joining bool) []string {
	if p.Brief || c == nil || c.DataCentres[self.DataCentre] == nil {
		return nil
	}
	own := []string{self.DataCentre}
	switch {
	case joining:
		return append(own, t.next(incomplete(c, ms, self), joinTopics)...)
	case p.Kind == Neighbour:
		return append(own, t.next(OtherDataCentres(c, self.DataCentre), remoteTopics)...)
	case p.Kind == Remote && c.DataCentres[p.DataCentre] != nil:
		return append(own, p.DataCentre)
	default:
		return own
	}
}

// next returns up to count of the names, in turn.
func (t *Topics) next(names []string, count int) []string {
	var chosen []string
	for range min(count, len(names)) {
		t.turn++
		chosen = append(chosen, names[t.turn%len(names)])
	}
	return chosen
}

// AnswerTopics returns the data centres for the answer to a message: those that
// it holds, and this VM's own if it comes from another one.
func AnswerTopics(c *state.Config, self state.Self, asked []string) []string {
	if c == nil {
		return nil
	}
	var names []string
	own := false
	for _, dc := range asked {
		own = own || dc == self.DataCentre
		if c.DataCentres[dc] != nil {
			names = append(names, dc)
		}
	}
	if len(names) > 0 && !own && c.DataCentres[self.DataCentre] != nil {
		names = append(names, self.DataCentre)
	}
	return names
}

// Complete reports whether every listed VM was heard of.
func Complete(c *state.Config, ms *state.Members) bool {
	if c == nil {
		return false
	}
	for _, dc := range c.DataCentres {
		if lacksEntry(dc, ms) {
			return false
		}
	}
	return true
}

// incomplete returns the other data centres of which a listed VM was never
// heard of.
func incomplete(c *state.Config, ms *state.Members, self state.Self) []string {
	var names []string
	for _, name := range OtherDataCentres(c, self.DataCentre) {
		if lacksEntry(c.DataCentres[name], ms) {
			names = append(names, name)
		}
	}
	return names
}

func lacksEntry(dc *state.DataCentre, ms *state.Members) bool {
	for i := range dc.VMs {
		if ms.ByName[dc.VMs[i].Name] == nil {
			return true
		}
	}
	return false
}
