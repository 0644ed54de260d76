package pgwire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
)

// sqlstateInFailedTransaction is the SQLSTATE of statements in a failed transaction.
// Preparing a statement there fails with it, and the request that follows gets the
// same error.
const sqlstateInFailedTransaction = "25P02"

// maxPartBytes is the size at which a part of an answer is complete even if more
// messages of its kind follow.
const maxPartBytes = 32 << 10

// Part is a sequence of consecutive encoded messages of one kind.
type Part struct {
	Kind  session.PartKind
	Bytes []byte
}

// Answer collects the messages of a backend server's answer to one request.
// Answers to the messages that ConnectionState.Prepare adds are dropped.
type Answer struct {
	pendingPreparations int // ReadyForQuery messages that belong to the preparation
	part                Part
	end                 session.End
	prepared            int
	completed           int  // completed statements
	preparationRefused  bool // a part of the preparation was refused
}

// NewAnswer returns an Answer for a request that follows a preparation.
// preparations is the number of ReadyForQuery messages that answer it, as in
// Prepared.Preparations.
func NewAnswer(preparations int) *Answer { return &Answer{pendingPreparations: preparations} }

// Step is the result of adding a message to an Answer.
type Step struct {
	Parts       []Part // parts that the message completed
	Ended       bool   // the answer is complete
	CloseReason string // why the connection must be closed; empty if it can be used
}

// Add adds the next message. more reports that further messages have already been
// received, so that the current part can wait for them.
func (a *Answer) Add(msg pgproto3.BackendMessage, more bool) Step {
	if a.pendingPreparations > 0 {
		return a.skipPreparation(msg)
	}
	var step Step
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		a.end.InTransaction = m.TxStatus != 'I'
		a.end.Status = m.TxStatus
		step.Ended = true
	case *pgproto3.ErrorResponse:
		a.end.ErrorCode = m.Code
		a.appendMessage(&step, session.PartError, msg)
	case *pgproto3.CommandComplete:
		a.completed++
		a.end.Committed = a.end.Committed || string(m.CommandTag) == "COMMIT"
		a.end.RolledBack = a.completed == 1 && string(m.CommandTag) == "ROLLBACK"
		a.appendMessage(&step, session.PartCompletion, msg)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.appendMessage(&step, session.PartCompletion, msg)
	case *pgproto3.ParseComplete:
		a.prepared++
		a.appendMessage(&step, session.PartPreamble, msg)
	case *pgproto3.BindComplete, *pgproto3.ParameterDescription, *pgproto3.RowDescription, *pgproto3.NoData:
		a.appendMessage(&step, session.PartPreamble, msg)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		step.CloseReason = "COPY is not supported"
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		// These concern the pooled connection, not the client's session.
	default:
		a.appendMessage(&step, session.PartData, msg)
	}
	if step.Ended || !more || len(a.part.Bytes) >= maxPartBytes {
		a.flushPart(&step)
	}
	return step
}

// skipPreparation drops a message that answers the preparation. After an
// error there the connection must be closed, except in a failed transaction.
func (a *Answer) skipPreparation(msg pgproto3.BackendMessage) Step {
	switch m := msg.(type) {
	case *pgproto3.ErrorResponse:
		if m.Code == sqlstateInFailedTransaction {
			a.preparationRefused = true
			return Step{}
		}
		return Step{CloseReason: fmt.Sprintf("preparation of the connection failed: %s (%s)", m.Message, m.Code)}
	case *pgproto3.ReadyForQuery:
		a.pendingPreparations--
	}
	return Step{}
}

// appendMessage appends a message to the current part. If the part is of another
// kind, it is completed and a new one is started.
func (a *Answer) appendMessage(step *Step, kind session.PartKind, msg pgproto3.BackendMessage) {
	if a.part.Kind != kind {
		a.flushPart(step)
	}
	a.part.Kind = kind
	raw, err := msg.Encode(a.part.Bytes)
	if err != nil {
		step.CloseReason = "message cannot be encoded: " + err.Error()
		return
	}
	a.part.Bytes = raw
}

// flushPart completes the current part.
func (a *Answer) flushPart(step *Step) {
	if len(a.part.Bytes) > 0 {
		step.Parts = append(step.Parts, a.part)
	}
	a.part = Part{}
}

// End returns the result of the answer. It is valid once Add has reported Ended.
func (a *Answer) End() session.End { return a.end }

// Prepared returns the number of the request's Parse messages that succeeded.
func (a *Answer) Prepared() int { return a.prepared }

// PreparationFailed reports whether the backend server refused a part of the
// preparation. The settings and prepared statements of the connection are then
// unknown.
func (a *Answer) PreparationFailed() bool { return a.preparationRefused }
