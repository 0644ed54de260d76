package matrix

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

const (
	sharedKeys = 2 // keys that all clients write
	ownKeys    = 2 // keys of each client that no other client writes
	// The pauses are short so that scenarios are fast and a request is in progress
	// for most of a scenario.
	minRequestPause = 2 * time.Millisecond
	maxRequestPause = 30 * time.Millisecond
	reconnectDelay  = 50 * time.Millisecond
)

// runWorkload calls sendRequest until the workload ends, with a random pause after
// each call.
func (cl *client) runWorkload(sendRequest func()) {
	for !cl.run.workloadDone() {
		if !cl.ensureConnected() {
			time.Sleep(reconnectDelay)
			continue
		}
		if conn := cl.currentConn(); conn.PgConn().TxStatus() != 'I' {
			cl.close() // a batch failed after its BEGIN and left a transaction open
			continue
		}
		sendRequest()
		time.Sleep(minRequestPause + time.Duration(cl.rng.Int64N(int64(maxRequestPause-minRequestPause))))
	}
	cl.rollbackOpenTx()
}

// randomRequest sends a request of a random kind.
func (cl *client) randomRequest() {
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
		cl.writingSelect()
	case n < 77:
		cl.append()
	case n < 82:
		cl.multiStatement()
	case n < 85:
		cl.idempotentWrite()
	case n < 87:
		cl.singleQueryTransaction()
	case n < 93:
		cl.transaction(cl.rng.IntN(8) > 0)
	case n < 96:
		cl.readTransaction()
	default:
		cl.moveToOtherVM()
	}
}

func (cl *client) ownKey() string    { return fmt.Sprintf("%s-%d", cl.name, cl.rng.IntN(ownKeys)) }
func (cl *client) sharedKey() string { return fmt.Sprintf("shared-%d", cl.rng.IntN(sharedKeys)) }

func (cl *client) read(key string) bool {
	return cl.execute(history.Request{Kind: history.Read, Key: key}, "SELECT value FROM kv WHERE key = $1", key)
}

// readStale accepts data up to 300 ms old, but no older than the session's own
// writes.
func (cl *client) readStale(key string) bool {
	return cl.execute(history.Request{Kind: history.Read, Key: key},
		"/* chestnutdyke.max_staleness=300ms */ SELECT value FROM kv WHERE key = $1", key)
}

func (cl *client) readLog() bool {
	return cl.execute(history.Request{Kind: history.ReadLog}, "SELECT entry FROM log")
}

func (cl *client) write(returning, idempotent bool, change history.Change, sql string) bool {
	r := history.Request{
		Kind: history.Write, Changes: []history.Change{change}, Returning: returning, Idempotent: idempotent,
	}
	if change.Key == "" {
		return cl.execute(r, sql, change.Value)
	}
	return cl.execute(r, sql, change.Key, change.Value)
}

func (cl *client) upsert(key string) bool {
	return cl.write(true, false, history.Change{Key: key, Value: cl.uniqueValue()}, "UPSERT kv ($1, $2) RETURNING value")
}

func (cl *client) insert() bool {
	v := cl.uniqueValue()
	return cl.write(true, false, history.Change{Key: "row-" + v, Value: v}, "INSERT INTO kv VALUES ($1, $2) RETURNING value")
}

// writingSelect sends a write that the proxy classifies as a read until a server
// refuses it.
func (cl *client) writingSelect() bool {
	return cl.write(true, false, history.Change{Key: cl.ownKey(), Value: cl.uniqueValue()}, "SELECT write_kv($1, $2)")
}

func (cl *client) append() bool {
	return cl.write(false, false, history.Change{Value: cl.uniqueValue()}, "APPEND log $1")
}

// idempotentWrite sends a write that the proxy may repeat. Each writes a new key,
// because a late repetition would overwrite later values.
func (cl *client) idempotentWrite() bool {
	v := cl.uniqueValue()
	return cl.write(true, true, history.Change{Key: "repeated-" + v, Value: v},
		"/* chestnutdyke.idempotent=on */ UPSERT kv ($1, $2) RETURNING value")
}

// multiStatement sends one simple query with statements that run in one implicit
// transaction.
func (cl *client) multiStatement() bool {
	a, b, c, key := cl.uniqueValue(), cl.uniqueValue(), cl.uniqueValue(), cl.ownKey()
	r := history.Request{Kind: history.Write, Returning: true, Changes: []history.Change{
		{Value: a}, {Key: key, Value: b}, {Value: c},
	}}
	return cl.execute(r, fmt.Sprintf("APPEND log '%s'; UPSERT kv ('%s', '%s') RETURNING value; APPEND log '%s'", a, key, b, c))
}

// singleQueryTransaction sends BEGIN, writes and COMMIT in one simple query.
func (cl *client) singleQueryTransaction() bool {
	a, b, key := cl.uniqueValue(), cl.uniqueValue(), cl.ownKey()
	r := history.Request{Kind: history.Write, Returning: true, Changes: []history.Change{{Value: a}, {Key: key, Value: b}}}
	return cl.execute(r, fmt.Sprintf("BEGIN; APPEND log '%s'; UPSERT kv ('%s', '%s') RETURNING value; COMMIT", a, key, b))
}

// transaction runs statements in a transaction, and commits it in one of several
// ways or rolls it back. Each statement is recorded with the transaction's ID.
func (cl *client) transaction(commit bool) bool {
	if !cl.execute(history.Request{Kind: history.Begin}, "BEGIN") {
		return false
	}
	if !cl.statementsInTx() || !commit {
		return cl.rollbackOpenTx()
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
	ok := cl.execute(history.Request{Kind: history.Commit}, "COMMIT")
	cl.tx = 0
	return ok
}

// commitWithWrite sends a last write and the COMMIT in one simple query.
func (cl *client) commitWithWrite() bool {
	v := cl.uniqueValue()
	r := history.Request{Kind: history.Commit, Changes: []history.Change{{Value: v}}}
	ok := cl.execute(r, fmt.Sprintf("APPEND log '%s'; COMMIT", v))
	cl.tx = 0
	return ok
}

// commitAndBegin sends COMMIT and the BEGIN of the next transaction in one simple
// query.
func (cl *client) commitAndBegin() bool {
	ok := cl.execute(history.Request{Kind: history.Commit}, "COMMIT; BEGIN")
	cl.tx = 0
	if !ok {
		cl.close() // unknown whether the second transaction is open
		return false
	}
	cl.tx = cl.run.recorder.Invoke(history.Request{Session: cl.name, Kind: history.Begin})
	cl.run.recorder.End(cl.tx, history.Result{Outcome: history.Answered})
	return true
}

// rollbackOpenTx rolls back the open transaction, if there is one. It returns
// false, so that callers can return its result as their own.
func (cl *client) rollbackOpenTx() bool {
	if cl.tx == 0 {
		return false
	}
	if conn := cl.currentConn(); conn != nil && !conn.IsClosed() {
		cl.execute(history.Request{Kind: history.Rollback}, "ROLLBACK")
	}
	cl.tx = 0
	return false
}

func (cl *client) readTransaction() bool {
	if !cl.execute(history.Request{Kind: history.Begin}, "BEGIN READ ONLY") {
		return false
	}
	if !cl.read(cl.ownKey()) || !cl.readLog() {
		return cl.rollbackOpenTx()
	}
	return cl.commit()
}

// readOwnWrites reads the client's keys and the log, for the check that a session
// sees its own writes.
func (cl *client) readOwnWrites() {
	for i := range ownKeys {
		cl.read(fmt.Sprintf("%s-%d", cl.name, i))
	}
	cl.readLog()
}
