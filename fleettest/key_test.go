package fleettest

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// setKeys returns a ticket change that replaces a customer's keys. A minus before a
// key marks it as revoked.
func setKeys(customer string, keys ...string) func(*state.Config, *ticket.Ticket) {
	return func(c *state.Config, t *ticket.Ticket) {
		changed := *c.Customers[customer]
		changed.Keys = nil
		for i, key := range keys {
			revoked := key[0] == '-'
			if revoked {
				key = key[1:]
			}
			changed.Keys = append(changed.Keys, state.Key{
				ID: fmt.Sprintf("%s-%d", customer, i+1), Hash: sha256.Sum256([]byte(key)), Revoked: revoked,
			})
		}
		t.Customers[customer] = &changed
	}
}

// connectWithKey connects a client with the given key. With an empty key, the client
// presents none.
func (h *harness) connectWithKey(customer, key, route string, vm int) (*pgx.Conn, error) {
	cfg, err := h.fleet.ClientConfig(customer, route, vm, fleet.NewSession)
	if err != nil {
		return nil, err
	}
	cfg.Password = key
	return pgx.ConnectConfig(baseContext, cfg)
}

// connectToAllVMs connects a client to each VM, in the order of their indexes.
func (h *harness) connectToAllVMs(customer, key string) []*pgx.Conn {
	h.t.Helper()
	var all []*pgx.Conn
	for _, vm := range h.allVMs() {
		conn, err := h.connectWithKey(customer, key, h.fleet.Profile.Groups[0], vm)
		if err != nil {
			h.t.Fatalf("%s: %v", fleet.VMName(vm), err)
		}
		all = append(all, conn)
	}
	return all
}

// requestCodes sends a request on each connection and returns the SQLSTATEs, which
// are empty for answered requests.
func (h *harness) requestCodes(conns []*pgx.Conn) []string {
	var all []string
	for _, conn := range conns {
		_, err := conn.Exec(baseContext, "SELECT 1")
		code, _ := sqlState(err)
		all = append(all, code)
	}
	return all
}

// checkCodes fails the test unless the requests through all VMs ended with the
// SQLSTATE.
func (h *harness) checkCodes(what, code string, got []string) {
	h.t.Helper()
	for vm, c := range got {
		if c != code {
			h.t.Errorf("%s: %s: SQLSTATE %q, want %q", what, fleet.VMName(vm), c, code)
		}
	}
}

func (h *harness) closeAll(conns []*pgx.Conn) {
	for _, conn := range conns {
		_ = conn.Close(baseContext)
	}
}

// Guards against a revoked key that still works for connected clients on any VM, and
// against the refusal of a valid key during a rotation.
func TestKeyRevocationAndRotation(t *testing.T) {
	t.Parallel()
	for _, p := range testProfiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			runWithFleet(t, p, func(h *harness) {
				c := largeCustomer(p).Name
				old, next := fleet.Key(c), "second-key"
				clients := h.connectToAllVMs(c, old)
				h.apply("The second key is added.", setKeys(c, old, next))
				h.waitInForce(h.tickets, h.allVMs())
				newClients := h.connectToAllVMs(c, next)
				h.checkCodes("first key during the rotation", "", h.requestCodes(clients))
				h.checkCodes("second key during the rotation", "", h.requestCodes(newClients))

				h.apply("The first key is revoked.", setKeys(c, "-"+old, next))
				applied := time.Now()
				h.waitInForce(h.tickets, h.allVMs())
				h.checkCodes("revoked key of connected clients", "28P01", h.requestCodes(clients))
				t.Logf("refused on all VMs %v after the ticket", time.Since(applied))
				if took := time.Since(applied); took > inForceWithin {
					t.Errorf("refused after %v", took)
				}
				h.checkCodes("second key after the rotation", "", h.requestCodes(newClients))
				for _, vm := range h.allVMs() {
					_, err := h.connectWithKey(c, old, p.Groups[0], vm)
					if code, _ := sqlState(err); code != "28P01" {
						t.Errorf("%s: new session with the revoked key: %v", fleet.VMName(vm), err)
					}
				}
				h.closeAll(clients)
				h.closeAll(newClients)
			})
		})
	}
}

// Guards against a revocation that has no effect on transactions or on requests under
// load: after the target time, no statement of the customer may reach a server.
func TestKeyRevocationUnderLoad(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		c := largeCustomer(p)
		l := h.startLoad(&load{customer: c.Name, rate: 100})
		time.Sleep(3 * time.Second)
		h.apply("The key is revoked.", setKeys(c.Name, "-"+fleet.Key(c.Name), "second-key"))
		applied := time.Now()
		time.Sleep(inForceWithin + time.Second)
		l.finish()
		var last time.Time
		for _, s := range h.recorder.sentFor(c.Name) {
			last = s.at
		}
		t.Logf("the last statement was sent %v after the ticket", last.Sub(applied))
		if last.Sub(applied) > inForceWithin {
			t.Errorf("a statement was sent %v after the key was revoked", last.Sub(applied))
		}
	})
}

