package failover_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// sim runs the decisions of several VMs against model servers in virtual time.
type sim struct {
	rng     *rand.Rand
	now     time.Time
	events  events
	seq     int
	faulty  bool // messages are lost, late and repeated
	writing bool // VMs go on writing
	// ackOnCommit breaks the acknowledgement rule: writes are acknowledged when
	// the primary has committed them.
	ackOnCommit bool

	cfg     *state.Config
	group   *state.Group
	servers map[string]*simServer
	vms     []*simVM
	cut     map[[2]string]bool // pairs that cannot talk; an empty name stands for all others
	// dataCentres holds the data centre of each VM and server. One that is cut
	// off reaches only itself.
	dataCentres map[string]string

	leaders  map[uint64]string // server that was promoted in a term
	acked    map[int]time.Time // when a write was acknowledged
	nextID   int
	failures []string
}

type scheduled struct {
	at  time.Time
	seq int
	run func()
}

type events []scheduled

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e *events) Push(x any) { *e = append(*e, x.(scheduled)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *sim) at(t time.Time, f func()) {
	s.seq++
	heap.Push(&s.events, scheduled{t, s.seq, f})
}

func (s *sim) after(d time.Duration, f func()) { s.at(s.now.Add(d), f) }

func (s *sim) runUntil(t time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(t) {
		e := heap.Pop(&s.events).(scheduled)
		s.now = e.at
		e.run()
	}
	s.now = t
}

func (s *sim) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// between returns a random duration of lo to hi milliseconds.
func (s *sim) between(lo, hi float64) time.Duration {
	return time.Duration((lo + s.rng.Float64()*(hi-lo)) * float64(time.Millisecond))
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) reach(a, b string) bool {
	da, db := s.dataCentres[a], s.dataCentres[b]
	return !s.cut[[2]string{a, b}] && !s.cut[[2]string{b, a}] && !s.cut[[2]string{a, ""}] && !s.cut[[2]string{b, ""}] &&
		(da == db || !s.cut[[2]string{da, ""}] && !s.cut[[2]string{db, ""}])
}

// send delivers f after a delay; in the faulty phase it may be lost, late or
// delivered twice.
func (s *sim) send(from, to string, f func()) {
	copies := 1
	if s.faulty && s.chance(0.02) {
		copies = 2
	}
	for range copies {
		delay := s.between(0.2, 1.5)
		if s.faulty && s.chance(0.02) {
			delay = s.between(20, 900)
		}
		if s.faulty && s.chance(0.01) || !s.reach(from, to) {
			continue
		}
		s.after(delay, func() {
			if s.reach(from, to) {
				f()
			}
		})
	}
}

// record is one log record. ID is zero in the record that starts a term.
type record struct {
	term uint64
	id   int
}

// simServer is a backend server. Its log and promises survive a crash.
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
}

func (s *simServer) logTerm() uint64 {
	if len(s.log) == 0 {
		return 0
	}
	return s.log[len(s.log)-1].term
}

func (s *simServer) leads(term uint64) bool {
	return s.role == state.Primary && s.adopted == term && s.logTerm() == term
}

func (s *simServer) status() state.ServerStatus {
	return state.ServerStatus{Server: s.name, Role: s.role, AdoptedTerm: s.adopted, LogTerm: s.logTerm(),
		Position: uint64(len(s.log)), Primary: s.follows, SwitchingTo: s.switching,
		History: append([]state.TermStart(nil), s.starts...)}
}

func (s *simServer) append(r record) {
	if r.term != s.logTerm() {
		s.starts = append(s.starts, state.TermStart{Term: r.term, Position: uint64(len(s.log))})
	}
	s.log = append(s.log, r)
}

func (s *simServer) truncate(n int) {
	s.log = s.log[:n]
	for len(s.starts) > 0 && s.starts[len(s.starts)-1].Position >= uint64(n) {
		s.starts = s.starts[:len(s.starts)-1]
	}
}

func (s *simServer) has(id int) bool {
	for i := len(s.log) - 1; i >= 0; i-- {
		if s.log[i].id == id {
			return true
		}
	}
	return false
}

// order carries out an order and reports whether it was refused.
func (s *simServer) order(c failover.Call) (refused bool) {
	switch c.Order {
	case failover.Adopt:
		if c.Term <= s.adopted {
			return true
		}
		s.adopted, s.switching = c.Term, ""
	case failover.Promote:
		return s.promote(c.Term)
	case failover.Follow:
		if c.Term < s.adopted || s.leads(c.Term) {
			return true
		}
		s.adopted, s.role, s.follows, s.switching = c.Term, state.Replica, c.Peer, ""
	case failover.Switchover:
		if !s.leads(c.Term) {
			return true
		}
		s.switching = c.Peer
	case failover.Resume:
		if !s.leads(c.Term) {
			return true
		}
		s.switching = ""
	}
	return false
}

func (s *simServer) promote(term uint64) (refused bool) {
	if s.adopted != term {
		return true
	}
	if s.leads(term) {
		return false
	}
	if other := s.leaders[term]; other != "" && other != s.name {
		s.fail("%s and %s were promoted in term %x", other, s.name, term)
	}
	s.leaders[term] = s.name
	s.role, s.follows, s.switching = state.Primary, "", ""
	s.append(record{term: term})
	return false
}

// write appends a write if the server accepts writes.
func (s *simServer) write(id int) (accepted bool) {
	if !s.leads(s.logTerm()) || s.switching != "" {
		return false
	}
	s.append(record{term: s.logTerm(), id: id})
	return true
}

// replicate copies a random part of the primary's log now and then.
func (s *simServer) replicate() {
	s.after(s.between(1, 6), s.replicate)
	p := s.servers[s.follows]
	if s.role != state.Replica || p == nil || !s.running() || !p.running() || !s.reach(s.name, p.name) || !p.leads(s.adopted) {
		return
	}
	n := min(len(s.log), len(p.log))
	for n > 0 && s.log[n-1] != p.log[n-1] {
		n--
	}
	if n < len(s.log) {
		s.truncate(n)
	}
	for range s.rng.IntN(6) {
		if len(s.log) < len(p.log) {
			s.append(p.log[len(s.log)])
		}
	}
}

func (s *simServer) running() bool { return s.up && !s.now.Before(s.pausedUntil) }

// deliver runs f when the server is not paused, and refuses at once if it is
// down.
func (s *simServer) deliver(f, refuse func()) {
	switch {
	case !s.up:
		refuse()
	case s.now.Before(s.pausedUntil):
		s.at(s.pausedUntil, func() { s.deliver(f, refuse) })
	default:
		f()
	}
}
