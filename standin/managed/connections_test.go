package managed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// manyCustomers has four connection owners in one zone, with shares of about six
// connections to a server, and more customers than connections.
func manyCustomers() Options {
	o := smallDeployment
	o.Zones, o.VMs, o.Groups, o.Customers, o.MaxConns = 1, 4, 1, 40, 27
	return o
}

// beginAll begins transactions of the customer in n sessions and returns those whose
// first statement ran within a second.
func beginAll(t *testing.T, d *Deployment, customer, n int) (open []*Client) {
	t.Helper()
	return beginEach(connectAll(t, d, customer, n))
}

// connectAll connects n sessions of the customer, through all VMs in turn.
func connectAll(t *testing.T, d *Deployment, customer, n int) (sessions []*Client) {
	t.Helper()
	for i := range n {
		sessions = append(sessions, connect(t, d.VM(fmt.Sprintf("vm-0-%d", i%d.Options.VMs)), fmt.Sprintf("s-%d-%d", customer, i), Database(Latest, 0), customer))
	}
	return sessions
}

// beginEach begins a transaction in each session and returns those whose first statement
// ran.
func beginEach(sessions []*Client) (open []*Client) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, c := range sessions {
		running.Go(func() {
			if _, a := c.Do(statement.Begin, ""); a.Code != statement.OK {
				return
			}
			if _, a := c.Do(statement.Write, fmt.Sprintf("x-%d 1", i)); a.Code == statement.OK {
				mu.Lock()
				defer mu.Unlock()
				open = append(open, c)
			}
		})
	}
	running.Wait()
	return open
}

// Guards against a customer that waits for the connections of its owner while those of other
// owners are idle, and against loans with which VMs open more connections than a server
// accepts, also when an owner is killed.
func TestOwnersLendConnections(t *testing.T) {
	inDeployment(t, manyCustomers(), func(d *Deployment) {
		time.Sleep(5 * time.Second) // until loans of a previous process would have ended
		g := d.Groups[GroupName(0)]
		const wanted = 11
		open := beginAll(t, d, 0, wanted)
		if len(open) != wanted {
			t.Errorf("%d of %d transactions of one customer are open", len(open), wanted)
		}
		// The loans are renewed while the transactions are open.
		time.Sleep(1500 * time.Millisecond)
		for _, c := range open {
			if _, a := c.Do(statement.Commit, ""); a.Code != statement.OK {
				t.Errorf("COMMIT: %s %s", a.Code, a.Text)
			}
		}
		owner, _ := d.VM("vm-0-0").Node.View().ConnectionOwner(CustomerName(0), &catalog.Server{ID: g.Primary().ID, Group: g.Name, DataCentre: zoneName(0)}, placement.MaxConnectionOwners(&d.config, g.Name))
		d.VM(owner).Kill()
		d.StartVM(owner, zoneName(0))
		time.Sleep(2 * time.Second)
		for customer := range 8 {
			for _, c := range beginAll(t, d, customer, 2) {
				c.Do(statement.Commit, "")
			}
		}
		if n := g.ConnectionsRefused(); n > 0 {
			t.Errorf("the server refused %d connections", n)
		}
	})
}

// demand runs operations of customers whose parts of the load fall as 1/rank^1.2, while the
// configuration has the same rate for all, and counts their outcomes.
type demand struct {
	d         *Deployment
	mu        sync.Mutex // guards the fields below
	asked     int
	unserved  int
	idle      map[int][]*Client // by customer
	sessions  int
	operating sync.WaitGroup
}

// client returns a session of the customer that runs no operation.
func (l *demand) client(t *testing.T, customer int) *Client {
	l.mu.Lock()
	if idle := l.idle[customer]; len(idle) > 0 {
		defer l.mu.Unlock()
		l.idle[customer] = idle[1:]
		return idle[0]
	}
	l.sessions++
	n := l.sessions
	l.mu.Unlock() // virtual time stands still while a goroutine waits for a mutex
	return connect(t, l.d.VM(fmt.Sprintf("vm-0-%d", n%l.d.Options.VMs)), fmt.Sprintf("d-%d", n), Database(Latest, 0), customer)
}

