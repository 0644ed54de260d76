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

// setKeys changes a customer's keys; revoked ones begin with a minus.
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

// connectWith connects a client with a key of its own; an empty key presents
// none.
func (w *world) connectWith(customer, key, route string, vm int) (*pgx.Conn, error) {
	cfg, err := w.fleet.ClientConfig(customer, route, vm, fleet.NewSession)
	if err != nil {
		return nil, err
	}
	cfg.Password = key
	return pgx.ConnectConfig(background, cfg)
}

// connectAll connects a client to each VM.
func (w *world) connectAll(customer, key string) []*pgx.Conn {
	w.t.Helper()
	var all []*pgx.Conn
	for _, vm := range w.allVMs() {
		conn, err := w.connectWith(customer, key, w.fleet.Profile.Groups[0], vm)
		if err != nil {
			w.t.Fatalf("%s: %v", fleet.VMName(vm), err)
		}
		all = append(all, conn)
	}
	return all
}

// codes returns the SQLSTATEs of one request on each connection.
func (w *world) codes(conns []*pgx.Conn) []string {
	var all []string
	for _, conn := range conns {
		_, err := conn.Exec(background, "SELECT 1")
		code, _ := sqlState(err)
		all = append(all, code)
	}
	return all
}

// want fails the test unless all requests ended with the SQLSTATE.
func (w *world) want(what, code string, got []string) {
	w.t.Helper()
	for vm, c := range got {
		if c != code {
			w.t.Errorf("%s: %s: SQLSTATE %q, want %q", what, fleet.VMName(vm), c, code)
		}
	}
}

func (w *world) closeAll(conns []*pgx.Conn) {
	for _, conn := range conns {
		_ = conn.Close(background)
	}
}

// Guards against a revoked key that goes on working for connected clients, on
// any VM, and against a rotation during which a key is refused that should work.
func TestKeyRevocationAndRotation(t *testing.T) {
	for _, p := range profiles() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, p, func(w *world) {
				c := large(p).Name
				old, next := fleet.Key(c), "second-key"
				clients := w.connectAll(c, old)
				w.apply("The second key is added.", setKeys(c, old, next))
				w.waitInForce(w.tickets, w.allVMs())
				newClients := w.connectAll(c, next)
				w.want("first key during the rotation", "", w.codes(clients))
				w.want("second key during the rotation", "", w.codes(newClients))

				w.apply("The first key is revoked.", setKeys(c, "-"+old, next))
				applied := time.Now()
				w.waitInForce(w.tickets, w.allVMs())
				w.want("revoked key of connected clients", "28P01", w.codes(clients))
				t.Logf("refused on all VMs %v after the ticket", time.Since(applied))
				if took := time.Since(applied); took > inForceWithin {
					t.Errorf("refused after %v", took)
				}
				w.want("second key after the rotation", "", w.codes(newClients))
				for _, vm := range w.allVMs() {
					_, err := w.connectWith(c, old, p.Groups[0], vm)
					if code, _ := sqlState(err); code != "28P01" {
						t.Errorf("%s: new session with the revoked key: %v", fleet.VMName(vm), err)
					}
				}
				w.closeAll(clients)
				w.closeAll(newClients)
			})
		})
	}
}

// Guards against a revocation that does not reach a transaction or a request
// under load: after the target no statement of the customer may reach a server.
func TestKeyRevocationUnderLoad(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		c := large(p)
		l := w.start(&load{customer: c.Name, rate: 100})
		time.Sleep(3 * time.Second)
		w.apply("The key is revoked.", setKeys(c.Name, "-"+fleet.Key(c.Name), "second-key"))
		applied := time.Now()
		time.Sleep(inForceWithin + time.Second)
		l.finish()
		var last time.Time
		for _, s := range w.tap.of(c.Name) {
			last = s.at
		}
		t.Logf("the last statement was sent %v after the ticket", last.Sub(applied))
		if last.Sub(applied) > inForceWithin {
			t.Errorf("a statement was sent %v after the key was revoked", last.Sub(applied))
		}
	})
}

// Guards against an open route that asks for a key, and against a route that is
// not open and does not.
func TestKeyOpenRoute(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	inWorld(t, p, func(w *world) {
		w.apply("Enquiries are open to all.", func(_ *state.Config, t *ticket.Ticket) {
			t.Routes["enquiries"] = &state.Route{
				Name: "enquiries", Group: p.Groups[0], Access: state.ReadOnly, Open: true,
				ChargedTo: small(p).Name, MaxStaleness: time.Second, Deadline: time.Second,
			}
		})
		w.waitInForce(w.tickets, w.allVMs())
		for _, vm := range w.allVMs() {
			conn, err := w.connectWith("anybody", "", "enquiries", vm)
			if err != nil {
				t.Fatalf("%s: %v", fleet.VMName(vm), err)
			}
			if _, err := conn.Exec(background, "SELECT value FROM kv WHERE key = 'a'"); err != nil {
				t.Errorf("%s: %v", fleet.VMName(vm), err)
			}
			w.checkReadOnly(conn)
			_ = conn.Close(background)
			_, err = w.connectWith("anybody", "", p.Groups[0], vm)
			if code, _ := sqlState(err); code != "28P01" {
				t.Errorf("%s: no key on a route that is not open: %v", fleet.VMName(vm), err)
			}
		}
	})
}

