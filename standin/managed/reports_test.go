package managed

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// Tests of what operators of similar systems reported; docs/failures.md has the list.

// otherHosts returns the names of all VMs except one, and of all servers.
func otherHosts(d *Deployment, vm string) []string {
	var hosts []string
	for name := range d.VMs {
		if name != vm {
			hosts = append(hosts, name)
		}
	}
	for _, g := range d.Groups {
		for id := range g.servers {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// Guards against work that is started again, or given up for good, because the VM that
// runs it was silent for a while: the failover coordinator, and VMs that own connections.
// No primary may be replaced, no write run twice and no limit exceeded.
func TestSilentVMs(t *testing.T) {
	const servedAgainWithin = 3 * time.Second
	for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		for _, unfenced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v unfenced=%v", silence, unfenced), func(t *testing.T) {
				o := smallDeployment
				o.Unfenced = unfenced
				inDeployment(t, o, func(d *Deployment) {
					l := startLoad(t, d)
					time.Sleep(2 * time.Second)
					for _, vm := range []string{d.Store.DutyHolder(), "vm-0-1", "vm-1-1"} {
						d.Store.SetOutage(vm, Unresponsive)
						partition := d.Net.Partition(memnet.Hosts(vm), memnet.Hosts(otherHosts(d, vm)...))
						time.Sleep(silence)
						partition.Heal()
						d.Store.SetOutage(vm, Available)
						time.Sleep(servedAgainWithin)
						c := connect(t, d.VM(vm), "after-"+vm, Database(Latest, 0), 0)
						mustDo(t, c, statement.Write, "after-"+vm+" 1")
						c.Close()
					}
					l.finish()
					if orders := d.Store.Orders(); len(orders) > 0 {
						t.Errorf("primaries that worked were replaced: %+v", orders)
					}
				})
			})
		}
	}
}

// stopClient sends requests to a VM without a pause, transactions among them, until stop
// is closed or its session ends. It returns the number of answers, and the id of the
// request whose answer did not come, or "".
func stopClient(vm *VM, name string, index int, stop <-chan struct{}) (answers int, unanswered string) {
	c, _ := vm.Connect(name, Database(Latest, index%2), index%3)
	if c == nil {
		return 0, ""
	}
	defer c.Close()
	for n := 0; ; n++ {
		verbs := []statement.Verb{statement.Write}
		if n%3 == 0 {
			verbs = []statement.Verb{statement.Begin, statement.Read, statement.Write, statement.Commit}
		}
		for _, verb := range verbs {
			id, a := c.Do(verb, fmt.Sprintf("item-%s %d", name, n))
			if a.Code == statement.Lost {
				return answers, id
			}
			answers++
			if a.Code != statement.OK {
				c.Do(statement.Rollback, "")
				break
			}
		}
		select {
		case <-stop:
			return answers, ""
		default:
		}
	}
}

