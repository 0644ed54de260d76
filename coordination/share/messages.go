// Package share decides how much of a fleet-wide limit this VM may spend: base
// shares from the ticket, and loans between VMs.
package share

import "time"

// Resource says what a loan lends.
type Resource string

// Resources.
const (
	Requests    Resource = "requests"    // rate and burst of a customer
	Connections Resource = "connections" // connections to a backend server
)

// LoanRequest asks a VM for a loan, or extends one that it granted.
type LoanRequest struct {
	Number   uint64        // unique within the borrower's incarnation; repeated in retries and renewals
	Resource Resource      // what is asked for
	Name     string        // customer or backend server
	Rate     float64       // requests a second wanted
	Burst    float64       // requests wanted
	Units    int           // connections wanted
	Period   time.Duration // time from the sending of the request until the loan ends
}

// LoanAnswer is the answer to a LoanRequest with the same number. A loan of
// nothing is a refusal.
type LoanAnswer struct {
	Number uint64
	Rate   float64 // requests a second lent
	Burst  float64 // bucket capacity lent
	Tokens float64 // tokens that come with it, at most Burst
	Units  int     // connections lent
}