// checkReadOnly fails the test if a write through the session takes effect. The
// server refuses it before it runs.
func (w *world) checkReadOnly(conn *pgx.Conn) {
	w.t.Helper()
	for _, sql := range []string{"APPEND log 'x'", "INSERT INTO kv VALUES ('x', '1')", "SELECT write_kv('x', '1')"} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			_, err := conn.Exec(background, sql, mode)
			if code, _ := sqlState(err); code != "25006" {
				w.t.Errorf("%s on a read-only route: %v, want 25006", sql, err)
			}
		}
	}
	tx, err := conn.Begin(background)
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = tx.Exec(background, "APPEND log 'x'")
	if code, _ := sqlState(err); code != "25006" {
		w.t.Errorf("APPEND in a transaction on a read-only route: %v, want 25006", err)
	}
	_ = tx.Rollback(background)
	for _, g := range w.fleet.Groups {
		if n := len(g.Commits()); n > 0 {
			w.t.Errorf("%d commits in group %s", n, g.Name())
		}
	}
}

// setPolicies gives the large customer a short limit when it is cut off, and the
// small one none.
func (w *world) setPolicies(p fleet.Profile, limit time.Duration) {
	w.t.Helper()
	w.apply("What VMs that are cut off do.", func(c *state.Config, t *ticket.Ticket) {
		bounded, always := *c.Customers[large(p).Name], *c.Customers[small(p).Name]
		bounded.CutOff = state.CutOffPolicy{ServeFor: limit, Reason: "keys are revoked often"}
		always.CutOff = state.CutOffPolicy{Always: true, Reason: "enquiries"}
		t.Customers[bounded.Name], t.Customers[always.Name] = &bounded, &always
	})
	w.waitInForce(w.tickets, w.allVMs())
}

// Guards against a VM that is cut off and serves a customer for longer than the
// customer allows, or stops earlier, and against one that does not recover.
func TestKeyCutOffPolicy(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	const limit = 30 * time.Second
	inWorld(t, p, func(w *world) {
		w.setPolicies(p, limit)
		vm := 4
		bounded, _ := w.connectWith(large(p).Name, fleet.Key(large(p).Name), "views-"+p.Groups[0], vm)
		always, _ := w.connectWith(small(p).Name, fleet.Key(small(p).Name), "views-"+p.Groups[0], vm)
		cut := w.fleet.Isolate(p.DataCentreOf(vm))
		time.Sleep(limit - 7*time.Second)
		if code := w.codeOf(bounded); code == "28000" {
			t.Error("refused before serve_for had passed")
		}
		time.Sleep(8 * time.Second)
		if code := w.codeOf(bounded); code != "28000" {
			t.Errorf("after serve_for: SQLSTATE %q, want 28000", code)
		}
		if code := w.codeOf(always); code == "28000" {
			t.Error("the customer with always was refused")
		}
		cut.Heal()
		t.Logf("served again after %v", w.waitUntil(inForceWithin, "served again", func() bool { return w.codeOf(bounded) == "" }))
		w.closeAll([]*pgx.Conn{bounded, always})
	})
}

func (w *world) codeOf(conn *pgx.Conn) string {
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	defer cancel()
	_, err := conn.Exec(ctx, "SELECT value FROM kv WHERE key = 'a'")
	code, _ := sqlState(err)
	return code
}

// Guards against refusals while the store is down for all VMs: no revocation can
// be accepted then, so there is no reason to stop.
func TestKeyStoreDownForAll(t *testing.T) {
	t.Parallel()
	p := fleet.Peachtree()
	inWorld(t, p, func(w *world) {
		w.setPolicies(p, 10*time.Second)
		clients := w.connectAll(large(p).Name, fleet.Key(large(p).Name))
		for _, outage := range []store.Outage{store.Refusing, store.Hanging} {
			w.fleet.Store.SetOutage(outage)
			for range 4 {
				time.Sleep(10 * time.Second)
				w.want("during the outage", "", w.codes(clients))
			}
			w.fleet.Store.SetOutage(store.InService)
			time.Sleep(5 * time.Second)
			w.want("after the outage", "", w.codes(clients))
		}
		w.closeAll(clients)
	})
}
