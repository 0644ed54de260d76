package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// PartKind says what a part of an answer contains. A part contains one kind only.
type PartKind int

// Values of PartKind.
const (
	PartData       PartKind = iota // rows and notices
	PartPreamble                   // responses that precede the execution of a statement: parsed, bound, described
	PartCompletion                 // completion of a statement
	PartError                      // an error
)

// End describes how a backend server's answer ended.
type End struct {
	InTransaction bool   // a transaction is open on the connection
	Status        byte   // transaction status in the encoding of the wire protocol, for the client
	ErrorCode     string // SQLSTATE of the error in the answer; empty if none
	RolledBack    bool   // the last completed statement was a rollback
	Committed     bool   // one of the completed statements was a commit
}

// readOnlyViolation is the SQLSTATE with which a read-only backend server refuses
// a write without running it.
const readOnlyViolation = "25006"

// HandlePart handles a part of the answer. Parts that may show that a write
// completed are held until a majority of servers has the write. Errors, and what
// comes before the first row, are held because a request that is refused as a
// write runs again on another server.
func (d *Decider) HandlePart(s *state.Session, conn state.ConnID, request uint64, kind PartKind, part any) []Effect {
	if !d.isCurrent(s, conn, request) {
		return nil
	}
	s.Answering = true
	if kind == PartCompletion {
		s.Completed = true
	}
	writable := !readOnly(s.Request.Class)
	if kind == PartError || kind == PartPreamble && !s.Forwarded || writable && s.Completed {
		return []Effect{Hold{Part: part}}
	}
	s.Forwarded = true
	return []Effect{FlushHeld{}, Forward{Part: part}}
}

// HandleEnd handles the end of the answer.
func (d *Decider) HandleEnd(s *state.Session, conn state.ConnID, request uint64, end End, now time.Time) []Effect {
	if !d.isCurrent(s, conn, request) {
		return nil
	}
	if d.mayRerouteWrite(s, end) {
		return d.rerouteWrite(s, end, now)
	}
	if d.mayRestartTransaction(s, end) {
		return d.restartTransaction(s, now)
	}
	s.InTransaction, s.ReplayingBegin = end.InTransaction, false
	s.BeginPayload = nil
	if s.InTransaction && s.Request.OnlyBegins && end.ErrorCode == "" {
		s.BeginPayload = s.Request.Payload
	}
	var effects []Effect
	if end.ErrorCode == readOnlyViolation && s.TargetsPrimary {
		// The primary may be handing over. Query the servers now, so that the next
		// transaction finds the new one.
		effects = append(effects, d.queryServers(s, now, now.Add(firstCheckDelay)))
	}
	if !s.InTransaction {
		effects = append(effects, d.releaseConn(s)...)
	}
	if !d.needsAcknowledgement(s, end) {
		effects = append(effects, FlushHeld{})
		return append(effects, d.finish(s, Outcome{Kind: Answered})...)
	}
	s.Phase = state.PhaseAcknowledging
	return append(effects, AwaitPosition{Group: d.groupOf(s), Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitDurable,
		Joined:   now,
		Deadline: s.Request.Deadline,
		Term:     s.Term,
		Server:   s.Server,
		OwnRound: d.Options.NoGroupCommit,
	}})
}

// needsAcknowledgement reports whether the answer may contain a committed write,
// which a majority of servers must have before the client is told.
func (d *Decider) needsAcknowledgement(s *state.Session, end End) bool {
	if !s.TargetsPrimary || readOnly(s.Request.Class) {
		return false
	}
	if end.InTransaction && !end.Committed {
		return false
	}
	return s.Completed && !end.RolledBack && !d.Options.AckOnCommit
}

// mayRerouteWrite reports whether the server refused the request as a write
// without any lasting effect, so that another server may run it. A transaction
// that the request itself began is rolled back.
func (d *Decider) mayRerouteWrite(s *state.Session, end End) bool {
	if end.ErrorCode != readOnlyViolation || end.Committed || s.InTransaction || s.ReplayingBegin || s.Forwarded {
		return false
	}
	if s.Request.Class == state.ClassBeginRO || s.WriteRefusals >= maxWriteRefusals {
		return false
	}
	_, route, _ := d.lookup(s)
	return route != nil && route.Access == state.ReadWrite
}

// rerouteWrite runs a request that was refused as a write on another server.
func (d *Decider) rerouteWrite(s *state.Session, end End, now time.Time) []Effect {
	s.WriteRefusals++
	effects := []Effect{DropHeld{}}
	if !readOnly(s.Request.Class) {
		// The server was chosen as the primary but is read-only.
		s.Excluded = s.Server
		effects = append(effects, ReportFailure{Group: d.groupOf(s), Server: s.Server})
	}
	s.Request.Class = state.ClassWrite
	s.Sent = false
	if end.InTransaction {
		effects = append(effects, d.discardConn(s)...)
	} else {
		effects = append(effects, d.releaseConn(s)...)
	}
	return append(effects, d.route(s, now)...)
}

