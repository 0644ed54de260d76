package managed

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// withdrawals are changes of the configuration that end the access of customer 0 to group
// 0, and the code with which its clients are refused.
var withdrawals = map[string]struct {
	change func(*catalog.Config)
	code   statement.Code // outside of transactions, except for a moved key
	inTx   statement.Code
}{
	"key withdrawn": {
		func(c *catalog.Config) { c.Customers[0].Keys = nil }, statement.AccessDenied, statement.AccessDenied,
	},
	"key moved to another customer": {
		func(c *catalog.Config) {
			c.Customers[1].Keys = append(slices.Clone(c.Customers[1].Keys), c.Customers[0].Keys...)
			c.Customers[0].Keys = nil
		}, statement.OK, statement.Aborted,
	},
	"customer removed": {
		func(c *catalog.Config) { c.Customers = c.Customers[1:] }, statement.AccessDenied, statement.AccessDenied,
	},
	"route removed": {
		func(c *catalog.Config) {
			c.Routes = slices.DeleteFunc(c.Routes, func(r catalog.Route) bool { return r.Database == Database(Latest, 0) })
		}, statement.UnknownDatabase, statement.UnknownDatabase,
	},
}

// beginWrite begins a transaction and writes in it.
func beginWrite(t *testing.T, c *Client) {
	t.Helper()
	mustDo(t, c, statement.Begin, "")
	mustDo(t, c, statement.Write, c.name+" 1")
}

// checkRunsOf fails the test if a server executed a statement of a client whose ID is in
// ids.
func checkRunsOf(t *testing.T, d *Deployment, ids []string) {
	t.Helper()
	for _, g := range d.Groups {
		for _, r := range g.Runs() {
			if slices.Contains(ids, r.ID) {
				t.Errorf("%s ran at %s for %s", r.ID, r.Server, r.Customer)
			}
		}
	}
}

// Guards against a client that goes on in an open transaction after its key, customer or
// route was taken away.
func TestWithdrawnAccessEndsOpenTransactions(t *testing.T) {
	for name, w := range withdrawals {
		for _, verb := range []statement.Verb{statement.Read, statement.Write, statement.Commit} {
			t.Run(fmt.Sprintf("%s/%d", name, verb), func(t *testing.T) {
				inDeployment(t, smallDeployment, func(d *Deployment) {
					var clients []*Client
					for _, vm := range d.VMs {
						c := connect(t, vm, "open-"+vm.Name, Database(Latest, 0), 0)
						beginWrite(t, c)
						clients = append(clients, c)
					}
					d.Configure(w.change)
					time.Sleep(configWithin - 100*time.Millisecond) // idle transactions end after three seconds
					var refused []string
					for _, c := range clients {
						id, a := c.Do(verb, c.name+" 2")
						refused = append(refused, id)
						if a.Code != w.inTx {
							t.Errorf("%s: answered %s, want %s", c.name, a.Code, w.inTx)
						}
						if verb != statement.Commit {
							mustDo(t, c, statement.Rollback, "")
						}
						id, a = c.Do(statement.Write, c.name+" 3")
						if a.Code != w.code {
							t.Errorf("%s: a write after the transaction is answered %s, want %s", c.name, a.Code, w.code)
						}
						if w.code != statement.OK {
							refused = append(refused, id)
						}
					}
					checkRunsOf(t, d, refused)
					time.Sleep(time.Second)
					if n := len(d.Groups[GroupName(0)].CommitsOf(CustomerName(0))); n > 0 {
						t.Errorf("%d writes of the customer were committed", n)
					}
					if n := d.Groups[GroupName(0)].OpenTransactions(); n > 0 {
						t.Errorf("%d transactions are still open", n)
					}
				})
			})
		}
	}
}

// Guards against a change of a route's properties or of another customer that interrupts an
// open transaction.
func TestOtherChangesKeepOpenTransactions(t *testing.T) {
	inDeployment(t, smallDeployment, func(d *Deployment) {
		c := connect(t, d.VM("vm-1-0"), "open", Database(Latest, 0), 0)
		beginWrite(t, c)
		d.Configure(func(config *catalog.Config) {
			for i := range config.Routes {
				config.Routes[i].Timeout *= 2
				config.Routes[i].Group = GroupName(1)
			}
			config.Customers[0].Rate /= 2
			config.Customers[0].Keys = append(slices.Clone(config.Customers[0].Keys), sha256.Sum256([]byte("another")))
			config.Customers[1].Keys = nil
			config.Customers = config.Customers[:2]
		})
		time.Sleep(configWithin - 100*time.Millisecond)
		id, _ := c.Do(statement.Write, "open 2")
		mustDo(t, c, statement.Commit, "")
		if n := d.Groups[GroupName(0)].Commits(id); n != 1 {
			t.Errorf("the write is committed %d times", n)
		}
	})
}

