package pgwire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
)

// failedTransaction is the SQLSTATE of statements in a transaction that has
// failed. Statements cannot be prepared there; the request that follows gets
// the same error.
const failedTransaction = "25P02"

// maxPartBytes is the size at which a part of an answer is passed on.
const maxPartBytes = 32 << 10

// Part is a run of encoded messages of one kind.
type Part struct {
	Kind  session.PartKind
	Bytes []byte
}

// Answer collects the messages of a backend server's answer to one request.
// Messages that answer the proxy's own preparation are left out.
type Answer struct {
	skip     int // ReadyForQuery messages that belong to the preparation
	part     Part
	end      session.End
	prepared int
	done     int  // completed statements
	tainted  bool // a part of the preparation was refused
}

// NewAnswer returns a collector for the answer to a request whose preparation
// is answered by the given number of ReadyForQuery messages.
func NewAnswer(preparations int) *Answer { return &Answer{skip: preparations} }

// Step is the effect of a message on an answer.
type Step struct {
	Parts []Part // parts that are complete
	Ended bool   // the answer has ended
	Fault string // the connection cannot be used any more; empty if it can
}

// Add takes the next message. more says that further messages are at hand, so
// that parts can be gathered.
func (a *Answer) Add(msg pgproto3.BackendMessage, more bool) Step {
	if a.skip > 0 {
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
		a.add(&step, session.PartError, msg)
	case *pgproto3.CommandComplete:
		a.done++
		a.end.Committed = a.end.Committed || string(m.CommandTag) == "COMMIT"
		a.end.RolledBack = a.done == 1 && string(m.CommandTag) == "ROLLBACK"
		a.add(&step, session.PartCompletion, msg)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.add(&step, session.PartCompletion, msg)
	case *pgproto3.ParseComplete:
		a.prepared++
		a.add(&step, session.PartLead, msg)
	case *pgproto3.BindComplete, *pgproto3.ParameterDescription, *pgproto3.RowDescription, *pgproto3.NoData:
		a.add(&step, session.PartLead, msg)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		step.Fault = "COPY is not supported"
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		// Settings of the pooled connection and notifications to it are not the client's.
	default:
		a.add(&step, session.PartData, msg)
	}
	if step.Ended || !more || len(a.part.Bytes) >= maxPartBytes {
		a.flush(&step)
	}
	return step
}

func (a *Answer) skipPreparation(msg pgproto3.BackendMessage) Step {
	switch m := msg.(type) {
	case *pgproto3.ErrorResponse:
		if m.Code == failedTransaction {
			a.tainted = true
			return Step{}
		}
		return Step{Fault: fmt.Sprintf("preparation of the connection failed: %s (%s)", m.Message, m.Code)}
	case *pgproto3.ReadyForQuery:
		a.skip--
	}
	return Step{}
}

func (a *Answer) add(step *Step, kind session.PartKind, msg pgproto3.BackendMessage) {
	if a.part.Kind != kind {
		a.flush(step)
	}
	a.part.Kind = kind
	raw, err := msg.Encode(a.part.Bytes)
	if err != nil {
		step.Fault = "message cannot be encoded: " + err.Error()
		return
	}
	a.part.Bytes = raw
}

func (a *Answer) flush(step *Step) {
	if len(a.part.Bytes) > 0 {
		step.Parts = append(step.Parts, a.part)
	}
	a.part = Part{}
}

// End returns how the answer ended.
func (a *Answer) End() session.End { return a.end }

// Prepared returns the number of Parse messages that succeeded.
func (a *Answer) Prepared() int { return a.prepared }

// Tainted reports whether a part of the preparation was refused, so that the
// state of the connection is not known.
func (a *Answer) Tainted() bool { return a.tainted }
