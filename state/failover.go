package state

import "time"

// FailoverStep says how far this VM's promotion attempt has come.
type FailoverStep int

// Steps of a promotion.
const (
	FailoverIdle FailoverStep = iota
	FailoverAdopting
	FailoverPromoting
	FailoverFollowing
	FailoverSwitching // planned switchover: the primary drains to its successor
)

// Condition is what this VM concludes about a group's primary.
type Condition int

// Conditions of a group.
const (
	ConditionUncertain Condition = iota // not enough is known to act
	ConditionHealthy
	ConditionFailed   // the primary does not answer
	ConditionHeadless // a majority answers, and no server can get writes acknowledged
	ConditionStray    // the primary works, but a server has promised to a later term and cannot follow it
)

// FailoverState is this VM's part in the failover of one group.
type FailoverState struct {
	Condition      Condition
	ConditionSince time.Time
	SuspectSince   time.Time // zero while the primary is trusted
	ReportedAt     time.Time // when another VM last reported that it suspects the primary
	LeavingSince   time.Time // since when the primary is known to be leaving; zero if it is not
	SwitchingSince time.Time // since when the primary is seen to refuse writes for a switchover

	Step        FailoverStep
	Term        uint64 // latest term that this VM tried to establish; never used twice
	Candidate   string // server to promote; in a planned switchover known from the start
	Predecessor string // primary that was drained for this attempt; empty unless planned
	Adopted     map[string]ServerStatus
	Refused     map[string]bool // servers that will not adopt Term
	Following   map[string]bool // servers whose answer to a follow order is outstanding
	Began       time.Time       // when the attempt began
	StepStarted time.Time
	StepEnds    time.Time // when the step is given up
	MajorityAt  time.Time // when a majority had adopted Term; zero until then
	Attempts    int       // failed attempts in a row
	RetryAt     time.Time // no new attempt before this time
	// SwitchoverAt is the earliest time of the next planned switchover. It is
	// apart from RetryAt, so that a failed switchover delays no failover.
	SwitchoverAt time.Time
}
