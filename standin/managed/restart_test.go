package managed

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// ownerAndFront returns the VM that holds the customer's connections to the server, and
// a VM of another zone.
func ownerAndFront(t *testing.T, d *Deployment, customer string, s *Server) (owner, front *VM) {
	t.Helper()
	registered := &catalog.Server{ID: s.ID, Group: s.group.Name, DataCentre: s.Zone}
	name, ok := d.VM("vm-0-0").Node.View().ConnectionOwner(customer, registered)
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
// through the restarted VM.
func TestRestartedVMRunsNoOldTransactions(t *testing.T) {
	o := smallDeployment
	o.VMs, o.Groups = 1, 4 // the primaries of groups 0 and 3 are in one zone
	inDeployment(t, o, func(d *Deployment) {
		const clients = 4
		g := d.Groups[GroupName(0)]
		checker := NewChecker()
		owner, front := ownerAndFront(t, d, CustomerName(0), g.Primary())
		begin := func(name string, customer, group, n int) *Client {
			session := fmt.Sprintf("%s-%d-%d", name, group, n)
			checker.RecordSession(session, CustomerName(customer), GroupName(group))
			c := connect(t, front, session, Database(Latest, group), customer)
			mustDo(t, c, statement.Begin, "")
			mustDo(t, c, statement.Write, fmt.Sprintf("%s-%d first", name, n))
			return c
		}
		var early []*Client
		for n := range clients {
			early = append(early, begin("early", 0, 0, n))
		}
		owner.Kill()
		d.StartVM(owner.Name, owner.Zone)
		time.Sleep(1500 * time.Millisecond)
		// Transactions of another customer, and on the servers of another group.
		var late []*Client
		for n := range clients {
			late = append(late, begin("late", 1, 0, n), begin("other", 1, 3, n))
		}
		for n, c := range early {
			id, a := c.Do(statement.Write, fmt.Sprintf("early-%d second", n))
			if a.Code != statement.Aborted {
				t.Errorf("statement of a lost transaction: %s %s", a.Code, a.Text)
			}
			_, a = c.Do(statement.Commit, "")
			if a.Code == statement.OK {
				t.Error("COMMIT of a lost transaction succeeded")
			}
			if g.Commits(id) > 0 {
				t.Errorf("%s was committed in another client's transaction", id)
			}
		}
		for _, c := range late {
			if _, a := c.Do(statement.Commit, ""); a.Code != statement.OK {
				t.Errorf("COMMIT of a client that was not involved: %s %s", a.Code, a.Text)
			}
		}
		for _, v := range checker.Violations(d.Groups) {
			t.Error(v)
		}
	})
}
