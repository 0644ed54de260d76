// Package state holds the shared tables: typed data and the locks that guard
// it. Tables know nothing of events, messages or sockets. The lock order is in
// package lockrank.
package state

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// ServiceState says whether a VM, a backend server or a data centre takes work.
type ServiceState string

// Service states, as operators write them in tickets.
const (
	InService ServiceState = "in_service" // takes new work
	Leaving   ServiceState = "leaving"    // finishes its work and takes none
	Out       ServiceState = "out"        // does no work
)

// Access is the access mode of a route.
type Access string

// Access modes.
const (
	ReadWrite Access = "read_write"
	ReadOnly  Access = "read_only"
)

// KeyHash is the SHA-256 hash of a customer's key.
type KeyHash [32]byte

// Key is one key of a customer. Only its hash is known.
type Key struct {
	ID      string
	Hash    KeyHash
	Revoked bool
}

// CutOffPolicy says how long a VM that hears neither the store nor a VM that
// does goes on serving a customer whose keys may have been revoked meanwhile.
type CutOffPolicy struct {
	Always   bool          // serve without limit
	ServeFor time.Duration // limit, if not Always
	Reason   string        // operators' reason for this choice
}

// Customer owns keys and a limit that counts across all VMs together.
type Customer struct {
	Name   string
	Rate   float64 // requests a second
	Burst  float64 // requests
	Keys   []Key
	CutOff CutOffPolicy
}

// Route is what clients connect to by database name.
type Route struct {
	Name         string
	Group        string
	Access       Access
	Open         bool          // needs no key
	ChargedTo    string        // customer whose limit open requests count against
	Customers    []string      // customers allowed in; empty allows all
	MaxStaleness time.Duration // age that reads accept; zero asks for read-your-writes
	Deadline     time.Duration // longest time from arrival to answer
}

// Allows reports whether the customer may use the route.
func (r *Route) Allows(customer string) bool {
	if len(r.Customers) == 0 {
		return true
	}
	for _, c := range r.Customers {
		if c == customer {
			return true
		}
	}
	return false
}

// BackendServer is one server of a database group.
type BackendServer struct {
	Name           string
	DataCentre     string
	Address        string // wire protocol, host:port
	ControlAddress string // control interface, host:port
	Connections    int    // limit for all VMs together
	Slots          int    // requests that the server runs at once
	State          ServiceState
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name    string
	Servers []BackendServer
}

// Majority is the number of servers that every two majorities share one of.
func (g *Group) Majority() int { return len(g.Servers)/2 + 1 }

// Server returns the named server, or nil.
func (g *Group) Server(name string) *BackendServer {
	for i := range g.Servers {
		if g.Servers[i].Name == name {
			return &g.Servers[i]
		}
	}
	return nil
}

// VM is one process of the system, as described by operators.
type VM struct {
	Name         string
	Address      string // peer interface, host:port
	AdminAddress string // admin interface, host:port; empty if operators reach it in no such way
	State        ServiceState
}

// DataCentre is a failure domain with its own VMs and backend servers.
type DataCentre struct {
	Name   string
	Region string
	State  ServiceState
	VMs    []VM
}

// TicketID identifies a ticket. Number orders tickets; Digest tells two tickets
// with the same number apart.
type TicketID struct {
	Number uint64
	Digest string
}

// Config is the whole state that tickets describe. It is immutable once
// published; every change makes a new value.
type Config struct {
	Ticket      TicketID
	Customers   map[string]*Customer
	Groups      map[string]*Group
	Routes      map[string]*Route
	DataCentres map[string]*DataCentre
}

// VM returns the named VM and its data centre, or nil.
func (c *Config) VM(name string) (*VM, *DataCentre) {
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			if dc.VMs[i].Name == name {
				return &dc.VMs[i], dc
			}
		}
	}
	return nil, nil
}

// VMIndex returns the position of the named VM among all VMs in order of name.
func (c *Config) VMIndex(name string) (index int, listed bool) {
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			switch {
			case dc.VMs[i].Name == name:
				listed = true
			case dc.VMs[i].Name < name:
				index++
			}
		}
	}
	return index, listed
}

// VMAt returns the name of the VM with the given index; see VMIndex.
func (c *Config) VMAt(index int) (name string, listed bool) {
	var names []string
	for _, dc := range c.DataCentres {
		for i := range dc.VMs {
			names = append(names, dc.VMs[i].Name)
		}
	}
	if index < 0 || index >= len(names) {
		return "", false
	}
	slices.Sort(names)
	return names[index], true
}

// ServerState returns the state of a backend server with its data centre taken
// into account: a server is in service only if its data centre is.
func (c *Config) ServerState(s *BackendServer) ServiceState {
	if dc := c.DataCentres[s.DataCentre]; dc != nil && dc.State != InService {
		return dc.State
	}
	return s.State
}

// Freshness says how recently the configuration was confirmed.
type Freshness struct {
	ConfirmedAt  time.Time // latest time at which the store confirmed it to us or to a VM we heard
	StoreDown    bool      // no VM of any data centre reaches the store, and all data centres are heard
	StoreReached bool      // this VM reaches the store
}

// ConfigTable holds the configuration in force.
type ConfigTable struct {
	mu        lockrank.Mutex // guards the fields below
	current   *Config
	freshness Freshness
	changed   chan struct{}
}

// NewConfigTable returns a table without a configuration.
func NewConfigTable() *ConfigTable {
	return &ConfigTable{mu: lockrank.New(lockrank.Config), changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil if none is known yet.
func (t *ConfigTable) Current() *Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Advance puts a configuration in force if its ticket number is higher than
// that of the current one. It reports whether it did. The number never
// decreases.
func (t *ConfigTable) Advance(c *Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && c.Ticket.Number <= t.current.Ticket.Number {
		return false
	}
	t.current = c
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next change.
func (t *ConfigTable) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Freshness returns how recently the configuration was confirmed.
func (t *ConfigTable) Freshness() Freshness {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness
}

// Confirm records that the configuration was confirmed at the given time. An
// earlier time than the recorded one changes nothing.
func (t *ConfigTable) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.freshness.ConfirmedAt) {
		t.freshness.ConfirmedAt = at
	}
}

// SetStore records whether this VM reaches the store and whether the store is
// down for every VM of every data centre.
func (t *ConfigTable) SetStore(reached, downForAll bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.StoreReached = reached
	t.freshness.StoreDown = downForAll
}
