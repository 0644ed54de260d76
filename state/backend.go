package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// ConnWaiter is a request that waits for a backend connection.
type ConnWaiter struct {
	ID       WaiterID
	Customer string
	Weight   float64 // relative share of the customer
	Start    float64 // virtual start time, for start-time fair queueing
	Joined   time.Time
	Deadline time.Time
}

// IdleConn is a pooled backend connection.
type IdleConn struct {
	ID    ConnID
	Since time.Time
}

// ServerConns are this VM's connections to one backend server and the requests
// that wait for one.
type ServerConns struct {
	Server   string
	Limit    int // connections that this VM may have open, connecting ones included
	Slots    int // requests that the server runs at once
	Opening  int
	Busy     map[ConnID]WaiterID
	Idle     []IdleConn // the most recently used is last
	Waiters  []ConnWaiter
	Virtual  float64            // virtual time of the fair queue
	Finish   map[string]float64 // virtual finish time by customer
	Service  time.Duration      // moving average of the time that a request holds a connection
	BackoffN int                // failed attempts to connect in a row
	RetryAt  time.Time          // no attempt to connect before this time
}

// Open returns the number of connections that count against the limit.
func (s *ServerConns) Open() int { return s.Opening + len(s.Busy) + len(s.Idle) }

// BackendTable holds the backend connections of this VM.
type BackendTable struct {
	mu      lockrank.Mutex // guards the fields below
	servers map[string]*ServerConns
	nextID  ConnID
}

// NewBackendTable returns an empty table.
func NewBackendTable() *BackendTable {
	return &BackendTable{mu: lockrank.New(lockrank.Backends), servers: make(map[string]*ServerConns)}
}

// With calls f with the connections to the named server under the table's lock,
// created with no limit if they do not exist. f must not keep them.
func (t *BackendTable) With(server string, f func(s *ServerConns)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		s = &ServerConns{Server: server, Busy: make(map[ConnID]WaiterID), Finish: make(map[string]float64)}
		t.servers[server] = s
	}
	f(s)
}

// Each calls f with the connections to every server under the table's lock.
func (t *BackendTable) Each(f func(s *ServerConns)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		f(s)
	}
}

// NewID returns an unused connection identifier.
func (t *BackendTable) NewID() ConnID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	return t.nextID
}

// Load returns the requests that run on or wait for the server, seen from this VM.
func (t *BackendTable) Load(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return 0
	}
	return len(s.Busy) + len(s.Waiters)
}
