package share

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// A request may wait for a backend connection between its admission and its
// sending. If it spent its token at admission, requests that waited together
// would reach the backend server together, although their tokens were spent one
// by one. Such a request is admitted by Admit, and its token is spent by
// AcquireAdmitted when it is sent.

// Admit decides on a request like Acquire, but does not spend its token.
func Admit(tables *state.Tables, id state.WaiterID, customer string, cost float64, now, deadline time.Time) Admission {
	a := Acquire(tables, id, customer, cost, now, deadline)
	if a.Verdict == Granted {
		RefundToken(tables, customer, cost)
	}
	return a
}

// RefundToken returns the token of a request that Advance has granted. The token
// is then spent by AcquireAdmitted.
func RefundToken(tables *state.Tables, customer string, cost float64) {
	tables.Shares.With(func(s *state.Shares) {
		if c := s.Customers[customer]; c != nil {
			c.Level = min(capacity(c), c.Level+cost)
		}
	})
}

// AcquireAdmitted spends the token of a request that is about to be sent. If
// there is none, the request has to wait again or is refused.
func AcquireAdmitted(tables *state.Tables, id state.WaiterID, customer string, cost float64, now, deadline time.Time) Admission {
	return acquire(tables, customer, state.ShareWaiter{ID: id, Cost: cost, Joined: now, Deadline: deadline}, now, false)
}
