package quota

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// customer has two partitions of 100 operations per second with a burst of 50.
var customer = &catalog.Customer{Name: "c", Rate: 200, Burst: 100}

func partitions(customers ...string) []catalog.LimitPartition {
	var all []catalog.LimitPartition
	for _, c := range customers {
		all = append(all, catalog.LimitPartition{Customer: c})
	}
	return all
}

// shares returns shares that were spent until they were lent.
func shares(customers ...string) []LentShare {
	var all []LentShare
	for _, p := range partitions(customers...) {
		all = append(all, LentShare{LimitPartition: p})
	}
	return all
}

// GrantTokens is Grant for operations of one rank.
func (t *Table) GrantTokens(c *catalog.Customer, index uint8, members, wanted int, now time.Duration) int {
	return t.Grant(c, index, members, Wanted{wanted}, now)
}

// afterStart is a time at which a new VM may spend its own shares.
const afterStart = time.Minute

// Guards against a share that two quota coordinators spend at once: when a lender
// considers another VM the quota coordinator, it must not lend to it before the
// old loan has ended.
func TestShareIsLentOnce(t *testing.T) {
	lender := NewTable(0)
	if got := lender.Lend("l1", "1", partitions("c"), minLoanDuration, afterStart); len(got) != 1 {
		t.Fatalf("lent %v", got)
	}
	if got := lender.Lend("l2", "2", partitions("c"), minLoanDuration, afterStart+minLoanDuration/2); len(got) != 0 {
		t.Errorf("lent to two quota coordinators: %v", got)
	}
	if got := lender.Lend("l1", "1", partitions("c"), minLoanDuration, afterStart+minLoanDuration/2); len(got) != 1 {
		t.Errorf("the quota coordinator did not get an extension: %v", got)
	}
	if got := lender.Lend("l2", "2", partitions("c"), minLoanDuration, afterStart+minLoanDuration/2+minLoanDuration); len(got) != 1 {
		t.Errorf("not lent after the loan expired: %v", got)
	}
	// The lender is its own quota coordinator while its share is lent.
	if got := lender.GrantTokens(customer, 0, 1, 100, afterStart+2*minLoanDuration); got > initialTokens {
		t.Errorf("%d tokens granted of a lent share", got)
	}
}

// Guards against a quota coordinator that spends expired loans, and against a
// loan that is counted from the arrival of the answer.
func TestLoansEnd(t *testing.T) {
	coordinator := NewTable(0)
	grant := func(now time.Duration) int { return coordinator.GrantTokens(customer, 0, 4, 1000, now) }
	grant(afterStart) // creates the account
	coordinator.Receive("a", shares("c"), minLoanDuration, afterStart)
	coordinator.Receive("b", shares("c"), minLoanDuration, afterStart)
	// Three of four shares of 100 per second for half a second.
	if got := grant(afterStart + minLoanDuration/2); got < 35 || got > 38 {
		t.Errorf("%d tokens with three shares", got)
	}
	grant(afterStart + minLoanDuration)
	// Only its own share.
	if got := grant(afterStart + 2*minLoanDuration); got > 13 {
		t.Errorf("%d tokens after the loans expired", got)
	}
}

// Guards against a restarted VM that spends a share lent by its previous run.
func TestNewVMSpendsNothingOfItsOwn(t *testing.T) {
	table := NewTable(afterStart)
	table.GrantTokens(customer, 0, 1, 1000, afterStart)
	if got := table.GrantTokens(customer, 0, 1, 1000, afterStart+minLoanDuration*9/10); got > 0 {
		t.Errorf("%d tokens during loans of the previous run", got)
	}
	if got := table.GrantTokens(customer, 0, 1, 1000, afterStart+3*minLoanDuration); got == 0 {
		t.Error("no tokens after loans of the previous run expired")
	}
}

// Guards against a VM that spends nothing of its own for a second although it is
// in contact with all others, so that no quota coordinator counts loans of its
// previous run. Otherwise all operations would be refused for that time after a
// restart of the fleet.
func TestJoinedVMSpendsItsShare(t *testing.T) {
	table := NewTable(afterStart)
	table.AllVMsReachable(afterStart + 100*time.Millisecond)
	if got := table.GrantTokens(customer, 0, 1, 1000, afterStart+100*time.Millisecond); got == 0 {
		t.Error("a new quota coordinator with all shares grants nothing")
	}
	// 100 per second for 100 ms.
	if got := table.GrantTokens(customer, 0, 1, 1000, afterStart+200*time.Millisecond); got < 9 || got > 10 {
		t.Errorf("%d tokens earned in 100 ms", got)
	}
}

