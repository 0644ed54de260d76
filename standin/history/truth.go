package history

import (
	"cmp"
	"slices"
)

// Point is a place in a log: the term and position of a record.
type Point struct {
	Term     uint64
	Position uint64
}

// CommitRecord is a transaction that a server of the group wrote to its log,
// whether or not the record survived.
type CommitRecord struct {
	Point
	Server  string
	Changes []Change
}

// TermStart says on which record a term builds.
type TermStart struct {
	Term uint64
	Base Point // zero if the log was empty
}

// Truth is what the servers of a database group did.
type Truth struct {
	Commits []CommitRecord // in the order in which they happened
	Terms   []TermStart    // in any order
	Final   Point          // last record of the final primary
}

// ledger answers questions on a Truth.
type ledger struct {
	truth   Truth
	bases   map[uint64]Point
	byValue map[string][]int // commits that hold a value, in order
}

func newLedger(t Truth) *ledger {
	l := &ledger{truth: t, bases: make(map[uint64]Point), byValue: make(map[string][]int)}
	for _, s := range t.Terms {
		l.bases[s.Term] = s.Base
	}
	for i := range t.Commits {
		for _, c := range t.Commits[i].Changes {
			l.byValue[c.Value] = append(l.byValue[c.Value], i)
		}
	}
	return l
}

// holds reports whether a log that ends at end holds the record at p.
func (l *ledger) holds(end, p Point) bool {
	for end.Term > p.Term {
		end = l.bases[end.Term]
	}
	return end.Term == p.Term && p.Position <= end.Position
}

// commitsOf returns the commits that hold any value of the changes.
func (l *ledger) commitsOf(changes []Change) []int {
	var found []int
	for _, c := range changes {
		found = append(found, l.byValue[c.Value]...)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// survives reports whether the final primary holds the commit.
func (l *ledger) survives(commit int) bool {
	return l.holds(l.truth.Final, l.truth.Commits[commit].Point)
}

// log returns the commits of the log that ends at the given record, in order.
func (l *ledger) log(end Point) []int {
	var found []int
	for i := range l.truth.Commits {
		if l.holds(end, l.truth.Commits[i].Point) {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b int) int {
		return cmp.Compare(l.truth.Commits[a].Position, l.truth.Commits[b].Position)
	})
	return found
}

// entries returns the log entries that a server holds whose log ends at the
// given record.
func (l *ledger) entries(end Point) []string {
	var entries []string
	for _, i := range l.log(end) {
		for _, c := range l.truth.Commits[i].Changes {
			if c.Key == "" {
				entries = append(entries, c.Value)
			}
		}
	}
	return entries
}