// mayRestartTransaction reports whether a former primary refused the first
// statement of a transaction as a write. The transaction has had no effect yet,
// so it can be started again on the new primary.
func (d *Decider) mayRestartTransaction(s *state.Session, end End) bool {
	if end.ErrorCode != readOnlyViolation || s.BeginPayload == nil || s.Forwarded || s.WriteRefusals >= maxWriteRefusals {
		return false
	}
	// On a read-only route the transaction itself is read-only, and the refusal
	// says nothing about the server.
	_, route, _ := d.lookup(s)
	return (s.InTransaction || s.ReplayingBegin) && route != nil && route.Access == state.ReadWrite
}

// restartTransaction starts the transaction again on another server, together with
// the current request.
func (d *Decider) restartTransaction(s *state.Session, now time.Time) []Effect {
	s.WriteRefusals++
	s.InTransaction, s.ReplayingBegin = false, true
	s.Excluded, s.Sent = s.Server, false
	effects := []Effect{DropHeld{}, ReportFailure{Group: d.groupOf(s), Server: s.Server}}
	effects = append(effects, d.discardConn(s)...)
	return append(effects, d.route(s, now)...)
}

// HandleConnLost handles the failure of the session's backend connection.
func (d *Decider) HandleConnLost(s *state.Session, conn state.ConnID, request uint64, now time.Time) []Effect {
	if s.Conn != conn || conn == 0 {
		return nil
	}
	s.Conn, s.Cancelled = 0, false
	failure := ReportFailure{Group: d.groupOf(s), Server: s.Server}
	if s.Phase == state.PhaseAcknowledging {
		// A connection is held in this phase only if the request committed one
		// transaction and began another.
		effects := []Effect{failure, CancelAwait{Group: d.groupOf(s), ID: waiterID(s)}, DropHeld{}}
		return append(effects, d.close(s, Outcome{Kind: Unknown, Reason: ConnectionLost})...)
	}
	if s.Phase != state.PhaseExecuting {
		if s.InTransaction {
			return append([]Effect{failure}, d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})...)
		}
		return []Effect{failure}
	}
	return append([]Effect{failure}, d.retryOrFail(s, ConnectionLost, now)...)
}

// retryOrFail retries a request that was sent and whose connection was lost or
// closed, or ends it with an unknown outcome.
func (d *Decider) retryOrFail(s *state.Session, reason Reason, now time.Time) []Effect {
	if s.InTransaction || s.ReplayingBegin {
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
// effect or is idempotent, the client has received no part of its answer, its
// deadline has not passed and the retry budget allows it.
func (d *Decider) mayRetry(s *state.Session, now time.Time) bool {
	retryable := readOnly(s.Request.Class) || s.Request.Class == state.ClassBegin || s.Request.Idempotent || d.Options.RetryNonIdempotent
	if !retryable || s.Forwarded || !now.Before(s.Request.Deadline) {
		return false
	}
	allowed := false
	d.Tables.Backends.WithRetries(d.groupOf(s), func(b *state.RetryBudget) { allowed = queueing.TakeRetry(b, now) })
	return allowed
}

// HandleWaitResult handles the result of an AwaitPosition.
func (d *Decider) HandleWaitResult(s *state.Session, request uint64, r replication.Result, now time.Time) []Effect {
	if s.Request.Number != request {
		return nil
	}
	switch s.Phase {
	case state.PhasePosition:
		return d.handlePosition(s, r, now)
	case state.PhaseExecuting:
		return d.handleServerCheck(s, r, now)
	case state.PhaseAcknowledging:
		return d.handleAcknowledgement(s, r)
	}
	return nil
}

// handlePosition routes a request again after it waited for a replica's position
// or for a primary.
func (d *Decider) handlePosition(s *state.Session, r replication.Result, now time.Time) []Effect {
	if !now.Before(s.Request.Deadline) {
		return d.refuse(s, Refused(NoPrimary))
	}
	if r.Wait == state.WaitPrimary {
		s.Excluded = ""
	}
	return d.route(s, now)
}

// handleAcknowledgement ends a write according to whether a majority of servers has
// it.
func (d *Decider) handleAcknowledgement(s *state.Session, r replication.Result) []Effect {
	if r.Kind != replication.Satisfied {
		effects := []Effect{DropHeld{}}
		return append(effects, d.finish(s, Outcome{Kind: Unknown, Reason: NotAcknowledged})...)
	}
	s.Token.Merge(d.groupOf(s), r.Point)
	effects := []Effect{ReportToken{}, FlushHeld{}}
	return append(effects, d.finish(s, Outcome{Kind: Answered})...)
}

// isCurrent reports whether an event of the connection belongs to the request that
// the session is executing.
func (d *Decider) isCurrent(s *state.Session, conn state.ConnID, request uint64) bool {
	return s.Phase == state.PhaseExecuting && s.Conn == conn && s.Request.Number == request
}
