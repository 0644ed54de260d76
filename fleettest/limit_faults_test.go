package fleettest

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// overload is how many times its rate a customer sends in the tests below.
const overload = 3

// underOverload runs a fault while a large and a small customer send more than
// their rates through all VMs, and checks all intervals of both.
func underOverload(t *testing.T, fault func(w *world)) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				limited := []fleet.Customer{{Name: large(p).Name, Rate: 80, Burst: 30}, small(p)}
				w.setLimit(limited[0].Name, limited[0].Rate, limited[0].Burst)
				w.waitApplied()
				var loads []*load
				for _, c := range limited {
					loads = append(loads, w.start(&load{customer: c.Name, rate: overload * c.Rate}))
				}
				time.Sleep(3 * time.Second)
				fault(w)
				time.Sleep(4 * time.Second)
				for i, l := range loads {
					t.Logf("%s: %v", l.customer, count(l.finish(), limited[i].Rate, limited[i].Burst))
					w.checkIntervals(limited[i])
				}
			})
		})
	}
}

// setLimit changes a customer's rate and burst by a ticket.
func (w *world) setLimit(customer string, rate, burst float64) {
	w.t.Helper()
	w.change(func(c *state.Config) {
		c.Customers[customer].Rate, c.Customers[customer].Burst = rate, burst
	})
}

// change makes the next ticket without the command line.
func (w *world) change(change func(c *state.Config)) {
	w.t.Helper()
	if err := w.fleet.Change(change); err != nil {
		w.t.Fatal(err)
	}
	w.tickets++
}

// waitApplied waits until every VM that runs reports the latest ticket as
// applied.
func (w *world) waitApplied() time.Duration {
	w.t.Helper()
	return w.waitUntil(time.Minute, "ticket applied", func() bool {
		for _, vm := range w.allVMs() {
			if v := w.fleet.VM(vm); v != nil && v.Status(true).Config.Applied != w.tickets {
				return false
			}
		}
		return true
	})
}

// Guards against a customer that gets more than its rate while nothing fails.
func TestLimitHoldsUnderOverload(t *testing.T) {
	underOverload(t, func(w *world) { time.Sleep(5 * time.Second) })
}

// Guards against a data centre that is cut off and spends what others spend too.
func TestLimitHoldsWhileDataCentreIsCutOff(t *testing.T) {
	underOverload(t, func(w *world) {
		cut := w.fleet.Isolate(w.fleet.Profile.DataCentres[1])
		time.Sleep(12 * time.Second)
		cut.Heal()
	})
}

// Guards against shares that depend on the store.
func TestLimitHoldsWhileStoreIsDown(t *testing.T) {
	underOverload(t, func(w *world) {
		w.fleet.Store.SetOutage(store.Refusing)
		time.Sleep(8 * time.Second)
		w.fleet.Store.SetOutage(store.InService)
	})
}

