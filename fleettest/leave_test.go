package fleettest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// quietAfter is the time after which what leaves may get no new work.
const quietAfter = 5 * time.Second

// Shares of their rates that customers send in the tests below.
const (
	lightLoad = 0.1
	heavyLoad = 0.8
)

// steady is a load of reads and writes on every group, each of a customer of its
// own, inside their rates. The platform's load balancer sends the requests to
// VMs that are ready, and clients go to another VM when theirs leaves.
type steady struct {
	world *world
	loads []*load
}

func (w *world) startSteady(share float64) *steady {
	p := w.fleet.Profile
	s := &steady{world: w}
	for i, group := range p.Groups {
		customer := p.Customers[i].Name
		s.loads = append(s.loads, w.start(&load{
			customer: customer, route: group, rate: share * p.Customers[i].Rate, follow: true,
			sql: func(id string) string { return mixed(customer, id) },
		}))
	}
	return s
}

// mixed makes every third request a write.
func mixed(customer, id string) string {
	if strings.HasSuffix(id, "0") || strings.HasSuffix(id, "3") || strings.HasSuffix(id, "6") {
		return fmt.Sprintf("APPEND log 'load/%s/%s'", customer, id)
	}
	return fmt.Sprintf("SELECT value FROM kv WHERE key = 'load/%s/%s'", customer, id)
}

// finish ends the load and fails the test unless every request was answered and
// every write is in the log once.
func (s *steady) finish() {
	s.world.t.Helper()
	answered, offered, resent := 0, 0, 0
	var slowest time.Duration
	failed := make(map[string]int)
	for _, l := range s.loads {
		for _, r := range l.finish() {
			offered++
			resent += r.resent
			if r.code == "" {
				answered++
				slowest = max(slowest, r.ended.Sub(r.due))
				continue
			}
			failed[r.text]++
			if failed[r.text] == 1 {
				s.world.t.Errorf("%s %s through %s at %v: %q %s after %v",
					l.customer, r.id, fleet.VMName(r.vm), r.due.Format("05.000"), r.code, r.text, r.ended.Sub(r.due))
			}
		}
		s.checkLog(l)
	}
	s.world.t.Logf("service: answered %d of %d offered (%.2f %%), %d sent again after a refusal with 57P01, slowest answer %v, not answered %v",
		answered, offered, 100*float64(answered)/float64(offered), resent, slowest, failed)
}

func (s *steady) checkLog(l *load) {
	s.world.t.Helper()
	times := make(map[string]int)
	for _, entry := range s.world.fleet.Groups[l.route].Primary().Entries() {
		times[entry]++
	}
	for _, r := range l.requests {
		if !strings.HasPrefix(l.sql(r.id), "APPEND") || r.code != "" {
			continue
		}
		if entry := fmt.Sprintf("load/%s/%s", l.customer, r.id); times[entry] != 1 {
			s.world.t.Errorf("entry %s is %d times in the log", entry, times[entry])
		}
	}
}

// setDataCentre changes the state of a data centre by a ticket.
func (w *world) setDataCentre(dc string, s state.ServiceState) {
	w.t.Helper()
	w.apply(fmt.Sprintf("%s is %s.", dc, s), func(c *state.Config, t *ticket.Ticket) {
		changed := *c.DataCentres[dc]
		changed.State = s
		t.DataCentres[dc] = &changed
	})
}

// setServer changes the state of a backend server by a ticket.
func (w *world) setServer(group, server string, s state.ServiceState) {
	w.t.Helper()
	w.apply(fmt.Sprintf("%s is %s.", server, s), func(c *state.Config, t *ticket.Ticket) {
		changed := *c.Groups[group]
		changed.Servers = append([]state.BackendServer(nil), changed.Servers...)
		changed.Server(server).State = s
		t.Groups[group] = &changed
	})
}

// setVM changes the state of a VM by a ticket.
func (w *world) setVM(vm int, s state.ServiceState) {
	w.t.Helper()
	name, dc := fleet.VMName(vm), w.fleet.Profile.DataCentreOf(vm)
	w.apply(fmt.Sprintf("%s is %s.", name, s), func(c *state.Config, t *ticket.Ticket) {
		changed := *c.DataCentres[dc]
		changed.VMs = append([]state.VM(nil), changed.VMs...)
		for i := range changed.VMs {
			if changed.VMs[i].Name == name {
				changed.VMs[i].State = s
			}
		}
		t.DataCentres[dc] = &changed
	})
}

// checkQuiet fails the test if a statement went to one of the servers or through
// one of the VMs between two times.
func (w *world) checkQuiet(from, to time.Time, servers []*dbgroup.Server, vms []int) {
	w.t.Helper()
	for _, s := range servers {
		if n := len(w.tap.sentTo(s.Address(), from, to)); n > 0 {
			w.t.Errorf("%s got %d statements after it had left", s.Name(), n)
		}
	}
	for _, vm := range vms {
		if n := len(w.tap.sentBy(fleet.VMName(vm), from, to)); n > 0 {
			w.t.Errorf("%s sent %d statements after it had left", fleet.VMName(vm), n)
		}
	}
}

