package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// PartKind says what a part of an answer holds. A part holds one kind only.
type PartKind int

// Kinds of parts.
const (
	PartData       PartKind = iota // rows, notices
	PartLead                       // what comes before a statement runs: it is parsed, bound, described
	PartCompletion                 // the end of a statement
	PartError                      // an error
)

// End says how a backend server's answer ended.
type End struct {
	InTransaction bool   // a transaction is open on the connection
	Status        byte   // transaction status as the protocol has it, for the client
	ErrorCode     string // SQLSTATE of the error in the answer; empty if none
	RolledBack    bool   // the last statement completed was a rollback
	Committed     bool   // a statement completed was a commit
}

// readOnlyViolation is the SQLSTATE with which a backend server refuses a write
// before running it.
const readOnlyViolation = "25006"

// Part takes a part of the answer. Parts that could prove a write done are held
// until a majority holds the write; errors are held because a refusal as a
// write makes the request run elsewhere, and so is what comes before the first
// row.
func (d *Decider) Part(s *state.Session, conn state.ConnID, request uint64, kind PartKind, part any) []Effect {
	if !d.current(s, conn, request) {
		return nil
	}
	s.Answering = true
	if kind == PartCompletion {
		s.Completed = true
	}
	writable := !readOnly(s.Request.Class)
	if kind == PartError || kind == PartLead && !s.Forwarded || writable && s.Completed {
		return []Effect{Hold{Part: part}}
	}
	s.Forwarded = true
	return []Effect{FlushHeld{}, Forward{Part: part}}
}

// Ended takes the end of the answer.
func (d *Decider) Ended(s *state.Session, conn state.ConnID, request uint64, end End, now time.Time) []Effect {
	if !d.current(s, conn, request) {
		return nil
	}
	if d.mayRerouteWrite(s, end) {
		return d.rerouteWrite(s, end, now)
	}
	if d.mayReopen(s, end) {
		return d.reopen(s, now)
	}
	s.InTransaction, s.Reopening = end.InTransaction, false
	s.Opening = nil
	if s.InTransaction && s.Request.OnlyBegins && end.ErrorCode == "" {
		s.Opening = s.Request.Payload
	}
	var effects []Effect
	if end.ErrorCode == readOnlyViolation && s.TargetsPrimary {
		// The primary may be handing over; find out before the next transaction.
		effects = append(effects, d.queryServers(s, now, now.Add(firstCheck)))
	}
	if !s.InTransaction {
		effects = append(effects, d.releaseConn(s)...)
	}
	if !d.needsAcknowledgement(s, end) {
		effects = append(effects, FlushHeld{})
		return append(effects, d.finish(s, Outcome{Kind: Answered})...)
	}
	s.Phase = state.PhaseAcknowledging
	return append(effects, Await{Group: d.groupOf(s), Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitDurable,
		Joined:   now,
		Deadline: s.Request.Deadline,
		Term:     s.Term,
		Server:   s.Server,
		Alone:    d.Options.NoGroupCommit,
	}})
}

// needsAcknowledgement reports whether the answer may contain a committed write.
func (d *Decider) needsAcknowledgement(s *state.Session, end End) bool {
	if !s.TargetsPrimary || readOnly(s.Request.Class) {
		return false
	}
	if end.InTransaction && !end.Committed {
		return false
	}
	return s.Completed && !end.RolledBack && !d.Options.AckOnCommit
}

// mayRerouteWrite reports whether the server refused the request as a write and
// keeps nothing of it, so that another server may run it. A transaction that the
// request began itself is rolled back.
func (d *Decider) mayRerouteWrite(s *state.Session, end End) bool {
	if end.ErrorCode != readOnlyViolation || end.Committed || s.InTransaction || s.Reopening || s.Forwarded {
		return false
	}
	if s.Request.Class == state.ClassBeginRO || s.Refusals >= maxWriteRefusals {
		return false
	}
	_, route, _ := d.lookup(s)
	return route != nil && route.Access == state.ReadWrite
}

func (d *Decider) rerouteWrite(s *state.Session, end End, now time.Time) []Effect {
	s.Refusals++
	effects := []Effect{DropHeld{}}
	if !readOnly(s.Request.Class) {
		// A server that was taken for the primary is read-only.
		s.Excluded = s.Server
		effects = append(effects, Suspect{Group: d.groupOf(s), Server: s.Server})
	}
	s.Request.Class = state.ClassWrite
	s.Sent = false
	if end.InTransaction {
		effects = append(effects, d.dropConn(s)...)
	} else {
		effects = append(effects, d.releaseConn(s)...)
	}
	return append(effects, d.route(s, now)...)
}