// Guards against two processes of one name that spend from the same share.
func TestLimitHoldsWhileVMIsReplaced(t *testing.T) {
	underOverload(t, func(w *world) {
		for _, vm := range []int{0, 4} {
			if err := w.fleet.KillVM(vm); err != nil {
				w.t.Error(err)
			}
			if err := w.fleet.StartVM(vm); err != nil {
				w.t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a VM that is cut off and goes on spending from loans or from a
// lease that has ended.
func TestLimitHoldsWhileVMIsCutOff(t *testing.T) {
	underOverload(t, func(w *world) {
		cut := w.cutOffVM(3)
		time.Sleep(8 * time.Second)
		cut.Heal()
	})
}

// Guards against VMs that spend their shares of different tickets at a time:
// before an increase and after a decrease the lower limit holds, and across both
// the higher one.
func TestLimitHoldsWhileTicketChangesIt(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	low := fleet.Customer{Name: large(p).Name, Rate: 60, Burst: 24}
	high := fleet.Customer{Name: large(p).Name, Rate: 180, Burst: 72}
	inWorld(t, p, func(w *world) {
		w.setLimit(low.Name, low.Rate, low.Burst)
		w.waitApplied()
		l := w.start(&load{customer: low.Name, rate: overload * low.Rate})
		time.Sleep(4 * time.Second)
		raised := time.Now()
		w.setLimit(high.Name, high.Rate, high.Burst)
		t.Logf("increase applied after %v", w.waitApplied())
		time.Sleep(4 * time.Second)
		w.setLimit(low.Name, low.Rate, low.Burst)
		t.Logf("decrease applied after %v", w.waitApplied())
		lowered := time.Now()
		time.Sleep(4 * time.Second)
		l.finish()
		w.checkIntervals(high)
		w.checkIntervalsIn(low, time.Time{}, raised)
		w.checkIntervalsIn(low, lowered, time.Now())
	})
}

// checkIntervalsIn is checkIntervals for the intervals between two times.
func (w *world) checkIntervalsIn(c fleet.Customer, from, to time.Time) {
	w.t.Helper()
	var times []time.Time
	for _, s := range w.tap.of(c.Name) {
		if s.at.After(from) && s.at.Before(to) {
			times = append(times, s.at)
		}
	}
	e := excess(times, c.Rate, c.Burst)
	w.t.Logf("%s at rate %v: %d statements, at most %.2f above burst + rate x t", c.Name, c.Rate, len(times), e)
	if e > 1e-6 {
		w.t.Errorf("%s: %.2f statements above burst + rate x t in an interval", c.Name, e)
	}
}

// Guards against statements that are admitted one by one, wait together for a
// primary, and then reach it all at once: sessions without a token read from the
// primary, which a data centre that is cut off does not reach.
func TestLimitHoldsForRequestsThatWaited(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	inWorld(t, p, func(w *world) {
		c := small(p)
		l := w.start(&load{customer: c.Name, rate: overload * c.Rate, token: unknownSession})
		time.Sleep(3 * time.Second)
		cut := w.fleet.Isolate(p.DataCentres[1])
		time.Sleep(12 * time.Second)
		cut.Heal()
		time.Sleep(3 * time.Second)
		w.checkAdmitted(c, l.finish())
		w.checkIntervals(c)
	})
}

// checkAdmitted fails the test if more requests than burst + rate x t were
// admitted in an interval for certain: those that the customer sent after its
// begin and whose statement reached a backend server before its end.
func (w *world) checkAdmitted(c fleet.Customer, requests []request) {
	w.t.Helper()
	sent := make(map[string]time.Time)
	for _, r := range requests {
		sent[r.id] = r.sent
	}
	statements := w.tap.of(c.Name)
	worst := -c.Burst
	for _, first := range statements {
		begin := sent[first.id]
		n := 0.0
		for _, s := range statements {
			if !sent[s.id].Before(begin) && !s.at.Before(begin) {
				n++
				worst = max(worst, n-c.Burst-c.Rate*s.at.Sub(begin).Seconds())
			}
		}
	}
	w.t.Logf("%s: admitted at most %.2f above burst + rate x t", c.Name, worst)
	if worst > 1e-6 {
		w.t.Errorf("%s: %.2f requests above burst + rate x t were admitted in an interval", c.Name, worst)
	}
}

// Guards against two processes of one name that both spend: the earlier one is
// cut off from all VMs and the store, but not from clients and backend servers.
func TestLimitHoldsWhileTwoProcessesHaveOneName(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				c := small(p)
				old := w.start(&load{customer: c.Name, rate: overload * c.Rate})
				time.Sleep(3 * time.Second)
				cut := w.cutHosts(w.vmHosts(0), w.vmHosts(1, 2, 3, 4, 5, 6, 7, storeNumber))
				second := w.startSecond(0, "127.120.0.1")
				beside := w.start(&load{customer: c.Name, rate: overload * c.Rate, vms: []int{0}, connect: second.connect, prefix: "second-"})
				time.Sleep(10 * time.Second)
				if !second.vm.Ready() {
					t.Error("the second process did not take over")
				}
				cut.Heal()
				time.Sleep(4 * time.Second)
				t.Logf("all VMs: %v", count(old.finish(), c.Rate, c.Burst))
				t.Logf("second process: %v", count(beside.finish(), c.Rate, c.Burst))
				w.checkIntervals(c)
				second.stop()
			})
		})
	}
}
