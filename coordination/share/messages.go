// Package share decides how much of a fleet-wide limit this VM may spend: base
// shares from the ticket, and loans between VMs.
//
// For every limit, the sum over all VMs of what they may spend (their base
// shares, less what they lent, plus what they borrowed) never exceeds the limit:
// a lender subtracts a loan before it answers and counts it as its own again
// only when the borrower can no longer use it. All times are readings of this
// VM's monotonic clock.
package share

import "time"

// Resource says what a loan lends.
type Resource string

// Resources.
const (
	Requests    Resource = "requests"    // rate and burst of a customer
	Connections Resource = "connections" // connections to a backend server
)

// MaxLoansPerMessage bounds the loan requests in one message between VMs.
const MaxLoansPerMessage = 32

// LoanRequest asks a VM for a loan, extends one that it granted or returns it.
type LoanRequest struct {
	Number   uint64        // unique within the borrower's incarnation; repeated in retries, renewals and the return
	Resource Resource      // what is asked for
	Name     string        // customer or backend server
	Rate     float64       // requests a second wanted
	Burst    float64       // requests wanted
	Units    int           // connections wanted
	Period   time.Duration // time from the sending of the request until the loan ends
	Renewal  bool          // the loan is in use; a lender that does not know it grants nothing
	Return   bool          // the borrower has stopped using the loan
	Tokens   float64       // unused tokens that a return gives back, at most the loan's burst
}

// LoanAnswer is the answer to a LoanRequest with the same number. A loan of
// nothing is a refusal. Repeated requests and renewals get the recorded amounts
// again; the borrower counts the tokens once.
type LoanAnswer struct {
	Number     uint64
	Rate       float64       // requests a second lent
	Burst      float64       // bucket capacity lent
	Tokens     float64       // tokens that come with it, at most Burst
	Units      int           // connections lent
	Spare      float64       // requests a second or connections that the lender could still lend
	RetryAfter time.Duration // after a refusal, when the lender expects to have something; zero if it does not know
}

// refused reports whether the answer lends nothing.
func (a LoanAnswer) refused() bool { return a.Rate == 0 && a.Burst == 0 && a.Units == 0 }

// Peer is a process of another VM.
type Peer struct {
	Name        string
	Incarnation uint64
}

// Batch is the loan requests to send to one VM in one message.
type Batch struct {
	Peer  string
	Loans []LoanRequest
}
