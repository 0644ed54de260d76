package state

import "time"

// WaitKind says what a position waiter waits for.
type WaitKind int

// Kinds of waiters.
const (
	WaitDurable WaitKind = iota // the writes so far are held by a majority under Term
	WaitCover                   // the server covers Point, and is no older than MaxAge if that is set
	WaitPrimary                 // a primary other than the one known to have failed
)

// WaiterID names the request that waits.
type WaiterID struct {
	Session uint64
	Request uint64
}

// PositionWaiter is a request that waits for positions of a group.
type PositionWaiter struct {
	ID       WaiterID
	Kind     WaitKind
	Joined   time.Time
	Deadline time.Time
	Term     uint64        // WaitDurable: the term under which the write ran
	Server   string        // WaitDurable: the primary that ran the write; WaitCover: the replica
	Point    Point         // WaitCover
	MaxAge   time.Duration // WaitCover; zero sets no bound
	Alone    bool          // WaitDurable: no other write is served by the same round; a baseline for measurements

	// The fields below are written by package replication.
	FirstRound  uint64 // first round that started after the waiter joined
	Target      Point  // WaitDurable: the point to be held
	TargetKnown bool
}

// PositionRound is one query of the status of every server of a group.
type PositionRound struct {
	Number   uint64
	Started  time.Time
	Pending  int           // answers outstanding
	Answered int           // answers received
	Settled  int           // waiters that got their result since the round started
	Spacing  time.Duration // time from Started after which the next round may start
}
