package connbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a connection that two owners use at the same time because an answer was
// lost or late, or because a lender or a borrower was restarted.
func TestLoansNeverDoubleConnections(t *testing.T) {
	type owner struct {
		loans     Loans
		heldUntil time.Time
	}
	const share = 9
	var borrowed int
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(0, 0)
		owners := make([]owner, 4)
		names := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
		var pending []func()
		adjusted := func(i int) int {
			return owners[i].loans.Adjust(share, 0, now.Before(owners[i].heldUntil), now)
		}
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			switch from, to := rng.IntN(4), rng.IntN(4); rng.IntN(10) {
			case 0:
				if rng.IntN(20) == 0 {
					owners[from] = owner{heldUntil: now.Add(LoanHold)} // a restart
				}
			case 1, 2, 3:
				if len(pending) > 0 { // an answer arrives, in any order
					i := rng.IntN(len(pending))
					pending[i]()
					pending = append(pending[:i], pending[i+1:]...)
				}
			default:
				if from == to {
					break
				}
				sentAt := now
				wanted := owners[from].loans.Borrowed(names[to], now) + 1 + rng.IntN(4)
				n := owners[to].loans.Lend(names[from], wanted, share, 0, now.Before(owners[to].heldUntil), nil, now)
				incarnation := owners[from].heldUntil
				if rng.IntN(4) > 0 { // else the answer is lost
					pending = append(pending, func() {
						if owners[from].heldUntil.Equal(incarnation) && now.Sub(sentAt) < 100*time.Millisecond {
							owners[from].loans.Answered(names[to], n, sentAt, now)
						}
					})
				}
			}
			total := 0
			for i := range owners {
				total += adjusted(i)
				borrowed += count(owners[i].loans.borrowed, now)
			}
			if total > share*len(owners) {
				t.Fatalf("seed %d: the owners may use %d connections of %d", seed, total, share*len(owners))
			}
		}
	}
	if borrowed == 0 {
		t.Error("nothing was lent")
	}
}

// Guards against a lender that gives away what its own customers need, and against a loan
// that ends although it is still in use.
func TestLend(t *testing.T) {
	now := time.Unix(100, 0)
	var account Account
	busy := Customer{Account: &account, Weight: 1, Open: 5}
	idle := Customer{Account: &account, Weight: 1, Open: 5, Idle: 5, IdleSince: now.Add(-time.Minute)}
	waiting := Customer{Account: &account, Weight: 1, Waiting: 1, WaitingSince: now}
	for name, tt := range map[string]struct {
		customers []Customer
		floors    int
		want      int
	}{
		"unused": {nil, 0, 4}, "in use": {[]Customer{busy, busy}, 0, 0}, "idle": {[]Customer{busy, idle}, 0, 4},
		"work waits": {[]Customer{idle, waiting}, 0, 0}, "set aside": {nil, 8, 1},
	} {
		var l Loans
		if got := l.Lend("vm", 9, 10, tt.floors, false, tt.customers, now); got != tt.want {
			t.Errorf("%s: %d connections are lent, want %d", name, got, tt.want)
		}
	}
	var lender, borrower Loans
	borrower.Answered("vm-1", lender.Lend("vm-2", 3, 10, 0, false, nil, now), now, now)
	inUse := []Customer{{Account: &account, Weight: 1, Open: 12}}
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		if vm, n := borrower.Renewal(10, 0, inUse, now); n > 0 {
			borrower.Answered(vm, lender.Lend("vm-2", n, 10, 0, false, nil, now), now, now)
		}
		if got := borrower.Borrowed("vm-1", now); got < 2 {
			t.Fatalf("%d connections are borrowed, 2 are in use", got)
		}
		if got := lender.Adjust(10, 0, false, now); got > 7 {
			t.Fatalf("the lender uses %d connections", got)
		}
	}
	if vm, n := borrower.Renewal(10, 0, nil, now.Add(loanTime-renewTime/2)); n > 0 {
		t.Errorf("%d connections of %s are renewed, none is in use", n, vm)
	}
}
