// Package bench implements cmd/chestnutbench: load generation, fault scenarios,
// measurements and consistency checks.
//
// The load is an open loop. One goroutine per customer generates arrivals and
// queues jobs; a fixed pool of workers per customer and route executes them. A
// worker is one client session with at most one connection. Workers record
// results in shared tables.
//
// Lock order: rateLimit (one per customer), writeHistory, collector. No two rate
// limits are locked at the same time, and no lock is held during a request.
package bench

import "github.com/chestnutdyke/chestnutdyke/state/lockrank"

// Ranks of this package's locks for the lock-order checks.
const (
	rankRateLimit    lockrank.Rank = 410
	rankWriteHistory lockrank.Rank = 420
	rankCollector    lockrank.Rank = 430
)
