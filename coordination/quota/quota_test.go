package quota

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

var customer = &catalog.Customer{Name: "c", Rate: 100, Burst: 50}

// later is a reading of the clock after the time in which a new VM spends
// nothing of its own.
const later = time.Minute

// Guards against a share that two ledgers spend at once: a lender that changes
// its mind lends to the new ledger only when the old loan has ended.
func TestShareIsLentOnce(t *testing.T) {
	lender := NewTable("a", 0)
	if got := lender.Lend("l1", []string{"c"}, minLease, later); len(got) != 1 {
		t.Fatalf("lent %v", got)
	}
	if got := lender.Lend("l2", []string{"c"}, minLease, later+minLease/2); len(got) != 0 {
		t.Errorf("lent to two ledgers: %v", got)
	}
	if got := lender.Lend("l1", []string{"c"}, minLease, later+minLease/2); len(got) != 1 {
		t.Errorf("the loan was not extended: %v", got)
	}
	if got := lender.Lend("l2", []string{"c"}, minLease, later+minLease/2+minLease); len(got) != 1 {
		t.Errorf("not lent after the loan had ended: %v", got)
	}
	// The lender is its own ledger while its share is out.
	if got := lender.Take(customer, 1, 100, later+2*minLease); got > initialTokens {
		t.Errorf("%d tokens granted of a share that is lent", got)
	}
}

// Guards against a ledger that spends loans which have ended, and against a
// loan that is counted from its arrival.
func TestLoansEnd(t *testing.T) {
	ledger := NewTable("l", 0)
	take := func(now time.Duration) int { return ledger.Take(customer, 4, 1000, now) }
	take(later) // opens the account
	ledger.Receive("a", []string{"c"}, minLease, later)
	ledger.Receive("b", []string{"c"}, minLease, later)
	// Three of four shares of 100 a second for half a second.
	if got := take(later + minLease/2); got < 35 || got > 38 {
		t.Errorf("%d tokens with three shares", got)
	}
	take(later + minLease)
	// Its own share only.
	if got := take(later + 2*minLease); got > 13 {
		t.Errorf("%d tokens after the loans had ended", got)
	}
}

// Guards against a VM that starts again and spends a share that its previous
// run lent.
func TestNewVMSpendsNothingOfItsOwn(t *testing.T) {
	table := NewTable("a", later)
	table.Take(customer, 1, 1000, later)
	if got := table.Take(customer, 1, 1000, later+minLease*9/10); got > 0 {
		t.Errorf("%d tokens within the lease of the previous run", got)
	}
	if got := table.Take(customer, 1, 1000, later+3*minLease); got == 0 {
		t.Error("no tokens after the lease of the previous run")
	}
}

// Guards against a lowered burst that stays in a bucket.
func TestLoweredLimit(t *testing.T) {
	table := NewTable("a", 0)
	table.Take(customer, 1, 0, later)
	table.Take(customer, 1, 0, later+time.Minute) // fills the bucket
	lowered := &catalog.Customer{Name: "c", Rate: 10, Burst: 5}
	if got := table.Take(lowered, 1, 1000, later+time.Minute+time.Millisecond); got > 5 {
		t.Errorf("%d tokens at a burst of 5", got)
	}
}

// Guards against operations that wait for ever or are admitted twice.
func TestAdmission(t *testing.T) {
	table := NewTable("a", 0)
	a := table.Admit("c", later)
	if a.Admitted || a.Ask != 1 {
		t.Fatalf("first operation: %+v", a)
	}
	if b := table.Admit("c", later); b.Admitted || b.Ask != 0 {
		t.Errorf("second operation while a question is under way: %+v", b)
	}
	if got := table.Granted("c", 1, later); got != 1 {
		t.Errorf("%d operations admitted by one token", got)
	}
	if got := table.AskAgain("c"); got != 1 {
		t.Errorf("%d tokens asked for one waiting operation", got)
	}
	if got := table.AskAgain("c"); got != 0 {
		t.Errorf("%d tokens asked while a question is under way", got)
	}
	table.Granted("c", 0, later)
	table.Refuse("c", 1)
	if got := table.AskAgain("c"); got != 0 {
		t.Errorf("%d tokens asked for no operation", got)
	}
	// Tokens that are granted ahead are not kept for long.
	table.Admit("c", later)
	table.Granted("c", 3, later)
	if got := table.Admit("c", later+stockTime); got.Admitted {
		t.Error("a token was kept for longer than its time")
	}
}
