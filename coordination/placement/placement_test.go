package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

func newView(dataCentres, vmsEach int) *View {
	v := &View{Self: "vm-0-0", Members: dataCentres * vmsEach}
	for z := range dataCentres {
		for n := range vmsEach {
			v.VMs = append(v.VMs, VM{Name: fmt.Sprintf("vm-%d-%d", z, n), DataCentre: fmt.Sprintf("z%d", z), Weight: 1, Alive: true})
		}
	}
	return v
}

// Guards against choosing a connection owner outside the server's data centre
// while one inside is eligible, and against choosing a VM that cannot run the
// statement.
func TestConnectionOwner(t *testing.T) {
	v := newView(3, 2)
	s := &catalog.Server{ID: "s", DataCentre: "z1"}
	first, ok := v.ConnectionOwner("c", s, 0)
	if !ok || first != "vm-1-0" && first != "vm-1-1" {
		t.Fatalf("connection owner %s", first)
	}
	vm := v.vm(first)
	vm.Unreachable = map[string]bool{"s": true}
	second, _ := v.ConnectionOwner("c", s, 0)
	if second == first || second != "vm-1-0" && second != "vm-1-1" {
		t.Errorf("connection owner %s, want the other VM of the data centre", second)
	}
	v.vm(second).Leaving = true
	third, ok := v.ConnectionOwner("c", s, 0)
	if !ok || third == first || third == second {
		t.Errorf("connection owner %s, want one in another data centre", third)
	}
	for i := range v.VMs {
		v.VMs[i].Alive = false
	}
	if vm, ok := v.ConnectionOwner("c", s, 0); ok {
		t.Errorf("connection owner %s although no VM is alive", vm)
	}
}

// Guards against connections to a server that are divided over so many VMs that each has
// one or two for several customers, and against a choice that moves the customers of
// other owners when one is lost.
func TestFewConnectionOwners(t *testing.T) {
	config := &catalog.Config{Groups: []catalog.Group{{Name: "g", MaxConnections: 36}}}
	for i := range 80 {
		config.Customers = append(config.Customers, catalog.Customer{Name: fmt.Sprint(i), Rate: 10})
	}
	config.Index()
	s := &catalog.Server{ID: "s", Group: "g", DataCentre: "z0"}
	v := newView(1, 25)
	owners := func() map[string]string {
		byCustomer := make(map[string]string)
		for i := range config.Customers {
			byCustomer[config.Customers[i].Name], _ = v.ConnectionOwner(config.Customers[i].Name, s, MaxConnectionOwners(config, "g"))
		}
		return byCustomer
	}
	before := owners()
	count := make(map[string]int)
	for _, vm := range before {
		count[vm]++
	}
	if len(count) != 33/connectionsPerOwner {
		t.Errorf("%d owners of 33 connections", len(count))
	}
	// Requests for loans to other VMs would be in vain.
	listed := v.ConnectionOwners(s, MaxConnectionOwners(config, "g"))
	for _, vm := range listed {
		if count[vm] == 0 {
			t.Errorf("%s is listed as an owner but holds no connections", vm)
		}
	}
	if len(listed) != len(count) {
		t.Errorf("listed owners %v, used %v", listed, count)
	}
	lost := before["0"]
	v.vm(lost).Alive = false
	moved := 0
	for customer, vm := range owners() {
		if before[customer] != lost && vm != before[customer] {
			moved++
		}
	}
	// The VM that takes the place of the lost one takes customers from the others too.
	if moved > len(config.Customers)/3 {
		t.Errorf("%d customers of other owners moved", moved)
	}
	config.Groups[0].MaxConnections = 120
	if n := MaxConnectionOwners(config, "g"); n != 0 {
		t.Errorf("%d owners where each customer has a connection, want all VMs", n)
	}
}

// Guards against reassigning the keys of other VMs when one VM leaves, and against
// ignoring the weights.
func TestLostVMMovesOnlyItsOwnKeys(t *testing.T) {
	v := newView(1, 5)
	v.VMs[0].Weight = 3
	count := make(map[string]int)
	before := make(map[string]string)
	for i := range 700 {
		key := fmt.Sprint("customer-", i)
		before[key] = v.QuotaCoordinators(key)[0]
		count[before[key]]++
	}
	if n := count["vm-0-0"]; n < 230 || n > 370 {
		t.Errorf("a VM of weight 3 of 7 has %d of 700 keys", n)
	}
	v.VMs[4].Alive = false
	for key, coordinator := range before {
		if now := v.QuotaCoordinators(key)[0]; now != coordinator && coordinator != "vm-0-4" {
			t.Errorf("%s moved from %s to %s", key, coordinator, now)
		}
	}
}

