package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/connbudget"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// maxReservedConnections is the number of connections per server that are not
	// planned, because VMs with another view may choose further connection owners. Where
	// a server accepts few connections, it is a quarter of them.
	maxReservedConnections = 3
	// expectedUse is the time for which an operation uses a connection, averaged over
	// single statements (10 to 60 ms) and transactions with pauses (up to a second or
	// more). Only the ratio of a customer's mean use to its fluctuation depends on it.
	expectedUse = 150 * time.Millisecond
	// connectionsPerOwner is the least number of connections that an owner shares among
	// its customers where there are fewer connections than customers. An owner with one or
	// two would have to close one for nearly every operation of another customer.
	connectionsPerOwner = 8
)

// MaxConnectionOwners returns how many VMs of a data centre hold the connections to a
// server of the group; zero means all.
func MaxConnectionOwners(config *catalog.Config, group string) int {
	if config == nil {
		return 0
	}
	budget, limited := connectionBudget(config, group)
	if !limited || budget >= len(config.Customers) {
		return 0
	}
	return max(budget/connectionsPerOwner, 1)
}

// connectionBudget returns the connections to a server of the group that owners are given;
// limited is false if the group is not known.
func connectionBudget(config *catalog.Config, group string) (budget int, limited bool) {
	g := config.Group(group)
	if g == nil {
		return len(config.Customers), false
	}
	return g.MaxConnections - connectionReserve(g), true
}

func connectionReserve(g *catalog.Group) int { return min(maxReservedConnections, g.MaxConnections/4) }

// ConnectionPlan is a connection owner's part of the connections to one server.
type ConnectionPlan struct {
	Share   int // connections for the customers that the owner holds
	Floors  int // sum of the floors of Customers
	Reserve int // connections to the server that no owner is given
	// Customers has the customers that the owner holds.
	Customers map[string]CustomerConnections
}

// CustomerConnections is what a customer is given at its connection owner.
type CustomerConnections struct {
	Floor  int     // connections that are left to it; see package connbudget
	Weight float64 // connections that it is expected to need
}

// PlanConnections returns this VM's part of the connections to the server. All VMs with
// the same view and configuration divide the connections alike, and the parts add up to
// the maximum less a reserve, unless there are more owners than that.
//
// If a server accepts a connection of each customer, each has one and a part of the rest
// in proportion to its rate, and its owner gets its part of what that leaves. If not, the
// owners get connections in proportion to what their customers are expected to need, and
// no connection is set aside for a customer. A nil view has this VM only.
func PlanConnections(config *catalog.Config, view *View, s *catalog.Server) ConnectionPlan {
	plan := ConnectionPlan{Customers: make(map[string]CustomerConnections)}
	self := ""
	if view != nil {
		self = view.Self
	}
	if g := config.Group(s.Group); g != nil {
		plan.Reserve = connectionReserve(g)
	}
	budget, _ := connectionBudget(config, s.Group)
	maxOwners := MaxConnectionOwners(config, s.Group)
	demands := make(map[string]*connbudget.Demand)
	weights := 0.0
	for i := range config.Customers {
		customer := config.Customers[i].Name
		owner := self
		if view != nil {
			var ok bool
			if owner, ok = view.ConnectionOwner(customer, s, maxOwners); !ok {
				continue
			}
		}
		d := demands[owner]
		if d == nil {
			d = &connbudget.Demand{Owner: owner}
			demands[owner] = d
		}
		c := CustomerConnections{Floor: connectionFloor(config, customer, budget), Weight: expectedConnections(config, &config.Customers[i])}
		d.Base += c.Floor
		d.Weight += c.Weight
		weights += c.Weight
		if owner == self {
			plan.Customers[customer] = c
			plan.Floors += c.Floor
		}
	}
	all := make([]connbudget.Demand, 0, len(demands))
	for _, d := range demands {
		if d.Base == 0 {
			d.Base = 1
			d.Weight = max(0, d.Weight/weights*float64(budget)-1)
		}
		all = append(all, *d)
	}
	// The order decides how fractions round, so it must be the same on all VMs.
	slices.SortFunc(all, func(a, b connbudget.Demand) int { return cmp.Compare(a.Owner, b.Owner) })
	plan.Share = max(1, connbudget.Apportion(budget, all)[self])
	return plan
}

// connectionFloor returns the connections that are set aside for a customer at its owner:
// none if there are more customers than connections.
func connectionFloor(config *catalog.Config, customer string, budget int) int {
	free := budget - len(config.Customers)
	if free < 0 {
		return 0
	}
	return 1 + int(float64(free)*config.RateShare(customer))
}

// expectedConnections returns the connections that a customer is expected to need to one
// server: its mean use and, since operations arrive at random, about one standard
// deviation of it. The least is a connection in a hundred times, so that a customer with
// a low rate is served in turn too.
func expectedConnections(config *catalog.Config, c *catalog.Customer) float64 {
	use := c.Rate * expectedUse.Seconds() / float64(max(1, len(config.Groups)))
	return max(use+math.Sqrt(use), 0.01)
}
