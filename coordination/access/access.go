// Package access decides whether a request may run: the key check, the routes
// that a customer may use, and the policy of a VM that is cut off from the
// store.
package access

import (
	"crypto/subtle"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// ContactBound is the age up to which a configuration counts as confirmed. A
// healthy VM stays below about 6 s, and one failed call of the store adds at
// most 3 s, so a shorter bound would refuse customers although the store is
// reached.
const ContactBound = 15 * time.Second

// Reason says why a request is refused.
type Reason int

// Reasons.
const (
	None            Reason = iota // allowed
	UnknownCustomer               // the configuration has no such customer
	WrongKey                      // no key was presented, or it is none of the customer's keys
	RevokedKey                    // the key was the customer's and is revoked
	RouteNotAllowed               // the customer may not use the route
	UnknownRoute                  // the configuration has no such route
	CutOff                        // the configuration is older than the customer accepts
	NoConfiguration               // this VM has no configuration yet
)

var reasonNames = [...]string{
	None:            "none",
	UnknownCustomer: "unknown customer",
	WrongKey:        "wrong key",
	RevokedKey:      "revoked key",
	RouteNotAllowed: "route not allowed",
	UnknownRoute:    "unknown route",
	CutOff:          "cut off",
	NoConfiguration: "no configuration",
}

func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown reason"
	}
	return reasonNames[r]
}

// Request is what a client presents.
type Request struct {
	Customer string
	Route    string
	Key      state.KeyHash
	HasKey   bool
}

// Outcome is the result of a check. Exactly one of Customer and Reason is set.
type Outcome struct {
	Customer string // customer to charge
	Reason   Reason // why the request is refused; None if it is allowed
}

// Allowed reports whether the request may run.
func (o Outcome) Allowed() bool { return o.Reason == None }

func refused(r Reason) Outcome { return Outcome{Reason: r} }

// Check decides whether a request may run under the configuration, which may be
// nil. It is called for every request, so that a revocation stops the next
// request of a session that is already connected. It does not allocate.
func Check(c *state.Config, fresh state.Freshness, now time.Time, r Request) Outcome {
	if c == nil {
		return refused(NoConfiguration)
	}
	route := c.Routes[r.Route]
	if route != nil && route.Open {
		return checkOpen(c, fresh, now, route)
	}
	customer := c.Customers[r.Customer]
	if customer == nil {
		return refused(UnknownCustomer)
	}
	if reason := checkKey(customer.Keys, r); reason != None {
		return refused(reason)
	}
	// The route is examined after the key, so that a client without a key
	// cannot find out which routes exist.
	if route == nil {
		return refused(UnknownRoute)
	}
	if !route.Allows(customer.Name) {
		return refused(RouteNotAllowed)
	}
	return checkContact(customer, fresh, now)
}

// checkOpen decides on a route that needs no key. The cut-off policy is that of
// the customer who is charged.
func checkOpen(c *state.Config, fresh state.Freshness, now time.Time, route *state.Route) Outcome {
	customer := c.Customers[route.ChargedTo]
	if customer == nil {
		return refused(UnknownCustomer)
	}
	return checkContact(customer, fresh, now)
}

// checkKey compares the presented key with every key of the customer, so that
// the time taken does not depend on which one matches. If two keys have the
// same hash and one of them is revoked, the key is revoked.
func checkKey(keys []state.Key, r Request) Reason {
	matched, revoked := 0, 0
	for i := range keys {
		equal := subtle.ConstantTimeCompare(keys[i].Hash[:], r.Key[:])
		matched |= equal
		if keys[i].Revoked {
			revoked |= equal
		}
	}
	switch {
	case !r.HasKey || matched == 0:
		return WrongKey
	case revoked == 1:
		return RevokedKey
	default:
		return None
	}
}

func checkContact(c *state.Customer, fresh state.Freshness, now time.Time) Outcome {
	if Served(c.CutOff, fresh, now) {
		return Outcome{Customer: c.Name}
	}
	return refused(CutOff)
}

// Served reports whether the policy lets this VM serve a customer at the given
// time. While the store is down for all VMs no revocation can be accepted, so
// the age of the configuration does not count.
func Served(p state.CutOffPolicy, fresh state.Freshness, now time.Time) bool {
	if fresh.StoreDown || p.Always {
		return true
	}
	return !fresh.ConfirmedAt.IsZero() && Elapsed(fresh.ConfirmedAt, now) <= max(p.ServeFor, ContactBound)
}

// Elapsed returns the time from t to now. Where the monotonic clock and the
// wall clock disagree the longer time counts, because the monotonic clock of
// some hosts stands still while the VM is suspended.
func Elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
