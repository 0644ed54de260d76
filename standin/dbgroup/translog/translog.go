// Package translog holds the log of a stand-in backend server and the data that
// follows from it. It is not safe for concurrent use.
package translog

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Op is one change to the data.
type Op struct {
	Kind  OpKind
	Key   string // of OpPut and OpDelete
	Value string // of OpPut; the entry of OpAppend
}

// OpKind is the kind of a change.
type OpKind int

// Kinds of changes.
const (
	OpPut OpKind = iota
	OpDelete
	OpAppend
)

// Record is one log record: the start of a term, or a committed transaction.
type Record struct {
	Term      uint64
	Position  uint64
	TermStart bool
	Ops       []Op
	Committed time.Time // by the clock of the primary that wrote it
}

// Log is a log and the data that its records produce. Positions start at 1 and
// have no gaps.
type Log struct {
	records     []Record
	starts      []state.TermStart
	values      map[string]string
	entries     []string
	truncations uint64
}

// New returns an empty log.
func New() *Log { return &Log{values: make(map[string]string)} }

// Append adds a record, which must have the next position.
func (l *Log) Append(r Record) {
	if r.Position != l.Position()+1 {
		panic("translog: record does not have the next position")
	}
	if r.TermStart {
		l.starts = append(l.starts, state.TermStart{Term: r.Term, Position: r.Position - 1})
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

// Truncate drops the records after the position and undoes their changes by
// applying the rest of the log to empty data.
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

// Truncations returns how often a tail was dropped.
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
// given time, and when the next one was committed; zero if there is none.
func (l *Log) DueAfter(position uint64, committedBy time.Time) (due []Record, next time.Time) {
	if position >= l.Position() {
		return nil, time.Time{}
	}
	rest := l.records[position:]
	n := 0
	for n < len(rest) && !rest[n].Committed.After(committedBy) {
		n++
	}
	if n < len(rest) {
		next = rest[n].Committed
	}
	return slices.Clone(rest[:n]), next
}

// Value returns the value of a key.
func (l *Log) Value(key string) (string, bool) {
	v, ok := l.values[key]
	return v, ok
}

// Count returns the number of keys.
func (l *Log) Count() int { return len(l.values) }

// Entries returns a copy of the appended entries in order.
func (l *Log) Entries() []string { return slices.Clone(l.entries) }

// Latest returns the starts of the latest n terms, ascending.
func (l *Log) Latest(n int) []state.TermStart {
	return slices.Clone(l.starts[max(len(l.starts)-n, 0):])
}

// Extent says which terms a log holds and how far it reaches.
type Extent struct {
	Starts   []state.TermStart
	Position uint64
}

// Extent returns the extent of the log.
func (l *Log) Extent() Extent {
	return Extent{Starts: slices.Clone(l.starts), Position: l.Position()}
}

// Common returns the last position up to which two logs are the same. A term
// has one primary, so records of the same term and position are the same.
func Common(a, b Extent) uint64 {
	var common uint64
	for i := range min(len(a.Starts), len(b.Starts)) {
		if a.Starts[i] != b.Starts[i] {
			break
		}
		endA, endB := a.end(i), b.end(i)
		common = min(endA, endB)
		if endA != endB {
			break
		}
	}
	return common
}

// end returns the last position of the i-th term.
func (e Extent) end(i int) uint64 {
	if i+1 < len(e.Starts) {
		return e.Starts[i+1].Position
	}
	return e.Position
}
