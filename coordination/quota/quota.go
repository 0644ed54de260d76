// Package quota enforces customers' rate limits across all VMs.
//
// A customer's limit consists of two partitions, which are counted independently
// so that the loss of one VM leaves the other partition available. For each
// partition one VM, the quota coordinator, grants tokens to the VMs that accept
// the customer's clients. Each VM owns an equal share of every partition's rate
// and burst and lends it for a limited time to the VM that it considers the quota
// coordinator. A quota coordinator spends its own share and the shares lent to
// it, so two VMs that both act as the quota coordinator never spend the same
// share. A VM that is cut off from all others is its own quota coordinator, with
// its own share. A loan ends when its time has passed, when the link on which the
// quota coordinator requested it is closed, or when the quota coordinator reports
// that it no longer counts the partition.
//
// Times are readings of one clock of this VM that keeps running while
// the VM is suspended.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// minLoanDuration is the minimum duration of a loan. Loans last longer if quota
	// coordinators send requests less often. The quota coordinator counts the
	// duration from sending the request, the lender from answering, so the loan ends
	// first at the quota coordinator. It bounds how long nothing is granted after a
	// quota coordinator is lost.
	minLoanDuration = time.Second
	// loanRequestIntervals is the duration of a loan in intervals between the
	// requests of a quota coordinator.
	loanRequestIntervals = 2.5
	// maxCacheAge is how long granted tokens may be cached. Tokens spent later
	// than they were granted count in a later rate window than the one in which the
	// quota coordinator counted them.
	maxCacheAge = 500 * time.Millisecond
	// prefetchPeriod is the period whose expected demand is requested in
	// advance.
	prefetchPeriod = 200 * time.Millisecond
	// initialTokens plus initialBurstFraction of the burst is what new quota
	// coordinators of both partitions may grant beyond what their shares earn, once
	// they have all shares. The requirements allow 10 % above the limit in a 5 s
	// window, which covers three new pairs of quota coordinators in a window.
	initialTokens        = 5.0
	initialBurstFraction = 0.2
	// demandWeight is the weight of the latest interval in the moving average
	// of the demand.
	demandWeight = 0.3
	// demandInterval is the shortest interval over which demand is measured.
	demandInterval = 100 * time.Millisecond
)

// account is the token bucket of a partition whose quota coordinator is this VM.
type account struct {
	tokens   float64
	filledAt time.Duration            // when tokens was last refilled; zero if never
	borrowed map[string]borrowedShare // by lender
	// credited has the VMs whose share has already added its part of the
	// initial tokens to this account. This VM itself is "".
	credited map[string]bool
	// unspent is the sum of LentShare.Unspent over the shares that were lent since the
	// last refill.
	unspent time.Duration
	ranks   rankDemand
}

// borrowedShare is the period for which another VM lends its share to this one.
type borrowedShare struct{ since, until time.Duration }

// LentShare is a share of a partition that a VM lends.
type LentShare struct {
	catalog.LimitPartition
	// Unspent is how long nobody could spend the share before the loan. The share has
	// earned tokens in that time, which would be lost otherwise: the operations of clients
	// that return after a restart of the fleet would be refused although their customer's
	// burst is unused. It is zero when a loan is extended.
	Unspent time.Duration
}

// loan is a loan of this VM's own share of a partition.
type loan struct {
	coordinator string
	link        string // on which the quota coordinator requested it
	until       time.Duration
}

// tokenCache holds the tokens that were granted to this VM and are not spent
// yet.
type tokenCache struct {
	tokens        int
	until         time.Duration
	requested     int    // tokens requested and not yet granted or refused
	waiting       Wanted // operations that wait for the answer
	lowestRank    int    // of the operations so far
	count         int    // operations since intervalStart
	intervalStart time.Duration
	demand        float64 // operations per second
}

// Table holds the accounts, loans and cached tokens of this VM.
type Table struct {
	started time.Duration

	mu           lockrank.Mutex // guards the fields below
	ownShareFrom time.Duration  // when this VM may first spend shares of its own
	accounts     map[catalog.LimitPartition]*account
	loans        map[catalog.LimitPartition]loan
	caches       map[string]*tokenCache // by customer
}

// NewTable returns the table of a VM that started at now. The shares of its
// previous run may still be lent, so it spends its own only after
// minLoanDuration, or once it is in contact with all VMs. Lending them again to
// the same quota coordinator is safe at once.
func NewTable(now time.Duration) *Table {
	return &Table{
		started: now, mu: lockrank.New(lockrank.Shares), ownShareFrom: now + minLoanDuration,
		accounts: make(map[catalog.LimitPartition]*account), loans: make(map[catalog.LimitPartition]loan), caches: make(map[string]*tokenCache),
	}
}

