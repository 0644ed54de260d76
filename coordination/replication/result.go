// Package replication decides when a group's servers hold the positions that
// requests wait for.
package replication

import "github.com/chestnutdyke/chestnutdyke/state"

// ResultKind says how a wait ended.
type ResultKind int

// Kinds of results.
const (
	Satisfied ResultKind = iota
	TimedOut
	Lost // the write is not in the log of the new primary, or this cannot be told
)

// Result is the end of a wait.
type Result struct {
	Kind   ResultKind
	Waited state.WaitKind
	Point  state.Point // WaitDurable: the point that is held by a majority
}
