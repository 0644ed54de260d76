// Package quota counts customers' operations over all VMs.
//
// For each customer one VM, the ledger, grants tokens to the VMs that accept
// the customer's clients. Each VM owns an equal share of every customer's rate
// and burst and lends it to the VM that it takes for the ledger, for a
// while. A ledger spends its own share and the shares that are lent to it,
// so two VMs that both believe to be the ledger never spend a share twice. A VM
// that is cut off from all others is its own ledger, with its own share. A loan
// ends with its time, with the link on which the ledger asked for it, or when the
// ledger says that it does not count the customer any more.
//
// Times are readings of one clock of this VM that also counts while the VM is
// suspended.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// minLease is how long a share stays lent in a small fleet. The ledger
	// counts it from the sending of its question, the lender from its answer, so
	// the ledger's view ends first. It bounds the time without a grant after a
	// ledger is lost.
	minLease = time.Second
	// leasePings is the lease in intervals between a ledger's questions.
	leasePings = 2.5
	// stockTime is how long granted tokens may be kept. Tokens that are spent
	// later than granted add to a window that the ledger does not see.
	stockTime = 500 * time.Millisecond
	// stockAhead is the demand for which tokens are asked in advance.
	stockAhead = 200 * time.Millisecond
	// initialTokens and initialPart of the burst are what a new ledger may grant
	// at once. The users allow a tenth above the limit of a window of 5 s, which
	// covers three new ledgers in a window.
	initialTokens = 5.0
	initialPart   = 0.2
	// demandWeight is the weight of the newest interval in the measured demand.
	demandWeight = 0.3
	// demandInterval is the least interval over which demand is measured.
	demandInterval = 100 * time.Millisecond
)

// account is this VM's part as the ledger of a customer.
type account struct {
	tokens float64
	at     time.Duration       // when tokens was last filled
	loans  map[string]borrowed // by lender
}

// borrowed is a share that another VM lends to this one.
type borrowed struct{ since, until time.Duration }

// loan is where this VM's own share of a customer is.
type loan struct {
	to    string
	link  string // on which the ledger asked
	until time.Duration
}

// stock is what this VM was granted and has not spent.
type stock struct {
	tokens  int
	until   time.Duration
	asked   int // tokens asked for and not yet granted or refused
	waiting int // operations that wait for the answer
	count   int // operations since countAt
	countAt time.Duration
	demand  float64 // operations a second
}

// Table holds the accounts, loans and stocks of this VM.
type Table struct {
	mu       lockrank.Mutex // guards the fields below
	started  time.Duration
	accounts map[string]*account
	loans    map[string]loan
	stocks   map[string]*stock
}

// NewTable returns the table of a VM that started at now. The shares
// of its previous run may still be lent, so it spends its own only minLease
// later; lending them again to the same ledger is safe at once.
func NewTable(now time.Duration) *Table {
	return &Table{
		mu: lockrank.New(lockrank.Shares), started: now,
		accounts: make(map[string]*account), loans: make(map[string]loan), stocks: make(map[string]*stock),
	}
}

// Lease returns how long shares are lent to ledgers that ask every interval.
func Lease(interval time.Duration) time.Duration {
	return max(minLease, time.Duration(leasePings*float64(interval)))
}

// Lend lends this VM's shares to the asking ledger for the lease and returns the
// customers whose share it got. candidates are the customers whose ledger this VM takes
// the asking one for. A share that is lent to another VM stays there until its
// loan ends. link names the link on which the ledger asked.
func (t *Table) Lend(ledger, link string, candidates []string, lease, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lent []string
	for _, c := range candidates {
		l := t.loans[c]
		if l.to != ledger && l.until > now {
			continue
		}
		t.loans[c] = loan{to: ledger, link: link, until: now + lease}
		lent = append(lent, c)
	}
	return lent
}

// Release ends the loans that were granted to the ledger on the link, but for
// those of the customers that it says it still counts. It has stopped spending
// the others.
func (t *Table) Release(ledger, link string, counted []string, now time.Duration) {
	t.endLoans(now, func(c string, l loan) bool { return l.to == ledger && l.link == link && !slices.Contains(counted, c) })
}

// Keep forgets what other VMs lend to this one, but for the customers that it
// counts. It is called before the lenders are told.
func (t *Table) Keep(counted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, a := range t.accounts {
		if len(a.loans) > 0 && !slices.Contains(counted, c) {
			clear(a.loans)
		}
	}
}

// LinkClosed ends the loans that were granted on the link. The ledger closed it,
// or finds it closed with its next question, and counts none of them from then
// on; without this its customers would get nothing until the loans end.
func (t *Table) LinkClosed(link string, now time.Duration) {
	t.endLoans(now, func(_ string, l loan) bool { return l.link == link })
}