// Guards against a new quota coordinator that grants initial tokens for a share
// each time it is lent again, and against shares that arrive one by one and add
// none.
func TestNewQuotaCoordinatorGrantsOncePerShare(t *testing.T) {
	const members = 4
	initial := (initialTokens + initialBurstFraction*customer.Burst) / catalog.LimitPartitions
	coordinator := NewTable(afterStart)
	granted, now := 0, afterStart
	for range 3 {
		for _, lender := range []string{"a", "b", "c"} {
			coordinator.Receive(lender, shares("c"), minLoanDuration, now)
			granted += coordinator.GrantTokens(customer, 0, members, 1000, now)
			coordinator.DropLender(lender)
		}
	}
	if limit := int(initial * 3 / members); granted > limit || granted < limit-1 {
		t.Errorf("%d tokens for three of %d shares, want %d", granted, members, limit)
	}
}

// Guards against partitions that share their tokens or loans.
func TestPartitionsAreApart(t *testing.T) {
	table := NewTable(0)
	grant := func(index uint8, now time.Duration) int { return table.GrantTokens(customer, index, 1, 1000, now) }
	grant(0, afterStart)
	grant(1, afterStart)
	table.Lend("l", "1", partitions("c"), time.Minute, afterStart) // partition 0
	now := afterStart + 400*time.Millisecond
	if lent, kept := grant(0, now), grant(1, now); lent > 0 || kept < 39 || kept > 40 {
		t.Errorf("%d tokens of the partition that is lent, %d of the other one, which earns 100 per second", lent, kept)
	}
}

// Guards against tokens of a late answer that are lost or cached for too long.
func TestLateGrant(t *testing.T) {
	table := NewTable(0)
	table.Admit("c", 0, afterStart)
	table.AddLateGranted("c", 2, afterStart)
	if got := table.AddGranted("c", 0, afterStart); got != 1 {
		t.Errorf("%d operations admitted by tokens of a late answer", got)
	}
	if a := table.Admit("c", 0, afterStart+maxCacheAge); a.Admitted {
		t.Error("a late token was cached for longer than maxCacheAge")
	}
}

// Guards against a bucket that holds more tokens than a lowered burst.
func TestLoweredLimit(t *testing.T) {
	table := NewTable(0)
	table.GrantTokens(customer, 0, 1, 0, afterStart)
	table.GrantTokens(customer, 0, 1, 0, afterStart+time.Minute) // fills the bucket
	lowered := &catalog.Customer{Name: "c", Rate: 20, Burst: 10}
	if got := table.GrantTokens(lowered, 0, 1, 1000, afterStart+time.Minute+time.Millisecond); got > 5 {
		t.Errorf("%d tokens at a burst of 5", got)
	}
}

// Guards against operations that wait forever or are admitted twice.
func TestAdmission(t *testing.T) {
	table := NewTable(0)
	a := table.Admit("c", 0, afterStart)
	if a.Admitted || a.Request.Total() != 1 {
		t.Fatalf("first operation: %+v", a)
	}
	if b := table.Admit("c", 0, afterStart); b.Admitted || b.Request.Total() != 0 {
		t.Errorf("second operation while a request is outstanding: %+v", b)
	}
	if got := table.AddGranted("c", 1, afterStart); got != 1 {
		t.Errorf("%d operations admitted by one token", got)
	}
	if got := table.RetryRequest("c").Total(); got != 1 {
		t.Errorf("%d tokens requested for one waiting operation", got)
	}
	if got := table.RetryRequest("c").Total(); got != 0 {
		t.Errorf("%d tokens requested while a request is outstanding", got)
	}
	table.AddGranted("c", 0, afterStart)
	table.Refuse("c", Wanted{1})
	if got := table.RetryRequest("c").Total(); got != 0 {
		t.Errorf("%d tokens requested for no operation", got)
	}
	// Tokens granted in advance expire.
	table.Admit("c", 0, afterStart)
	table.AddGranted("c", 3, afterStart)
	if got := table.Admit("c", 0, afterStart+maxCacheAge); got.Admitted {
		t.Error("a token was cached for longer than maxCacheAge")
	}
}

// Guards against a share that stays lent to a quota coordinator whose link
// closed, against one that is reclaimed although the quota coordinator has
// requested it again on a new link, and against a quota coordinator that goes on
// spending the share of a lost lender.
func TestLoanEndsWithItsLink(t *testing.T) {
	lender := NewTable(0)
	lender.Lend("l", "1", partitions("c"), minLoanDuration, afterStart)
	lender.LinkClosed("1", afterStart)
	if got := lender.Lend("m", "3", partitions("c"), minLoanDuration, afterStart); len(got) != 1 {
		t.Error("a share stays lent to a quota coordinator whose link closed")
	}
	lender = NewTable(0)
	lender.Lend("l", "1", partitions("c"), minLoanDuration, afterStart)
	lender.Lend("l", "2", partitions("c"), minLoanDuration, afterStart)
	lender.LinkClosed("1", afterStart)
	if got := lender.Lend("m", "3", partitions("c"), minLoanDuration, afterStart); len(got) != 0 {
		t.Error("a share is lent twice after the quota coordinator reconnected")
	}
	coordinator := NewTable(0)
	coordinator.GrantTokens(customer, 0, 2, 1000, afterStart) // creates the account and empties it
	coordinator.Receive("a", shares("c"), minLoanDuration, afterStart)
	coordinator.DropLender("a")
	// Its own share, half of 100 per second, for half a second.
	if got := coordinator.GrantTokens(customer, 0, 2, 1000, afterStart+minLoanDuration/2); got > 26 {
		t.Errorf("%d tokens with the share of a lost lender", got)
	}
}

