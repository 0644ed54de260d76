package placement

import "github.com/chestnutdyke/chestnutdyke/state/catalog"

const (
	// reservedConnections of a server are left to VMs with another view of the
	// fleet.
	reservedConnections = 3
	// transientConnections of a server are shared by the customers that keep
	// none of their own.
	transientConnections = 7
)

// Connections says what connections a customer may have to a server.
type Connections struct {
	Limit     int
	Permanent bool // they are kept while they rest
}

// PlanConnections divides the connections of each server of the group among the
// customers. Those with the highest rates keep one connection and get a part of
// the rest by their rate; the others open one when they need it, if there are
// more customers than connections.
func PlanConnections(config *catalog.Config, customer, group string) Connections {
	g := config.Group(group)
	if g == nil {
		return Connections{Limit: 1}
	}
	places := g.MaxConnections - reservedConnections
	if len(config.Customers) > places {
		places -= transientConnections
	}
	if config.RateRank(customer) >= places {
		return Connections{Limit: 1}
	}
	free := places - min(len(config.Customers), places)
	return Connections{Limit: 1 + int(float64(free)*config.RateShare(customer)), Permanent: true}
}
