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

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

var background = context.Background()

// Guards against a write taken for a read that is lost or refused.
func TestSelectThatWritesRunsOnPrimary(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
		w.exec(c, "SET chestnutdyke.max_staleness = '1h'")
		if _, err := c.Exec(background, "SELECT write_kv('a', '1')"); err != nil {
			t.Fatal(err)
		}
		if n := len(w.group.Commits()); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
		w.exec(c, "RESET chestnutdyke.max_staleness")
		if got := w.query(c, "SELECT value FROM kv WHERE key = 'a'"); got != "1" {
			t.Errorf("value %q, want 1", got)
		}
		w.close(c)
	})
}

// Guards against a write taken for a read that fails because the server parsed
// and described it before it refused to run it.
func TestSelectThatWritesByExtendedProtocol(t *testing.T) {
	modes := map[string]pgx.QueryExecMode{
		"unnamed statement":   pgx.QueryExecModeExec,
		"described statement": pgx.QueryExecModeDescribeExec,
		"named statement":     pgx.QueryExecModeCacheStatement,
	}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c := w.connect(0, "")
				for _, value := range []string{"1", "2"} {
					if got := w.query(c, "SELECT write_kv($1, $2)", mode, "a", value); got != value {
						t.Errorf("answer %q, want %q", got, value)
					}
				}
				if n := len(w.group.Commits()); n != 2 {
					t.Errorf("%d commits, want 2", n)
				}
				w.close(c)
			})
		})
	}
}

// Guards against settings and prepared statements of one session showing up in
// another that gets the same backend connection.
func TestSessionStateStaysWithItsSession(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.connect(0, ""), w.connect(0, "")
		w.exec(a, "SET application_name = 'inventory'")
		if _, err := a.Prepare(background, "stmt", "SELECT value FROM kv WHERE key = $1"); err != nil {
			t.Fatal(err)
		}
		w.exec(a, "INSERT INTO kv VALUES ('a', '1')")
		for range 3 {
			if got := w.query(b, "SHOW application_name"); got == "inventory" {
				t.Error("another session sees the setting")
			}
			if got := w.query(a, "SHOW application_name"); got != "inventory" {
				t.Errorf("setting is %q, want inventory", got)
			}
			if got := w.query(a, "stmt", "a"); got != "1" {
				t.Errorf("prepared statement returned %q, want 1", got)
			}
		}
		if _, err := b.Exec(background, "stmt", "a"); err == nil {
			t.Error("another session runs the prepared statement")
		}
		w.close(a)
		w.close(b)
	})
}

// Guards against two transactions that share a backend connection.
func TestTransactionsDoNotMix(t *testing.T) {
	inWorld(t, func(w *world) {
		a, b := w.connect(0, ""), w.connect(1, "")
		txA, err := a.Begin(background)
		if err != nil {
			t.Fatal(err)
		}
		txB, err := b.Begin(background)
		if err != nil {
			t.Fatal(err)
		}
		for _, sql := range []string{"INSERT INTO kv VALUES ('a', '1')", "INSERT INTO kv VALUES ('c', '3')"} {
			if _, err := txA.Exec(background, sql); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := txB.Exec(background, "INSERT INTO kv VALUES ('b', '2')"); err != nil {
			t.Fatal(err)
		}
		if err := txB.Rollback(background); err != nil {
			t.Fatal(err)
		}
		if err := txA.Commit(background); err != nil {
			t.Fatal(err)
		}
		if got := w.query(b, "SELECT count(*) FROM kv"); got != "2" {
			t.Errorf("%s rows, want the 2 of the committed transaction", got)
		}
		w.close(a)
		w.close(b)
	})
}

// Guards against a transaction that stays open after its client has left, and
// against the reuse of its connection.
func TestClientThatLeavesRollsBack(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.connect(0, "")
		tx, err := a.Begin(background)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(background, "INSERT INTO kv VALUES ('a', '1')"); err != nil {
			t.Fatal(err)
		}
		if err := a.PgConn().Conn().Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		b := w.connect(0, "")
		if got := w.query(b, "SELECT count(*) FROM kv"); got != "0" {
			t.Errorf("%s rows, want 0", got)
		}
		w.close(b)
	})
}

