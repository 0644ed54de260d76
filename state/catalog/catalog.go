// Package catalog holds what a VM knows of the deployment: the operators'
// configuration, the backend servers and the data centres out of service.
package catalog

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Consistency says what a read on a route must see.
type Consistency uint8

// Consistencies of routes.
const (
	Latest         Consistency = iota // every acknowledged commit
	BoundedStale                      // every commit acknowledged MaxStaleness ago
	ReadYourWrites                    // as BoundedStale, and every commit of the same session
)

// Route is what clients connect to by its database name.
type Route struct {
	Name          string
	Database      string
	Consistency   Consistency
	MaxStaleness  time.Duration
	Timeout       time.Duration // of one statement
	TargetLatency time.Duration // of a whole operation
	Priority      int           // 0 is the highest
	Group         string
	Public        bool // open to clients without a known key
}

// Customer owns keys and a limit that counts over all VMs.
type Customer struct {
	Name  string
	Rate  float64 // operations a second
	Burst float64 // operations
	Keys  []state.KeyHash
}

// Group is a database group.
type Group struct {
	Name           string
	MaxConnections int // on each of its servers, from all VMs together
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version   uint64
	Routes    []Route
	Customers []Customer
	Groups    []Group
	TxIdle    time.Duration // a transaction that rests longer may be ended

	byDatabase map[string]*Route
	byKey      map[state.KeyHash]*Customer
	byName     map[string]*Customer
	byGroup    map[string]*Group
	totalRate  float64
	rateRank   map[string]int
}

// Index prepares the lookups of a decoded configuration.
func (c *Config) Index() {
	c.byDatabase = make(map[string]*Route, len(c.Routes))
	c.byKey = make(map[state.KeyHash]*Customer)
	c.byName = make(map[string]*Customer, len(c.Customers))
	c.byGroup = make(map[string]*Group, len(c.Groups))
	for i := range c.Routes {
		c.byDatabase[c.Routes[i].Database] = &c.Routes[i]
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		c.byName[customer.Name] = customer
		c.totalRate += customer.Rate
		for _, k := range customer.Keys {
			c.byKey[k] = customer
		}
	}
	ranked := slices.Clone(c.Customers)
	slices.SortFunc(ranked, func(a, b Customer) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	c.rateRank = make(map[string]int, len(ranked))
	for i := range ranked {
		c.rateRank[ranked[i].Name] = i
	}
	for i := range c.Groups {
		c.byGroup[c.Groups[i].Name] = &c.Groups[i]
	}
}

// Route returns the route of a database name, or nil.
func (c *Config) Route(database string) *Route { return c.byDatabase[database] }

// Holder returns the customer that holds the key, or nil.
func (c *Config) Holder(key state.KeyHash) *Customer { return c.byKey[key] }

// Customer returns the named customer, or nil.
func (c *Config) Customer(name string) *Customer { return c.byName[name] }

// Group returns the named group, or nil.
func (c *Config) Group(name string) *Group { return c.byGroup[name] }

// RateRank returns the customer's place by rate, the highest first. Customers
// that the configuration does not know come last.
func (c *Config) RateRank(customer string) int {
	if rank, known := c.rateRank[customer]; known {
		return rank
	}
	return len(c.rateRank)
}

// RateShare returns the customer's part of all customers' rates, 0 to 1.
func (c *Config) RateShare(customer string) float64 {
	owner := c.byName[customer]
	if owner == nil || c.totalRate <= 0 {
		return 0
	}
	return owner.Rate / c.totalRate
}

// Server is a backend server as it registered itself.
type Server struct {
	ID         string
	Group      string
	Address    string
	DataCentre string
	Primary    bool // as it sees itself
	Draining   bool
	Born       int64  // time of its start, Unix milliseconds
	Revision   uint64 // of the registration
}

// Deployment is all that the store says, as of one moment. It is immutable.
type Deployment struct {
	Config  *Config            // nil until the first one is known
	Servers map[string]*Server // by id
	Out     map[string]bool    // data centres whose servers take nothing
	// UnfitSince has the servers that take no new work, draining or in a data
	// centre that is out, with the time at which this VM learned of it.
	UnfitSince map[string]time.Duration
	// RegisteredAt is when this VM last learned of a server that it did not know.
	RegisteredAt time.Duration
}

// handoverTime is how long a primary that should take no new work is still sent
// what only a primary runs. Operators allow 5 s for evacuations, 7 s for draining.
const handoverTime = 3500 * time.Millisecond

// GroupServers returns the servers of a group, ordered by id.
func (d *Deployment) GroupServers(group string) []*Server {
	var servers []*Server
	for _, s := range d.Servers {
		if s.Group == group {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// Usable reports whether the server may be sent new work.
func (d *Deployment) Usable(s *Server) bool { return !s.Draining && !d.Out[s.DataCentre] }

// UsableAsPrimary reports whether the server may be sent what only a primary
// runs. A primary on its way out runs it until another one takes over.
func (d *Deployment) UsableAsPrimary(s *Server, now time.Duration) bool {
	if d.Usable(s) {
		return true
	}
	since, known := d.UnfitSince[s.ID]
	return known && now-since < handoverTime
}

// Table holds the current deployment. Readers take no lock, so they may hold
// locks of any rank.
type Table struct {
	mu      lockrank.Mutex // serializes updates
	current atomic.Pointer[Deployment]
}

// NewTable returns a table with an empty deployment.
func NewTable() *Table {
	t := &Table{mu: lockrank.New(lockrank.Config)}
	t.current.Store(&Deployment{})
	return t
}

// Current returns the deployment in force.
func (t *Table) Current() *Deployment { return t.current.Load() }

// Update puts f's result in force.
func (t *Table) Update(f func(Deployment) Deployment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := f(*t.current.Load())
	t.current.Store(&next)
}

// Halves is the number of parts of a customer's limit, which different VMs count.
const Halves = 2

// Half is a part of a customer's limit: an equal part of its rate and burst.
type Half struct {
	Customer string
	Index    uint8 // less than Halves
}
