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

// Guards against a cancel request that hits the next user of the connection,
// and against a cancelled request that goes on.
func TestCancel(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
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
		if d := time.Since(start); d > time.Second {
			t.Errorf("cancelled after %v", d)
		}
		w.query(c, "SELECT server()")
		w.close(c)
	})
}

// Guards against a cancel request that is lost because the load balancer sent
// it to another VM.
func TestCancelThroughAnotherVM(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
		var sent sync.WaitGroup
		sent.Go(func() {
			time.Sleep(50 * time.Millisecond)
			other := w.clientConfig(1, "")
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
		w.close(c)
	})
}

// Guards against a planned stop that cuts a transaction.
func TestDrainWaitsForTransactions(t *testing.T) {
	inWorld(t, func(w *world) {
		idle, busy := w.connect(0, ""), w.connect(0, "")
		tx, err := busy.Begin(background)
		if err != nil {
			t.Fatal(err)
		}
		drained := make(chan error, 1)
		go func() { drained <- w.fleet.VM(0).Drain(background) }()
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
		if n := len(w.group.Commits()); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
	})
}

// Guards against a planned stop that cuts an answer which the client has not
// read yet. The answer is larger than what the network holds.
func TestStopLeavesAnswersWhole(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
		const entries = 30
		for i := range entries {
			w.exec(c, "APPEND log '"+strconv.Itoa(i)+strings.Repeat("x", 64<<10)+"'")
		}
		results := c.PgConn().Exec(background, "SELECT entry FROM log")
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- w.fleet.StopVM(background, 0) }()
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

// Guards against a refusal that the client does not see because its connection
// is closed first.
func TestRefusedLoginSaysWhy(t *testing.T) {
	tests := []struct {
		name, user, database, key, code string
	}{
		{"wrong key", "bindery", "ledger", "other", "28P01"},
		{"unknown customer", "nobody", "ledger", fleet.Key("bindery"), "28P01"},
		{"unknown route", "bindery", "other", fleet.Key("bindery"), "3D000"},
	}
	inWorld(t, func(w *world) {
		for _, tt := range tests {
			cfg := w.clientConfig(0, "")
			cfg.User, cfg.Database, cfg.Password = tt.user, tt.database, tt.key
			_, err := pgx.ConnectConfig(background, cfg)
			if got := sqlState(err); got != tt.code {
				t.Errorf("%s: SQLSTATE %q, want %s (%v)", tt.name, got, tt.code, err)
			}
		}
	})
}

// Guards against a request that gets an error of the network in place of an
// answer, because it crossed the end of its session in a planned stop.
func TestDrainAnswersCrossingRequests(t *testing.T) {
	inWorld(t, func(w *world) {
		const clients = 20
		var working sync.WaitGroup
		for range clients {
			c := w.connect(0, "")
			working.Go(func() {
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
		if err := w.fleet.VM(0).Drain(background); err != nil {
			t.Error(err)
		}
		working.Wait()
	})
}
