package exchange

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Guards against data centres that do not receive a ticket if only one of them
// reaches the store.
func TestTicketSpreadsFromOneDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "a", "b", "c")
		f.store.setReached(inDataCentres("a"))
		f.startAll()
		t.Logf("first ticket in force everywhere after %v", f.within(5*time.Second, "first ticket", f.hasNewest))
		for range 3 {
			time.Sleep(3 * time.Second)
			f.change(nil)
			t.Logf("ticket in force everywhere after %v", f.within(5*time.Second, "ticket", f.hasNewest))
		}
		f.within(5*time.Second, "applied everywhere", func(v *vm) bool {
			return v.oldestApplied() == f.config.Ticket.Number
		})
	})
}

// Guards against relays that fail and are not replaced, and against more watches
// at the store than there are relays.
func TestNextRelayTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, "a", "b")
		f.startAll()
		time.Sleep(5 * time.Second)
		first := f.store.watchers()
		if len(first) != 2*membership.RelayCount {
			t.Fatalf("watched by %v", first)
		}
		for _, name := range first {
			f.kill(name)
		}
		time.Sleep(membership.SilentAfter + time.Second)
		if second := f.store.watchers(); len(second) != 2*membership.RelayCount {
			t.Fatalf("watched by %v after %v failed", second, first)
		}
		f.change(nil)
		t.Logf("ticket in force after %v", f.within(time.Second, "ticket", f.hasNewest))
	})
}

// Guards against a key that still works after its revocation was accepted: the
// next request on each VM is refused once the ticket has arrived.
func TestRevokedKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "a", "b", "c")
		f.change(customers(time.Minute, false))
		f.startAll()
		f.within(5*time.Second, "key accepted", func(v *vm) bool { return v.check() == access.None })
		f.change(customers(time.Minute, true))
		took := f.within(5*time.Second, "key refused", func(v *vm) bool { return v.check() == access.RevokedKey })
		t.Logf("refused everywhere after %v", took)
	})
}

// Guards against calls that time out on a slow store, so that a ticket that it
// accepts does not reach the VMs.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "a")
		f.store.latency = 5 * time.Second
		f.startAll()
		f.within(30*time.Second, "first ticket", f.hasNewest)
		f.change(nil)
		took := f.within(2*f.store.latency, "ticket", f.hasNewest)
		t.Logf("in force after %v with a store that responds in %v", took, f.store.latency)
	})
}

// Guards against refusals while the store is down for all VMs, against a new VM
// that cannot start during that time, and against a VM that refuses at once when
// it is cut off afterwards.
func TestStoreDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const serveFor = 30 * time.Second
		f := newFleet(t, 3, "a", "b", "c")
		f.change(customers(serveFor, false))
		f.startAll()
		f.within(5*time.Second, "key accepted", keyAccepted)
		time.Sleep(5 * time.Second)
		f.store.setReached(inDataCentres())
		f.always(time.Minute, "served while the store is down", keyAccepted)

		f.kill("b-vm-01")
		f.start("b-vm-01", incarnation+1)
		t.Logf("new VM serves after %v", f.within(3*time.Second, "new VM serves", keyAccepted))

		f.network.partition(isolate("c"))
		f.always(serveFor/2, "served at first when cut off as well", keyAccepted)
		f.within(serveFor, "data centre c refuses", func(v *vm) bool {
			return dataCentre(v.name) != "c" || v.check() == access.CutOff
		})

		f.network.partition(nil)
		f.store.setReached(inDataCentres("a", "b", "c"))
		t.Logf("confirmed after %v", f.within(5*time.Second, "confirmed", func(v *vm) bool {
			freshness := v.tables.Config.Freshness()
			return !freshness.StoreDown && time.Since(freshness.ConfirmedAt) < membership.StoreMissedAfter
		}))
	})
}

// Guards against a cut-off data centre that accepts a possibly revoked key for
// longer than its customer allows, and against refusals on VMs that receive
// confirmations of the store through other VMs.
func TestCutOffDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const serveFor = 20 * time.Second
		f := newFleet(t, 3, "a", "b", "c")
		f.change(customers(serveFor, false))
		f.startAll()
		f.within(5*time.Second, "key accepted", keyAccepted)
		time.Sleep(10 * time.Second)
		f.store.setReached(inDataCentres("a"))
		f.network.partition(isolate("c"))
		f.change(customers(serveFor, true))
		refusedInAAndB := func(v *vm) bool {
			return dataCentre(v.name) == "c" || v.check() == access.RevokedKey
		}
		f.within(5*time.Second, "revoked in a and b", refusedInAAndB)
		f.within(serveFor, "c refuses", func(v *vm) bool { return v.check() != access.None })
		f.always(time.Minute, "c goes on refusing", func(v *vm) bool { return v.check() != access.None })
		f.network.partition(nil)
		t.Logf("c has the ticket after %v", f.within(5*time.Second, "ticket", f.hasNewest))
	})
}

