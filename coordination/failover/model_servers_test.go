package failover_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// sim runs the decisions of several VMs against simulated servers in virtual time.
type sim struct {
	rng           *rand.Rand
	now           time.Time
	events        []event // ordered by time
	faulty        bool    // messages are lost, delayed and duplicated
	clientsActive bool    // clients send requests, and VMs exchange states
	// ackOnCommit violates the acknowledgement rule: writes are acknowledged once
	// the primary alone has committed them.
	ackOnCommit bool

	cfg        *state.Config
	group      *state.Group
	servers    map[string]*simServer
	vms        []*simVM
	partitions map[[2]string]bool // pairs that cannot communicate; an empty name stands for all others
	// dataCentres holds the data centre of each VM and server. A partitioned data
	// centre is reachable only from inside.
	dataCentres map[string]string

	leaders      map[uint64]string // server that was promoted in a term
	acknowledged map[int]time.Time // when a write was acknowledged
	nextID       int
	failures     []string
}

type event struct {
	at  time.Time
	run func()
}

func (s *sim) schedule(t time.Time, f func()) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(t) })
	s.events = slices.Insert(s.events, i, event{t, f})
}

func (s *sim) after(d time.Duration, f func()) { s.schedule(s.now.Add(d), f) }

func (s *sim) runUntil(t time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(t) {
		e := s.events[0]
		s.now, s.events = e.at, s.events[1:]
		e.run()
	}
	s.now = t
}

func (s *sim) failf(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// randomMillis returns a random duration between lo and hi milliseconds.
func (s *sim) randomMillis(lo, hi float64) time.Duration {
	return time.Duration((lo + s.rng.Float64()*(hi-lo)) * float64(time.Millisecond))
}

func (s *sim) withProbability(p float64) bool { return s.rng.Float64() < p }

func (s *sim) connected(a, b string) bool {
	da, db := s.dataCentres[a], s.dataCentres[b]
	return !s.partitions[[2]string{a, b}] && !s.partitions[[2]string{b, a}] && !s.partitions[[2]string{a, ""}] && !s.partitions[[2]string{b, ""}] &&
		(da == db || !s.partitions[[2]string{da, ""}] && !s.partitions[[2]string{db, ""}])
}

// send runs f after a network delay. In the fault phase the message may be lost,
// delayed or duplicated.
func (s *sim) send(from, to string, f func()) {
	copies := 1
	if s.faulty && s.withProbability(0.02) {
		copies = 2
	}
	for range copies {
		delay := s.randomMillis(0.2, 1.5)
		if s.faulty && s.withProbability(0.02) {
			delay = s.randomMillis(20, 900)
		}
		if s.faulty && s.withProbability(0.01) || !s.connected(from, to) {
			continue
		}
		s.after(delay, func() {
			if s.connected(from, to) {
				f()
			}
		})
	}
}

type record struct {
	term uint64
	id   int // zero in the record that starts a term
}

// simServer is a backend server. Its log and adopted term survive a crash.
type simServer struct {
	*sim
	name        string
	up          bool
	pausedUntil time.Time
	adopted     uint64
	role        state.Role
	follows     string
	switching   string
	log         []record
	starts      []state.TermStart
	truncations uint64 // how often a tail of the log was dropped
}

func (s *simServer) logTerm() uint64 { return s.starts[len(s.starts)-1].Term }

func (s *simServer) leads(term uint64) bool {
	return s.role == state.Primary && s.adopted == term && s.logTerm() == term
}

func (s *simServer) status() state.ServerStatus {
	return state.ServerStatus{Server: s.name, Role: s.role, AdoptedTerm: s.adopted, LogTerm: s.logTerm(),
		Position: uint64(len(s.log)), Primary: s.follows, SwitchingTo: s.switching,
		History: append([]state.TermStart(nil), s.starts...), Truncations: s.truncations}
}

func (s *simServer) append(r record) {
	if len(s.log) == 0 || r.term != s.logTerm() {
		s.starts = append(s.starts, state.TermStart{Term: r.term, Position: uint64(len(s.log))})
	}
	s.log = append(s.log, r)
}

func (s *simServer) truncate(n int) {
	if n < len(s.log) {
		s.truncations++
	}
	s.log = s.log[:n]
	for s.starts[len(s.starts)-1].Position >= uint64(n) {
		s.starts = s.starts[:len(s.starts)-1]
	}
}

func (s *simServer) holds(id int) bool {
	return slices.ContainsFunc(s.log, func(r record) bool { return r.id == id })
}

// execute carries out an order and reports whether it was refused.
func (s *simServer) execute(c failover.Call) (refused bool) {
	switch leads := s.leads(c.Term); {
	case c.Order == failover.Adopt && c.Term > s.adopted:
		s.adopted, s.switching = c.Term, ""
	case c.Order == failover.Follow && c.Term >= s.adopted && !leads:
		s.adopted, s.role, s.follows, s.switching = c.Term, state.Replica, c.Peer, ""
	case c.Order == failover.Switchover && leads:
		s.switching = c.Peer
	case c.Order == failover.Resume && leads:
		s.switching = ""
	case c.Order == failover.Promote && c.Term == s.adopted:
		if other := s.leaders[c.Term]; other != "" && other != s.name {
			s.failf("%s and %s were promoted in term %x", other, s.name, c.Term)
		}
		s.leaders[c.Term] = s.name
		s.role, s.follows = state.Primary, ""
		if !leads {
			s.append(record{term: c.Term})
		}
	default:
		return true
	}
	return false
}

// replicate periodically copies a random part of the primary's log.
func (s *simServer) replicate() {
	s.after(s.randomMillis(1, 6), s.replicate)
	p := s.servers[s.follows]
	if s.role != state.Replica || p == nil || !s.running() || !p.running() || !s.connected(s.name, p.name) || !p.leads(s.adopted) {
		return
	}
	n := min(len(s.log), len(p.log))
	for s.log[n-1] != p.log[n-1] {
		n--
	}
	s.truncate(n)
	for range s.rng.IntN(6) {
		if len(s.log) < len(p.log) {
			s.append(p.log[len(s.log)])
		}
	}
}

func (s *simServer) running() bool { return s.up && !s.now.Before(s.pausedUntil) }

// deliver runs f once the server is not paused. If the server is down, it runs
// refuse instead.
func (s *simServer) deliver(f, refuse func()) {
	switch {
	case !s.up:
		refuse()
	case s.now.Before(s.pausedUntil):
		s.schedule(s.pausedUntil, func() { s.deliver(f, refuse) })
	default:
		f()
	}
}
