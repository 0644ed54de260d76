// Package classqueue decides which statements run, wait or are refused when there is too
// little room at a backend server. Operations have classes; see statement.Class.
//
// Queue orders the statements that wait for a connection, Pressure infers from the
// answers of a server how long statements queue there and holds lower classes back, and
// Decide combines both for a new statement. Nothing here reads a clock or takes a lock;
// times are readings of a clock that keeps running while the host is suspended.
package classqueue

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// lowerClassTurn is the number of turns of which one goes to a lower class while
// statements of several classes wait.
const lowerClassTurn = 5

// Queue holds waiting statements in the order of their classes, and within a class in
// the order of the times at which they must start. The zero value is an empty queue.
type Queue[T comparable] struct {
	entries []entry[T] // in the order of compare
	added   uint64
	// passedOver counts the turns since one went to a lower class, while lower classes
	// waited.
	passedOver int
}

type entry[T comparable] struct {
	value   T
	class   statement.Class
	startBy time.Duration
	number  uint64 // in the order of arrival
}

func (e entry[T]) compare(other entry[T]) int {
	return cmp.Or(e.class.Compare(other.class), cmp.Compare(e.startBy, other.startBy), cmp.Compare(e.number, other.number))
}

// Len returns the number of waiting statements.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds a statement that must start at startBy.
func (q *Queue[T]) Push(value T, class statement.Class, startBy time.Duration) {
	q.added++
	e := entry[T]{value: value, class: class, startBy: startBy, number: q.added}
	i, _ := slices.BinarySearchFunc(q.entries, e, entry[T].compare)
	q.entries = slices.Insert(q.entries, i, e)
}

// Pop removes and returns the statement whose turn it is. Each lowerClassTurn-th turn
// goes to the statement of a lower class that has waited longest.
func (q *Queue[T]) Pop() (value T, ok bool) {
	if len(q.entries) == 0 {
		return value, false
	}
	next := 0
	if last := len(q.entries) - 1; q.entries[last].class == q.entries[0].class {
		q.passedOver = 0
	} else if q.passedOver++; q.passedOver >= lowerClassTurn {
		q.passedOver = 0
		next = q.oldestBelow(q.entries[0].class)
	}
	value = q.entries[next].value
	q.entries = slices.Delete(q.entries, next, next+1)
	return value, true
}

// oldestBelow returns the index of the earliest arrival among the classes below the
// given one. There must be one.
func (q *Queue[T]) oldestBelow(class statement.Class) int {
	oldest := -1
	for i, e := range q.entries {
		if e.class != class && (oldest < 0 || e.number < q.entries[oldest].number) {
			oldest = i
		}
	}
	return oldest
}

// Remove removes a statement and reports whether it was waiting.
func (q *Queue[T]) Remove(value T) bool {
	i := slices.IndexFunc(q.entries, func(e entry[T]) bool { return e.value == value })
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	return true
}

// Displace removes and returns the statement that is last in order, if its class is
// below the given one. It makes room in a full queue.
func (q *Queue[T]) Displace(class statement.Class) (value T, ok bool) {
	last := len(q.entries) - 1
	if last < 0 || q.entries[last].class.Compare(class) <= 0 {
		return value, false
	}
	value = q.entries[last].value
	q.entries = q.entries[:last]
	return value, true
}

// Ahead returns the number of waiting statements that are served before a new one of the
// class, apart from the turns of lower classes.
func (q *Queue[T]) Ahead(class statement.Class) int {
	i, _ := slices.BinarySearchFunc(q.entries, class, func(e entry[T], c statement.Class) int {
		if e.class.Compare(c) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// All returns the waiting statements in order. The queue must not be changed meanwhile.
func (q *Queue[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, e := range q.entries {
			if !yield(e.value) {
				return
			}
		}
	}
}
