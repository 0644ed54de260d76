package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// RateShare is a part of a customer's limit.
type RateShare struct {
	Rate  float64 // requests a second
	Burst float64 // requests
}

// TicketShares are the base shares of this VM under one ticket.
type TicketShares struct {
	Config   *Config
	Requests map[string]RateShare // by customer
	Units    map[string]int       // connections by backend server
	VMs      int                  // number of VMs that have base shares of connections
	Since    time.Time            // when this VM applied the ticket
	Applied  map[string]bool      // VMs that are known to have applied this ticket
}

// Lent is a loan that this VM granted. What it lends does not count as this
// VM's own until EndsAt.
type Lent struct {
	Borrower    string
	Incarnation uint64 // of the borrower
	Number      uint64 // unique within the borrower's incarnation
	Rate        float64
	Burst       float64
	Tokens      float64
	Units       int
	EndsAt      time.Time
	Refused     bool // the lender needs it back and does not extend it
}

// LoanPhase says how far a loan has come at its borrower.
type LoanPhase int

// Phases of a loan.
const (
	LoanAsked   LoanPhase = iota // no answer yet
	LoanActive                   // in use until EndsAt
	LoanClosing                  // connections above the remaining limit are being closed
)

// Borrowed is a loan that this VM asked for or uses.
type Borrowed struct {
	Lender      string
	Incarnation uint64 // of the lender; zero until the loan is granted
	Number      uint64
	Phase       LoanPhase
	Remote      bool // the lender is in another data centre
	Rate        float64
	Burst       float64
	Tokens      float64 // asked for; set while the phase is LoanAsked
	Units       int
	Period      time.Duration // how long the loan may be used, from the sending of a request
	EndsAt      time.Time     // when the use ends; for an unanswered request, when it is given up
	AskedAt     time.Time     // when the latest request or renewal was sent
	Attempts    int           // requests sent since the last answer
	Final       bool          // the lender does not extend it
}

// Holder is a VM with a base share.
type Holder struct {
	VM     string
	Remote bool // in another data centre
	Share  RateShare
	Units  int
}

// LenderNote is what this VM remembers of a possible lender.
type LenderNote struct {
	Until     time.Time     // not worth a request before this time
	Misses    int           // requests in a row that brought nothing
	Spare     float64       // requests a second or units that it had left after its latest answer
	RoundTrip time.Duration // of the latest request
}

// LoanBook holds the loans of one customer's limit or one backend server's
// connections.
type LoanBook struct {
	Lent       []Lent
	Borrowed   []Borrowed
	Holders    []Holder // candidates for loans, in the order in which to ask; nil until needed
	Notes      map[string]*LenderNote
	UnmetSince time.Time // since when demand has exceeded what this VM has; zero if it does not
	PlanAt     time.Time // when loans must be looked at again; zero if there is nothing to do
	PlannedAt  time.Time // when loans were looked at last
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
	Rate        float64 // requests a second at Updated
	Updated     time.Time
	LastArrival time.Time
}

// CustomerShare is this VM's part of a customer's limit.
type CustomerShare struct {
	Name    string
	Limit   RateShare // of the whole fleet
	Base    RateShare // of this VM
	Level   float64   // tokens in the bucket at Updated
	Updated time.Time
	Waiters []ShareWaiter // in the order of arrival
	Demand  Demand
	Loans   LoanBook
}

// ConnectionShare is this VM's part of a backend server's connection limit.
type ConnectionShare struct {
	Server       string
	Limit        int // of the whole fleet
	Base         int // of this VM
	ReportedBase int // of this VM, without tickets that it has not reported as applied
	Lendable     int // units that may be lent, at most
	MaxLendable  int // units that an earlier process of this VM can have lent, at most; never decreases
	Wanted       int // connections that this VM has a use for
	Loans        LoanBook
}

// LoanRef says which loan book a borrowed loan is in.
type LoanRef struct {
	Connections bool   // Name is a backend server, not a customer
	Name        string // customer or backend server
}

// Shares are this VM's parts of all fleet-wide limits.
type Shares struct {
	Static    bool            // measuring baseline: equal shares, no loans
	Leaving   bool            // lends everything and borrows nothing
	Tickets   []TicketShares  // ascending; from Agreed on, as far as known
	Agreed    uint64          // highest ticket known to be applied by every VM
	Reported  uint64          // ticket that this process last reported as applied
	Idle      map[string]bool // VMs that have applied a ticket that takes them out of service
	Customers map[string]*CustomerShare
	Servers   map[string]*ConnectionShare
	NextLoan  uint64
	Borrowed  map[uint64]LoanRef       // by loan number
	Returned  map[string]ReturnedLoans // by borrower

	HeldSince        time.Time // start of the lease hold that the buckets were started in
	FirstProcess     bool      // no earlier process of this VM's name can have a loan out
	EarlierLoansTill time.Time // when connection loans of other processes of this name have ended
}

// ReturnedLoans tells requests that were delayed in the network from new ones.
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

// With calls f with the shares under the table's lock. f must not keep them.
func (t *ShareTable) With(f func(s *Shares)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.shares)
}

// Relevant returns the configurations that this VM keeps to, ascending: from the
// highest one that every VM is known to have applied, as far as this VM has it.
func (t *ShareTable) Relevant() []*Config {
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
