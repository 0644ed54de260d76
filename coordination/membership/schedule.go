package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Intervals of the exchange.
const (
	RoundInterval  = 500 * time.Millisecond // voters and one random VM of the data centre
	RemoteInterval = 2 * time.Second        // one VM of another data centre
)

// fullEvery is the number of rounds in which a voter gets one full message. In a
// data centre of 49 VMs, a VM that is a voter for many others sends and receives
// 25 KB a second if every message is full and 18 KB with one in four, which
// keeps the ages that VMs have of each other below 1.6 s.
const fullEvery = 4

// firstContacts is the number of VMs that a VM without a configuration
// addresses in a round, so that a dead neighbour does not delay its start.
const firstContacts = 3

// Kind says why a VM is addressed.
type Kind int

// Kinds of partners.
const (
	Voter     Kind = iota // votes on this VM's incarnation
	Neighbour             // random VM of the data centre
	Remote                // VM of another data centre
)

// Partner is a VM to exchange messages with.
type Partner struct {
	Name       string
	DataCentre string // empty if unknown
	Address    string
	Kind       Kind
	// Brief says that the message needs to carry no more than the number of the
	// ticket and the sections of the parts.
	Brief bool
}

// Round is what the choice of partners depends on. Config may be nil.
type Round struct {
	Self    state.Self
	Config  *state.Config
	Members *state.Members
	Voters  []string
	Seeds   []Partner // VMs that the platform or the settings name
	// Missed says that this data centre does not reach the store. Another data
	// centre is then asked in every round, because customers are refused until
	// all of them have said the same.
	Missed bool
	// Joining says that this VM has not heard of every listed VM yet.
	Joining bool
	Random  func(n int) int // uniform in [0, n)
	Now     time.Time
}

// Schedule remembers which data centre is next. The zero value is ready to use.
type Schedule struct {
	nextRemote time.Time
	turn       int // of the other data centres
	rounds     int
}

// Partners returns the VMs to address in this round, each once.
func (s *Schedule) Partners(r Round) []Partner {
	known := candidates(r)
	partners := voters(r, known)
	s.rounds++
	for i := range partners {
		partners[i].Brief = r.Config != nil && !r.Joining && (s.rounds+i)%fullEvery != 0
	}
	partners = append(partners, neighbours(r, known, partners)...)
	if r.Now.Before(s.nextRemote) && !r.Missed && r.Config != nil {
		return partners
	}
	s.nextRemote = nextDue(s.nextRemote, r.Now)
	if remote, found := s.remote(r, known); found && !contains(partners, remote.Name) {
		partners = append(partners, remote)
	}
	return partners
}

// nextDue keeps to the interval on average although rounds are jittered.
func nextDue(due, now time.Time) time.Time {
	if now.Sub(due) > RemoteInterval {
		due = now
	}
	return due.Add(RemoteInterval)
}

func voters(r Round, known map[string]Partner) []Partner {
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

func neighbours(r Round, known map[string]Partner, chosen []Partner) []Partner {
	others := filter(known, func(p Partner) bool {
		near := p.DataCentre == r.Self.DataCentre || p.DataCentre == "" && r.Config == nil
		return near && !contains(chosen, p.Name)
	})
	count := 1
	if r.Config == nil {
		count = firstContacts
	}
	return pick(others, count, Neighbour, r.Random)
}

// remote returns a VM of the next data centre in rotation that has one,
// preferably one that is alive.
func (s *Schedule) remote(r Round, known map[string]Partner) (Partner, bool) {
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
	// The VMs of a data centre start the rotation at different places, so that
	// together they reach all others sooner.
	start := score(r.Self.DataCentre, r.Self.Name) % uint64(len(names))
	next := names[(start+uint64(s.turn))%uint64(len(names))]
	s.turn++
	there := filter(known, func(p Partner) bool { return p.DataCentre == next })
	return pick(alive(there, r), 1, Remote, r.Random)[0], true
}

// alive returns the partners that are alive, or all of them if none is.
func alive(partners []Partner, r Round) []Partner {
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

func pick(from []Partner, count int, kind Kind, random func(int) int) []Partner {
	count = min(count, len(from))
	for i := range count {
		j := i + random(len(from)-i)
		from[i], from[j] = from[j], from[i]
		from[i].Kind = kind
	}
	return from[:count]
}

// candidates returns every other VM that can be addressed. A VM that operators
// took out may be switched off and is left alone; if it runs, it addresses the
// others itself. The VMs of a data centre that is out go on addressing each
// other, so that they keep their leases and can work as soon as it returns. Seeds count only while nothing better is known of them.
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

func addListed(known map[string]Partner, c *state.Config, own string) {
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			vm := &dc.VMs[i]
			_, heard := known[vm.Name]
			switch {
			case vm.State == state.Out || dc.State == state.Out && dc.Name != own:
				delete(known, vm.Name)
			case !heard:
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
