// Package state holds the shared tables: typed data and the locks that guard
// it. Tables do not depend on events, messages or sockets. The lock order is
// defined in package lockrank.
package state

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// ServiceState says whether a VM, a backend server or a data centre takes work.
type ServiceState string

// Service states as written in tickets.
const (
	InService ServiceState = "in_service" // accepts new work
	Leaving   ServiceState = "leaving"    // finishes its work and accepts no new work
	Out       ServiceState = "out"        // does no work
)

// Access is the access mode of a route.
type Access string

// Values of Access.
const (
	ReadWrite Access = "read_write"
	ReadOnly  Access = "read_only"
)

// KeyHash is the SHA-256 hash of a customer's key.
type KeyHash [32]byte

// Key is one key of a customer. Only its hash is stored.
type Key struct {
	ID      string
	Hash    KeyHash
	Revoked bool
}

// CutOffPolicy limits how long a VM that is cut off continues to serve a customer
// whose keys may have been revoked in the meantime. A VM is cut off if it reaches
// neither the store nor another VM that does.
type CutOffPolicy struct {
	Always   bool          // no limit
	ServeFor time.Duration // limit unless Always is set
	Reason   string        // operators' reason for the policy
}

// Customer has keys and a limit that applies to all VMs together.
type Customer struct {
	Name   string
	Rate   float64 // requests per second
	Burst  float64 // requests
	Keys   []Key
	CutOff CutOffPolicy
}

// Route is selected by clients through its database name.
type Route struct {
	Name         string
	Group        string
	Access       Access
	Open         bool          // requires no key
	ChargedTo    string        // customer whose limit applies to open requests
	Customers    []string      // customers that may use the route; empty allows all
	MaxStaleness time.Duration // accepted staleness of reads; zero requires read-your-writes
	Deadline     time.Duration // maximum time from arrival to answer
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

// BackendServer is a server of a database group.
type BackendServer struct {
	Name           string
	DataCentre     string
	Address        string // wire protocol, host:port
	ControlAddress string // control interface, host:port
	Connections    int    // limit for all VMs together
	Slots          int    // requests that the server runs concurrently
	State          ServiceState
}

// Group is a database group, which consists of one primary and its replicas.
type Group struct {
	Name    string
	Servers []BackendServer
}

// Majority returns the smallest number of servers such that any two sets of
// this size share a server.
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

// VM is one process of the system, as configured by operators.
type VM struct {
	Name         string
	Address      string // peer interface, host:port
	AdminAddress string // admin interface, host:port; empty if operators have no access to it
	State        ServiceState
}

// DataCentre is a failure domain with its own VMs and backend servers.
type DataCentre struct {
	Name   string
	Region string
	State  ServiceState
	VMs    []VM
}

// TicketID identifies a ticket. Number orders tickets; Digest distinguishes two
// tickets with the same number.
type TicketID struct {
	Number uint64
	Digest string
}

// Config is the whole configuration described by tickets. It is immutable once
// published; every change creates a new value.
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

// VMIndex returns the index of the named VM among all VMs sorted by name.
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

// ServerState returns the effective state of a backend server: a server is in
// service only if its data centre is.
func (c *Config) ServerState(s *BackendServer) ServiceState {
	if dc := c.DataCentres[s.DataCentre]; dc != nil && dc.State != InService {
		return dc.State
	}
	return s.State
}

// Freshness describes how recently the configuration was confirmed.
type Freshness struct {
	ConfirmedAt  time.Time // latest time at which the store confirmed it to this VM or to one that informed this VM
	StoreDown    bool      // no VM of any data centre reaches the store, and this VM has contact with all data centres
	StoreReached bool      // this VM reaches the store
}

// ConfigTable holds the current configuration.
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

// Current returns the current configuration, or nil if none is known yet.
func (t *ConfigTable) Current() *Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Advance replaces the current configuration if c has a higher ticket number,
// and reports whether it did. The ticket number never decreases.
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

// Confirm records that the configuration was confirmed at the given time. A
// time before the recorded one is ignored.
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
