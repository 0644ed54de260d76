package fleettest

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// longDeadline is longer than a ticket takes to be in force.
const longDeadline = 20 * time.Second

// setDeadline returns a ticket change that sets the deadline of a route.
func setDeadline(route string, d time.Duration) func(*state.Config, *ticket.Ticket) {
	return func(c *state.Config, t *ticket.Ticket) {
		changed := *c.Routes[route]
		changed.Deadline = d
		t.Routes[route] = &changed
	}
}

// exec starts a statement on each connection. The returned function waits for the results
// and returns their SQLSTATEs.
func (h *harness) exec(conns []*pgx.Conn, sql string) func() []string {
	codes := make([]string, len(conns))
	var running sync.WaitGroup
	for i, conn := range conns {
		running.Go(func() {
			ctx, cancel := context.WithTimeout(baseContext, 2*longDeadline)
			defer cancel()
			_, err := conn.Exec(ctx, sql)
			codes[i], _ = sqlState(err)
		})
	}
	return func() []string {
		running.Wait()
		return codes
	}
}

// Guards against a request that waits for a backend server while its customer's key is
// revoked, and is sent as soon as there is one.
func TestKeyRevokedWhileRequestsWaitForServers(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		c, g := largeCustomer(p).Name, h.fleet.Groups[p.Groups[0]]
		h.apply("A longer deadline.", setDeadline(p.Groups[0], longDeadline))
		h.waitInForce(h.tickets, h.allVMs())
		clients := h.connectToAllVMs(c, fleet.Key(c))
		for _, s := range g.Servers() {
			s.Stop()
		}
		codes := h.exec(clients, "APPEND log 'load/"+c+"/late'")
		time.Sleep(100 * time.Millisecond)
		h.apply("The key is revoked.", setKeys(c, "-"+fleet.Key(c), "second-key"))
		h.waitInForce(h.tickets, h.allVMs())
		revoked := time.Now()
		for _, s := range g.Servers() {
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
		}
		h.checkCodes("write that waited", "28P01", codes())
		if n := len(g.Commits()); n > 0 {
			t.Errorf("%d writes were committed", n)
		}
		for _, s := range h.recorder.sentFor(c) {
			if s.at.After(revoked) {
				t.Errorf("a statement was sent %v after the key was revoked", s.at.Sub(revoked))
			}
		}
		h.closeAll(clients)
	})
}