// AllVMsReachable records that this VM is in contact with all VMs. None of them
// still counts loans of the previous run, because the links of that run are
// closed.
func (t *Table) AllVMsReachable(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownShareFrom = min(t.ownShareFrom, now)
}

// LoanDuration returns the duration of loans to quota coordinators that send a
// request every interval.
func LoanDuration(interval time.Duration) time.Duration {
	return max(minLoanDuration, time.Duration(loanRequestIntervals*float64(interval)))
}

// Lend lends this VM's shares to the requesting quota coordinator for the given
// duration and returns the partitions whose share was lent. candidates are the
// partitions of which this VM considers the requester to be the quota
// coordinator. A share that is lent to another VM stays there until its loan
// ends. link identifies the link of the request.
func (t *Table) Lend(coordinator, link string, candidates []catalog.LimitPartition, duration, now time.Duration) []LentShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lent []LentShare
	for _, p := range candidates {
		l := t.loans[p]
		if l.coordinator != coordinator && l.until > now {
			continue
		}
		lent = append(lent, LentShare{LimitPartition: p, Unspent: t.unspentFor(p, now)})
		t.loans[p] = loan{coordinator: coordinator, link: link, until: now + duration}
	}
	return lent
}

// unspentFor returns how long nobody could spend this VM's share of the partition: neither
// a quota coordinator that borrowed it nor this VM. The caller holds mu.
func (t *Table) unspentFor(p catalog.LimitPartition, now time.Duration) time.Duration {
	since := max(t.started, t.loans[p].until)
	if a := t.accounts[p]; a != nil {
		since = max(since, a.filledAt)
	}
	return max(now-since, 0)
}

// Release ends the loans granted to the quota coordinator on the link, except
// those of the partitions in kept, which the quota coordinator still counts. The
// quota coordinator has already stopped spending the others.
func (t *Table) Release(coordinator, link string, kept []catalog.LimitPartition, now time.Duration) {
	t.endLoans(now, func(p catalog.LimitPartition, l loan) bool {
		return l.coordinator == coordinator && l.link == link && !slices.Contains(kept, p)
	})
}

// RetainBorrowed drops the shares borrowed from other VMs, except those of the
// partitions in kept. It must be called before the lenders are told, so that a
// share is not spent twice.
func (t *Table) RetainBorrowed(kept []catalog.LimitPartition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, a := range t.accounts {
		if len(a.borrowed) > 0 && !slices.Contains(kept, p) {
			clear(a.borrowed)
		}
	}
}

// LinkClosed ends the loans granted on the link. The quota coordinator closed the
// link, or notices with its next request that it is closed, and then stops
// counting these loans. Without this call, the quota coordinator's customers would
// be granted nothing until the loans expire.
func (t *Table) LinkClosed(link string, now time.Duration) {
	t.endLoans(now, func(_ catalog.LimitPartition, l loan) bool { return l.link == link })
}

// endLoans ends the loans for which match returns true. It records the time of
// the end, since the share earns tokens at this VM from then on.
func (t *Table) endLoans(now time.Duration, match func(p catalog.LimitPartition, l loan) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, l := range t.loans {
		if l.until > now && match(p, l) {
			l.until = now
			t.loans[p] = l
		}
	}
}

// DropLender drops the shares borrowed from a lender whose link is closed.
func (t *Table) DropLender(lender string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.accounts {
		delete(a.borrowed, lender)
	}
}

// Receive records the shares that a lender lent for the duration in answer to a
// request sent at requestedAt.
func (t *Table) Receive(lender string, shares []LentShare, duration, requestedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range shares {
		a := t.account(s.LimitPartition)
		l, known := a.borrowed[lender]
		if !known || l.until < requestedAt {
			l.since = requestedAt
			a.unspent += s.Unspent
		}
		l.until = max(l.until, requestedAt+duration)
		a.borrowed[lender] = l
	}
}

// Grant grants up to the wanted tokens of a partition of a customer's limit, as the quota
// coordinator of the partition. The partition is divided into one equal share for each of
// members VMs. The tokens are for the highest ranks first.
func (t *Table) Grant(c *catalog.Customer, index uint8, members int, wanted Wanted, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := catalog.LimitPartition{Customer: c.Name, Index: index}
	a := t.account(p)
	rate, burst := c.Rate/catalog.LimitPartitions, c.Burst/catalog.LimitPartitions
	s := t.spendableShares(p, a, now)
	if a.filledAt == 0 {
		s.earned = 0
	}
	share := 1 / float64(max(members, 1)) // of the partition
	initial := initialTokens/catalog.LimitPartitions + initialBurstFraction*burst
	before := a.tokens
	a.tokens += rate*min(s.earned.Seconds()*share, (now-a.filledAt).Seconds()) + rate*a.unspent.Seconds()*share + initial*float64(s.credits)*share
	a.unspent = 0
	a.tokens = min(a.tokens, max(burst*min(1, float64(s.count)*share), 1))
	a.filledAt = now
	granted := a.ranks.grant(a.tokens, max(a.tokens-before, 0), burst, wanted, now)
	a.tokens -= float64(granted)
	return granted
}

