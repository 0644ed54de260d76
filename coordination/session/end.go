package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxIdleInTransaction is the longest time that a transaction may wait for its next
// request, counted from the deadline of the previous one.
const maxIdleInTransaction = 30 * time.Second

// HandleTimer performs what is due at the time of a SetTimer: the end of an idle
// transaction, the deadline, the next attempt, or a check on the server.
func (d *Decider) HandleTimer(s *state.Session, request uint64, now time.Time) []Effect {
	if s.Request.Number != request || s.Phase == state.PhaseClosed {
		return nil
	}
	if s.Phase == state.PhaseIdle {
		return d.endIdleTransaction(s, now)
	}
	if !now.Before(s.Request.Deadline) {
		return d.expire(s, now)
	}
	switch s.Phase {
	case state.PhaseBackoff:
		return d.route(s, now)
	case state.PhaseExecuting:
		return d.checkServer(s, now)
	}
	return nil
}

// endIdleTransaction closes a session whose transaction has been idle for too long,
// because it occupies a backend connection.
func (d *Decider) endIdleTransaction(s *state.Session, now time.Time) []Effect {
	if !s.InTransaction || now.Before(s.Request.Deadline.Add(maxIdleInTransaction)) {
		return nil
	}
	return d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})
}

// expire ends a request whose deadline has passed.
func (d *Decider) expire(s *state.Session, now time.Time) []Effect {
	switch s.Phase {
	case state.PhaseAdmission:
		d.cancelAdmission(s)
		return d.refuse(s, Refused(RateExceeded))
	case state.PhasePosition:
		effects := []Effect{CancelAwait{Group: d.groupOf(s), ID: waiterID(s)}}
		return append(effects, d.refuse(s, Refused(NoPrimary))...)
	case state.PhaseConnection:
		effects := []Effect{CancelAcquire{Server: s.Server, ID: waiterID(s)}}
		return append(effects, d.refuse(s, Refused(NoConnection))...)
	case state.PhaseBackoff:
		return d.refuse(s, Refused(NoConnection))
	case state.PhaseExecuting:
		effects := d.discardConn(s)
		return append(effects, d.retryOrFail(s, DeadlinePassed, now)...)
	}
	// In PhaseAcknowledging the position waiter has the same deadline and ends the
	// request.
	return nil
}

// Cancel handles a cancel request of the client. A request that is executing is
// cancelled at the backend server, and its connection is not reused: a late cancel
// would hit the next request on it.
func (d *Decider) Cancel(s *state.Session) []Effect {
	cancelled := Refused(CancelRequested)
	switch s.Phase {
	case state.PhaseAdmission:
		d.cancelAdmission(s)
		return d.refuse(s, cancelled)
	case state.PhaseBackoff:
		return d.refuse(s, cancelled)
	case state.PhasePosition:
		effects := []Effect{CancelAwait{Group: d.groupOf(s), ID: waiterID(s)}}
		return append(effects, d.refuse(s, cancelled)...)
	case state.PhaseConnection:
		effects := []Effect{CancelAcquire{Server: s.Server, ID: waiterID(s)}}
		return append(effects, d.refuse(s, cancelled)...)
	case state.PhaseExecuting:
		s.Cancelled = true
		return []Effect{CancelBackend{Conn: s.Conn}}
	}
	return nil
}

// HandleDisconnect ends the session after the client has disconnected.
func (d *Decider) HandleDisconnect(s *state.Session) []Effect {
	var effects []Effect
	switch s.Phase {
	case state.PhaseAdmission:
		d.cancelAdmission(s)
	case state.PhasePosition, state.PhaseExecuting, state.PhaseAcknowledging:
		effects = append(effects, CancelAwait{Group: d.groupOf(s), ID: waiterID(s)})
	case state.PhaseConnection:
		effects = append(effects, CancelAcquire{Server: s.Server, ID: waiterID(s)})
	}
	effects = append(effects, d.discardConn(s)...)
	s.Phase = state.PhaseClosed
	s.InTransaction = false
	return append(effects, DropHeld{})
}

// Drain closes the session as soon as it has neither a request nor a
// transaction.
func (d *Decider) Drain(s *state.Session) []Effect {
	s.Draining = true
	if s.Phase != state.PhaseIdle || s.InTransaction || s.Ending {
		return nil
	}
	return d.close(s, Refused(ShuttingDown))
}

// refuse ends a request that has no answer from a backend server. The outcome is
// NotRun only if no earlier attempt was sent. If the request's transaction is no
// longer open, the session is closed, because later requests would run outside
// the transaction.
func (d *Decider) refuse(s *state.Session, out Outcome) []Effect {
	if s.ReplayingBegin {
		return d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})
	}
	if s.MayHaveRun {
		out.Kind = Unknown
	}
	return d.finish(s, out)
}

// finish ends the request. A draining session is closed unless it has an open
// transaction.
func (d *Decider) finish(s *state.Session, out Outcome) []Effect {
	s.Phase = state.PhaseIdle
	s.Request.Payload = nil
	effects := []Effect{Finish{Outcome: out, InTransaction: s.InTransaction}}
	if s.InTransaction {
		idleDeadline := s.Request.Deadline.Add(maxIdleInTransaction)
		return append(effects, SetTimer{Request: s.Request.Number, At: idleDeadline})
	}
	if s.Draining && !s.Ending {
		effects = append(effects, d.close(s, Refused(ShuttingDown))...)
	}
	return effects
}

// close ends the session.
func (d *Decider) close(s *state.Session, out Outcome) []Effect {
	effects := append(d.discardConn(s), CloseClient{Outcome: out})
	s.Phase = state.PhaseClosed
	s.InTransaction = false
	return effects
}

// discardConn closes the session's backend connection, which rolls back a
// transaction that is open on it.
func (d *Decider) discardConn(s *state.Session) []Effect {
	if s.Conn == 0 {
		return nil
	}
	conn := s.Conn
	s.Conn, s.Cancelled = 0, false
	return []Effect{Discard{Server: s.Server, Conn: conn}}
}

// releaseConn returns the session's backend connection to the pool, or closes it
// if a cancel request may still be on its way.
func (d *Decider) releaseConn(s *state.Session) []Effect {
	if s.Cancelled {
		return d.discardConn(s)
	}
	conn := s.Conn
	s.Conn = 0
	return []Effect{Release{Server: s.Server, Conn: conn}}
}
