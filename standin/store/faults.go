package store

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Outage is the way in which a store is out of service.
type Outage int

// Outages.
const (
	InService Outage = iota
	Refusing         // connections are cut and new ones refused
	Hanging          // connections are accepted, and calls wait until the outage ends
)

// Kind is the kind of a call.
type Kind int

// Kinds of calls.
const (
	Get Kind = iota
	Watch
	Put
	ListVMs
)

// Calls counts calls by kind.
type Calls struct {
	Get     uint64
	Watch   uint64
	Put     uint64
	ListVMs uint64
}

// Total returns the number of calls of all kinds.
func (c Calls) Total() uint64 { return c.Get + c.Watch + c.Put + c.ListVMs }

// faultTable holds the faults that a test has ordered, and counts calls.
type faultTable struct {
	mu      lockrank.Mutex // guards the fields below
	outage  Outage
	changed chan struct{} // closed and replaced when outage changes
	latency time.Duration
	lose    int
	calls   Calls
	servers map[*Server]struct{}
}

func newFaultTable() *faultTable {
	return &faultTable{
		mu:      lockrank.New(rankFaults),
		changed: make(chan struct{}),
		servers: make(map[*Server]struct{}),
	}
}

// setOutage returns the servers that must follow.
func (t *faultTable) setOutage(o Outage) []*Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outage = o
	close(t.changed)
	t.changed = make(chan struct{})
	servers := make([]*Server, 0, len(t.servers))
	for s := range t.servers {
		servers = append(servers, s)
	}
	return servers
}

func (t *faultTable) setLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency = d
}

func (t *faultTable) loseAnswers(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = n
}

// losesAnswer uses up one lost answer.
func (t *faultTable) losesAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lose == 0 {
		return false
	}
	t.lose--
	return true
}

// arrive counts a call and returns its latency.
func (t *faultTable) arrive(k Kind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch k {
	case Get:
		t.calls.Get++
	case Watch:
		t.calls.Watch++
	case Put:
		t.calls.Put++
	case ListVMs:
		t.calls.ListVMs++
	}
	return t.latency
}

// state returns the outage and a channel that is closed when it changes.
func (t *faultTable) state() (Outage, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outage, t.changed
}

func (t *faultTable) callsSeen() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// register adds a server that follows outages.
func (t *faultTable) register(s *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers[s] = struct{}{}
}

func (t *faultTable) unregister(s *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, s)
}
