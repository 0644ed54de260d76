package store

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Outage is a way in which a store fails all calls.
type Outage int

const (
	InService Outage = iota // no outage
	Refusing                // connections are closed and new ones refused
	Hanging                 // connections are accepted, and calls wait until the outage ends
)

// CallKind is the kind of a call.
type CallKind int

const (
	Get CallKind = iota
	Watch
	Put
	ListVMs
)

// Calls holds the number of calls of each kind.
type Calls struct {
	Get     uint64
	Watch   uint64
	Put     uint64
	ListVMs uint64
}

// Total returns the number of calls of all kinds.
func (c Calls) Total() uint64 { return c.Get + c.Watch + c.Put + c.ListVMs }

// faultTable holds the faults that tests inject, the servers that they affect, and the
// number of calls.
type faultTable struct {
	mu              lockrank.Mutex // guards the fields below
	outage          Outage
	changed         chan struct{} // closed and replaced when outage changes
	latency         time.Duration
	responsesToDrop int // number of coming conditional updates without a response
	calls           Calls
	servers         map[*Server]struct{}
}

func newFaultTable() *faultTable {
	return &faultTable{
		mu:      lockrank.New(rankFaults),
		changed: make(chan struct{}),
		servers: make(map[*Server]struct{}),
	}
}

// setOutage changes the outage and returns the servers that have to apply it.
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
	t.responsesToDrop = n
}

// dropsResponse reports whether the response to a conditional update is to be dropped,
// and then decrements responsesToDrop.
func (t *faultTable) dropsResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.responsesToDrop == 0 {
		return false
	}
	t.responsesToDrop--
	return true
}

// countCall counts a call and returns the time by which it is delayed.
func (t *faultTable) countCall(k CallKind) time.Duration {
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

func (t *faultTable) callCounts() Calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// register adds a server that outages affect.
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
