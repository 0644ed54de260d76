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

// operator is who applies tickets where it does not matter.
const operator = "amina"

// writeTicket writes the next ticket into a file and returns its path. change
// gets the configuration in force and puts the objects that it changes into the
// ticket.
func (w *world) writeTicket(operator, reason string, change func(c *state.Config, t *ticket.Ticket)) string {
	w.t.Helper()
	w.tickets++
	c := w.stored()
	t := &ticket.Ticket{
		ID:          state.TicketID{Number: w.tickets},
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
		w.t.Fatal(err)
	}
	path := fmt.Sprintf("%d.yaml", w.tickets)
	if _, taken := w.files[path]; taken {
		path = fmt.Sprintf("%d-%s.yaml", w.tickets, operator)
	}
	w.files[path] = string(text)
	return path
}

// apply writes a ticket and applies it with the command line.
func (w *world) apply(reason string, change func(c *state.Config, t *ticket.Ticket)) {
	w.t.Helper()
	w.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), w.writeTicket(operator, reason, change))
}

// raise changes a customer's rate.
func raise(customer string, rate float64) func(*state.Config, *ticket.Ticket) {
	return func(c *state.Config, t *ticket.Ticket) {
		changed := *c.Customers[customer]
		changed.Rate = rate
		t.Customers[customer] = &changed
	}
}

// Guards against a ticket that takes longer than the target to be in force, or
// is in force on some VMs only.
func TestTicketInForceEverywhere(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				for i := range 5 {
					w.apply("A higher rate.", raise(large(p).Name, float64(310+i)))
					t.Logf("ticket %d in force everywhere after %v", w.tickets, w.waitInForce(w.tickets, w.allVMs()))
				}
				for _, vm := range w.allVMs() {
					if got := w.fleet.VM(vm).Tables().Config.Current().Customers[large(p).Name].Rate; got != 314 {
						t.Errorf("%s has rate %v, want 314", fleet.VMName(vm), got)
					}
				}
			})
		})
	}
}

// Guards against VMs that need the store themselves to learn of a ticket.
func TestTicketReachesVMsWithoutStore(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		var without []int
		for _, dc := range p.DataCentres[1:] {
			without = append(without, w.vmsOf(dc)...)
		}
		w.cutHosts(w.vmHosts(without...), w.vmHosts(storeNumber))
		time.Sleep(2 * time.Second)
		for i := range 3 {
			w.apply("A higher rate.", raise(large(p).Name, float64(310+i)))
			t.Logf("ticket %d in force everywhere after %v", w.tickets, w.waitInForce(w.tickets, w.allVMs()))
		}
	})
}

// Guards against two operators whose tickets of one number are both taken to be
// applied.
func TestTicketOfTwoOperatorsWithOneNumber(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	inWorld(t, p, func(w *world) {
		first := w.writeTicket("amina", "A higher rate.", raise(large(p).Name, 310))
		w.tickets--
		second := w.writeTicket("driss", "A lower rate.", raise(small(p).Name, 20))
		results := make(chan result, 2)
		for _, path := range []string{first, second} {
			go func() { results <- w.ctl("ticket", "apply", "-store", fleet.StoreAddress(), path) }()
		}
		a, b := <-results, <-results
		if a.code != ctl.ExitOK {
			a, b = b, a
		}
		if a.code != ctl.ExitOK || b.code != ctl.ExitLost {
			t.Fatalf("exit codes %d and %d, want %d and %d", a.code, b.code, ctl.ExitOK, ctl.ExitLost)
		}
		if winner := w.stored(); !strings.Contains(b.stderr, "by ticket 2 of ") || winner.Ticket.Number != 2 {
			t.Errorf("the other operator is told %q", b.stderr)
		}
		changed := w.stored().Customers
		if (changed[large(p).Name].Rate == 310) == (changed[small(p).Name].Rate == 20) {
			t.Error("not exactly one of the tickets took effect")
		}
		w.waitInForce(2, w.allVMs())
	})
}

// Guards against a ticket that is applied twice, or reported as failed, when the
// store's answer is lost after the change took effect.
func TestTicketWithLostAnswer(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		path := w.writeTicket(operator, "A higher rate.", raise(large(p).Name, 310))
		w.fleet.Store.LoseAnswers(1)
		if out := w.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), path); !strings.Contains(out, "ticket 2") {
			t.Errorf("output %q", out)
		}
		w.waitInForce(2, w.allVMs())
		again := w.mustCtl("ticket", "apply", "-store", fleet.StoreAddress(), path)
		if !strings.Contains(again, "applied before; nothing to do") {
			t.Errorf("output of the second application %q", again)
		}
		if history := w.mustCtl("ticket", "history", "-store", fleet.StoreAddress()); strings.Count(history, operator) != 1 {
			t.Errorf("history:\n%s", history)
		}
	})
}