// Guards against a write that runs twice, or whose unknown outcome is reported
// as "not run", when its connection breaks around the commit.
func TestLostConnectionAroundCommit(t *testing.T) {
	moments := map[string]dbgroup.Moment{
		"before the commit":      dbgroup.BeforeCommit,
		"after the commit":       dbgroup.AfterCommit,
		"in the answer's middle": dbgroup.MidAnswer,
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c := w.connect(0, "")
				w.group.Server("ledger-a").BreakConnections(dbgroup.Break{Moment: moment})
				_, err := c.Exec(background, "APPEND log 'lot 7'")
				if got := sqlState(err); got != "08007" {
					t.Errorf("SQLSTATE %q, want 08007 (%v)", got, err)
				}
				if n := len(w.group.Commits()); n > 1 {
					t.Errorf("%d commits, want at most 1", n)
				}
				w.exec(c, "APPEND log 'lot 8'")
				w.close(c)
			})
		})
	}
}

// Guards against batches that commit in their middle: one that begins like a
// transaction and is repeated after it ran, one whose commit took effect and is
// reported as rolled back, and one whose commit is acknowledged before a
// majority holds it because a transaction is open at its end.
func TestBatchesThatCommit(t *testing.T) {
	tests := []struct {
		name  string
		setup string // in a transaction, if not empty
		batch string
		fault func(g *dbgroup.Group)
	}{
		{"whole transaction", "", "BEGIN; APPEND log 'lot 7'; COMMIT", breakAfterCommit},
		{"last write and commit", "APPEND log 'lot 6'", "APPEND log 'lot 7'; COMMIT", breakAfterCommit},
		{"rollback and write", "APPEND log 'lot 6'", "ROLLBACK; APPEND log 'lot 7'", breakAfterCommit},
		{"commit and begin", "APPEND log 'lot 7'", "COMMIT; BEGIN", holdReplicas},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				c := w.connect(0, "")
				if tt.setup != "" {
					w.exec(c, "BEGIN")
					w.exec(c, tt.setup)
				}
				tt.fault(w.group)
				_, err := c.Exec(background, tt.batch, pgx.QueryExecModeSimpleProtocol)
				if got := sqlState(err); got != "08007" {
					t.Errorf("SQLSTATE %q, want 08007 (%v)", got, err)
				}
				if n := len(w.group.Commits()); n != 1 {
					t.Errorf("%d commits, want 1", n)
				}
			})
		})
	}
}

func breakAfterCommit(g *dbgroup.Group) {
	g.Server("ledger-a").BreakConnections(dbgroup.Break{Moment: dbgroup.AfterCommit})
}

func holdReplicas(g *dbgroup.Group) {
	g.Server("ledger-b").HoldReplication(true)
	g.Server("ledger-c").HoldReplication(true)
}

// Guards against a refusal of requests that the proxy cannot keep apart under
// transaction pooling going unnoticed.
func TestUnsupportedStatements(t *testing.T) {
	tests := []struct{ name, sql string }{
		{"listen", "LISTEN changes"},
		{"copy", "COPY kv FROM STDIN"},
		{"temporary table", "CREATE TEMP TABLE t (a int)"},
		{"prepare", "PREPARE p AS SELECT 1"},
		{"session access mode", "SET default_transaction_read_only = on"},
	}
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
		for _, tt := range tests {
			_, err := c.Exec(background, tt.sql, pgx.QueryExecModeSimpleProtocol)
			if got := sqlState(err); got != "0A000" {
				t.Errorf("%s: SQLSTATE %q, want 0A000", tt.name, got)
			}
		}
		w.close(c)
	})
}

// Guards against the use of another customer's or a forged session token.
func TestForeignTokenIsRefused(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(0, "")
		_, err := c.Exec(background, "SET chestnutdyke.session = 'e30.e30'")
		if got := sqlState(err); got != "22023" {
			t.Errorf("SQLSTATE %q, want 22023", got)
		}
		w.close(c)
	})
}

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
