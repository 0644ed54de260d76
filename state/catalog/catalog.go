// Package catalog holds a VM's view of the deployment: the operators'
// configuration, the backend servers and the data centres that are out of
// service.
package catalog

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Consistency is the guarantee that a route gives to reads.
type Consistency uint8

// Consistency levels of routes.
const (
	Latest         Consistency = iota // every acknowledged commit
	BoundedStale                      // every commit acknowledged at least MaxStaleness ago
	ReadYourWrites                    // as BoundedStale, and every commit of the same session
)

// Route is selected by clients through its database name.
type Route struct {
	Name          string
	Database      string
	Consistency   Consistency
	MaxStaleness  time.Duration
	Timeout       time.Duration // of one statement
	TargetLatency time.Duration // of a whole operation
	Priority      int           // 0 is the highest
	Group         string
	Public        bool // accepts clients without a known key
}

// Customer has keys and a limit that applies to all VMs together.
type Customer struct {
	Name     string
	Rate     float64 // operations per second
	Burst    float64 // operations
	Priority int     // 0 is the highest
	Keys     []state.KeyHash
}

// Group is a database group.
type Group struct {
	Name           string
	MaxConnections int // to each of its servers, from all VMs together
	// SyncReplicas is the number of replicas that must have received a commit before
	// the primary acknowledges it. Zero means that it waits for none.
	SyncReplicas int
}

// Config is a version of the operators' configuration. It is immutable.
type Config struct {
	Version   uint64
	Routes    []Route
	Customers []Customer
	Groups    []Group
	TxIdle    time.Duration // transactions that are idle for longer may be ended

	byDatabase map[string]*Route
	byKey      map[state.KeyHash]*Customer
	byName     map[string]*Customer
	byGroup    map[string]*Group
	totalRate  float64
	rateRank   map[string]int
	classes    bool
}

// Index builds the lookup tables of a decoded configuration.
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
	c.classes = hasClasses(c)
	for i := range c.Groups {
		c.byGroup[c.Groups[i].Name] = &c.Groups[i]
	}
}

// Route returns the route with the given database name, or nil.
func (c *Config) Route(database string) *Route { return c.byDatabase[database] }

// CustomerByKey returns the customer to which the key belongs, or nil.
func (c *Config) CustomerByKey(key state.KeyHash) *Customer { return c.byKey[key] }

// Customer returns the named customer, or nil.
func (c *Config) Customer(name string) *Customer { return c.byName[name] }

// Group returns the named group, or nil.
func (c *Config) Group(name string) *Group { return c.byGroup[name] }

// RateRank returns the customer's index in descending order of rate. Unknown
// customers come last.
func (c *Config) RateRank(customer string) int {
	if rank, known := c.rateRank[customer]; known {
		return rank
	}
	return len(c.rateRank)
}

// RateShare returns the customer's fraction of the sum of all customers' rates.
func (c *Config) RateShare(customer string) float64 {
	found := c.byName[customer]
	if found == nil || c.totalRate <= 0 {
		return 0
	}
	return found.Rate / c.totalRate
}

// Server is a backend server as registered by itself.
type Server struct {
	ID         string
	Group      string
	Address    string
	DataCentre string
	Primary    bool // according to the server itself
	Draining   bool
	Born       int64  // start time, Unix milliseconds
	Seq        uint64 // rises with each write of the server since Born; zero if unknown
	Revision   uint64 // of the registration
}

// Deployment is the content of the store at one time, as known to this VM. It
// is immutable.
type Deployment struct {
	Config  *Config            // nil until a configuration is known
	Servers map[string]*Server // by id
	Out     map[string]bool    // data centres whose servers take no work
	// Leaving has the servers that take no new work, because they are draining or their
	// data centre is out of service.
	Leaving map[string]Leaving
	// RegisteredAt is when this VM last learned of a new server.
	RegisteredAt time.Duration
}

// Leaving says how long a server that takes no new work is still used until another one
// takes over from it. The times are readings of the clock that keeps running while the
// host is suspended.
type Leaving struct {
	// OperationsUntil ends operations that only a primary can run.
	OperationsUntil time.Duration
	// TransactionsUntil ends transactions that are open. A server that is draining
	// finishes them, so it is the end of time for such a server.
	TransactionsUntil time.Duration
}

// GroupServers returns the servers of a group sorted by ID.
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

// Usable reports whether the server may receive new work.
func (d *Deployment) Usable(s *Server) bool { return !s.Draining && !d.Out[s.DataCentre] }

// UsableAsPrimary reports whether the server may receive operations that only a
// primary can run. A primary that is being taken out of service runs them until
// another server takes over, or until operators require that it gets none.
func (d *Deployment) UsableAsPrimary(s *Server, now time.Duration) bool {
	return d.Usable(s) || now < d.Leaving[s.ID].OperationsUntil
}

// MaySend reports whether a statement may still be sent to the server, in a transaction
// that is open there or outside of one.
func (d *Deployment) MaySend(server string, inTx bool, now time.Duration) bool {
	l, leaving := d.Leaving[server]
	switch {
	case !leaving:
		return true
	case inTx:
		return now < l.TransactionsUntil
	}
	return now < l.OperationsUntil
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

// Current returns the current deployment.
func (t *Table) Current() *Deployment { return t.current.Load() }

// Update replaces the current deployment by the result of f.
func (t *Table) Update(f func(Deployment) Deployment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := f(*t.current.Load())
	t.current.Store(&next)
}

// LimitPartitions is the number of partitions of a customer's limit, which are
// counted by different VMs.
const LimitPartitions = 2

// LimitPartition identifies a partition of a customer's limit, with an equal
// share of its rate and burst.
type LimitPartition struct {
	Customer string
	Index    uint8 // less than LimitPartitions
}
