package classqueue

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

const (
	// holdFraction is the part of what is left of the objective for which a statement is
	// held before it is refused. A longer time would only delay the caller's retry.
	holdFraction = 1.0 / 8
	minHold      = 20 * time.Millisecond
	maxHoldTime  = 200 * time.Millisecond
	// waitFraction is the part of the objective for which an operation may wait for a
	// connection or a primary. The rest is for its statements.
	waitFraction = 0.6
	// maxWaitOfTimeout limits that wait by the time-out of the statement, so that the
	// caller has time for another attempt.
	maxWaitOfTimeout = 0.5
)

// Reason says why a statement is refused.
type Reason uint8

// Values of Reason.
const (
	HeldBack  Reason = iota // its class is held back at the server
	TooLate                 // it cannot be answered before its deadline, or not start within its wait
	QueueFull               // too many statements wait, none of a lower class
	WaitOver                // no connection was free within the permitted wait
	NumReasons
)

var reasonNames = [NumReasons]string{"held_back", "too_late", "queue_full", "wait_over"}

// String returns the name of the reason in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Request is a statement that arrives at a connection owner.
type Request struct {
	Admission statement.Admission
	Kind      Kind
	Timeout   time.Duration // until the deadline of the statement
	Wait      time.Duration // permitted for a connection
	Held      bool          // was held before
}

// Place is what a statement finds at the connection owner.
type Place struct {
	Ahead int // statements of its class and higher ones that wait for the same connections
	// Serving is the number of connections that become free after each statement. Zero
	// means that the wait cannot be estimated.
	Serving int
}

// Verdict says what to do with a statement.
type Verdict struct {
	Refuse bool
	Reason Reason
	// RetryAfter, with Refuse, is the time after which the caller should try again.
	RetryAfter time.Duration
	// Hold, unless zero, is the time after which to decide again with Request.Held.
	Hold time.Duration
}

// HoldBack decides whether to hold back a statement that is not part of an open
// transaction. random returns numbers from 0 to 1.
func (p *Pressure) HoldBack(r Request, random func() float64) Verdict {
	if random() >= p.HoldProbability(r.Admission.Class) {
		return Verdict{}
	}
	hold := time.Duration(holdFraction * float64(r.Admission.Objective))
	if r.Held || hold < minHold {
		return p.Refusal(r, HeldBack, random())
	}
	return Verdict{Hold: time.Duration(float64(min(hold, maxHoldTime)) * (0.5 + random()))}
}

// CheckDeadline refuses a statement that cannot be answered before its deadline, or that
// is not likely to get a connection within its permitted wait.
func (p *Pressure) CheckDeadline(r Request, place Place, now time.Duration, random float64) Verdict {
	wait := time.Duration(0)
	if place.Serving > 0 {
		wait = p.statement * time.Duration(place.Ahead) / time.Duration(place.Serving)
	}
	delay := p.Delay(now)
	if wait <= r.Wait && wait+delay+p.Service(r.Kind) <= r.Timeout {
		return Verdict{}
	}
	return p.refuse(r, TooLate, max(wait+delay, minRetryAfter)/2+time.Duration(random*float64(max(wait+delay, minRetryAfter))))
}

// Refusal returns the refusal of a statement for the reason.
func (p *Pressure) Refusal(r Request, why Reason, random float64) Verdict {
	return p.refuse(r, why, p.RetryAfter(r.Admission.Class, random))
}

// refuse returns a refusal. A caller that has little time left is told to retry while it
// still can.
func (p *Pressure) refuse(r Request, why Reason, after time.Duration) Verdict {
	return Verdict{Refuse: true, Reason: why, RetryAfter: max(min(after, r.Timeout/2), time.Millisecond)}
}

// StartBy returns the time by which a statement must start to meet its objective, or its
// deadline if the objective has been missed.
func (p *Pressure) StartBy(r Request, now time.Duration) time.Duration {
	left := r.Admission.Objective
	if left <= 0 {
		left = r.Timeout
	}
	return now + left - p.Service(r.Kind)
}

// PermittedWait returns how long an operation with the objective may wait before it runs,
// for a primary or for a connection. It is at least usual, which is also used if there is
// no objective: a late answer is still worth something to the caller, and a failover takes
// longer than most objectives.
func PermittedWait(objective, timeout, usual time.Duration) time.Duration {
	if objective <= 0 {
		return usual
	}
	return max(usual, min(time.Duration(waitFraction*float64(objective)), time.Duration(maxWaitOfTimeout*float64(timeout))))
}