// mayReopen reports whether the first statement of a transaction was refused as
// a write by a server that has ceased to be the primary. The transaction has
// done nothing yet, so it can begin again on the new primary.
func (d *Decider) mayReopen(s *state.Session, end End) bool {
	if end.ErrorCode != readOnlyViolation || s.Opening == nil || s.Forwarded || s.Refusals >= maxWriteRefusals {
		return false
	}
	// On a read-only route the server refuses writes because it was told to.
	_, route, _ := d.lookup(s)
	return (s.InTransaction || s.Reopening) && route != nil && route.Access == state.ReadWrite
}

func (d *Decider) reopen(s *state.Session, now time.Time) []Effect {
	s.Refusals++
	s.InTransaction, s.Reopening = false, true
	s.Excluded, s.Sent = s.Server, false
	effects := []Effect{DropHeld{}, Suspect{Group: d.groupOf(s), Server: s.Server}}
	effects = append(effects, d.dropConn(s)...)
	return append(effects, d.route(s, now)...)
}

// Lost tells that the backend connection failed before the answer ended.
func (d *Decider) Lost(s *state.Session, conn state.ConnID, request uint64, now time.Time) []Effect {
	if s.Conn != conn || conn == 0 {
		return nil
	}
	s.Conn, s.Cancelled = 0, false
	suspect := Suspect{Group: d.groupOf(s), Server: s.Server}
	if s.Phase == state.PhaseAcknowledging {
		// The request committed one transaction and began another.
		effects := []Effect{suspect, WithdrawAwait{Group: d.groupOf(s), ID: waiterID(s)}, DropHeld{}}
		return append(effects, d.close(s, Outcome{Kind: Unknown, Reason: ConnectionLost})...)
	}
	if s.Phase != state.PhaseExecuting {
		if s.InTransaction {
			return append([]Effect{suspect}, d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})...)
		}
		return []Effect{suspect}
	}
	return append([]Effect{suspect}, d.afterLoss(s, ConnectionLost, now)...)
}

// afterLoss ends or retries a request that was sent and whose connection is gone.
func (d *Decider) afterLoss(s *state.Session, reason Reason, now time.Time) []Effect {
	if s.InTransaction || s.Reopening {
		out := Outcome{Kind: Unknown, Reason: TransactionLost}
		if s.Request.Class == state.ClassEnd || s.Request.MayCommit {
			out.Reason = reason
		}
		return append([]Effect{DropHeld{}}, d.close(s, out)...)
	}
	if d.mayRetry(s, now) {
		s.Excluded = s.Server
		s.Sent, s.MayHaveRun = false, true
		return append([]Effect{DropHeld{}}, d.backoff(s, now)...)
	}
	effects := []Effect{DropHeld{}}
	return append(effects, d.finish(s, Outcome{Kind: Unknown, Reason: reason})...)
}

// mayRetry reports whether a request that was sent may be sent again: it has no
// effect or is idempotent, nothing of its answer reached the client, its
// deadline has not passed and the retry budget allows it.
func (d *Decider) mayRetry(s *state.Session, now time.Time) bool {
	repeatable := readOnly(s.Request.Class) || s.Request.Class == state.ClassBegin || s.Request.Idempotent || d.Options.RetryAnything
	if !repeatable || s.Forwarded || !now.Before(s.Request.Deadline) {
		return false
	}
	allowed := false
	d.Tables.Backends.WithRetries(d.groupOf(s), func(b *state.RetryBudget) { allowed = queueing.Retry(b, now) })
	return allowed
}

// Resolved takes the answer to an Await.
func (d *Decider) Resolved(s *state.Session, request uint64, r replication.Result, now time.Time) []Effect {
	if s.Request.Number != request {
		return nil
	}
	switch s.Phase {
	case state.PhasePosition:
		return d.positionKnown(s, r, now)
	case state.PhaseExecuting:
		return d.checked(s, r, now)
	case state.PhaseAcknowledging:
		return d.acknowledged(s, r)
	}
	return nil
}

func (d *Decider) positionKnown(s *state.Session, r replication.Result, now time.Time) []Effect {
	if !now.Before(s.Request.Deadline) {
		return d.refuse(s, Refused(NoPrimary))
	}
	if r.Wait == state.WaitPrimary {
		s.Excluded = ""
	}
	return d.route(s, now)
}

func (d *Decider) acknowledged(s *state.Session, r replication.Result) []Effect {
	if r.Kind != replication.Satisfied {
		effects := []Effect{DropHeld{}}
		return append(effects, d.finish(s, Outcome{Kind: Unknown, Reason: NotAcknowledged})...)
	}
	s.Token.Merge(d.groupOf(s), r.Point)
	effects := []Effect{ReportToken{}, FlushHeld{}}
	return append(effects, d.finish(s, Outcome{Kind: Answered})...)
}

// current reports whether an event of the connection belongs to the request
// that the session executes now.
func (d *Decider) current(s *state.Session, conn state.ConnID, request uint64) bool {
	return s.Phase == state.PhaseExecuting && s.Conn == conn && s.Request.Number == request
}