// Guards against tokens for the time during which a share was lent and spent
// elsewhere.
func TestShareEarnsWhereItIs(t *testing.T) {
	table := NewTable(0)
	grant := func(now time.Duration) int { return table.GrantTokens(customer, 0, 1, 1000, now) }
	grant(afterStart)
	grant(afterStart) // empties the bucket
	table.Lend("l", "1", partitions("c"), time.Minute, afterStart)
	table.LinkClosed("1", afterStart+10*time.Second)
	if got := grant(afterStart + 10*time.Second + 100*time.Millisecond); got > 10 {
		t.Errorf("%d tokens for 100 ms at 100 per second", got)
	}
	table.Receive("b", shares("c"), minLoanDuration, afterStart+20*time.Second)
	table.GrantTokens(customer, 0, 2, 1000, afterStart+20*time.Second+minLoanDuration)
	table.Receive("b", shares("c"), minLoanDuration, afterStart+30*time.Second)
	// Its own share all the time, so a full bucket of it; the other one for 100
	// ms.
	if got := table.GrantTokens(customer, 0, 2, 1000, afterStart+30*time.Second+100*time.Millisecond); got > 50 {
		t.Errorf("%d tokens", got)
	}
}

// Guards against a share that stays lent to a quota coordinator which no longer
// counts the customer, and against one that is reclaimed from a quota coordinator
// that still counts it.
func TestQuotaCoordinatorReleasesShares(t *testing.T) {
	lender := NewTable(0)
	lender.Lend("l", "1", partitions("c", "d"), minLoanDuration, afterStart)
	lender.Release("l", "2", nil, afterStart) // sent on another link
	lender.Release("m", "1", nil, afterStart)
	if got := lender.Lend("m", "3", partitions("c", "d"), minLoanDuration, afterStart); len(got) != 0 {
		t.Errorf("%v are lent twice", got)
	}
	lender.Release("l", "1", partitions("d"), afterStart)
	if got := lender.Lend("m", "3", partitions("c", "d"), minLoanDuration, afterStart); len(got) != 1 || got[0].Customer != "c" {
		t.Errorf("%v can be lent after the quota coordinator released c", got)
	}
	coordinator := NewTable(0)
	coordinator.GrantTokens(customer, 0, 2, 1000, afterStart) // creates the account and empties it
	coordinator.Receive("a", shares("c"), minLoanDuration, afterStart)
	coordinator.RetainBorrowed(partitions("d"))
	// Its own share, half of 100 per second, for half a second.
	if got := coordinator.GrantTokens(customer, 0, 2, 1000, afterStart+minLoanDuration/2); got > 26 {
		t.Errorf("%d tokens with a released share", got)
	}
}

// Guards against clients that are refused after a restart of the fleet although nobody has
// spent their customer's tokens while the VMs started, and against time that counts twice.
func TestUnspentTimeCountsOnce(t *testing.T) {
	const members = 4
	lenders := map[string]*Table{"a": NewTable(afterStart), "b": NewTable(afterStart), "c": NewTable(afterStart)}
	now := afterStart + 200*time.Millisecond
	lendAll := func(to *Table, name, link string) {
		for lender, table := range lenders {
			to.Receive(lender, table.Lend(name, link, partitions("c"), minLoanDuration, now), minLoanDuration, now)
		}
	}
	first := NewTable(afterStart)
	lendAll(first, "first", "1")
	initial := (initialTokens + initialBurstFraction*customer.Burst) / catalog.LimitPartitions * 3 / members
	// Three of four shares of 100 per second, for 0.2 s.
	if got, want := first.GrantTokens(customer, 0, members, 1000, now), int(initial+15); got != want {
		t.Errorf("%d tokens after the fleet has started, want %d", got, want)
	}
	lendAll(first, "first", "1") // extends the loans
	if got := first.GrantTokens(customer, 0, members, 1000, now); got > 0 {
		t.Errorf("%d tokens for loans that were extended", got)
	}
	// The first quota coordinator is lost, and the next one asks 0.1 s later.
	for _, table := range lenders {
		table.LinkClosed("1", now)
	}
	now += 100 * time.Millisecond
	second := NewTable(afterStart)
	lendAll(second, "second", "2")
	if got, want := second.GrantTokens(customer, 0, members, 1000, now), int(initial+7.5); got != want {
		t.Errorf("%d tokens from the next quota coordinator, want %d", got, want)
	}
}
