// Package share enforces fleet-wide limits on request rates and backend connections.
// Each VM has a base share of a limit, computed from the ticket, and VMs lend each
// other parts of their base shares.
//
// For every limit, the sum over all VMs of base share minus lent plus borrowed never
// exceeds the limit: a lender subtracts a loan before it answers, and reclaims it
// only when the borrower can no longer use it. All times are readings of this VM's
// monotonic clock.
package share

import "time"

// Resource is the kind of limit that a loan is taken from.
type Resource string

// Kinds of Resource.
const (
	Requests    Resource = "requests"    // rate and burst of a customer
	Connections Resource = "connections" // connections to a backend server
)

// MaxLoansPerMessage bounds the loan requests in one message between VMs.
const MaxLoansPerMessage = 32

// LoanRequest asks a VM for a new loan, or renews or returns one that it granted.
type LoanRequest struct {
	Number   uint64        // unique within the borrower's incarnation; the same in retries, renewals and the return
	Resource Resource      // limit to borrow from
	Name     string        // customer or backend server
	Rate     float64       // requests per second wanted
	Burst    float64       // bucket capacity wanted, in requests
	Units    int           // connections wanted
	Period   time.Duration // duration of the loan from the sending of the request
	Renewal  bool          // the loan is in use; refused if the lender has no record of it
	Return   bool          // the borrower has stopped using the loan
	Tokens   float64       // unused tokens that a return gives back, at most the loan's burst
}

// LoanAnswer is the answer to a LoanRequest with the same number. It is a refusal if
// Rate, Burst and Units are zero. Repeated requests and renewals are answered with
// the recorded amounts; the borrower adds the tokens only once.
type LoanAnswer struct {
	Number     uint64
	Rate       float64       // requests per second lent
	Burst      float64       // bucket capacity lent
	Tokens     float64       // tokens lent, at most Burst
	Units      int           // connections lent
	Spare      float64       // requests per second or connections that the lender can still lend
	RetryAfter time.Duration // delay after which the lender expects to have more to lend; zero if unknown
}

// refused reports whether the answer lends nothing.
func (a LoanAnswer) refused() bool { return a.Rate == 0 && a.Burst == 0 && a.Units == 0 }

// Peer identifies a process of another VM.
type Peer struct {
	Name        string
	Incarnation uint64
}

// Batch holds the loan requests to send to one VM in one message.
type Batch struct {
	Peer  string
	Loans []LoanRequest
}
