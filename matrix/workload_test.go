package matrix

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

const (
	sharedKeys = 2 // keys that all clients write
	ownKeys    = 2 // keys that one client writes
	// The pauses keep cells fast, and let a request in most milliseconds of a
	// cell be under way.
	shortestPause  = 2 * time.Millisecond
	longestPause   = 30 * time.Millisecond
	reconnectPause = 50 * time.Millisecond
)

// run makes requests until the cell's workload ends. next chooses each one.
func (cl *client) run(next func()) {
	for !cl.cell.ending() {
		if !cl.connected() {
			time.Sleep(reconnectPause)
			continue
		}
		if conn := cl.current(); conn.PgConn().TxStatus() != 'I' {
			cl.close() // a batch failed after its BEGIN
			continue
		}
		next()
		time.Sleep(shortestPause + time.Duration(cl.rng.Int64N(int64(longestPause-shortestPause))))
	}
	cl.leaveTx()
}

// anything makes a request of a random kind.
func (cl *client) anything() {
	switch n := cl.rng.IntN(100); {
	case n < 20:
		cl.read(cl.ownKey())
	case n < 28:
		cl.read(cl.sharedKey())
	case n < 33:
		cl.readStale(cl.ownKey())
	case n < 40:
		cl.readLog()
	case n < 55:
		cl.upsert(cl.ownKey())
	case n < 60:
		cl.upsert(cl.sharedKey())
	case n < 64:
		cl.insert()
	case n < 67:
		cl.selectThatWrites()
	case n < 77:
		cl.append()
	case n < 82:
		cl.several()
	case n < 85:
		cl.idempotent()
	case n < 87:
		cl.wholeTransaction()
	case n < 93:
		cl.transaction(cl.rng.IntN(8) > 0)
	case n < 96:
		cl.readTransaction()
	default:
		cl.move()
	}
}

func (cl *client) ownKey() string    { return fmt.Sprintf("%s-%d", cl.name, cl.rng.IntN(ownKeys)) }
func (cl *client) sharedKey() string { return fmt.Sprintf("shared-%d", cl.rng.IntN(sharedKeys)) }

func (cl *client) read(key string) bool {
	return cl.do(history.Request{Kind: history.Read, Key: key}, "SELECT value FROM kv WHERE key = $1", key)
}

// readStale accepts old data, but no older than the session's own writes.
func (cl *client) readStale(key string) bool {
	return cl.do(history.Request{Kind: history.Read, Key: key},
		"/* chestnutdyke.max_staleness=300ms */ SELECT value FROM kv WHERE key = $1", key)
}

func (cl *client) readLog() bool {
	return cl.do(history.Request{Kind: history.ReadLog}, "SELECT entry FROM log")
}

func (cl *client) write(returning, idempotent bool, change history.Change, sql string) bool {
	r := history.Request{
		Kind: history.Write, Changes: []history.Change{change}, Returning: returning, Idempotent: idempotent,
	}
	if change.Key == "" {
		return cl.do(r, sql, change.Value)
	}
	return cl.do(r, sql, change.Key, change.Value)
}

func (cl *client) upsert(key string) bool {
	return cl.write(true, false, history.Change{Key: key, Value: cl.unique()}, "UPSERT kv ($1, $2) RETURNING value")
}

func (cl *client) insert() bool {
	v := cl.unique()
	return cl.write(true, false, history.Change{Key: "row-" + v, Value: v}, "INSERT INTO kv VALUES ($1, $2) RETURNING value")
}

// selectThatWrites looks like a read until a server refuses it as a write.
func (cl *client) selectThatWrites() bool {
	return cl.write(true, false, history.Change{Key: cl.ownKey(), Value: cl.unique()}, "SELECT write_kv($1, $2)")
}

func (cl *client) append() bool {
	return cl.write(false, false, history.Change{Value: cl.unique()}, "APPEND log $1")
}

