package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Intervals between exchanges.
const (
	RoundInterval  = 500 * time.Millisecond // with the voters and one random VM of the data centre
	RemoteInterval = 2 * time.Second        // with one VM of another data centre
)

// fullMessageRounds is the number of rounds in which each voter receives one full
// message; the others are brief. In a data centre of 49 VMs, a VM that is a voter
// for many others sends and receives 25 KB per second if every message is full and
// 18 KB with one in four. One in four still keeps the age of the contact between
// any two VMs below 1.6 s.
const fullMessageRounds = 4

// initialNeighbours is the number of neighbours that a VM without a configuration
// addresses in a round, so that a failed neighbour does not delay its start.
const initialNeighbours = 3

// Kind is the role in which a VM is addressed.
type Kind int

// Values of Kind.
const (
	Voter     Kind = iota // votes on this VM's incarnation
	Neighbour             // random VM of the same data centre
	Remote                // VM of another data centre
)

// Partner is a VM to exchange messages with.
type Partner struct {
	Name       string
	DataCentre string // empty if unknown
	Address    string
	Kind       Kind
	// Brief says that the message contains only the ticket number and the sections
	// that other packages add, without entries and digests.
	Brief bool
}

// Round holds the input for the choice of partners. Config may be nil.
type Round struct {
	Self    state.Self
	Config  *state.Config
	Members *state.Members
	Voters  []string
	Seeds   []Partner // VMs named by the platform or the settings
	// Missed says that this data centre does not reach the store. Another data
	// centre is then addressed in every round, because customers are refused until
	// all of them have reported the same.
	Missed bool
	// Joining says that this VM does not have an entry of every listed VM yet.
	Joining bool
	Random  func(n int) int // uniform in [0, n)
	Now     time.Time
}

// Schedule keeps track of the rounds and of the rotation over the other data
// centres. The zero value is ready to use.
type Schedule struct {
	nextRemote time.Time
	rotation   int // number of data centres addressed so far
	rounds     int
}

// Partners returns the VMs to address in this round, without duplicates.
func (s *Schedule) Partners(r Round) []Partner {
	known := candidates(r)
	partners := voterPartners(r, known)
	s.rounds++
	for i := range partners {
		partners[i].Brief = r.Config != nil && !r.Joining && (s.rounds+i)%fullMessageRounds != 0
	}
	partners = append(partners, neighbourPartners(r, known, partners)...)
	if r.Now.Before(s.nextRemote) && !r.Missed && r.Config != nil {
		return partners
	}
	s.nextRemote = nextDue(s.nextRemote, r.Now)
	if remote, found := s.remotePartner(r, known); found && !contains(partners, remote.Name) {
		partners = append(partners, remote)
	}
	return partners
}

// nextDue returns the next due time of a remote exchange. It is based on the
// previous due time, which keeps the average interval although rounds are jittered.
func nextDue(due, now time.Time) time.Time {
	if now.Sub(due) > RemoteInterval {
		due = now
	}
	return due.Add(RemoteInterval)
}

// voterPartners returns the voters that can be addressed.
func voterPartners(r Round, known map[string]Partner) []Partner {
	var partners []Partner
	for _, name := range r.Voters {
		p, found := known[name]
		if !found || contains(partners, name) {
			continue
		}
		p.Kind = Voter
		partners = append(partners, p)
	}
	return partners
}

// neighbourPartners returns random VMs of the data centre that are not chosen yet.
// A VM without a configuration may not know the data centre of a candidate, and
// takes it for a neighbour.
func neighbourPartners(r Round, known map[string]Partner, chosen []Partner) []Partner {
	others := filter(known, func(p Partner) bool {
		near := p.DataCentre == r.Self.DataCentre || p.DataCentre == "" && r.Config == nil
		return near && !contains(chosen, p.Name)
	})
	count := 1
	if r.Config == nil {
		count = initialNeighbours
	}
	return pickRandom(others, count, Neighbour, r.Random)
}

// remotePartner returns a random VM of the next data centre in the rotation,
// preferably one that is alive.
func (s *Schedule) remotePartner(r Round, known map[string]Partner) (Partner, bool) {
	dataCentres := make(map[string]bool)
	for _, p := range known {
		if p.DataCentre != r.Self.DataCentre {
			dataCentres[p.DataCentre] = true
		}
	}
	if len(dataCentres) == 0 {
		return Partner{}, false
	}
	names := slices.Sorted(maps.Keys(dataCentres))
	// The VMs of a data centre start the rotation at different positions, so that
	// together they reach all other data centres sooner.
	start := score(r.Self.DataCentre, r.Self.Name) % uint64(len(names))
	next := names[(start+uint64(s.rotation))%uint64(len(names))]
	s.rotation++
	inNext := filter(known, func(p Partner) bool { return p.DataCentre == next })
	return pickRandom(preferAlive(inNext, r), 1, Remote, r.Random)[0], true
}

// preferAlive returns the partners that are alive, or all of them if none is.
func preferAlive(partners []Partner, r Round) []Partner {
	var live []Partner
	for _, p := range partners {
		if Alive(r.Members.ByName[p.Name], r.Self.DataCentre, r.Now) {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return partners
	}
	return live
}

// pickRandom returns up to count random partners. It reorders from.
func pickRandom(from []Partner, count int, kind Kind, random func(int) int) []Partner {
	count = min(count, len(from))
	for i := range count {
		j := i + random(len(from)-i)
		from[i], from[j] = from[j], from[i]
		from[i].Kind = kind
	}
	return from[:count]
}

// candidates returns all other VMs that can be addressed. A VM that operators took
// out of service may be switched off and is not addressed; if it runs, it addresses
// the others itself. The VMs of a data centre that is out of service continue to
// address each other, so that they keep their leases and can work as soon as the
// data centre returns. The data of a seed is used only while there is neither a
// member nor a listed VM of its name.
func candidates(r Round) map[string]Partner {
	known := make(map[string]Partner)
	for _, s := range r.Seeds {
		known[s.Name] = s
	}
	for name, m := range r.Members.ByName {
		if m.Address != "" {
			known[name] = Partner{Name: name, DataCentre: m.DataCentre, Address: m.Address}
		}
	}
	if r.Config != nil {
		addListed(known, r.Config, r.Self.DataCentre)
	}
	delete(known, r.Self.Name)
	return known
}

// addListed adds the VMs of the configuration that are not known yet. It removes
// those that are out of service, and those of other data centres that are.
func addListed(known map[string]Partner, c *state.Config, own string) {
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			vm := &dc.VMs[i]
			_, present := known[vm.Name]
			switch {
			case vm.State == state.Out || dc.State == state.Out && dc.Name != own:
				delete(known, vm.Name)
			case !present:
				known[vm.Name] = Partner{Name: vm.Name, DataCentre: dc.Name, Address: vm.Address}
			}
		}
	}
}

// filter returns the partners for which keep is true, sorted by name.
func filter(known map[string]Partner, keep func(Partner) bool) []Partner {
	var kept []Partner
	for _, p := range known {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	slices.SortFunc(kept, func(a, b Partner) int { return cmp.Compare(a.Name, b.Name) })
	return kept
}

func contains(partners []Partner, name string) bool {
	return slices.ContainsFunc(partners, func(p Partner) bool { return p.Name == name })
}
