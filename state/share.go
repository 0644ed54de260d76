package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// RateShare is a share of a customer's limit.
type RateShare struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// TicketShares are the base shares of this VM under one ticket.
type TicketShares struct {
	Config   *Config
	Requests map[string]RateShare // by customer
	Units    map[string]int       // connections by backend server
	VMs      int                  // number of VMs with a base share of connections
	Since    time.Time            // when this VM applied the ticket
	Applied  map[string]bool      // VMs known to have applied this ticket
}

// GrantedLoan is a loan granted by this VM. What it lends is not available to
// this VM until EndsAt.
type GrantedLoan struct {
	Borrower    string
	Incarnation uint64 // of the borrower
	Number      uint64 // unique within the borrower's incarnation
	Rate        float64
	Burst       float64
	Tokens      float64
	Units       int // connections
	EndsAt      time.Time
	Refused     bool // the lender needs it back and does not renew it
}

// LoanPhase is the phase of a loan at its borrower.
type LoanPhase int

// Phases of a loan.
const (
	LoanRequested LoanPhase = iota // not answered yet
	LoanActive                     // in use until EndsAt
	LoanClosing                    // connections above the remaining limit are being closed
)

// BorrowedLoan is a loan that this VM has requested or uses.
type BorrowedLoan struct {
	Lender       string
	Incarnation  uint64 // of the lender; zero until the loan is granted
	Number       uint64
	Phase        LoanPhase
	Remote       bool // the lender is in another data centre
	Rate         float64
	Burst        float64
	Tokens       float64       // requested; set while the phase is LoanRequested
	Units        int           // connections
	Period       time.Duration // how long the loan may be used, counted from sending a request
	EndsAt       time.Time     // end of use; the deadline of an unanswered request
	RequestedAt  time.Time     // when the latest request or renewal was sent
	Attempts     int           // requests sent since the last answer
	NotRenewable bool          // the lender does not renew it
}

// LenderCandidate is a VM with a base share.
type LenderCandidate struct {
	VM     string
	Remote bool // in another data centre
	Share  RateShare
	Units  int // connections
}

// LenderStats is this VM's record of a possible lender.
type LenderStats struct {
	RetryAfter time.Time     // do not send a request before this time
	Refusals   int           // consecutive requests that yielded nothing
	Spare      float64       // requests per second or connections that the lender had left after its latest answer
	RoundTrip  time.Duration // of the latest request
}

// LoanBook holds the loans of one customer's limit or one backend server's
// connections.
type LoanBook struct {
	Lent             []GrantedLoan
	Borrowed         []BorrowedLoan
	LenderCandidates []LenderCandidate // possible lenders, in the order in which to ask; nil until needed
	LenderStats      map[string]*LenderStats
	UnmetSince       time.Time // when demand began to exceed what this VM has; zero if it does not
	NextPlanAt       time.Time // when loans must be planned next; zero if nothing is due
	LastPlanAt       time.Time // when loans were planned last
}

// ShareWaiter is a request that waits for a token.
type ShareWaiter struct {
	ID       WaiterID
	Cost     float64
	Joined   time.Time
	Deadline time.Time
}

// Demand is a decaying average of the arrivals of one customer at this VM.
type Demand struct {
	Rate        float64 // requests per second at Updated
	Updated     time.Time
	LastArrival time.Time
}

// CustomerShare is this VM's share of a customer's limit.
type CustomerShare struct {
	Name    string
	Limit   RateShare // of all VMs together
	Base    RateShare // of this VM
	Level   float64   // tokens in the bucket at Updated
	Updated time.Time
	Waiters []ShareWaiter // in order of arrival
	Demand  Demand
	Loans   LoanBook
}

// ConnectionShare is this VM's share of a backend server's connection limit.
type ConnectionShare struct {
	Server       string
	Limit        int // of all VMs together
	Base         int // of this VM
	ReportedBase int // of this VM, under the tickets that it has reported as applied
	Lendable     int // maximum number of connections that may be lent
	MaxLendable  int // maximum number of connections that an earlier process of this VM can have lent; never decreases
	Wanted       int // connections that this VM can use
	Loans        LoanBook
}

// LoanRef identifies the loan book that contains a borrowed loan.
type LoanRef struct {
	Connections bool   // Name is a backend server, not a customer
	Name        string // customer or backend server
}

// Shares are this VM's shares of all fleet-wide limits.
type Shares struct {
	Static    bool            // baseline for measurements: equal shares, no loans
	Leaving   bool            // lends everything and borrows nothing
	Tickets   []TicketShares  // ascending, starting with Agreed, as far as known
	Agreed    uint64          // highest ticket known to be applied by every VM
	Reported  uint64          // ticket that this process last reported as applied
	Idle      map[string]bool // VMs that have applied a ticket that takes them out of service
	Customers map[string]*CustomerShare
	Servers   map[string]*ConnectionShare
	NextLoan  uint64
	Borrowed  map[uint64]LoanRef       // by loan number
	Returned  map[string]ReturnedLoans // by borrower

	HeldSince           time.Time // start of the lease hold for which the buckets were last emptied
	FirstProcess        bool      // no earlier process of this VM's name can have an outstanding loan
	PredecessorLoansEnd time.Time // when connection loans of other processes of this name have ended
}

// ReturnedLoans distinguishes requests that were delayed in the network from
// new ones.
type ReturnedLoans struct {
	Incarnation uint64
	Number      uint64 // highest number returned by the borrower
}

// ShareTable holds this VM's shares.
type ShareTable struct {
	mu     lockrank.Mutex // guards shares and everything reachable from it
	shares Shares
}

// NewShareTable returns a table without shares.
func NewShareTable() *ShareTable {
	return &ShareTable{
		mu: lockrank.New(lockrank.Shares),
		shares: Shares{
			Idle:      make(map[string]bool),
			Customers: make(map[string]*CustomerShare),
			Servers:   make(map[string]*ConnectionShare),
			Borrowed:  make(map[uint64]LoanRef),
			Returned:  make(map[string]ReturnedLoans),
		},
	}
}

// With calls f with the shares while holding the table's lock. f must not
// retain them.
func (t *ShareTable) With(f func(s *Shares)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.shares)
}

// EffectiveConfigs returns the configurations that this VM must respect, ascending.
// They start with the highest one that every VM is known to have applied, as
// far as this VM has them.
func (t *ShareTable) EffectiveConfigs() []*Config {
	t.mu.Lock()
	defer t.mu.Unlock()
	var configs []*Config
	for i := range t.shares.Tickets {
		configs = append(configs, t.shares.Tickets[i].Config)
	}
	return configs
}

// Agreed returns the highest ticket known to be applied by every VM.
func (t *ShareTable) Agreed() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shares.Agreed
}
