package placement

import (
	"fmt"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

func fleet(zones, each int) *View {
	v := &View{Self: "vm-0-0", Members: zones * each}
	for z := range zones {
		for n := range each {
			v.VMs = append(v.VMs, VM{Name: fmt.Sprintf("vm-%d-%d", z, n), DataCentre: fmt.Sprintf("z%d", z), Weight: 1, Alive: true})
		}
	}
	return v
}

// Guards against executors outside of the server's data centre, and against
// statements that are sent to VMs that cannot run them.
func TestExecutor(t *testing.T) {
	v := fleet(3, 2)
	s := &catalog.Server{ID: "s", DataCentre: "z1"}
	first, ok := v.Executor("c", s)
	if !ok || first != "vm-1-0" && first != "vm-1-1" {
		t.Fatalf("executor %s", first)
	}
	vm := v.vm(first)
	vm.Unreachable = map[string]bool{"s": true}
	second, _ := v.Executor("c", s)
	if second == first || second != "vm-1-0" && second != "vm-1-1" {
		t.Errorf("executor %s, want the other VM of the data centre", second)
	}
	v.vm(second).Leaving = true
	third, ok := v.Executor("c", s)
	if !ok || third == first || third == second {
		t.Errorf("executor %s, want one elsewhere", third)
	}
	for i := range v.VMs {
		v.VMs[i].Alive = false
	}
	if vm, ok := v.Executor("c", s); ok {
		t.Errorf("executor %s though no VM is heard of", vm)
	}
}

// Guards against keys that all move when one VM leaves, and against weights that
// are ignored.
func TestRendezvousMovesLittle(t *testing.T) {
	v := fleet(1, 5)
	v.VMs[0].Weight = 3
	count := make(map[string]int)
	before := make(map[string]string)
	for i := range 700 {
		key := fmt.Sprint("customer-", i)
		before[key] = v.Ledgers(key)[0]
		count[before[key]]++
	}
	if n := count["vm-0-0"]; n < 230 || n > 370 {
		t.Errorf("a VM of weight 3 of 7 has %d of 700 keys", n)
	}
	v.VMs[4].Alive = false
	for key, ledger := range before {
		if now := v.Ledgers(key)[0]; now != ledger && ledger != "vm-0-4" {
			t.Errorf("%s moved from %s to %s", key, ledger, now)
		}
	}
}

// Guards against a data centre that takes both halves of a limit with it, and
// against the other half moving when one is lost.
func TestLedgersAreInTwoDataCentres(t *testing.T) {
	v := fleet(3, 2)
	dc := func(name string) string { return v.vm(name).DataCentre }
	for i := range 50 {
		key := fmt.Sprint("customer-", i)
		before := v.Ledgers(key)
		if dc(before[0]) == dc(before[1]) {
			t.Fatalf("%s: both ledgers are in %s", key, dc(before[0]))
		}
		for lost := range before {
			for j := range v.VMs {
				v.VMs[j].Alive = v.VMs[j].DataCentre != dc(before[lost])
			}
			after := v.Ledgers(key)
			if after[1-lost] != before[1-lost] || dc(after[0]) == dc(after[1]) || dc(after[lost]) == dc(before[lost]) {
				t.Errorf("%s: ledgers %v after %s was lost, before %v", key, after, dc(before[lost]), before)
			}
		}
		for j := range v.VMs {
			v.VMs[j].Alive = v.VMs[j].DataCentre == dc(before[0])
		}
		if after := v.Ledgers(key); dc(after[0]) != dc(before[0]) || dc(after[1]) != dc(before[0]) {
			t.Errorf("%s: ledgers %v although only %s is heard", key, after, dc(before[0]))
		}
		for j := range v.VMs {
			v.VMs[j].Alive = true
		}
	}
}

// Guards against a part of the fleet without a watcher, and against both sides
// of a partition taking themselves for the larger one.
func TestWatchersAndIsolation(t *testing.T) {
	for _, lost := range []bool{false, true} { // the store answers nobody
		watching := 0
		for _, vm := range fleet(3, 2).VMs {
			v := fleet(3, 2)
			v.Self = vm.Name
			for i := range v.VMs {
				v.VMs[i].StoreCutOff = lost
			}
			if v.Watches("kind") {
				watching++
			}
		}
		if watching != watchers {
			t.Errorf("%d VMs watch, want %d (store lost: %v)", watching, watchers, lost)
		}
	}
	v := fleet(3, 2)
	for i := 2; i < 6; i++ {
		v.VMs[i].Alive = false
	}
	if !v.Isolated() {
		t.Error("two of six VMs are not isolated")
	}
	v.VMs[2].Alive, v.VMs[3].Alive = true, true
	if v.Isolated() {
		t.Error("four of six VMs are isolated")
	}
}

// Guards against customers that have more connections together than a server
// takes, and against large customers without one of their own.
func TestPlanConnections(t *testing.T) {
	for _, tt := range []struct{ customers, max int }{{8, 21}, {80, 50}, {3, 4}, {1, 1}} {
		c := &catalog.Config{Groups: []catalog.Group{{Name: "g", MaxConnections: tt.max}}}
		for i := range tt.customers {
			c.Customers = append(c.Customers, catalog.Customer{Name: fmt.Sprint(i), Rate: float64(1000 / (i + 1))})
		}
		c.Index()
		permanent := 0
		for i := range tt.customers {
			p := PlanConnections(c, fmt.Sprint(i), "g")
			if p.Limit < 1 {
				t.Errorf("customer %d of %d has no connection", i, tt.customers)
			}
			if p.Permanent {
				permanent += p.Limit
			}
		}
		if permanent > tt.max {
			t.Errorf("%d customers keep %d connections of %d", tt.customers, permanent, tt.max)
		}
	}
}

// Guards against a duty that returns to a VM which was just killed.
func TestStewardIsTheOldest(t *testing.T) {
	v := fleet(3, 2)
	for i := range v.VMs {
		v.VMs[i].Incarnation = int64(10 + i)
	}
	if s := v.Steward(); s != "vm-0-0" {
		t.Errorf("steward %s", s)
	}
	v.VMs[0].Alive = false
	v.VMs[1].StoreCutOff = true
	if s := v.Steward(); s != "vm-1-0" {
		t.Errorf("steward %s", s)
	}
	v.VMs[0].Alive, v.VMs[0].Incarnation = true, 99
	if s := v.Steward(); s != "vm-1-0" {
		t.Errorf("steward %s after a VM started again", s)
	}
}
