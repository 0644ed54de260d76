package state

import "time"

// WaitKind is the condition that a position waiter waits for.
type WaitKind int

// Values of WaitKind.
const (
	WaitDurable WaitKind = iota // a majority holds the writes so far under Term
	WaitCover                   // the server covers Point and, if MaxAge is set, is no staler than MaxAge
	WaitPrimary                 // there is a primary other than the one known to have failed
)

// WaiterID identifies a waiting request.
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
	MaxAge   time.Duration // WaitCover; zero means no limit
	OwnRound bool          // WaitDurable: serve no other write with the same round; a baseline for measurements

	// The fields below are written by package replication.
	FirstRound  uint64 // first round that started after the waiter joined
	Target      Point  // WaitDurable: the point that a majority must hold
	TargetKnown bool
}

// PositionRound is one status query to every server of a group.
type PositionRound struct {
	Number   uint64
	Started  time.Time
	Pending  int           // outstanding answers
	Answered int           // received answers
	Resolved int           // waiters completed since the round started
	Spacing  time.Duration // minimum time from Started to the start of the next round
}
