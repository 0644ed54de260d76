package fencing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a quorum of a lease that has no VM in common with a majority: a VM
// could keep using a primary while the coordinator replaces it.
func TestQuorumsIntersect(t *testing.T) {
	for members := 1; members <= 500; members++ {
		if sum := Majority(members) + leaseQuorum(members); sum <= members {
			t.Errorf("%d VMs: a majority and the quorum of a lease together are %d", members, sum)
		}
	}
}

// Guards against a lease that outlives its renewals, or that the newest renewals alone
// extend.
func TestLeaseEndsWithOldestNeededRenewal(t *testing.T) {
	table := New()
	if table.HasLease(0) {
		t.Error("a VM that knows no fleet has a lease")
	}
	table.SetFleet(Fleet{Members: 5, IsMember: true, Lease: time.Second}) // needs two other VMs
	table.RecordState("a", true, 10*time.Second)
	if table.HasLease(10 * time.Second) {
		t.Error("one renewal gives a lease")
	}
	table.RecordState("b", false, 10*time.Second)
	if table.HasLease(10 * time.Second) {
		t.Error("the answer of a VM that has just started gives a lease")
	}
	table.RecordState("b", true, 10500*time.Millisecond)
	for now, want := range map[time.Duration]bool{10900 * time.Millisecond: true, 11 * time.Second: false} {
		if got := table.HasLease(now); got != want {
			t.Errorf("lease at %v: %v, want %v", now, got, want)
		}
	}
	table.RecordState("a", true, 9*time.Second) // arrives late
	if !table.HasLease(10900 * time.Millisecond) {
		t.Error("a late renewal shortens the lease")
	}
}

// Guards against an outdated designation that replaces a newer one.
func TestMergeKeepsNewest(t *testing.T) {
	table := New()
	newer := Designation{Group: "g", Server: "b", Token: 7}
	if got := table.Merge(State{Claim: 5, Designations: []Designation{newer}}); !cmp.Equal(got, []Designation{newer}) {
		t.Errorf("accepted %v", got)
	}
	if got := table.Merge(State{Claim: 1, Designations: []Designation{{Group: "g", Server: "a", Token: 6}}}); len(got) > 0 {
		t.Errorf("accepted the outdated %v", got)
	}
	if table.Claim() != 5 || table.Designated("g") != newer {
		t.Errorf("claim %d, designation %v", table.Claim(), table.Designated("g"))
	}
	table.SetFleet(Fleet{Members: 1, IsMember: true, Lease: time.Second})
	for server, want := range map[string]Verdict{"a": NotDesignated, "b": Allowed} {
		if got := table.Check("g", server, time.Hour); got != want {
			t.Errorf("verdict on %s: %d, want %d", server, got, want)
		}
	}
}

// Guards against a VM that has just started and renews leases without knowing the
// designations that its previous process accepted.
func TestNewVMRenewsNothing(t *testing.T) {
	table := New()
	table.SetFleet(Fleet{Members: 5, IsMember: true, Lease: time.Second})
	table.RecordState("a", true, time.Second)
	if table.Settled() {
		t.Error("settled after the state of one other VM of five")
	}
	table.RecordState("b", false, time.Second)
	if !table.Settled() {
		t.Error("not settled after the states of two other VMs of five")
	}
}

// modelVM is a VM of the model in TestNoUseAfterWait.
type modelVM struct {
	table   *Table
	reaches []bool // VMs that answer its requests
}

// Guards against a VM that uses the former primary after the coordinator's wait, for
// any partition between the VMs and any times of their renewals.
func TestNoUseAfterWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = time.Second
		n := rapid.IntRange(1, 9).Draw(t, "vms")
		vms := make([]modelVM, n)
		for i := range vms {
			vms[i] = modelVM{New(), rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "reaches")}
			vms[i].table.SetFleet(Fleet{Members: n, IsMember: true, Lease: lease})
			vms[i].table.RecordState("start", true, 0)
		}
		fence := State{Claim: 1, Designations: []Designation{{Group: "g", Server: "new", Token: 1}}}
		accepted := make(map[int]bool)
		majorityAt := time.Duration(0)
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		for now := time.Duration(0); now < 6*lease; now += 50 * time.Millisecond {
			if rapid.Bool().Draw(t, "accepts") {
				i := rapid.IntRange(0, n-1).Draw(t, "by")
				vms[i].table.Merge(fence)
				accepted[i] = true
			}
			for i := range vms {
				for j := range vms {
					if i != j && vms[i].reaches[j] && rapid.Bool().Draw(t, "renews") {
						state, _ := vms[j].table.State()
						vms[i].table.Merge(state)
						vms[i].table.RecordState(names[j], true, now)
					}
				}
			}
			if majorityAt == 0 && len(accepted) >= Majority(n) {
				majorityAt = now + 1
			}
			ordered := len(accepted) == n || majorityAt > 0 && now-majorityAt > WaitForLeases(lease)
			for i := range vms {
				if ordered && vms[i].table.Check("g", "old", now) == Allowed {
					t.Fatalf("VM %d may use the former primary at %v, a majority accepted at %v", i, now, majorityAt)
				}
			}
		}
	})
}
