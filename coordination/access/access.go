// Package access decides whether a request may run. It checks the API key, the
// routes that the customer may use, and the policy that applies while a VM is
// cut off from the configuration store.
package access

import (
	"crypto/subtle"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// MaxConfirmationAge is the maximum time since the last confirmation for which a
// configuration counts as current. The time stays below about 6 s on a healthy
// VM, and one failed call to the store adds up to 3 s, so a shorter bound would
// refuse customers although the store is reachable.
const MaxConfirmationAge = 15 * time.Second

// Reason says why a request is refused.
type Reason int

// Reasons.
const (
	None            Reason = iota // allowed
	UnknownCustomer               // the customer is not in the configuration
	WrongKey                      // no key was presented, or the customer has no such key
	RevokedKey                    // the customer's key was revoked
	RouteNotAllowed               // the customer may not use the route
	UnknownRoute                  // the route is not in the configuration
	CutOff                        // the configuration was not confirmed for longer than the customer's policy allows
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

// Request holds the customer, route and key that a client presents.
type Request struct {
	Customer string
	Route    string
	Key      state.KeyHash
	HasKey   bool
}

// Outcome is the result of a check. Exactly one of Customer and Reason is set.
type Outcome struct {
	Customer string // whose limit the request counts against
	Reason   Reason // why the request is refused; None if it is allowed
}

// Allowed reports whether the request may run.
func (o Outcome) Allowed() bool { return o.Reason == None }

func refused(r Reason) Outcome { return Outcome{Reason: r} }

// Check decides whether a request may run under the configuration, which may be
// nil. It is called for every request, so that a revoked key also stops sessions
// that are already connected. It does not allocate.
func Check(c *state.Config, fresh state.Freshness, now time.Time, r Request) Outcome {
	if c == nil {
		return refused(NoConfiguration)
	}
	route := c.Routes[r.Route]
	if route != nil && route.Open {
		return checkOpenRoute(c, fresh, now, route)
	}
	customer := c.Customers[r.Customer]
	if customer == nil {
		return refused(UnknownCustomer)
	}
	if reason := checkKey(customer.Keys, r); reason != None {
		return refused(reason)
	}
	// The key is checked before the route, so that a client without a valid key
	// cannot find out which routes exist.
	if route == nil {
		return refused(UnknownRoute)
	}
	if !route.Allows(customer.Name) {
		return refused(RouteNotAllowed)
	}
	return checkCutOff(customer, fresh, now)
}

// checkOpenRoute decides on a route that needs no key. The cut-off policy of the
// customer that is charged for the route applies.
func checkOpenRoute(c *state.Config, fresh state.Freshness, now time.Time, route *state.Route) Outcome {
	customer := c.Customers[route.ChargedTo]
	if customer == nil {
		return refused(UnknownCustomer)
	}
	return checkCutOff(customer, fresh, now)
}

// checkKey compares the presented key with every key of the customer, so that
// the time it takes does not reveal which one matches. If several keys have the
// same hash and one of them is revoked, the key counts as revoked.
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

func checkCutOff(c *state.Customer, fresh state.Freshness, now time.Time) Outcome {
	if MayServe(c.CutOff, fresh, now) {
		return Outcome{Customer: c.Name}
	}
	return refused(CutOff)
}

// MayServe reports whether the policy allows this VM to serve a customer at the
// given time. The age of the configuration is ignored while the store is down
// for all VMs, because no key can be revoked then.
func MayServe(p state.CutOffPolicy, fresh state.Freshness, now time.Time) bool {
	if fresh.StoreDown || p.Always {
		return true
	}
	return !fresh.ConfirmedAt.IsZero() && Elapsed(fresh.ConfirmedAt, now) <= max(p.ServeFor, MaxConfirmationAge)
}

// Elapsed returns the time from t to now, measured by the monotonic clock or the
// wall clock, whichever gives the longer time. The monotonic clock of some hosts
// stops while the VM is suspended.
func Elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