// serversIn returns the backend servers of a data centre.
func (w *world) serversIn(dc string) []*dbgroup.Server {
	var servers []*dbgroup.Server
	for _, g := range w.fleet.Groups {
		for _, s := range g.Servers() {
			if s.DataCentre() == dc {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

// waitHandedOver waits until none of the servers is a primary.
func (w *world) waitHandedOver(servers []*dbgroup.Server) {
	w.t.Helper()
	took := w.waitUntil(quietAfter, "primaries handed over", func() bool {
		for _, s := range servers {
			for _, g := range w.fleet.Groups {
				if g.Primary() == s {
					return false
				}
			}
		}
		return true
	})
	w.t.Logf("primaries handed over after %v", took)
}

// checkWorksAgain fails the test unless the VMs become ready and the servers and
// VMs get work.
func (w *world) checkWorksAgain(servers []*dbgroup.Server, vms []int) {
	w.t.Helper()
	took := w.waitUntil(time.Minute, "ready after the return", func() bool {
		for _, vm := range vms {
			if v := w.fleet.VM(vm); v == nil || !v.Ready() {
				return false
			}
		}
		return true
	})
	w.t.Logf("VMs ready %v after the return", took)
	from := time.Now()
	time.Sleep(6 * time.Second)
	for _, s := range servers {
		if len(w.tap.sentTo(s.Address(), from, time.Now())) == 0 {
			w.t.Errorf("%s gets no work after its return", s.Name())
		}
	}
	for _, vm := range vms {
		if len(w.tap.sentBy(fleet.VMName(vm), from, time.Now())) == 0 {
			w.t.Errorf("%s gets no work after its return", fleet.VMName(vm))
		}
	}
}

// Guards against requests that are cut or fail while a data centre leaves and
// returns, against work in a data centre that has left, and against one that
// gets no work after its return.
func TestLeaveDataCentre(t *testing.T) { leaveDataCentre(t, lightLoad) }

// Guards against the same faults where customers need most of their rates.
func TestLeaveDataCentreUnderLoad(t *testing.T) { leaveDataCentre(t, heavyLoad) }

func leaveDataCentre(t *testing.T, share float64) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				dc := p.DataCentres[0]
				servers, vms := w.serversIn(dc), w.vmsOf(dc)
				s := w.startSteady(share)
				time.Sleep(3 * time.Second)
				w.setDataCentre(dc, state.Leaving)
				left := time.Now()
				w.waitHandedOver(servers)
				time.Sleep(time.Until(left.Add(quietAfter + 2*time.Second)))
				w.setDataCentre(dc, state.Out)
				time.Sleep(4 * time.Second)
				w.checkQuiet(left.Add(quietAfter), time.Now(), servers, vms)
				w.setDataCentre(dc, state.InService)
				w.checkWorksAgain(servers, vms)
				s.finish()
			})
		})
	}
}

// Guards against the same faults for one backend server, a primary.
func TestLeaveBackendServer(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				group := w.fleet.Groups[p.Groups[0]]
				servers := []*dbgroup.Server{group.Primary()}
				s := w.startSteady(lightLoad)
				time.Sleep(3 * time.Second)
				w.setServer(group.Name(), servers[0].Name(), state.Leaving)
				left := time.Now()
				w.waitHandedOver(servers)
				time.Sleep(time.Until(left.Add(quietAfter + 2*time.Second)))
				w.setServer(group.Name(), servers[0].Name(), state.Out)
				time.Sleep(4 * time.Second)
				w.checkQuiet(left.Add(quietAfter), time.Now(), servers, nil)
				w.setServer(group.Name(), servers[0].Name(), state.InService)
				w.checkWorksAgain(servers, nil)
				s.finish()
			})
		})
	}
}

// Guards against the same faults for one VM that leaves by a ticket.
func TestLeaveVMByTicket(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				vms := []int{1}
				s := w.startSteady(lightLoad)
				time.Sleep(3 * time.Second)
				w.setVM(1, state.Leaving)
				left := time.Now()
				time.Sleep(quietAfter)
				if n := w.fleet.VM(1).Status(true).Sessions.Open; n > 0 {
					t.Errorf("%d sessions are open after %v", n, time.Since(left))
				}
				w.setVM(1, state.Out)
				time.Sleep(4 * time.Second)
				w.checkQuiet(left.Add(quietAfter), time.Now(), nil, vms)
				w.setVM(1, state.InService)
				w.checkWorksAgain(nil, vms)
				s.finish()
			})
		})
	}
}

// Guards against the same faults for one VM that is stopped by SIGTERM and
// started again.
func TestLeaveVMByDrain(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				s := w.startSteady(lightLoad)
				time.Sleep(3 * time.Second)
				ctx, cancel := context.WithTimeout(background, 30*time.Second)
				defer cancel()
				start := time.Now()
				if err := w.fleet.StopVM(ctx, 1); err != nil {
					t.Error(err)
				}
				t.Logf("stopped after %v", time.Since(start))
				stopped := time.Now()
				time.Sleep(5 * time.Second)
				w.checkQuiet(stopped, time.Now(), nil, []int{1})
				if err := w.fleet.StartVM(1); err != nil {
					t.Fatal(err)
				}
				w.waitReady()
				w.checkWorksAgain(nil, []int{1})
				s.finish()
			})
		})
	}
}