func (t *Table) account(p catalog.LimitPartition) *account {
	a := t.accounts[p]
	if a == nil {
		a = &account{borrowed: make(map[string]borrowedShare), credited: make(map[string]bool)}
		t.accounts[p] = a
	}
	return a
}

// spendableShares describes the shares that a quota coordinator may spend.
type spendableShares struct {
	count   int
	credits int // shares that the account has for the first time
	// earned is the sum, over the shares, of the time since the last refill
	// during which the quota coordinator had the share.
	earned time.Duration
}

// spendableShares returns the shares that the quota coordinator may spend now.
// The time for which a share was lent elsewhere does not count, because its
// tokens were spent there.
func (t *Table) spendableShares(p catalog.LimitPartition, a *account, now time.Duration) spendableShares {
	var s spendableShares
	include := func(lender string) {
		s.count++
		if !a.credited[lender] {
			a.credited[lender] = true
			s.credits++
		}
	}
	for lender, l := range a.borrowed {
		s.earned += max(0, min(l.until, now)-max(l.since, a.filledAt))
		if l.until > now {
			include(lender)
		} else {
			delete(a.borrowed, lender)
		}
	}
	own := max(t.ownShareFrom, t.loans[p].until) // end of the latest loan of this VM's own share
	if own <= now {
		include("")
		s.earned += now - max(own, a.filledAt)
	}
	return s
}

// TokenInterval returns how long a customer at its limit waits for one token,
// rounded up to a millisecond; one second if the rate is zero.
func TokenInterval(c *catalog.Customer) time.Duration {
	if c.Rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(1000/c.Rate)) * time.Millisecond
}

// Admission says whether an operation may run now, and how many tokens to
// request.
type Admission struct {
	Admitted bool
	Request  Wanted // tokens to request from the quota coordinators; zero if none are needed or a request is outstanding
}

// Admit spends a cached token for one operation of the rank. An operation that is not
// admitted waits for the answer to the request; see AddGranted.
func (t *Table) Admit(customer string, rank int, now time.Duration) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cache(customer)
	c.measureDemand(now)
	if now >= c.until {
		c.tokens = 0
	}
	var a Admission
	if c.tokens > 0 {
		c.tokens--
		a.Admitted = true
	} else {
		c.waiting[rank]++
	}
	c.lowestRank = max(c.lowestRank, rank)
	prefetch := int(c.demand * prefetchPeriod.Seconds())
	if c.requested == 0 && (c.waiting.Total() > 0 || c.tokens < prefetch/2) {
		a.Request = c.waiting
		a.Request[c.lowestRank] += prefetch
		c.requested = a.Request.Total()
	}
	return a
}

// AddGranted records the quota coordinators' answer and returns how many of the
// waiting operations are admitted: the highest rank first, and the oldest of a rank.
func (t *Table) AddGranted(customer string, granted int, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cache(customer)
	c.requested = 0
	c.add(granted, now)
	admitted := min(c.tokens, c.waiting.Total())
	c.waiting = c.waiting.After(admitted)
	c.tokens -= admitted
	return admitted
}

// AddLateGranted records tokens from a quota coordinator that answered after the
// request had been completed without it.
func (t *Table) AddLateGranted(customer string, granted int, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cache(customer).add(granted, now)
}

func (c *tokenCache) add(granted int, now time.Duration) {
	if now >= c.until {
		c.tokens = 0
	}
	if granted > 0 {
		c.tokens += granted
		c.until = now + maxCacheAge
	}
}

// Refuse records that waiting operations were refused.
func (t *Table) Refuse(customer string, refused Wanted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cache(customer)
	for rank, n := range refused {
		c.waiting[rank] -= n
	}
}

// RetryRequest returns how many tokens to request for operations that wait while no
// request is outstanding.
func (t *Table) RetryRequest(customer string) Wanted {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cache(customer)
	if c.requested > 0 {
		return Wanted{}
	}
	c.requested = c.waiting.Total()
	return c.waiting
}

func (t *Table) cache(customer string) *tokenCache {
	c := t.caches[customer]
	if c == nil {
		c = &tokenCache{}
		t.caches[customer] = c
	}
	return c
}

func (c *tokenCache) measureDemand(now time.Duration) {
	c.count++
	passed := now - c.intervalStart
	if passed < demandInterval {
		return
	}
	c.demand += demandWeight * (float64(c.count)/passed.Seconds() - c.demand)
	c.count, c.intervalStart = 0, now
}
