package dbgroup

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against wire messages that a PostgreSQL client does not accept, and
// against blocking calls that are not durable in synctest, which would stop the
// clock of the bubble.
func TestClientOverMemoryNetwork(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c := env.mustConnect("a")
		env.mustExec(c, "INSERT INTO kv VALUES ('k', 'it''s')")
		env.wantRows(env.mustExec(c, "SELECT value FROM kv WHERE key = 'k'"), "it's")
		env.wantRows(env.mustExec(c, "SELECT server()"), "a")

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
		env.wantCode(err, codeSyntaxError)
		if got := env.group.Startups(); len(got) != 1 || got[0].Password != "proxy-password" {
			t.Fatalf("startups %+v", got)
		}
	})
}

// Guards against effects of a failed transaction, and against a failed pipeline
// that is committed in part.
func TestTransactionsAreAtomic(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c := env.mustConnect("a")
		_, err := exec(c, "APPEND log '1'; INSERT INTO kv VALUES ('k', 'v'); INSERT INTO kv VALUES ('k', 'v')")
		env.wantCode(err, codeDuplicateKey)
		env.mustExec(c, "BEGIN")
		env.mustExec(c, "APPEND log '2'")
		_, err = exec(c, "SELECT nonsense")
		env.wantCode(err, codeSyntaxError)
		_, err = exec(c, "SELECT 1")
		env.wantCode(err, codeFailedTransaction)
		env.mustExec(c, "COMMIT")

		var batch pgconn.Batch
		batch.ExecParams("APPEND log '3'", nil, nil, nil, nil)
		batch.ExecParams("SELECT nonsense", nil, nil, nil, nil)
		_, err = c.ExecBatch(context.Background(), &batch).ReadAll()
		env.wantCode(err, codeSyntaxError)
		env.wantRows(env.mustExec(c, "SELECT entry FROM log"))

		env.mustExec(c, "BEGIN; APPEND log '4'; APPEND log '5'; COMMIT")
		env.wantRows(env.mustExec(c, "SELECT entry FROM log"), "4", "5")
		if n := len(env.group.Commits()); n != 1 {
			t.Fatalf("%d commits, want 1", n)
		}
	})
}

// Guards against a write that executes before it is refused as read-only.
func TestReadOnlyRefusalComesBeforeTheWrite(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c := env.mustConnect("a")
		for _, sql := range []string{
			"SET default_transaction_read_only = on; SELECT 1",
			"SELECT write_kv('k', 'v')",
			"BEGIN READ ONLY; UPSERT kv ('k', 'v')",
			"ROLLBACK; BEGIN; SET TRANSACTION READ ONLY; APPEND log 'x'",
		} {
			_, err := exec(c, sql)
			if sql[:3] != "SET" {
				env.wantCode(err, codeReadOnly)
			}
		}
		replica := env.mustConnect("b")
		_, err := exec(replica, "APPEND log 'x'")
		env.wantCode(err, codeReadOnly)
		if len(env.group.Commits()) != 0 || env.group.Server("b").Statements() != 0 {
			t.Fatal("a refused write ran")
		}
		env.mustExec(c, "ROLLBACK")
		env.mustExec(c, "RESET ALL")
		env.mustExec(c, "APPEND log 'y'")
	})
}

// Guards against more concurrent statements than there are slots, and against a
// slot that is lost when a statement is cancelled.
func TestSlotsQueueStatements(t *testing.T) {
	twoSlots := func(o *Options) {
		o.Servers[0].Slots = 2
		o.Servers[0].StatementDuration = 10 * time.Millisecond
	}
	inBubble(t, twoSlots, func(t *testing.T, env *testEnv) {
		const clients = 6
		done := make(chan error, clients)
		var conns []*pgconn.PgConn
		for range clients {
			conns = append(conns, env.mustConnect("a"))
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
				env.wantCode(err, codeCancelled)
				cancelled++
			}
		}
		if cancelled != 1 {
			t.Fatalf("%d statements cancelled, want 1", cancelled)
		}
		if took := time.Since(start); took < 25*time.Millisecond || took > 45*time.Millisecond {
			t.Fatalf("six statements of 10 ms took %v with two slots", took)
		}
		if n := env.group.Server("a").LongestQueue(); n != clients-2 {
			t.Fatalf("longest queue %d, want %d", n, clients-2)
		}
	})
}

// Guards against more connections than the limit, and against a limit that counts
// closed connections.
func TestConnectionLimit(t *testing.T) {
	twoConnections := func(o *Options) {
		o.Servers[0].Connections = 2
		o.Servers[0].ConnectDelay = 30 * time.Millisecond
	}
	inBubble(t, twoConnections, func(t *testing.T, env *testEnv) {
		start := time.Now()
		first := env.mustConnect("a")
		if took := time.Since(start); took < 30*time.Millisecond {
			t.Fatalf("connected in %v, below the connect cost", took)
		}
		env.mustConnect("a")
		_, err := env.connect("a")
		env.wantCode(err, codeTooManyConnections)
		first.Close(context.Background())
		time.Sleep(time.Millisecond)
		env.mustConnect("a")
	})
}
