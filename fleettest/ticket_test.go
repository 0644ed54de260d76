package fleettest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutctl/ctl"
	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// operator is the operator who applies tickets in tests in which the name does not
// matter.
const operator = "amina"

// writeTicket writes the next ticket to a file and returns its path. change gets the
// configuration in the store and puts the objects that it changes into the ticket.
func (h *harness) writeTicket(operator, reason string, change func(c *state.Config, t *ticket.Ticket)) string {
	h.t.Helper()
	h.tickets++
	c := h.stored()
	t := &ticket.Ticket{
		ID:          state.TicketID{Number: h.tickets},
		Operator:    operator,
		Reason:      reason,
		Customers:   make(map[string]*state.Customer),
		Groups:      make(map[string]*state.Group),
		Routes:      make(map[string]*state.Route),
		DataCentres: make(map[string]*state.DataCentre),
	}
	change(c, t)
	text, err := ticketfile.Format(t)
	if err != nil {
		h.t.Fatal(err)
	}
	path := fmt.Sprintf("%d.yaml", h.tickets)
	if _, taken := h.files[path]; taken {
		path = fmt.Sprintf("%d-%s.yaml", h.tickets, operator)
	}
	h.files[path] = string(text)
	return path
}

// apply writes a ticket and applies it with chestnutctl.
func (h *harness) apply(reason string, change func(c *state.Config, t *ticket.Ticket)) {
	h.t.Helper()
	h.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), h.writeTicket(operator, reason, change))
}

// setRate returns a ticket change that changes a customer's rate.
func setRate(customer string, rate float64) func(*state.Config, *ticket.Ticket) {
	return func(c *state.Config, t *ticket.Ticket) {
		changed := *c.Customers[customer]
		changed.Rate = rate
		t.Customers[customer] = &changed
	}
}

// Guards against a ticket that is not in force on all VMs within the target time.
func TestTicketInForceEverywhere(t *testing.T) {
	t.Parallel()
	for _, p := range testProfiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			runWithFleet(t, p, func(h *harness) {
				for i := range 5 {
					h.apply("A higher rate.", setRate(largeCustomer(p).Name, float64(310+i)))
					t.Logf("ticket %d in force everywhere after %v", h.tickets, h.waitInForce(h.tickets, h.allVMs()))
				}
				for _, vm := range h.allVMs() {
					if got := h.fleet.VM(vm).Tables().Config.Current().Customers[largeCustomer(p).Name].Rate; got != 314 {
						t.Errorf("%s has rate %v, want 314", fleet.VMName(vm), got)
					}
				}
			})
		})
	}
}

// Guards against VMs that learn of a ticket only from the store.
func TestTicketReachesVMsWithoutStore(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		var without []int
		for _, dc := range p.DataCentres[1:] {
			without = append(without, h.vmsOf(dc)...)
		}
		h.cutHosts(h.vmHosts(without...), h.vmHosts(storeIndex))
		time.Sleep(2 * time.Second)
		for i := range 3 {
			h.apply("A higher rate.", setRate(largeCustomer(p).Name, float64(310+i)))
			t.Logf("ticket %d in force everywhere after %v", h.tickets, h.waitInForce(h.tickets, h.allVMs()))
		}
	})
}

// Guards against two tickets with the same number, by two operators, that are both
// reported as applied.
func TestTicketOfTwoOperatorsWithOneNumber(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	runWithFleet(t, p, func(h *harness) {
		first := h.writeTicket("amina", "A higher rate.", setRate(largeCustomer(p).Name, 310))
		h.tickets--
		second := h.writeTicket("driss", "A lower rate.", setRate(smallCustomer(p).Name, 20))
		results := make(chan result, 2)
		for _, path := range []string{first, second} {
			go func() { results <- h.ctl("ticket", "apply", "-store", fleet.StoreAddress(), path) }()
		}
		a, b := <-results, <-results
		if a.code != ctl.ExitOK {
			a, b = b, a
		}
		if a.code != ctl.ExitOK || b.code != ctl.ExitConflict {
			t.Fatalf("exit codes %d and %d, want %d and %d", a.code, b.code, ctl.ExitOK, ctl.ExitConflict)
		}
		if winner := h.stored(); !strings.Contains(b.stderr, "by ticket 2 of ") || winner.Ticket.Number != 2 {
			t.Errorf("the other operator is told %q", b.stderr)
		}
		changed := h.stored().Customers
		if (changed[largeCustomer(p).Name].Rate == 310) == (changed[smallCustomer(p).Name].Rate == 20) {
			t.Error("not exactly one of the tickets took effect")
		}
		h.waitInForce(2, h.allVMs())
	})
}

// Guards against a ticket that is applied twice or reported as failed because the
// store's answer was lost after the change took effect.
func TestTicketWithLostAnswer(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		path := h.writeTicket(operator, "A higher rate.", setRate(largeCustomer(p).Name, 310))
		h.fleet.Store.LoseAnswers(1)
		if out := h.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), path); !strings.Contains(out, "ticket 2") {
			t.Errorf("output %q", out)
		}
		h.waitInForce(2, h.allVMs())
		again := h.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), path)
		if !strings.Contains(again, "applied before; nothing to do") {
			t.Errorf("output of the second application %q", again)
		}
		if history := h.mustCtl("ticket", "history", "-store", fleet.StoreAddress()); strings.Count(history, operator) != 1 {
			t.Errorf("history:\n%s", history)
		}
	})
}

