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
	Neighbour             // random VM of the same data centre; a voter if all of them are
	Remote                // VM of another data centre
)

// Peer is a VM to exchange messages with.
type Peer struct {
	Name       string
	DataCentre string // empty if unknown
	Address    string
	Kind       Kind
	// Brief says that the message contains only the ticket number and the sections
	// that other packages add, without entries and digests.
	Brief bool
}

// Round holds the input for the choice of peers. Config may be nil.
type Round struct {
	Self    state.Self
	Config  *state.Config
	Members *state.Members
	Voters  []string
	Seeds   []Peer // VMs named by the platform or the settings
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

// Peers returns the VMs to address in this round, without duplicates. One of them
// is a neighbour unless no other VM of the data centre can be addressed.
func (s *Schedule) Peers(r Round) []Peer {
	known := candidates(r)
	peers := voterPeers(r, known)
	s.rounds++
	for i := range peers {
		peers[i].Brief = r.Config != nil && !r.Joining && (s.rounds+i)%fullMessageRounds != 0
	}
	if neighbours := neighbourPeers(r, known, peers); len(neighbours) > 0 {
		peers = append(peers, neighbours...)
	} else if len(peers) > 0 {
		// Only messages to neighbours ask for entries of other data centres. If all VMs
		// of a small data centre are voters, such entries do not spread within it
		// unless one of the voters is addressed as a neighbour.
		p := &peers[r.Random(len(peers))]
		p.Kind, p.Brief = Neighbour, false
	}
	if r.Now.Before(s.nextRemote) && !r.Missed && r.Config != nil {
		return peers
	}
	s.nextRemote = nextDue(s.nextRemote, r.Now)
	if remote, found := s.remotePeer(r, known); found && !contains(peers, remote.Name) {
		peers = append(peers, remote)
	}
	return peers
}

// nextDue returns the next due time of a remote exchange. It is based on the
// previous due time, which keeps the average interval although rounds are jittered.
func nextDue(due, now time.Time) time.Time {
	if now.Sub(due) > RemoteInterval {
		due = now
	}
	return due.Add(RemoteInterval)
}

// voterPeers returns the voters that can be addressed.
func voterPeers(r Round, known map[string]Peer) []Peer {
	var peers []Peer
	for _, name := range r.Voters {
		p, found := known[name]
		if !found || contains(peers, name) {
			continue
		}
		p.Kind = Voter
		peers = append(peers, p)
	}
	return peers
}

// neighbourPeers returns random VMs of the data centre that are not chosen yet.
// A VM without a configuration may not know the data centre of a candidate, and
// takes it for a neighbour.
func neighbourPeers(r Round, known map[string]Peer, chosen []Peer) []Peer {
	others := filter(known, func(p Peer) bool {
		near := p.DataCentre == r.Self.DataCentre || p.DataCentre == "" && r.Config == nil
		return near && !contains(chosen, p.Name)
	})
	count := 1
	if r.Config == nil {
		count = initialNeighbours
	}
	return pickRandom(others, count, Neighbour, r.Random)
}

// remotePeer returns a random VM of the next data centre in the rotation,
// preferably one that is alive.
func (s *Schedule) remotePeer(r Round, known map[string]Peer) (Peer, bool) {
	dataCentres := make(map[string]bool)
	for _, p := range known {
		if p.DataCentre != r.Self.DataCentre {
			dataCentres[p.DataCentre] = true
		}
	}
	if len(dataCentres) == 0 {
		return Peer{}, false
	}
	names := slices.Sorted(maps.Keys(dataCentres))
	// The VMs of a data centre start the rotation at different positions, so that
	// together they reach all other data centres sooner.
	start := score(r.Self.DataCentre, r.Self.Name) % uint64(len(names))
	next := names[(start+uint64(s.rotation))%uint64(len(names))]
	s.rotation++
	inNext := filter(known, func(p Peer) bool { return p.DataCentre == next })
	return pickRandom(preferAlive(inNext, r), 1, Remote, r.Random)[0], true
}

// preferAlive returns the peers that are alive, or all of them if none is.
func preferAlive(peers []Peer, r Round) []Peer {
	var live []Peer
	for _, p := range peers {
		if Alive(r.Members.ByName[p.Name], r.Self.DataCentre, r.Now) {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return peers
	}
	return live
}

// pickRandom returns up to count random peers. It reorders from.
func pickRandom(from []Peer, count int, kind Kind, random func(int) int) []Peer {
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
// data centre returns. If the address of a VM is known from several sources, its
// member entry takes precedence over a seed, and a seed over the configuration.
func candidates(r Round) map[string]Peer {
	known := make(map[string]Peer)
	for _, s := range r.Seeds {
		known[s.Name] = s
	}
	for name, m := range r.Members.ByName {
		if m.Address != "" {
			known[name] = Peer{Name: name, DataCentre: m.DataCentre, Address: m.Address}
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
func addListed(known map[string]Peer, c *state.Config, own string) {
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			vm := &dc.VMs[i]
			_, present := known[vm.Name]
			switch {
			case vm.State == state.Out || dc.State == state.Out && dc.Name != own:
				delete(known, vm.Name)
			case !present:
				known[vm.Name] = Peer{Name: vm.Name, DataCentre: dc.Name, Address: vm.Address}
			}
		}
	}
}

// filter returns the peers for which keep is true, sorted by name.
func filter(known map[string]Peer, keep func(Peer) bool) []Peer {
	var kept []Peer
	for _, p := range known {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	slices.SortFunc(kept, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return kept
}

func contains(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name })
}