// Guards against a false answer to a COMMIT that was sent to the server before the key was
// withdrawn: the client is told its outcome, whatever that is.
func TestCommitUnderWayIsAnsweredAfterKeyIsWithdrawn(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose bool // the server's answer
		want statement.Code
	}{{"answered", false, statement.OK}, {"answer lost", true, statement.InDoubt}} {
		t.Run(tt.name, func(t *testing.T) {
			inDeployment(t, smallDeployment, func(d *Deployment) {
				g := d.Groups[GroupName(0)]
				c := connect(t, d.VM("vm-1-0"), "open", Database(Latest, 0), 0)
				beginWrite(t, c)
				write := fmt.Sprintf("%s/%d", c.name, c.last)
				g.Primary().SetExtraWork(700 * time.Millisecond)
				if tt.lose {
					g.Primary().LoseAnswers(1)
				}
				time.AfterFunc(100*time.Millisecond, func() { d.Configure(withdrawals["key withdrawn"].change) })
				if _, a := c.Do(statement.Commit, ""); a.Code != tt.want || a.State != statement.Idle {
					t.Errorf("COMMIT is answered %s in state %d, want %s", a.Code, a.State, tt.want)
				}
				if n := g.Commits(write); n != 1 {
					t.Errorf("the write is committed %d times", n)
				}
				if _, a := c.Do(statement.Begin, ""); a.Code != statement.AccessDenied {
					t.Errorf("BEGIN after it: %s", a.Code)
				}
			})
		})
	}
}

// send sends requests without waiting for answers, and returns their IDs.
func (c *Client) send(t *testing.T, requests ...statement.Request) []string {
	t.Helper()
	var ids []string
	var b []byte
	for _, r := range requests {
		c.last++
		r.ID = fmt.Sprintf("%s/%d", c.name, c.last)
		ids = append(ids, r.ID)
		b = appendJSON(b, r)
	}
	if _, err := c.conn.Write(b); err != nil {
		t.Fatal(err)
	}
	return ids
}

// receive returns the codes of the answers that arrive until there are n, the connection
// ends or nothing is received for 20 s.
func (c *Client) receive(n int) []statement.Code {
	if c.conn.SetReadDeadline(time.Now().Add(20*time.Second)) != nil {
		return nil
	}
	var codes []statement.Code
	for range n {
		var a statement.Answer
		if readJSON(c.r, &a) != nil {
			break
		}
		codes = append(codes, a.Code)
	}
	return codes
}

// Guards against a session that is closed when a request is refused, while requests after
// it have been read and get no answer.
func TestRefusedSessionAnswersQueuedRequests(t *testing.T) {
	for _, name := range []string{"key withdrawn", "customer removed", "route removed"} {
		w := withdrawals[name]
		write := statement.Request{Verb: statement.Write, Payload: "a x"}
		for kind, queued := range map[string][]statement.Request{
			"single":      {write, write, write},
			"transaction": {{Verb: statement.Begin}, write, {Verb: statement.Commit}, {Verb: statement.Begin}, write, {Verb: statement.Commit}},
			"values":      {{Verb: statement.Set, Name: "v", Payload: "1"}, {Verb: statement.Prepare, Name: "p", Payload: "q"}, {Verb: statement.Rollback}},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				inDeployment(t, smallDeployment, func(d *Deployment) {
					g := d.Groups[GroupName(0)]
					c := connect(t, d.VM("vm-1-0"), "batch", Database(Latest, 0), 0)
					mustDo(t, c, statement.Write, "a x")
					g.Primary().SetExtraWork(700 * time.Millisecond)
					first := c.send(t, write)
					ids := c.send(t, queued...)
					time.Sleep(100 * time.Millisecond)
					d.Configure(w.change)
					codes := c.receive(len(queued) + 2)
					if len(codes) != len(queued)+1 || codes[0] != statement.OK {
						t.Fatalf("answers to %d requests: %v", len(queued)+1, codes)
					}
					for i, code := range codes[1:] {
						if code != w.code && queued[i].Verb != statement.Rollback {
							t.Errorf("%s is answered %s, want %s", ids[i], code, w.code)
						}
					}
					if g.Commits(first[0]) != 1 {
						t.Error("the write under way was not committed")
					}
					checkRunsOf(t, d, ids)
				})
			})
		}
	}
}

// Guards against a statement that waits for a primary while its client's access is taken
// away, and runs then.
func TestWaitingStatementIsRefusedAfterAccessIsWithdrawn(t *testing.T) {
	for name, w := range withdrawals {
		for _, inTx := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/in transaction %v", name, inTx), func(t *testing.T) {
				inDeployment(t, smallDeployment, func(d *Deployment) {
					g := d.Groups[GroupName(0)]
					d.Configure(func(c *catalog.Config) {
						for i := range c.Routes {
							c.Routes[i].Timeout = 30 * time.Second // of which a statement may wait for six
						}
					})
					time.Sleep(configWithin)
					c := connect(t, d.VM("vm-1-0"), "waits", Database(Latest, 0), 0)
					mustDo(t, c, statement.Write, "a 1")
					g.Primary().Crash()
					time.Sleep(50 * time.Millisecond)
					requests := []statement.Request{{Verb: statement.Write, Payload: "a 2"}}
					if inTx {
						requests = []statement.Request{{Verb: statement.Begin}, requests[0], {Verb: statement.Rollback}}
					}
					ids := c.send(t, requests...)
					time.Sleep(50 * time.Millisecond)
					d.Configure(w.change)
					codes := c.receive(len(ids))
					if len(codes) != len(ids) {
						t.Fatalf("answers: %v", codes)
					}
					write := len(ids) / 2
					if codes[write] != w.inTx {
						t.Errorf("the write is answered %s, want %s", codes[write], w.inTx)
					}
					time.Sleep(2 * time.Second)
					checkRunsOf(t, d, ids[write:write+1])
				})
			})
		}
	}
}
