package chestnutdyke_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// Guards against a cancel request that cancels a later request on the same backend
// connection, and against a cancelled request that keeps running.
func TestCancel(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		ctx, cancel := context.WithTimeout(background, 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		go func() {
			<-ctx.Done()
			if err := c.PgConn().CancelRequest(background); err != nil {
				t.Error(err)
			}
		}()
		_, err := c.Exec(background, "SELECT pg_sleep(3)")
		if got := sqlState(err); got != "57014" {
			t.Errorf("SQLSTATE %q, want 57014 (%v)", got, err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("cancelled after %v", elapsed)
		}
		h.query(c, "SELECT server()")
		h.close(c)
	})
}

// Guards against a lost cancel request when the load balancer sends it to another
// VM than the session's.
func TestCancelThroughAnotherVM(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		var sent sync.WaitGroup
		sent.Go(func() {
			time.Sleep(50 * time.Millisecond)
			other := h.clientConfig(1, "")
			conn, err := other.DialFunc(background, "tcp", "")
			if err != nil {
				t.Error(err)
				return
			}
			raw, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}).Encode(nil)
			if err != nil {
				t.Error(err)
			}
			if _, err := conn.Write(raw); err != nil {
				t.Error(err)
			}
			time.Sleep(100 * time.Millisecond)
			conn.Close()
		})
		_, err := c.Exec(background, "SELECT pg_sleep(3)")
		if got := sqlState(err); got != "57014" {
			t.Errorf("SQLSTATE %q, want 57014 (%v)", got, err)
		}
		sent.Wait()
		h.close(c)
	})
}

// Guards against a graceful shutdown that interrupts a transaction.
func TestDrainWaitsForTransactions(t *testing.T) {
	withFleet(t, func(h *harness) {
		idle, busy := h.connect(0, ""), h.connect(0, "")
		tx, err := busy.Begin(background)
		if err != nil {
			t.Fatal(err)
		}
		drained := make(chan error, 1)
		go func() { drained <- h.fleet.VM(0).Drain(background) }()
		time.Sleep(100 * time.Millisecond)
		if err := idle.Ping(background); err == nil {
			t.Error("idle session was not closed")
		}
		if _, err := tx.Exec(background, "INSERT INTO kv VALUES ('a', '1')"); err != nil {
			t.Fatal(err)
		}
		if err := tx.Commit(background); err != nil {
			t.Fatal(err)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		if n := len(h.group.Commits()); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
	})
}

// Guards against a graceful shutdown that truncates an answer which the client is
// still reading. The answer is larger than the network's buffers.
func TestStopDoesNotTruncateAnswers(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		const entries = 30
		for i := range entries {
			h.exec(c, "APPEND log '"+strconv.Itoa(i)+strings.Repeat("x", 64<<10)+"'")
		}
		results := c.PgConn().Exec(background, "SELECT entry FROM log")
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- h.fleet.StopVM(background, 0) }()
		time.Sleep(time.Second)
		read, err := results.ReadAll()
		if err != nil || len(read) != 1 || len(read[0].Rows) != entries {
			t.Errorf("%d results, %v", len(read), err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a connection that is closed before the client has received the
// reason for the refused login.
func TestRefusedLoginReturnsSQLState(t *testing.T) {
	tests := []struct {
		name, user, database, key, code string
	}{
		{"wrong key", "bindery", "ledger", "other", "28P01"},
		{"unknown customer", "nobody", "ledger", fleet.Key("bindery"), "28P01"},
		{"unknown route", "bindery", "other", fleet.Key("bindery"), "3D000"},
	}
	withFleet(t, func(h *harness) {
		for _, tt := range tests {
			cfg := h.clientConfig(0, "")
			cfg.User, cfg.Database, cfg.Password = tt.user, tt.database, tt.key
			_, err := pgx.ConnectConfig(background, cfg)
			if got := sqlState(err); got != tt.code {
				t.Errorf("%s: SQLSTATE %q, want %s (%v)", tt.name, got, tt.code, err)
			}
		}
	})
}

// Guards against a request that gets a network error instead of an answer because
// a graceful shutdown closes its session while the request is in flight.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	withFleet(t, func(h *harness) {
		const clients = 20
		var running sync.WaitGroup
		for range clients {
			c := h.connect(0, "")
			running.Go(func() {
				for {
					_, err := c.Exec(background, "SELECT 1")
					if err == nil {
						continue
					}
					if got := sqlState(err); got != "57P01" {
						t.Errorf("SQLSTATE %q, want 57P01 (%v)", got, err)
					}
					c.Close(background)
					return
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		if err := h.fleet.VM(0).Drain(background); err != nil {
			t.Error(err)
		}
		running.Wait()
	})
}