// Guards against losing both partitions of a limit with one data centre, and
// against moving the other partition when one is lost.
func TestQuotaCoordinatorsAreInTwoDataCentres(t *testing.T) {
	v := newView(3, 2)
	dc := func(name string) string { return v.vm(name).DataCentre }
	for i := range 50 {
		key := fmt.Sprint("customer-", i)
		before := v.QuotaCoordinators(key)
		if dc(before[0]) == dc(before[1]) {
			t.Fatalf("%s: both quota coordinators are in %s", key, dc(before[0]))
		}
		for lost := range before {
			for j := range v.VMs {
				v.VMs[j].Alive = v.VMs[j].DataCentre != dc(before[lost])
			}
			after := v.QuotaCoordinators(key)
			if after[1-lost] != before[1-lost] || dc(after[0]) == dc(after[1]) || dc(after[lost]) == dc(before[lost]) {
				t.Errorf("%s: quota coordinators %v after %s was lost, before %v", key, after, dc(before[lost]), before)
			}
		}
		for j := range v.VMs {
			v.VMs[j].Alive = v.VMs[j].DataCentre == dc(before[0])
		}
		if after := v.QuotaCoordinators(key); dc(after[0]) != dc(before[0]) || dc(after[1]) != dc(before[0]) {
			t.Errorf("%s: quota coordinators %v although only %s is alive", key, after, dc(before[0]))
		}
		for j := range v.VMs {
			v.VMs[j].Alive = true
		}
	}
}

// Guards against a kind of objects without a watcher, and against both sides of a
// partition considering themselves the majority.
func TestWatchersAndIsolation(t *testing.T) {
	for _, lost := range []bool{false, true} { // whether no VM can reach the store
		watching := 0
		for _, vm := range newView(3, 2).VMs {
			v := newView(3, 2)
			v.Self = vm.Name
			for i := range v.VMs {
				v.VMs[i].StoreCutOff = lost
			}
			if v.Watches("kind") {
				watching++
			}
		}
		if watching != watchersPerKind {
			t.Errorf("%d VMs watch, want %d (store lost: %v)", watching, watchersPerKind, lost)
		}
	}
	v := newView(3, 2)
	for i := 2; i < 6; i++ {
		v.VMs[i].Alive = false
	}
	if !v.InMinority() {
		t.Error("two of six VMs are not in the minority")
	}
	v.VMs[2].Alive, v.VMs[3].Alive = true, true
	if v.InMinority() {
		t.Error("four of six VMs are in the minority")
	}
}

// formerLimit is the number of connections that each customer had to a server before owners
// got shares.
func formerLimit(c *catalog.Config, customer string, maxConnections int) int {
	available := maxConnections - 3
	if len(c.Customers) > available {
		available -= 7
	}
	if c.RateRank(customer) >= available {
		return 1
	}
	free := available - min(len(c.Customers), available)
	return 1 + int(float64(free)*c.RateShare(customer))
}

// Guards against owners whose shares add up to more than a server accepts, against an owner
// without a share, and against customers with fewer connections than formerly where there
// are enough for all.
func TestPlanConnections(t *testing.T) {
	for _, tt := range []struct{ customers, max, vms int }{
		{8, 21, 2}, {80, 50, 6}, {80, 120, 6}, {80, 120, 40}, {72, 59, 20}, {72, 59, 1}, {3, 4, 2}, {1, 1, 3},
	} {
		c := &catalog.Config{Groups: []catalog.Group{{Name: "g", MaxConnections: tt.max}}}
		for i := range tt.customers {
			c.Customers = append(c.Customers, catalog.Customer{Name: fmt.Sprint(i), Rate: 400 / math.Pow(float64(i+1), 1.2)})
		}
		c.Index()
		v := newView(1, tt.vms)
		s := &catalog.Server{ID: "s", Group: "g", DataCentre: "z0"}
		sum, owners := 0, 0
		for _, vm := range v.VMs {
			own := *v
			own.Self = vm.Name
			p := PlanConnections(c, &own, s)
			if len(p.Customers) == 0 {
				continue
			}
			owners++
			sum += p.Share
			floors := 0
			for name, customer := range p.Customers {
				floors += customer.Floor
				if tt.customers <= tt.max-3 && customer.Floor < formerLimit(c, name, tt.max) {
					t.Errorf("%+v: customer %s has %d connections, formerly %d", tt, name, customer.Floor, formerLimit(c, name, tt.max))
				}
			}
			if p.Share < max(1, floors) {
				t.Errorf("%+v: %s has %d connections, its customers' floors are %d", tt, vm.Name, p.Share, floors)
			}
		}
		if reserve := min(3, tt.max/4); sum != max(owners, tt.max-reserve) {
			t.Errorf("%+v: %d owners have %d connections together", tt, owners, sum)
		}
	}
}

// Guards against a coordinator duty that returns to a VM which has just restarted.
func TestFailoverCoordinatorIsTheOldest(t *testing.T) {
	v := newView(3, 2)
	for i := range v.VMs {
		v.VMs[i].Incarnation = int64(10 + i)
	}
	if s := v.FailoverCoordinator(); s != "vm-0-0" {
		t.Errorf("failover coordinator %s", s)
	}
	v.VMs[0].Alive = false
	v.VMs[1].StoreCutOff = true
	if s := v.FailoverCoordinator(); s != "vm-1-0" {
		t.Errorf("failover coordinator %s", s)
	}
	v.VMs[0].Alive, v.VMs[0].Incarnation = true, 99
	if s := v.FailoverCoordinator(); s != "vm-1-0" {
		t.Errorf("failover coordinator %s after a VM was restarted", s)
	}
}