// Guards against an invalid ticket of which a part takes effect.
func TestTicketInvalidIsRefusedWhole(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		path := w.writeTicket(operator, "One object is valid, two are not.", func(c *state.Config, t *ticket.Ticket) {
			raise(large(p).Name, 310)(c, t)
			raise(small(p).Name, -1)(c, t)
			t.Routes["nowhere"] = &state.Route{Name: "nowhere", Group: "no-group", Access: state.ReadWrite, Deadline: time.Second}
		})
		r := w.ctl("ticket", "apply", "-store", fleet.StoreAddress(), path)
		if r.code != ctl.ExitError || !strings.Contains(r.stderr, "rate") || !strings.Contains(r.stderr, "no-group") {
			t.Errorf("exit code %d, errors:\n%s", r.code, r.stderr)
		}
		time.Sleep(inForceWithin)
		if c := w.stored(); c.Ticket.Number != 1 || c.Customers[large(p).Name].Rate != large(p).Rate {
			t.Errorf("ticket %d in the store, rate %v", c.Ticket.Number, c.Customers[large(p).Name].Rate)
		}
		for _, vm := range w.allVMs() {
			if got := w.inForce(vm); got != 1 {
				t.Errorf("%s has ticket %d in force", fleet.VMName(vm), got)
			}
		}
	})
}

// Guards against a VM that goes back to an earlier ticket: one that was cut off,
// one that starts while the store is down, and all of them when the store comes
// back with an earlier configuration.
func TestTicketNeverGoesBack(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		earlier, _ := w.fleet.Store.Object("config")
		watched := w.watchTickets()
		cut := w.cutOffVM(4)
		w.apply("A higher rate.", raise(large(p).Name, 310))
		w.waitInForce(2, []int{0, 1, 2, 3, 5, 6, 7})
		w.fleet.Store.SetOutage(store.Refusing)
		cut.Heal()
		w.waitInForce(2, []int{4})
		w.startDuringOutage(3)
		w.fleet.Store.Set("config", earlier.Value)
		w.fleet.Store.SetOutage(store.InService)
		time.Sleep(2 * inForceWithin)
		watched()
		for _, vm := range w.allVMs() {
			if got := w.inForce(vm); got != 2 {
				t.Errorf("%s has ticket %d in force, want 2", fleet.VMName(vm), got)
			}
		}
	})
}

// startDuringOutage replaces a VM while the store is down. The new process
// learns the configuration from its neighbours.
func (w *world) startDuringOutage(vm int) {
	w.t.Helper()
	if err := w.fleet.KillVM(vm); err != nil {
		w.t.Error(err)
	}
	if err := w.fleet.StartVM(vm); err != nil {
		w.t.Fatal(err)
	}
	w.t.Logf("a VM that starts during the outage has the ticket after %v", w.waitInForce(w.tickets, []int{vm}))
	w.waitReady()
}

// watchTickets fails the test if a process goes back to an earlier ticket. The
// result ends it.
func (w *world) watchTickets() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		highest := make(map[any]uint64)
		for {
			for _, vm := range w.allVMs() {
				v, number := w.fleet.VM(vm), w.inForce(vm)
				if v != nil && number < highest[v] {
					w.t.Errorf("%s went back from ticket %d to %d", fleet.VMName(vm), highest[v], number)
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

// Guards against a status that does not name a VM that lags or is silent.
func TestTicketStatusNamesVMs(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	inWorld(t, p, func(w *world) {
		status := []string{"ticket", "status", "-store", fleet.StoreAddress(), "-wait", "10s"}
		if out := w.mustCtl(status...); strings.Contains(out, "lagging:") || strings.Contains(out, "silent:") {
			t.Errorf("all VMs have the ticket:\n%s", out)
		}
		silent := w.cutOffVM(4)
		lagging := w.cutHosts(w.vmHosts(6), w.vmHosts(0, 1, 2, 3, 4, 5, 7, storeNumber))
		time.Sleep(12 * time.Second)
		w.apply("A higher rate.", raise(large(p).Name, 310))
		r := w.ctl(status...)
		if r.code != ctl.ExitLagging || !strings.Contains(r.stdout, "lagging: vm-7 in juniper") || !strings.Contains(r.stdout, "silent: vm-5 in maple") {
			t.Errorf("exit code %d\n%s", r.code, r.stdout)
		}
		silent.Heal()
		lagging.Heal()
		// A VM whose lease had ended counts its earlier connection loans for 30 s
		// before it reports a ticket as applied.
		w.mustCtl("ticket", "status", "-store", fleet.StoreAddress(), "-strict", "-wait", "45s")
	})
}
