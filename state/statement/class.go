package statement

import (
	"cmp"
	"time"
)

// Class orders operations that compete for the same server.
type Class struct {
	Route    int // priority of the route; 0 is the highest
	Customer int // priority of the customer among operations of routes with the same priority; 0 is the highest
}

// Compare returns a negative number if c is served before other, zero if they are equal
// and a positive number if c is served after other.
func (c Class) Compare(other Class) int {
	return cmp.Or(cmp.Compare(c.Route, other.Route), cmp.Compare(c.Customer, other.Customer))
}

// Admission tells the VM that runs a statement how urgent its operation is.
type Admission struct {
	Class Class
	// Kind identifies the route: statements of a route need about the same time at a
	// server.
	Kind uint16
	// Objective is what is left of the latency objective of the whole operation, in whole
	// milliseconds. It is zero if the objective has been missed, or if there is none.
	Objective time.Duration
}
