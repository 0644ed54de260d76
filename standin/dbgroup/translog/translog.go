// Package translog implements the transaction log of a simulated backend server
// and the tables that its records produce. It is not safe for concurrent use.
package translog

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Op is one change that a transaction made to the tables kv and log.
type Op struct {
	Kind  OpKind
	Key   string // for OpPut and OpDelete
	Value string // the value for OpPut, the entry for OpAppend
}

// OpKind tells which table an Op changes, and how.
type OpKind int

const (
	OpPut    OpKind = iota // sets the value of a key in kv
	OpDelete               // removes a key from kv
	OpAppend               // adds an entry to log
)

// Record is one log record: the start of a term, or a committed transaction.
type Record struct {
	Term      uint64
	Position  uint64
	TermStart bool
	Ops       []Op
	Committed time.Time // by the clock of the primary that wrote the record
}

// Log is a transaction log and the tables that its records produce. Positions
// start at 1 and have no gaps.
type Log struct {
	records     []Record
	termStarts  []state.TermStart
	values      map[string]string
	entries     []string
	truncations uint64
}

// New returns an empty log.
func New() *Log { return &Log{values: make(map[string]string)} }

// Append adds a record and applies its changes. It panics if the record does not
// have the next position.
func (l *Log) Append(r Record) {
	if r.Position != l.Position()+1 {
		panic("translog: record does not have the next position")
	}
	if r.TermStart {
		l.termStarts = append(l.termStarts, state.TermStart{Term: r.Term, Position: r.Position - 1})
	}
	l.records = append(l.records, r)
	l.apply(r.Ops)
}

func (l *Log) apply(ops []Op) {
	for _, op := range ops {
		switch op.Kind {
		case OpPut:
			l.values[op.Key] = op.Value
		case OpDelete:
			delete(l.values, op.Key)
		case OpAppend:
			l.entries = append(l.entries, op.Value)
		}
	}
}

// Truncate drops the records after the position. It undoes their changes by
// rebuilding the tables from the remaining records.
func (l *Log) Truncate(position uint64) {
	if position >= l.Position() {
		return
	}
	kept, truncations := l.records[:position], l.truncations+1
	*l = *New()
	l.truncations = truncations
	for _, r := range kept {
		l.Append(r)
	}
}

// Truncations returns the number of calls of Truncate that dropped records.
func (l *Log) Truncations() uint64 { return l.truncations }

// Position returns the position of the last record; zero if there is none.
func (l *Log) Position() uint64 { return uint64(len(l.records)) }

// Term returns the term of the last record; zero if there is none.
func (l *Log) Term() uint64 {
	if len(l.records) == 0 {
		return 0
	}
	return l.records[len(l.records)-1].Term
}

// Records returns a copy of the records after the position.
func (l *Log) Records(after uint64) []Record {
	if after >= l.Position() {
		return nil
	}
	return slices.Clone(l.records[after:])
}

// DueAfter returns the records after the position that were committed by the
// given time, and the commit time of the record that follows them, or zero if
// there is none.
func (l *Log) DueAfter(position uint64, committedBy time.Time) (due []Record, next time.Time) {
	if position >= l.Position() {
		return nil, time.Time{}
	}
	remaining := l.records[position:]
	count := 0
	for count < len(remaining) && !remaining[count].Committed.After(committedBy) {
		count++
	}
	if count < len(remaining) {
		next = remaining[count].Committed
	}
	return slices.Clone(remaining[:count]), next
}

// Value returns the value of a key in the table kv, and whether the key exists.
func (l *Log) Value(key string) (string, bool) {
	v, ok := l.values[key]
	return v, ok
}

// KeyCount returns the number of keys in the table kv.
func (l *Log) KeyCount() int { return len(l.values) }

// Entries returns a copy of the table log, in the order of the appends.
func (l *Log) Entries() []string { return slices.Clone(l.entries) }

// LatestTerms returns the starts of at most n latest terms, in ascending order.
func (l *Log) LatestTerms(n int) []state.TermStart {
	return slices.Clone(l.termStarts[max(len(l.termStarts)-n, 0):])
}

// Extent describes which term each position of a log belongs to.
type Extent struct {
	TermStarts []state.TermStart // in ascending order
	Position   uint64            // of the last record
}

// Extent returns a copy of the term starts and the last position of the log, with
// which CommonPosition compares it to another log.
func (l *Log) Extent() Extent {
	return Extent{TermStarts: slices.Clone(l.termStarts), Position: l.Position()}
}

// CommonPosition returns the last position up to which two logs are the same.
// Only one primary writes records of a term, so records of the same term and
// position are the same.
func CommonPosition(a, b Extent) uint64 {
	var position uint64
	for i := range min(len(a.TermStarts), len(b.TermStarts)) {
		if a.TermStarts[i] != b.TermStarts[i] {
			break
		}
		endA, endB := a.termEnd(i), b.termEnd(i)
		position = min(endA, endB)
		if endA != endB {
			break
		}
	}
	return position
}

// termEnd returns the last position of the i-th term.
func (e Extent) termEnd(i int) uint64 {
	if i+1 < len(e.TermStarts) {
		return e.TermStarts[i+1].Position
	}
	return e.Position
}