// Guards against requests that a VM has read and does not answer because it stops as
// planned under load: on the VM that took them, and on one that runs them for another.
func TestStopUnderLoad(t *testing.T) {
	const clients = 30
	var mu sync.Mutex // guards read
	read := make(map[string]bool)
	o := smallDeployment
	o.OnRequest = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		read[id] = true
	}
	inDeployment(t, o, func(d *Deployment) {
		for _, name := range []string{"vm-0-0", "vm-1-0", "vm-2-1"} {
			total := 0
			var running sync.WaitGroup
			stop := make(chan struct{})
			for i := range clients {
				vm := d.VM([]string{name, "vm-2-0"}[i%2])
				running.Go(func() {
					answers, unanswered := stopClient(vm, fmt.Sprintf("%s-%d", name, i), i, stop)
					mu.Lock()
					defer mu.Unlock()
					total += answers
					if unanswered != "" && read[unanswered] {
						t.Errorf("stop of %s: request %s was read and not answered", name, unanswered)
					}
				})
			}
			time.Sleep(time.Second)
			zone := d.VM(name).Zone
			d.VM(name).Terminate()
			close(stop)
			running.Wait()
			if total < 1000 {
				t.Errorf("only %d requests were answered around the stop of %s", total, name)
			}
			d.StartVM(name, zone)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against work that runs twice, or that is reported as not run, because the
// answer of the VM that runs it is lost at any moment of a transaction.
func TestLinkLostAtEachMoment(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		o := smallDeployment
		o.Unfenced = unfenced
		inDeployment(t, o, func(d *Deployment) {
			checker := NewChecker()
			g := d.Groups[GroupName(1)] // its primary is in zone 1
			for after := time.Duration(0); after < 60*time.Millisecond; after += 500 * time.Microsecond {
				c := connect(t, d.VM("vm-0-0"), fmt.Sprintf("c-%v", after), Database(Latest, 1), 0)
				broken := time.AfterFunc(after, func() { d.Net.Break(memnet.Hosts("vm-0-0"), memnet.Hosts("vm-1-0", "vm-1-1")) })
				value := int(after/(500*time.Microsecond)) * 2
				id, a := c.Do(statement.Write, fmt.Sprintf("single %d", value+1))
				checker.RecordWrite(g, "single", value+1, id, a.Code)
				if _, begin := c.Do(statement.Begin, ""); begin.Code == statement.OK {
					id, a = c.Do(statement.Write, fmt.Sprintf("tx %d", value+2))
					if a.Code == statement.OK {
						c.Do(statement.Read, "tx")
						_, a = c.Do(statement.Commit, "")
					}
					checker.RecordWrite(g, "tx", value+2, id, a.Code)
				}
				broken.Stop()
				c.Close()
				time.Sleep(500 * time.Millisecond)
			}
			for _, v := range checker.Violations(d.Groups) {
				t.Error(v)
			}
		})
	}
}

// Guards against a withdrawn key, a removed server or a data centre out of service that
// is in use again after VMs restart: one, those of a data centre, or all, with the store
// available, refusing some VMs, or down.
func TestRestartRevivesNothing(t *testing.T) {
	restarts := map[string][]string{
		"one": {"vm-1-0"}, "data centre": {"vm-1-0", "vm-1-1"}, "all": {"vm-0-0", "vm-0-1", "vm-1-0", "vm-1-1", "vm-2-0", "vm-2-1"},
	}
	for which, names := range restarts {
		for _, outage := range []Outage{Available, Unavailable, Unresponsive} {
			for _, scope := range []string{"", "vm-1-0"} { // of the outage
				t.Run(fmt.Sprintf("%s outage=%d of=%q", which, outage, scope), func(t *testing.T) {
					inDeployment(t, smallDeployment, func(d *Deployment) {
						gone := d.Groups[GroupName(0)].Replicas()[0]
						d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
						d.Store.Put(directory.Servers, directory.Entry{Name: gone.ID, Deleted: true})
						time.Sleep(configWithin)
						d.Store.SetOutage(scope, outage)
						before := gone.Executions()
						for _, name := range names {
							vm := d.VM(name)
							vm.Kill()
							d.StartVM(name, vm.Zone)
						}
						for range 30 {
							time.Sleep(100 * time.Millisecond)
							for _, name := range names {
								vm := d.VM(name)
								if c, _ := vm.Connect("revoked", Database(Latest, 0), 1); c != nil {
									t.Fatalf("%s accepts a withdrawn key", name)
								}
								if c, _ := vm.Connect("valid", Database(Bounded, 0), 0); c != nil {
									c.Do(statement.Read, "x")
									c.Close()
								}
							}
						}
						if after := gone.Executions(); after > before {
							t.Errorf("%d statements ran on a server that had left", after-before)
						}
						known := outage == Available || scope != "" || which != "all"
						for _, name := range names {
							if ready := d.VM(name).Node.Ready(); ready != known {
								t.Errorf("%s: ready %v, want %v", name, ready, known)
							}
						}
					})
				})
			}
		}
	}
}

// Guards against a VM that restarts, reaches only a VM which was cut off before a key was
// withdrawn, and takes clients with that VM's configuration.
func TestRestartBesideOutdatedVM(t *testing.T) {
	const informedWithin = 3 * time.Second
	inDeployment(t, smallDeployment, func(d *Deployment) {
		const outdated, restarted = "vm-2-1", "vm-1-0"
		// Clients of the VM that is cut off keep it confident: their writes confirm the
		// primaries.
		stop := make(chan struct{})
		defer close(stop)
		for group := range d.Options.Groups {
			c := connect(t, d.VM(outdated), fmt.Sprint("c", group), Database(Latest, group), 0)
			go func() {
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
						c.Do(statement.Write, "x 1")
					}
				}
			}()
		}
		d.Store.SetOutage(outdated, Unresponsive)
		var others []string // both VMs still reach the servers
		for name := range d.VMs {
			if name != outdated && name != restarted {
				others = append(others, name)
			}
		}
		outdatedCut := d.Net.Partition(memnet.Hosts(outdated), memnet.Hosts(others...))
		both := d.Net.Partition(memnet.Hosts(outdated), memnet.Hosts(restarted))
		time.Sleep(time.Second)
		d.Configure(func(c *catalog.Config) { c.Customers[1].Keys = nil })
		time.Sleep(configWithin)
		d.Store.SetOutage("", Unresponsive)
		d.VM(restarted).Kill()
		both.Heal()
		restartedCut := d.Net.Partition(memnet.Hosts(restarted), memnet.Hosts(others...))
		d.StartVM(restarted, zoneName(1))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if d.VM(restarted).Node.Ready() {
				t.Fatal("ready with an outdated configuration")
			}
		}
		restartedCut.Heal()
		outdatedCut.Heal()
		time.Sleep(informedWithin)
		if !d.VM(restarted).Node.Ready() {
			t.Error("not ready although it reaches the other VMs")
		}
		if c, _ := d.VM(restarted).Connect("revoked", Database(Latest, 0), 1); c != nil {
			t.Error("a withdrawn key is accepted")
		}
	})
}
