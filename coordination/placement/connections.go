package placement

import "github.com/chestnutdyke/chestnutdyke/state/catalog"

const (
	// reservedConnections is the number of connections per server that are not
	// planned, because VMs with another view may choose further connection owners.
	reservedConnections = 3
	// transientConnections is the number of connections per server that the
	// customers without permanent connections share.
	transientConnections = 7
)

// Connections describes the connections that a customer may have to a server.
type Connections struct {
	Limit     int
	Permanent bool // idle connections stay open
}

// PlanConnections returns a customer's part of the connections to each server of
// the group. Each customer keeps one connection and a part of the rest in
// proportion to its rate. If there are more customers than connections, only those
// with the highest rates keep one, and the others open one on demand.
func PlanConnections(config *catalog.Config, customer, group string) Connections {
	g := config.Group(group)
	if g == nil {
		return Connections{Limit: 1}
	}
	available := g.MaxConnections - reservedConnections
	if len(config.Customers) > available {
		available -= transientConnections
	}
	if config.RateRank(customer) >= available {
		return Connections{Limit: 1}
	}
	free := available - min(len(config.Customers), available)
	return Connections{Limit: 1 + int(float64(free)*config.RateShare(customer)), Permanent: true}
}