// Guards against an invalid ticket whose valid objects take effect.
func TestTicketInvalidIsRefusedWhole(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		path := h.writeTicket(operator, "One object is valid, two are not.", func(c *state.Config, t *ticket.Ticket) {
			setRate(largeCustomer(p).Name, 310)(c, t)
			setRate(smallCustomer(p).Name, -1)(c, t)
			t.Routes["nowhere"] = &state.Route{Name: "nowhere", Group: "no-group", Access: state.ReadWrite, Deadline: time.Second}
		})
		r := h.ctl("ticket", "apply", "-store", fleet.StoreAddress(), path)
		if r.code != ctl.ExitError || !strings.Contains(r.stderr, "rate") || !strings.Contains(r.stderr, "no-group") {
			t.Errorf("exit code %d, errors:\n%s", r.code, r.stderr)
		}
		time.Sleep(inForceWithin)
		if c := h.stored(); c.Ticket.Number != 1 || c.Customers[largeCustomer(p).Name].Rate != largeCustomer(p).Rate {
			t.Errorf("ticket %d in the store, rate %v", c.Ticket.Number, c.Customers[largeCustomer(p).Name].Rate)
		}
		for _, vm := range h.allVMs() {
			if got := h.inForce(vm); got != 1 {
				t.Errorf("%s has ticket %d in force", fleet.VMName(vm), got)
			}
		}
	})
}

// Guards against a VM that returns to an earlier ticket: a VM that was cut off, one
// that starts while the store is down, and all VMs when the store comes back with an
// earlier configuration.
func TestTicketNeverGoesBack(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		earlier, _ := h.fleet.Store.Object("config")
		watched := h.watchTickets()
		cut := h.cutOffVM(4)
		h.apply("A higher rate.", setRate(largeCustomer(p).Name, 310))
		h.waitInForce(2, []int{0, 1, 2, 3, 5, 6, 7})
		h.fleet.Store.SetOutage(store.Refusing)
		cut.Heal()
		h.waitInForce(2, []int{4})
		h.replaceDuringOutage(3)
		h.fleet.Store.Set("config", earlier.Value)
		h.fleet.Store.SetOutage(store.InService)
		time.Sleep(2 * inForceWithin)
		watched()
		for _, vm := range h.allVMs() {
			if got := h.inForce(vm); got != 2 {
				t.Errorf("%s has ticket %d in force, want 2", fleet.VMName(vm), got)
			}
		}
	})
}

// replaceDuringOutage replaces a VM by a new process while the store is down. The new
// process gets the configuration from other VMs.
func (h *harness) replaceDuringOutage(vm int) {
	h.t.Helper()
	if err := h.fleet.KillVM(vm); err != nil {
		h.t.Error(err)
	}
	if err := h.fleet.StartVM(vm); err != nil {
		h.t.Fatal(err)
	}
	h.t.Logf("a VM that starts during the outage has the ticket after %v", h.waitInForce(h.tickets, []int{vm}))
	h.waitReady()
}

// watchTickets fails the test if a process returns to an earlier ticket. The result
// ends the watch.
func (h *harness) watchTickets() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		highest := make(map[any]uint64)
		for {
			for _, vm := range h.allVMs() {
				v, number := h.fleet.VM(vm), h.inForce(vm)
				if v != nil && number < highest[v] {
					h.t.Errorf("%s went back from ticket %d to %d", fleet.VMName(vm), highest[v], number)
				}
				highest[v] = max(highest[v], number)
			}
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-ended }
}

// Guards against a status that does not name the VMs that lag or are silent.
func TestTicketStatusNamesVMs(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	runWithFleet(t, p, func(h *harness) {
		status := []string{"ticket", "status", "-store", fleet.StoreAddress(), "-wait", "10s"}
		if out := h.mustCtl(status...); strings.Contains(out, "lagging:") || strings.Contains(out, "silent:") {
			t.Errorf("all VMs have the ticket:\n%s", out)
		}
		silent := h.cutOffVM(4)
		lagging := h.cutHosts(h.vmHosts(6), h.vmHosts(0, 1, 2, 3, 4, 5, 7, storeIndex))
		time.Sleep(12 * time.Second)
		h.apply("A higher rate.", setRate(largeCustomer(p).Name, 310))
		r := h.ctl(status...)
		if r.code != ctl.ExitLagging || !strings.Contains(r.stdout, "lagging: vm-7 in juniper") || !strings.Contains(r.stdout, "silent: vm-5 in maple") {
			t.Errorf("exit code %d\n%s", r.code, r.stdout)
		}
		silent.Heal()
		lagging.Heal()
		// A VM whose lease had expired counts its earlier connection loans for 30 s before it
		// reports a ticket as applied.
		h.mustCtl("ticket", "status", "-store", fleet.StoreAddress(), "-strict", "-wait", "45s")
	})
}
