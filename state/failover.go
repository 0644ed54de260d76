package state

import "time"

// FailoverStep is the progress of this VM's promotion attempt.
type FailoverStep int

// Values of FailoverStep.
const (
	FailoverIdle      FailoverStep = iota // no attempt
	FailoverAdopting                      // the servers are ordered to adopt Term, until a majority has
	FailoverPromoting                     // Candidate is ordered to become the primary
	FailoverFollowing                     // the other servers are ordered to follow the new primary
	FailoverSwitching                     // planned switchover: the primary drains before its successor takes over
)

// Condition is this VM's assessment of a group's primary.
type Condition int

// Values of Condition.
const (
	ConditionUncertain Condition = iota // not enough information to act
	ConditionHealthy
	ConditionFailed          // the primary does not answer
	ConditionNoPrimary       // a majority answers, but no server can get writes acknowledged
	ConditionDivergedReplica // the primary works, but a server has adopted a later term and cannot follow it
)

// FailoverState is this VM's failover state of one group.
type FailoverState struct {
	Condition      Condition
	ConditionSince time.Time
	SuspectSince   time.Time // zero while the primary is not suspected
	ReportedAt     time.Time // when another VM last reported that it suspects the primary
	LeavingSince   time.Time // when the primary was first known to be leaving; zero if it is not
	SwitchingSince time.Time // when the primary was first seen to refuse writes for a switchover

	Step          FailoverStep
	Term          uint64                  // latest term that this VM tried to establish; never reused
	Candidate     string                  // server to promote; known from the start of a planned switchover
	Predecessor   string                  // primary drained for this attempt; empty unless planned
	Adopted       map[string]ServerStatus // by server, the status of each server that has adopted Term
	Refused       map[string]bool         // servers that refuse to adopt Term
	FollowPending map[string]bool         // servers that have not answered a follow order yet
	StartedAt     time.Time               // start of the attempt
	StepStarted   time.Time
	StepEnds      time.Time // deadline of the step
	MajorityAt    time.Time // when a majority had adopted Term; zero until then
	Attempts      int       // consecutive failed attempts
	RetryAt       time.Time // no new attempt before this time
	// SwitchoverAt is the earliest time of the next planned switchover. It is
	// separate from RetryAt so that a failed switchover does not delay a
	// failover.
	SwitchoverAt time.Time
}
