package managed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// ownerAndFront returns the VM that holds the customer's connections to the server, and
// a VM of another zone.
func ownerAndFront(t *testing.T, d *Deployment, customer string, s *Server) (owner, front *VM) {
	t.Helper()
	registered := &catalog.Server{ID: s.ID, Group: s.group.Name, DataCentre: s.Zone}
	name, ok := d.VM("vm-0-0").Node.View().ConnectionOwner(customer, registered, placement.MaxConnectionOwners(&d.config, registered.Group))
	if !ok {
		t.Fatalf("no VM holds the connections of %s to %s", customer, s.ID)
	}
	owner = d.VM(name)
	for _, vm := range d.VMs {
		if vm.Zone != owner.Zone {
			return owner, vm
		}
	}
	t.Fatal("all VMs are in one zone")
	return nil, nil
}

// Guards against a session whose transaction was lost with the VM that held its
// connection, and whose next statements run in a transaction that another client opened
// through the restarted VM. If it is a client of the same customer on the same server,
// only the ID of the transaction tells the two apart.
func TestRestartedVMRunsNoOldTransactions(t *testing.T) {
	type clientsOf struct{ customer, group int }
	for name, late := range map[string][]clientsOf{
		"another customer or group":    {{1, 0}, {1, 3}},
		"the same customer and server": {{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			o := smallDeployment
			o.VMs, o.Groups = 1, 4 // the primaries of groups 0 and 3 are in one zone
			inDeployment(t, o, func(d *Deployment) {
				owner, front := ownerAndFront(t, d, CustomerName(0), d.Groups[GroupName(0)].Primary())
				checker := NewChecker()
				const clients = 4
				// begin opens the transactions of clients.
				begin := func(name string, of clientsOf) (open []*Client) {
					for n := range clients {
						session := fmt.Sprintf("%s-%d-%d", name, of.group, n)
						checker.RecordSession(session, CustomerName(of.customer), GroupName(of.group))
						c := connect(t, front, session, Database(Latest, of.group), of.customer)
						mustDo(t, c, statement.Begin, "")
						mustDo(t, c, statement.Write, session+" first")
						open = append(open, c)
					}
					return open
				}
				lost := begin("early", clientsOf{0, 0})
				owner.Kill()
				d.StartVM(owner.Name, owner.Zone)
				time.Sleep(1500 * time.Millisecond)
				var others []*Client
				for _, of := range late {
					others = append(others, begin("late", of)...)
				}
				checkLostTransactions(t, d.Groups[GroupName(0)], lost)
				for _, c := range others {
					if _, a := c.Do(statement.Commit, ""); a.Code != statement.OK {
						t.Errorf("COMMIT of a client that was not involved: %s %s", a.Code, a.Text)
					}
				}
				for _, v := range checker.Violations(d.Groups) {
					t.Error(v)
				}
			})
		})
	}
}

// checkLostTransactions fails the test if a statement or a COMMIT of transactions that were
// lost with their VM has an effect.
func checkLostTransactions(t *testing.T, g *Group, clients []*Client) {
	t.Helper()
	for _, c := range clients {
		id, a := c.Do(statement.Write, c.name+" second")
		if a.Code != statement.Aborted {
			t.Errorf("statement of a lost transaction: %s %s", a.Code, a.Text)
		}
		if _, a = c.Do(statement.Commit, ""); a.Code == statement.OK {
			t.Error("COMMIT of a lost transaction succeeded")
		}
		if g.Commits(id) > 0 {
			t.Errorf("%s was committed in another client's transaction", id)
		}
	}
}

// pipeline keeps two writes without an answer open on a session until the connection
// ends. It returns the IDs of the writes and how many of them were answered.
func pipeline(c *Client) (ids []string, answered int) {
	for {
		for len(ids) < answered+2 {
			id := fmt.Sprintf("%s/%d", c.name, len(ids))
			ids = append(ids, id)
			// If the request cannot be sent, no answer to it can be read.
			_, _ = c.conn.Write(appendJSON(nil, statement.Request{ID: id, Verb: statement.Write, Payload: c.name + " x"}))
		}
		var a statement.Answer
		if readJSON(c.r, &a) != nil {
			return ids, answered
		}
		answered++
	}
}

// Guards against a VM that is stopped and goes on reading requests of clients that send
// them without waiting for answers, and exits while the last ones run.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		g := d.Groups[GroupName(0)]
		vm := d.VM("vm-1-0")
		var clients sync.WaitGroup
		for n := range 6 {
			c := connect(t, vm, fmt.Sprintf("batch-%d", n), Database(Latest, 0), n%smallDeployment.Customers)
			clients.Go(func() {
				ids, answered := pipeline(c)
				if answered == 0 {
					t.Error("nothing was answered")
				}
				for _, id := range ids[answered:] {
					if g.Commits(id) > 0 {
						t.Errorf("%s was committed without an answer", id)
					}
				}
			})
		}
		time.Sleep(time.Second)
		stopping := time.Now()
		vm.Terminate()
		if took := time.Since(stopping); took > 4*time.Second {
			t.Errorf("the VM took %v to end, although its clients run only short requests", took)
		}
		clients.Wait()
	})
}

// Guards against a session that hangs until the process ends because its reader was
// stopped just before it began a transaction: the rest of that is never read.
func TestStopEndsTransactionOfStoppedReader(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		vm := d.VM("vm-1-0")
		c := connect(t, vm, "tx", Database(Latest, 0), 0)
		var client sync.WaitGroup
		client.Go(func() {
			for {
				// BEGIN is sent with the write before it.
				requests := appendJSON(nil, statement.Request{ID: "tx/1", Verb: statement.Write, Payload: "a x"})
				requests = appendJSON(requests, statement.Request{ID: "tx/2", Verb: statement.Begin})
				if _, err := c.conn.Write(requests); err != nil {
					return
				}
				for range 2 {
					var a statement.Answer
					if readJSON(c.r, &a) != nil {
						return
					}
				}
				if _, a := c.Do(statement.Rollback, ""); a.Code != statement.OK {
					return
				}
			}
		})
		time.Sleep(time.Second)
		stopping := time.Now()
		vm.Terminate()
		if took := time.Since(stopping); took > 4*time.Second {
			t.Errorf("the VM took %v to end", took)
		}
		client.Wait()
	})
}