// endLoans ends the loans of this VM's shares that are chosen. The end is kept,
// since the share earns here from then on.
func (t *Table) endLoans(now time.Duration, chosen func(customer string, l loan) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, l := range t.loans {
		if l.until > now && chosen(c, l) {
			l.until = now
			t.loans[c] = l
		}
	}
}

// LenderLost forgets what a lender gave whose link is closed.
func (t *Table) LenderLost(lender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accounts {
		delete(a.loans, lender)
	}
}

// Receive records the shares that a lender gave for the lease, in answer to a
// question that was sent at askedAt.
func (t *Table) Receive(lender string, customers []string, lease, askedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range customers {
		loans := t.account(c).loans
		l, known := loans[lender]
		if !known || l.until < askedAt {
			l.since = askedAt
		}
		l.until = max(l.until, askedAt+lease)
		loans[lender] = l
	}
}

// Take grants up to want tokens of a customer's limit, out of members equal
// shares, as the customer's ledger.
func (t *Table) Take(c *catalog.Customer, members, want int, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(c.Name)
	shares, earned := t.shares(c.Name, a, now)
	fraction := min(1, float64(shares)/float64(max(members, 1)))
	if a.at == 0 {
		a.tokens = initialTokens + initialPart*c.Burst*fraction
		earned = 0
	}
	a.tokens += c.Rate * min(earned.Seconds()/float64(max(members, 1)), (now-a.at).Seconds())
	a.tokens = min(a.tokens, max(c.Burst*fraction, 1))
	a.at = now
	granted := min(want, int(a.tokens))
	a.tokens -= float64(granted)
	return granted
}

func (t *Table) account(customer string) *account {
	a := t.accounts[customer]
	if a == nil {
		a = &account{loans: make(map[string]borrowed)}
		t.accounts[customer] = a
	}
	return a
}

// shares returns how many shares the ledger may spend now, and the sum of the
// times since the account was last filled for which it had each of them. A share
// that was elsewhere in between was spent there.
func (t *Table) shares(customer string, a *account, now time.Duration) (n int, earned time.Duration) {
	for lender, l := range a.loans {
		earned += max(0, min(l.until, now)-max(l.since, a.at))
		if l.until > now {
			n++
		} else {
			delete(a.loans, lender)
		}
	}
	own := max(t.started+minLease, t.loans[customer].until) // when this VM's own share came back
	if own <= now {
		n++
		earned += now - max(own, a.at)
	}
	return n, earned
}

// Wait is how long a customer at its limit has to wait for a token.
func Wait(c *catalog.Customer) time.Duration {
	if c.Rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(1000/c.Rate)) * time.Millisecond
}

// Admission says what happens to an operation that asks for a token.
type Admission struct {
	Admitted bool
	Ask      int // tokens to ask the ledger for; zero if a question is under way
}

// Admit spends a token of the stock for one operation. An operation that is not
// admitted waits for the answer to the question, see Granted.
func (t *Table) Admit(customer string, now time.Duration) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stock(customer)
	s.measure(now)
	if now >= s.until {
		s.tokens = 0
	}
	var a Admission
	if s.tokens > 0 {
		s.tokens--
		a.Admitted = true
	} else {
		s.waiting++
	}
	ahead := int(s.demand * stockAhead.Seconds())
	if s.asked == 0 && (s.waiting > 0 || s.tokens < ahead/2) {
		s.asked = s.waiting + ahead
		a.Ask = s.asked
	}
	return a
}

// Granted records the ledger's answer and returns how many of the waiting
// operations are admitted, oldest first.
func (t *Table) Granted(customer string, granted int, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stock(customer)
	s.asked = 0
	admitted := min(granted, s.waiting)
	s.waiting -= admitted
	s.tokens += granted - admitted
	if granted > 0 {
		s.until = now + stockTime
	}
	return admitted
}

// Refuse records that n waiting operations were refused.
func (t *Table) Refuse(customer string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stock(customer).waiting -= n
}

// AskAgain returns how many tokens to ask for, for operations that wait without
// a question under way.
func (t *Table) AskAgain(customer string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stock(customer)
	if s.asked > 0 {
		return 0
	}
	s.asked = s.waiting
	return s.asked
}

func (t *Table) stock(customer string) *stock {
	s := t.stocks[customer]
	if s == nil {
		s = &stock{}
		t.stocks[customer] = s
	}
	return s
}

func (s *stock) measure(now time.Duration) {
	s.count++
	passed := now - s.countAt
	if passed < demandInterval {
		return
	}
	s.demand += demandWeight * (float64(s.count)/passed.Seconds() - s.demand)
	s.count, s.countAt = 0, now
}
