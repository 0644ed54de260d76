package chestnutdyke_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
)

var background = context.Background()

// Guards against losing or refusing a write that was classified as a read.
func TestSelectThatWritesRunsOnPrimary(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		h.exec(c, "SET chestnutdyke.max_staleness = '1h'")
		if _, err := c.Exec(background, "SELECT write_kv('a', '1')"); err != nil {
			t.Fatal(err)
		}
		if n := len(h.group.Commits()); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
		h.exec(c, "RESET chestnutdyke.max_staleness")
		if got := h.query(c, "SELECT value FROM kv WHERE key = 'a'"); got != "1" {
			t.Errorf("value %q, want 1", got)
		}
		h.close(c)
	})
}

// Guards against an error for a write that was classified as a read: the replica
// parses and describes the statement before it refuses to run it.
func TestSelectThatWritesByExtendedProtocol(t *testing.T) {
	modes := map[string]pgx.QueryExecMode{
		"unnamed statement":   pgx.QueryExecModeExec,
		"described statement": pgx.QueryExecModeDescribeExec,
		"named statement":     pgx.QueryExecModeCacheStatement,
	}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(h *harness) {
				c := h.connect(0, "")
				for _, value := range []string{"1", "2"} {
					if got := h.query(c, "SELECT write_kv($1, $2)", mode, "a", value); got != value {
						t.Errorf("answer %q, want %q", got, value)
					}
				}
				if n := len(h.group.Commits()); n != 2 {
					t.Errorf("%d commits, want 2", n)
				}
				h.close(c)
			})
		})
	}
}

// Guards against settings and prepared statements of one session leaking into
// another that uses the same backend connection.
func TestSessionStateIsIsolated(t *testing.T) {
	withFleet(t, func(h *harness) {
		a, b := h.connect(0, ""), h.connect(0, "")
		h.exec(a, "SET application_name = 'inventory'")
		if _, err := a.Prepare(background, "stmt", "SELECT value FROM kv WHERE key = $1"); err != nil {
			t.Fatal(err)
		}
		h.exec(a, "INSERT INTO kv VALUES ('a', '1')")
		for range 3 {
			if got := h.query(b, "SHOW application_name"); got == "inventory" {
				t.Error("another session sees the setting")
			}
			if got := h.query(a, "SHOW application_name"); got != "inventory" {
				t.Errorf("setting is %q, want inventory", got)
			}
			if got := h.query(a, "stmt", "a"); got != "1" {
				t.Errorf("prepared statement returned %q, want 1", got)
			}
		}
		if _, err := b.Exec(background, "stmt", "a"); err == nil {
			t.Error("another session runs the prepared statement")
		}
		h.close(a)
		h.close(b)
	})
}

// Guards against two concurrent transactions sharing a backend connection.
func TestTransactionsUseSeparateConnections(t *testing.T) {
	withFleet(t, func(h *harness) {
		a, b := h.connect(0, ""), h.connect(1, "")
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
		if got := h.query(b, "SELECT count(*) FROM kv"); got != "2" {
			t.Errorf("%s rows, want the 2 of the committed transaction", got)
		}
		h.close(a)
		h.close(b)
	})
}

// Guards against a transaction that stays open after its client disconnects, and
// against the reuse of its backend connection.
func TestDisconnectRollsBackTransaction(t *testing.T) {
	withFleet(t, func(h *harness) {
		a := h.connect(0, "")
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
		b := h.connect(0, "")
		if got := h.query(b, "SELECT count(*) FROM kv"); got != "0" {
			t.Errorf("%s rows, want 0", got)
		}
		h.close(b)
	})
}

// Guards against a write that runs twice, or whose unknown outcome is reported as
// "not run", when the backend connection breaks around the commit.
func TestLostConnectionAroundCommit(t *testing.T) {
	moments := map[string]dbgroup.BreakPoint{
		"before the commit":      dbgroup.BeforeCommit,
		"after the commit":       dbgroup.AfterCommit,
		"in the answer's middle": dbgroup.MidResponse,
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(h *harness) {
				c := h.connect(0, "")
				h.group.Server("ledger-a").BreakConnections(dbgroup.ConnectionFault{Point: moment})
				_, err := c.Exec(background, "APPEND log 'lot 7'")
				if got := sqlState(err); got != "08007" {
					t.Errorf("SQLSTATE %q, want 08007 (%v)", got, err)
				}
				if n := len(h.group.Commits()); n > 1 {
					t.Errorf("%d commits, want at most 1", n)
				}
				h.exec(c, "APPEND log 'lot 8'")
				h.close(c)
			})
		})
	}
}

// Guards against wrong handling of batches that contain a commit: running a batch
// again although it committed, reporting a commit that took effect as rolled back,
// and acknowledging a commit before a majority has it because the batch ends in an
// open transaction.
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
		{"commit and begin", "APPEND log 'lot 7'", "COMMIT; BEGIN", pauseReplication},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, func(h *harness) {
				c := h.connect(0, "")
				if tt.setup != "" {
					h.exec(c, "BEGIN")
					h.exec(c, tt.setup)
				}
				tt.fault(h.group)
				_, err := c.Exec(background, tt.batch, pgx.QueryExecModeSimpleProtocol)
				if got := sqlState(err); got != "08007" {
					t.Errorf("SQLSTATE %q, want 08007 (%v)", got, err)
				}
				if n := len(h.group.Commits()); n != 1 {
					t.Errorf("%d commits, want 1", n)
				}
			})
		})
	}
}

func breakAfterCommit(g *dbgroup.Group) {
	g.Server("ledger-a").BreakConnections(dbgroup.ConnectionFault{Point: dbgroup.AfterCommit})
}

func pauseReplication(g *dbgroup.Group) {
	g.Server("ledger-b").HoldReplication(true)
	g.Server("ledger-c").HoldReplication(true)
}

// Guards against running statements that transaction pooling does not support.
// Except for COPY, their effect on the connection would leak to other sessions.
func TestUnsupportedStatements(t *testing.T) {
	tests := []struct{ name, sql string }{
		{"listen", "LISTEN changes"},
		{"copy", "COPY kv FROM STDIN"},
		{"temporary table", "CREATE TEMP TABLE t (a int)"},
		{"prepare", "PREPARE p AS SELECT 1"},
		{"session access mode", "SET default_transaction_read_only = on"},
	}
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		for _, tt := range tests {
			_, err := c.Exec(background, tt.sql, pgx.QueryExecModeSimpleProtocol)
			if got := sqlState(err); got != "0A000" {
				t.Errorf("%s: SQLSTATE %q, want 0A000", tt.name, got)
			}
		}
		h.close(c)
	})
}

// Guards against accepting a forged session token.
func TestForgedTokenIsRefused(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(0, "")
		_, err := c.Exec(background, "SET chestnutdyke.session = 'e30.e30'")
		if got := sqlState(err); got != "22023" {
			t.Errorf("SQLSTATE %q, want 22023", got)
		}
		h.close(c)
	})
}