// operate runs a single statement or a transaction of the customer with pauses.
func (l *demand) operate(t *testing.T, customer, statements int) {
	c := l.client(t, customer)
	ok := true
	do := func(verb statement.Verb, payload string) {
		if ok {
			_, a := c.Do(verb, payload)
			ok = a.Code == statement.OK
		}
	}
	if statements > 1 {
		do(statement.Begin, "")
	}
	for range statements {
		do(statement.Write, fmt.Sprintf("x-%d 1", customer))
		if statements > 1 {
			time.Sleep(60 * time.Millisecond)
		}
	}
	if statements > 1 {
		do(statement.Commit, "")
		if !ok {
			// Otherwise the failed transaction fails all later operations of the session, and
			// one refusal counts more than 20 times.
			c.Do(statement.Rollback, "")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	if !ok {
		l.unserved++
	}
	l.idle[customer] = append(l.idle[customer], c)
}

// Guards against customers that are refused because their owner has a small share, while
// other owners have connections that nobody uses.
func TestUnevenDemandOfManyOwners(t *testing.T) {
	// Without loans, 2 and 10 of 2000 operations are not served, and without loans and with
	// 20 owners of the server, 102. The order of goroutines decides which lenders are asked
	// first, so the bounds leave room: up to 2 and 6 were not served in 80 runs.
	for vms, most := range map[int]int{6: 5, 20: 9} {
		o := manyCustomers()
		o.VMs, o.Customers, o.MaxConns = vms, 72, 59
		inDeployment(t, o, func(d *Deployment) {
			time.Sleep(5 * time.Second)
			g := d.Groups[GroupName(0)]
			g.Work = 25 * time.Millisecond
			l := &demand{d: d, idle: make(map[int][]*Client)}
			rng := rand.New(rand.NewPCG(1, 1))
			total := 0.0
			for i := range o.Customers {
				total += math.Pow(float64(i+1), -1.2)
			}
			const rate, seconds = 100.0, 20
			for range int(rate * seconds) {
				time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
				customer, part := 0, rng.Float64()*total
				for part -= 1; part > 0 && customer < o.Customers-1; customer++ {
					part -= math.Pow(float64(customer+2), -1.2)
				}
				statements := 1
				if rng.Float64() < 0.18 {
					statements = 2 + rng.IntN(11)
				}
				l.operating.Go(func() { l.operate(t, customer, statements) })
			}
			l.operating.Wait()
			t.Logf("%d VMs: %d of %d operations were not served, %d connections refused", vms, l.unserved, l.asked, g.ConnectionsRefused())
			if l.unserved > most || g.ConnectionsRefused() > 0 {
				t.Errorf("%d VMs: %d operations were not served, want at most %d; %d connections were refused", vms, l.unserved, most, g.ConnectionsRefused())
			}
		})
	}
}

// Guards against connections that two sides of a partition open beyond what the server
// accepts, and against customers that are not served after it, when an owner is cut off from
// the others while it has lent or borrowed connections.
func TestOwnerIsCutOffFromOthers(t *testing.T) {
	for _, period := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			inDeployment(t, manyCustomers(), func(d *Deployment) {
				time.Sleep(5 * time.Second)
				g := d.Groups[GroupName(0)]
				open := beginAll(t, d, 0, 11)
				var sessions []*Client
				for customer := 1; customer < 8; customer++ {
					sessions = append(sessions, connectAll(t, d, customer, 4)...)
				}
				owner, _ := d.VM("vm-0-0").Node.View().ConnectionOwner(CustomerName(0), &catalog.Server{ID: g.Primary().ID, Group: g.Name, DataCentre: zoneName(0)}, placement.MaxConnectionOwners(&d.config, g.Name))
				partition := d.Net.Partition(memnet.Hosts(owner), memnet.Hosts(otherHosts(d, owner)...))
				time.Sleep(period / 2)
				open = append(open, beginEach(sessions)...) // on both sides of the partition
				time.Sleep(period / 2)
				partition.Heal()
				for _, c := range open {
					c.Do(statement.Commit, "")
				}
				time.Sleep(3 * time.Second)
				for customer := range 8 {
					if open := beginAll(t, d, customer, 2); len(open) < 2 {
						t.Errorf("%d of 2 transactions of customer %d are open after the partition", len(open), customer)
					} else {
						for _, c := range open {
							c.Do(statement.Commit, "")
						}
					}
				}
				if n := g.ConnectionsRefused(); n > 0 {
					t.Errorf("the server refused %d connections", n)
				}
			})
		})
	}
}