// Guards against a suspended VM that reinstates an old incarnation or an old
// configuration when it resumes, and against a replacement VM that other VMs do
// not recognise because it has the address of its predecessor.
func TestPausedAndReplacedVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "a", "b")
		f.startAll()
		f.within(5*time.Second, "first ticket", f.hasNewest)
		time.Sleep(2 * time.Second)
		resume := f.vms["a-vm-00"].pause()
		time.Sleep(membership.SilentAfter + time.Second)
		if m, _ := f.vms["a-vm-01"].tables.Members.Get("a-vm-00"); !m.Silent {
			t.Error("the paused VM is not silent")
		}
		f.kill("b-vm-01")
		f.start("b-vm-01", incarnation+1)
		f.change(nil)
		replaced := func(v *vm) bool {
			m, _ := v.tables.Members.Get("b-vm-01")
			return m.Incarnation == incarnation+1 || v.name == "a-vm-00"
		}
		f.within(5*time.Second, "replacement heard", replaced)
		time.Sleep(time.Minute)
		resume()
		f.always(10*time.Second, "replacement stays", replaced)
		f.within(time.Second, "the resumed VM is up to date", func(v *vm) bool {
			m, _ := v.tables.Members.Get("b-vm-01")
			return f.hasNewest(v) && m.Incarnation == incarnation+1
		})
	})
}

// Guards against a VM that requests a snapshot in a tight loop because the other
// VM has none.
func TestMissingSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 40 // messages a second; 16 are regular
		f := newFleet(t, 3, "a")
		f.encodeFails = true
		f.startAll()
		time.Sleep(5 * time.Second)
		f.change(nil)
		before := make(map[string]int64)
		for name, v := range f.vms {
			before[name] = usageOf(v).messages
		}
		time.Sleep(10 * time.Second)
		for name, v := range f.vms {
			if got := (usageOf(v).messages - before[name]) / 10; got > limit {
				t.Errorf("%s: %d messages a second", name, got)
			}
		}
	})
}

// Guards against a leaving VM that remains a relay, and against a cancel request
// that does not reach the VM that holds the session.
func TestLeavingAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, "a")
		f.startAll()
		time.Sleep(3 * time.Second)
		leaving := f.store.watchers()[0]
		f.vms[leaving].exchange.SetState(state.Leaving)
		f.within(2*time.Second, "known to be leaving", func(v *vm) bool {
			m, _ := v.tables.Members.Get(leaving)
			return m.State == state.Leaving
		})
		time.Sleep(time.Second)
		if now := f.store.watchers(); slices.Contains(now, leaving) || len(now) != membership.RelayCount {
			t.Errorf("watched by %v although %s leaves", now, leaving)
		}
		if err := f.vms["a-vm-00"].exchange.SendCancel(t.Context(), "a-vm-01", 7, 9); err != nil {
			t.Error(err)
		}
		if got := <-f.vms["a-vm-01"].canceled; got != 7 {
			t.Errorf("canceled session %d", got)
		}
	})
}

// Guards against delayed or duplicate messages that overwrite newer data, and
// against accepting configurations that are older, damaged, or not the announced
// one.
func TestLateAndWrongMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "a")
		f.change(nil)
		f.startAll()
		f.within(5*time.Second, "first ticket", f.hasNewest)
		v := f.vms["a-vm-00"]
		h := (*handler)(v.exchange)
		message := func(sequence uint64, s state.ServiceState) *peerapi.Exchange {
			return &peerapi.Exchange{Sender: peerapi.Sender{
				Name: "x", Incarnation: 5, Sequence: sequence, DataCentre: "a", Address: fmt.Sprint("x:", sequence), State: s,
			}}
		}
		for _, m := range []*peerapi.Exchange{message(9, state.Leaving), message(8, ""), message(9, "")} {
			if _, err := h.Exchange(context.Background(), m); err != nil {
				t.Fatal(err)
			}
		}
		if m, _ := v.tables.Members.Get("x"); m.Sequence != 9 || m.State != state.Leaving || m.Address != "x:9" {
			t.Errorf("a late message changed the entry: %+v", m)
		}

		push := func(number uint64, announced string) error {
			c := *f.config
			c.Ticket = state.TicketID{Number: number, Digest: "d"}
			data, err := v.exchange.config.marshalSnapshot(&c)
			if err != nil {
				t.Fatal(err)
			}
			err = h.Config(context.Background(), &peerapi.ConfigPush{
				Config: peerapi.ConfigDigest{Number: number, Digest: announced}, Snapshot: data,
			})
			synctest.Wait()
			return err
		}
		if err := push(1, "d"); err != nil || v.ticket() != 2 {
			t.Errorf("older configuration: %v, ticket %d", err, v.ticket())
		}
		if err := push(3, "e"); err == nil || v.ticket() != 2 {
			t.Errorf("wrong digest: %v, ticket %d", err, v.ticket())
		}
		if err := push(3, "d"); err != nil || v.ticket() != 3 {
			t.Errorf("newer configuration: %v, ticket %d", err, v.ticket())
		}
		truncated := &peerapi.ConfigPush{Config: peerapi.ConfigDigest{Number: 4, Digest: "d"}, Snapshot: []byte{31, 139}}
		if h.Config(context.Background(), truncated) == nil {
			t.Error("a damaged configuration was accepted")
		}
	})
}
