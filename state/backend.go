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

// BusyConn is a backend connection that is in use by a request.
type BusyConn struct {
	Holder WaiterID
	Since  time.Time
}

// IdleConn is a pooled backend connection.
type IdleConn struct {
	ID      ConnID
	Since   time.Time
	Session uint64 // session that used it last; zero if none
}

// ServerConns are this VM's connections to one backend server and the requests
// that wait for one.
type ServerConns struct {
	Server   string
	Limit    int // connections that this VM may have open, including those being opened
	Opening  int
	Busy     map[ConnID]BusyConn
	Idle     []IdleConn // ordered by last use, the latest last
	Waiters  []ConnWaiter
	Virtual  float64            // virtual time of the fair queue
	Finish   map[string]float64 // virtual finish time by customer
	Service  time.Duration      // moving average of the time for which a request holds a connection
	Failures int                // consecutive failed attempts to connect
	RetryAt  time.Time          // earliest time of the next attempt to connect
}

// Open returns the number of connections that count towards the limit.
func (s *ServerConns) Open() int { return s.Opening + len(s.Busy) + len(s.Idle) }

// Wanted returns the number of connections that the VM can use.
func (s *ServerConns) Wanted() int { return len(s.Busy) + len(s.Waiters) }

// RetryBudget limits the retries of requests to one database group.
type RetryBudget struct {
	Tokens  float64 // retries available at Updated
	Updated time.Time
}

// BackendTable holds the backend connections of this VM.
type BackendTable struct {
	mu      lockrank.Mutex // guards the fields below
	servers map[string]*ServerConns
	retries map[string]*RetryBudget // by database group
	nextID  ConnID
}

// NewBackendTable returns an empty table.
func NewBackendTable() *BackendTable {
	return &BackendTable{
		mu:      lockrank.New(lockrank.Backends),
		servers: make(map[string]*ServerConns),
		retries: make(map[string]*RetryBudget),
	}
}

// With calls f with the connections to the named server while holding the
// table's lock. It creates them with Limit 0 if they do not exist. f must not
// retain them.
func (t *BackendTable) With(server string, f func(s *ServerConns)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		s = &ServerConns{Server: server, Busy: make(map[ConnID]BusyConn), Finish: make(map[string]float64)}
		t.servers[server] = s
	}
	f(s)
}

// Each calls f with the connections to every server while holding the table's
// lock.
func (t *BackendTable) Each(f func(s *ServerConns)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		f(s)
	}
}

// Servers returns the names of the servers that the VM has or had connections
// to.
func (t *BackendTable) Servers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.servers))
	for name := range t.servers {
		names = append(names, name)
	}
	return names
}

// WithRetries calls f with the retry budget of the named group while holding
// the table's lock.
func (t *BackendTable) WithRetries(group string, f func(b *RetryBudget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.retries[group]
	if b == nil {
		b = &RetryBudget{}
		t.retries[group] = b
	}
	f(b)
}

// NewID returns an unused connection identifier.
func (t *BackendTable) NewID() ConnID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	return t.nextID
}

// Load returns the number of this VM's requests that run on or wait for the
// server, divided by the number of connections that the VM may open to it.
func (t *BackendTable) Load(server string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return 0
	}
	return float64(len(s.Busy)+len(s.Waiters)) / float64(max(s.Limit, 1))
}