// idempotent writes a key of its own, because a late repetition would replace
// later values.
func (cl *client) idempotent() bool {
	v := cl.unique()
	return cl.write(true, true, history.Change{Key: "repeated-" + v, Value: v},
		"/* chestnutdyke.idempotent=on */ UPSERT kv ($1, $2) RETURNING value")
}

// several sends statements that run in one implicit transaction.
func (cl *client) several() bool {
	a, b, c, key := cl.unique(), cl.unique(), cl.unique(), cl.ownKey()
	r := history.Request{Kind: history.Write, Returning: true, Changes: []history.Change{
		{Value: a}, {Key: key, Value: b}, {Value: c},
	}}
	return cl.do(r, fmt.Sprintf("APPEND log '%s'; UPSERT kv ('%s', '%s') RETURNING value; APPEND log '%s'", a, key, b, c))
}

// wholeTransaction sends a transaction in one simple query.
func (cl *client) wholeTransaction() bool {
	a, b, key := cl.unique(), cl.unique(), cl.ownKey()
	r := history.Request{Kind: history.Write, Returning: true, Changes: []history.Change{{Value: a}, {Key: key, Value: b}}}
	return cl.do(r, fmt.Sprintf("BEGIN; APPEND log '%s'; UPSERT kv ('%s', '%s') RETURNING value; COMMIT", a, key, b))
}

// transaction runs statements in a transaction, each with a mark of it.
func (cl *client) transaction(commit bool) bool {
	if !cl.do(history.Request{Kind: history.Begin}, "BEGIN") {
		return false
	}
	if !cl.statementsInTx() || !commit {
		return cl.leaveTx()
	}
	switch cl.rng.IntN(4) {
	case 0:
		return cl.commitWithWrite()
	case 1:
		return cl.commitAndBegin() && cl.statementsInTx() && cl.commit()
	default:
		return cl.commit()
	}
}

func (cl *client) statementsInTx() bool {
	key := cl.ownKey()
	for range 1 + cl.rng.IntN(2) {
		if !cl.upsert(key) || !cl.append() {
			return false
		}
	}
	return cl.rng.IntN(2) == 0 || cl.read(key)
}

func (cl *client) commit() bool {
	ok := cl.do(history.Request{Kind: history.Commit}, "COMMIT")
	cl.tx = 0
	return ok
}

// commitWithWrite sends the last write and the commit in one simple query.
func (cl *client) commitWithWrite() bool {
	v := cl.unique()
	r := history.Request{Kind: history.Commit, Changes: []history.Change{{Value: v}}}
	ok := cl.do(r, fmt.Sprintf("APPEND log '%s'; COMMIT", v))
	cl.tx = 0
	return ok
}

// commitAndBegin commits and begins the next transaction in one simple query.
func (cl *client) commitAndBegin() bool {
	ok := cl.do(history.Request{Kind: history.Commit}, "COMMIT; BEGIN")
	cl.tx = 0
	if !ok {
		cl.close() // whether a transaction is open is not known
		return false
	}
	cl.tx = cl.cell.recorder.Invoke(history.Request{Session: cl.name, Kind: history.Begin})
	cl.cell.recorder.End(cl.tx, history.Result{Outcome: history.Answered})
	return true
}

// leaveTx rolls back what is open.
func (cl *client) leaveTx() bool {
	if cl.tx == 0 {
		return false
	}
	if conn := cl.current(); conn != nil && !conn.IsClosed() {
		cl.do(history.Request{Kind: history.Rollback}, "ROLLBACK")
	}
	cl.tx = 0
	return false
}

func (cl *client) readTransaction() bool {
	if !cl.do(history.Request{Kind: history.Begin}, "BEGIN READ ONLY") {
		return false
	}
	if !cl.read(cl.ownKey()) || !cl.readLog() {
		return cl.leaveTx()
	}
	return cl.commit()
}

// checkReads reads everything that the session wrote.
func (cl *client) checkReads() {
	for i := range ownKeys {
		cl.read(fmt.Sprintf("%s-%d", cl.name, i))
	}
	cl.readLog()
}
