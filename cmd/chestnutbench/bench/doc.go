// Package bench is the load and experiment tool behind cmd/chestnutbench.
//
// Arrivals are an open loop: one goroutine per customer draws them and queues
// jobs. A fixed pool of client workers per customer takes the jobs; a worker is
// one client session and waits for its connection, as a client does. Workers
// record what happened in shared tables.
//
// Lock order: limit (one per customer), ledger, collector. No two limits are
// locked at the same time, and no lock is held during a request.
package bench

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// Ranks of this package's locks.
const (
	rankLimit     lockrank.Rank = 410
	rankLedger    lockrank.Rank = 420
	rankCollector lockrank.Rank = 430
)
