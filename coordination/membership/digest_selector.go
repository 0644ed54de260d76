package membership

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MaxJoinTime is the longest time after its start for which a VM asks for entries
// in every message. The phase ends earlier once the VM has an entry of every
// listed VM. It is bounded because a listed VM may never have run.
const MaxJoinTime = 30 * time.Second

// neighbourDataCentres is the number of other data centres in a message to a
// neighbour. With one, the time since the last contact exceeds 11 s for one in a
// thousand VMs of other data centres, in a fleet of 10 data centres with 49 VMs
// each.
const neighbourDataCentres = 2

// joiningDataCentres is the number of other data centres in a message of a
// joining VM. An answer contains at most MaxEntries entries, fewer than the 49
// VMs of a data centre.
const joiningDataCentres = 3

// DigestSelector selects the data centres whose digests a message contains. The
// zero value is ready to use.
type DigestSelector struct {
	rotation int // number of data centres chosen so far
}

// Request returns the data centres for a message to a peer: the sender's own,
// and for a remote peer the peer's, or for a neighbour some of the others in
// rotation. A joining VM asks about data centres of which it lacks entries instead.
// A brief message contains none.
func (s *DigestSelector) Request(c *state.Config, ms *state.Members, self state.Self, p Peer, joining bool) []string {
	if p.Brief || c == nil || c.DataCentres[self.DataCentre] == nil {
		return nil
	}
	own := []string{self.DataCentre}
	switch {
	case joining:
		return append(own, s.next(incomplete(c, ms, self), joiningDataCentres)...)
	case p.Kind == Neighbour:
		return append(own, s.next(OtherDataCentres(c, self.DataCentre), neighbourDataCentres)...)
	case p.Kind == Remote && c.DataCentres[p.DataCentre] != nil:
		return append(own, p.DataCentre)
	default:
		return own
	}
}

// next returns up to count of the names in rotation.
func (s *DigestSelector) next(names []string, count int) []string {
	var chosen []string
	for range min(count, len(names)) {
		s.rotation++
		chosen = append(chosen, names[s.rotation%len(names)])
	}
	return chosen
}

// ResponseDataCentres returns the data centres for the response to a message:
// those in the message, and this VM's own, which a message from another data
// centre may lack.
func ResponseDataCentres(c *state.Config, self state.Self, requested []string) []string {
	if c == nil {
		return nil
	}
	var names []string
	own := false
	for _, dc := range requested {
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

// HasAllEntries reports whether there is an entry of every listed VM.
func HasAllEntries(c *state.Config, ms *state.Members) bool {
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

// incomplete returns the other data centres in which a listed VM has no entry.
func incomplete(c *state.Config, ms *state.Members, self state.Self) []string {
	var names []string
	for _, name := range OtherDataCentres(c, self.DataCentre) {
		if lacksEntry(c.DataCentres[name], ms) {
			names = append(names, name)
		}
	}
	return names
}

// lacksEntry reports whether a listed VM of the data centre has no entry.
func lacksEntry(dc *state.DataCentre, ms *state.Members) bool {
	for i := range dc.VMs {
		if ms.ByName[dc.VMs[i].Name] == nil {
			return true
		}
	}
	return false
}
