package history

import (
	"cmp"
	"slices"
)

// Point is a position in a log: the term and position of a record.
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

// TermStart tells after which record the log of a term begins.
type TermStart struct {
	Term uint64
	Base Point // zero if the log was empty
}

// ServerRecord is what the servers of a database group did, as the group recorded
// it.
type ServerRecord struct {
	Commits []CommitRecord // in the order in which they happened
	Terms   []TermStart    // in any order
	Final   Point          // last record of the primary at the end
}

// recordIndex finds commits of a ServerRecord. Commits are identified by their
// index in Truth.Commits.
type recordIndex struct {
	truth   ServerRecord
	bases   map[uint64]Point // by term
	byValue map[string][]int // commits that hold a value, in ascending order
}

func newRecordIndex(t ServerRecord) *recordIndex {
	x := &recordIndex{truth: t, bases: make(map[uint64]Point), byValue: make(map[string][]int)}
	for _, s := range t.Terms {
		x.bases[s.Term] = s.Base
	}
	for i := range t.Commits {
		for _, c := range t.Commits[i].Changes {
			x.byValue[c.Value] = append(x.byValue[c.Value], i)
		}
	}
	return x
}

// logContains reports whether the log that ends at end contains the record at p.
func (x *recordIndex) logContains(end, p Point) bool {
	for end.Term > p.Term {
		end = x.bases[end.Term]
	}
	return end.Term == p.Term && p.Position <= end.Position
}

// commitsOf returns the commits that hold a value of any of the changes.
func (x *recordIndex) commitsOf(changes []Change) []int {
	var found []int
	for _, c := range changes {
		found = append(found, x.byValue[c.Value]...)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// inFinalLog reports whether the primary at the end holds the commit.
func (x *recordIndex) inFinalLog(commit int) bool {
	return x.logContains(x.truth.Final, x.truth.Commits[commit].Point)
}

// commitsUpTo returns the commits of the log that ends at the given record, in order.
func (x *recordIndex) commitsUpTo(end Point) []int {
	var found []int
	for i := range x.truth.Commits {
		if x.logContains(end, x.truth.Commits[i].Point) {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b int) int {
		return cmp.Compare(x.truth.Commits[a].Position, x.truth.Commits[b].Position)
	})
	return found
}

// logEntries returns the values without a key in the log that ends at the given
// record, in order.
func (x *recordIndex) logEntries(end Point) []string {
	var entries []string
	for _, i := range x.commitsUpTo(end) {
		for _, c := range x.truth.Commits[i].Changes {
			if c.Key == "" {
				entries = append(entries, c.Value)
			}
		}
	}
	return entries
}