// Guards against a route marked open that requires a key, and against another route
// that requires none.
func TestKeyOpenRoute(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		h.apply("Enquiries are open to all.", func(_ *state.Config, t *ticket.Ticket) {
			t.Routes["enquiries"] = &state.Route{
				Name: "enquiries", Group: p.Groups[0], Access: state.ReadOnly, Open: true,
				ChargedTo: smallCustomer(p).Name, MaxStaleness: time.Second, Deadline: time.Second,
			}
		})
		h.waitInForce(h.tickets, h.allVMs())
		for _, vm := range h.allVMs() {
			conn, err := h.connectWithKey("anybody", "", "enquiries", vm)
			if err != nil {
				t.Fatalf("%s: %v", fleet.VMName(vm), err)
			}
			if _, err := conn.Exec(baseContext, "SELECT value FROM kv WHERE key = 'a'"); err != nil {
				t.Errorf("%s: %v", fleet.VMName(vm), err)
			}
			h.checkReadOnly(conn)
			_ = conn.Close(baseContext)
			_, err = h.connectWithKey("anybody", "", p.Groups[0], vm)
			if code, _ := sqlState(err); code != "28P01" {
				t.Errorf("%s: no key on a route that is not open: %v", fleet.VMName(vm), err)
			}
		}
	})
}

// checkReadOnly fails the test unless each write through the session is refused with
// 25006, the code for a write that was not run, and has no effect.
func (h *harness) checkReadOnly(conn *pgx.Conn) {
	h.t.Helper()
	for _, sql := range []string{"APPEND log 'x'", "INSERT INTO kv VALUES ('x', '1')", "SELECT write_kv('x', '1')"} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			_, err := conn.Exec(baseContext, sql, mode)
			if code, _ := sqlState(err); code != "25006" {
				h.t.Errorf("%s on a read-only route: %v, want 25006", sql, err)
			}
		}
	}
	tx, err := conn.Begin(baseContext)
	if err != nil {
		h.t.Fatal(err)
	}
	_, err = tx.Exec(baseContext, "APPEND log 'x'")
	if code, _ := sqlState(err); code != "25006" {
		h.t.Errorf("APPEND in a transaction on a read-only route: %v, want 25006", err)
	}
	_ = tx.Rollback(baseContext)
	for _, g := range h.fleet.Groups {
		if n := len(g.Commits()); n > 0 {
			h.t.Errorf("%d commits in group %s", n, g.Name())
		}
	}
}

// setCutOffPolicies lets VMs that are cut off serve the large customer for the limit
// and the small one without a limit.
func (h *harness) setCutOffPolicies(p fleet.Profile, limit time.Duration) {
	h.t.Helper()
	h.apply("What VMs that are cut off do.", func(c *state.Config, t *ticket.Ticket) {
		bounded, always := *c.Customers[largeCustomer(p).Name], *c.Customers[smallCustomer(p).Name]
		bounded.CutOff = state.CutOffPolicy{ServeFor: limit, Reason: "keys are revoked often"}
		always.CutOff = state.CutOffPolicy{Always: true, Reason: "enquiries"}
		t.Customers[bounded.Name], t.Customers[always.Name] = &bounded, &always
	})
	h.waitInForce(h.tickets, h.allVMs())
}

// Guards against a VM that is cut off and serves a customer for longer or shorter than
// its policy says, and against one that does not serve it again afterwards.
func TestKeyCutOffPolicy(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	const limit = 30 * time.Second
	runWithFleet(t, p, func(h *harness) {
		h.setCutOffPolicies(p, limit)
		vm := 4
		bounded, _ := h.connectWithKey(largeCustomer(p).Name, fleet.Key(largeCustomer(p).Name), "views-"+p.Groups[0], vm)
		always, _ := h.connectWithKey(smallCustomer(p).Name, fleet.Key(smallCustomer(p).Name), "views-"+p.Groups[0], vm)
		cut := h.fleet.Isolate(p.DataCentreOf(vm))
		// serve_for counts from the latest confirmation that the configuration is the
		// store's, which may be several seconds older than the cut.
		time.Sleep(limit - 7*time.Second)
		if code := h.readCode(bounded); code == "28000" {
			t.Error("refused before serve_for had passed")
		}
		time.Sleep(8 * time.Second)
		if code := h.readCode(bounded); code != "28000" {
			t.Errorf("after serve_for: SQLSTATE %q, want 28000", code)
		}
		if code := h.readCode(always); code == "28000" {
			t.Error("the customer with always was refused")
		}
		cut.Heal()
		t.Logf("served again after %v", h.waitUntil(inForceWithin, "served again", func() bool { return h.readCode(bounded) == "" }))
		h.closeAll([]*pgx.Conn{bounded, always})
	})
}

// readCode sends a read and returns its SQLSTATE, which is empty if it was answered.
func (h *harness) readCode(conn *pgx.Conn) string {
	ctx, cancel := context.WithTimeout(baseContext, 10*time.Second)
	defer cancel()
	_, err := conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	code, _ := sqlState(err)
	return code
}

// Guards against refusals while the store is down for all VMs. No revocation can be
// accepted then, so VMs have no reason to stop serving.
func TestKeyStoreDownForAll(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	runWithFleet(t, p, func(h *harness) {
		h.setCutOffPolicies(p, 10*time.Second)
		clients := h.connectToAllVMs(largeCustomer(p).Name, fleet.Key(largeCustomer(p).Name))
		for _, outage := range []store.Outage{store.Refusing, store.Hanging} {
			h.fleet.Store.SetOutage(outage)
			for range 4 {
				time.Sleep(10 * time.Second)
				h.checkCodes("during the outage", "", h.requestCodes(clients))
			}
			h.fleet.Store.SetOutage(store.InService)
			time.Sleep(5 * time.Second)
			h.checkCodes("after the outage", "", h.requestCodes(clients))
		}
		h.closeAll(clients)
	})
}
