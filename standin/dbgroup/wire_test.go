package dbgroup

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against wire messages that a PostgreSQL client does not accept, and
// against blocking that synctest does not see.
func TestClientOverMemoryNetwork(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c := w.mustConnect("a")
		w.mustExec(c, "INSERT INTO kv VALUES ('k', 'it''s')")
		w.wantRows(w.mustExec(c, "SELECT value FROM kv WHERE key = 'k'"), "it's")
		w.wantRows(w.mustExec(c, "SELECT server()"), "a")

		r := c.ExecParams(context.Background(), "UPSERT kv ($1, $2) RETURNING value", [][]byte{[]byte("k"), []byte("v2")}, nil, nil, nil).Read()
		if r.Err != nil || string(r.Rows[0][0]) != "v2" {
			t.Fatalf("extended upsert: %v", r)
		}
		if _, err := c.Prepare(context.Background(), "get", "SELECT value FROM kv WHERE key = $1", nil); err != nil {
			t.Fatal(err)
		}
		r = c.ExecPrepared(context.Background(), "get", [][]byte{[]byte("k")}, nil, nil).Read()
		if r.Err != nil || string(r.Rows[0][0]) != "v2" {
			t.Fatalf("prepared select: %v", r)
		}
		_, err := exec(c, "SELECT nonsense")
		w.wantCode(err, codeSyntax)
		if got := w.group.Startups(); len(got) != 1 || got[0].Password != "proxy-password" {
			t.Fatalf("startups %+v", got)
		}
	})
}

// Guards against effects of a failed transaction, or of a pipeline that is
// committed in part.
func TestTransactionsAreAtomic(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c := w.mustConnect("a")
		_, err := exec(c, "APPEND log '1'; INSERT INTO kv VALUES ('k', 'v'); INSERT INTO kv VALUES ('k', 'v')")
		w.wantCode(err, codeDuplicateKey)
		w.mustExec(c, "BEGIN")
		w.mustExec(c, "APPEND log '2'")
		_, err = exec(c, "SELECT nonsense")
		w.wantCode(err, codeSyntax)
		_, err = exec(c, "SELECT 1")
		w.wantCode(err, codeFailedTx)
		w.mustExec(c, "COMMIT")

		var batch pgconn.Batch
		batch.ExecParams("APPEND log '3'", nil, nil, nil, nil)
		batch.ExecParams("SELECT nonsense", nil, nil, nil, nil)
		_, err = c.ExecBatch(context.Background(), &batch).ReadAll()
		w.wantCode(err, codeSyntax)
		w.wantRows(w.mustExec(c, "SELECT entry FROM log"))

		w.mustExec(c, "BEGIN; APPEND log '4'; APPEND log '5'; COMMIT")
		w.wantRows(w.mustExec(c, "SELECT entry FROM log"), "4", "5")
		if n := len(w.group.Commits()); n != 1 {
			t.Fatalf("%d commits, want 1", n)
		}
	})
}

// Guards against a write that runs before it is refused as read-only.
func TestReadOnlyRefusalComesBeforeTheWrite(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c := w.mustConnect("a")
		for _, sql := range []string{
			"SET default_transaction_read_only = on; SELECT 1",
			"SELECT write_kv('k', 'v')",
			"BEGIN READ ONLY; UPSERT kv ('k', 'v')",
			"ROLLBACK; BEGIN; SET TRANSACTION READ ONLY; APPEND log 'x'",
		} {
			_, err := exec(c, sql)
			if sql[:3] != "SET" {
				w.wantCode(err, codeReadOnly)
			}
		}
		replica := w.mustConnect("b")
		_, err := exec(replica, "APPEND log 'x'")
		w.wantCode(err, codeReadOnly)
		if len(w.group.Commits()) != 0 || w.group.Server("b").Statements() != 0 {
			t.Fatal("a refused write ran")
		}
		w.mustExec(c, "ROLLBACK")
		w.mustExec(c, "RESET ALL")
		w.mustExec(c, "APPEND log 'y'")
	})
}

// Guards against more statements at once than there are slots, and against a
// slot that is lost when a waiting statement is cancelled or its client leaves.
func TestSlotsQueueStatements(t *testing.T) {
	slow := func(o *Options) {
		o.Servers[0].Slots = 2
		o.Servers[0].StatementCost = 10 * time.Millisecond
	}
	inBubble(t, slow, func(t *testing.T, w *world) {
		const clients = 6
		done := make(chan error, clients)
		var conns []*pgconn.PgConn
		for range clients {
			conns = append(conns, w.mustConnect("a"))
		}
		start := time.Now()
		for _, c := range conns {
			go func() {
				_, err := exec(c, "SELECT 1")
				done <- err
			}()
		}
		time.Sleep(5 * time.Millisecond)
		if err := conns[0].CancelRequest(context.Background()); err != nil {
			t.Fatal(err)
		}
		cancelled := 0
		for range clients {
			if err := <-done; err != nil {
				w.wantCode(err, codeCancelled)
				cancelled++
			}
		}
		if cancelled != 1 {
			t.Fatalf("%d statements cancelled, want 1", cancelled)
		}
		if took := time.Since(start); took < 25*time.Millisecond || took > 45*time.Millisecond {
			t.Fatalf("six statements of 10 ms took %v with two slots", took)
		}
		if n := w.group.Server("a").LongestQueue(); n != clients-2 {
			t.Fatalf("longest queue %d, want %d", n, clients-2)
		}
	})
}

// Guards against connections beyond the limit, and against a limit that counts
// closed connections.
func TestConnectionLimit(t *testing.T) {
	limited := func(o *Options) {
		o.Servers[0].Connections = 2
		o.Servers[0].ConnectCost = 30 * time.Millisecond
	}
	inBubble(t, limited, func(t *testing.T, w *world) {
		start := time.Now()
		first := w.mustConnect("a")
		if took := time.Since(start); took < 30*time.Millisecond {
			t.Fatalf("connected in %v, below the connect cost", took)
		}
		w.mustConnect("a")
		_, err := w.connect("a")
		w.wantCode(err, codeConnections)
		first.Close(context.Background())
		time.Sleep(time.Millisecond)
		w.mustConnect("a")
	})
}
