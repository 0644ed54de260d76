package pgwire

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
)

// refusal is the error that a client gets for a reason.
type refusal struct {
	code    string // SQLSTATE
	message string
	hint    string
}

var refusals = map[session.Reason]refusal{
	session.RateExceeded:      {"53400", "the customer's rate is used up", ""},
	session.NotConfirmed:      {"57P03", "this VM is not confirmed by a majority of its voters and may not spend from its customers' rates", "Connect to another VM or retry later."},
	session.NoConnection:      {"53300", "no backend connection was free before the deadline", "Retry later."},
	session.NoPrimary:         {"57P03", "the database group has no usable primary", "Retry later."},
	session.NoConfiguration:   {"57P03", "this VM has no configuration yet", "Connect to another VM or retry later."},
	session.KeyRefused:        {"28P01", "the customer's key was refused", ""},
	session.CutOff:            {"28000", "this VM is cut off and cannot tell whether the key was revoked", "Connect to a VM of another data centre."},
	session.RouteUnknown:      {"3D000", "the route does not exist", ""},
	session.RouteRefused:      {"42501", "the customer may not use the route", ""},
	session.Unsupported:       {"0A000", "not supported under transaction pooling", ""},
	session.ShuttingDown:      {"57P01", "this VM is shutting down", "Reconnect."},
	session.CancelRequested:   {"57014", "the request was cancelled", ""},
	session.TokenInvalid:      {"22023", "the session token is not valid", ""},
	session.TokenForeign:      {"42501", "the session token belongs to another customer", ""},
	session.ConnectionLost:    {"08007", "the backend connection was lost before the answer was complete", "Find out whether the request took effect before repeating it."},
	session.DeadlinePassed:    {"08007", "no complete answer arrived before the deadline", "Find out whether the request took effect before repeating it."},
	session.NotAcknowledged:   {"08007", "no majority of the database group confirmed the write", "Find out whether the request took effect before repeating it."},
	session.TransactionLost:   {"08006", "the transaction's backend connection was closed, so the transaction was rolled back", "Reconnect and repeat the transaction."},
	session.TooManySessions:   {"53300", "this VM has too many sessions", "Connect to another VM or retry later."},
	session.StatementTooLarge: {"54000", "the request is too large", ""},
	session.ParameterInvalid:  {"22023", "the setting's value is not valid", ""},
}

// sqlstateOutcomeUnknown is the SQLSTATE (transaction_resolution_unknown) of requests
// that may or may not have taken effect.
const sqlstateOutcomeUnknown = "08007"

// ErrorResponseFor returns the error for an outcome other than Answered. fatal
// marks an error after which the client connection is closed. ErrorResponseFor
// panics if the reason has no entry in refusals.
func ErrorResponseFor(out session.Outcome, fatal bool) *pgproto3.ErrorResponse {
	r, ok := refusals[out.Reason]
	if !ok {
		panic(fmt.Sprintf("no refusal for reason %d", out.Reason))
	}
	e := &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                r.code,
		Message:             r.message,
		Hint:                r.hint,
	}
	if fatal {
		e.Severity, e.SeverityUnlocalized = "FATAL", "FATAL"
	}
	if out.Detail != "" {
		e.Message += ": " + out.Detail
	}
	switch {
	case out.Kind == session.NotRun:
		e.Detail = "The request was not run."
	case out.Reason == session.TransactionLost:
		e.Detail = "The transaction was rolled back."
	default:
		e.Code = sqlstateOutcomeUnknown
		e.Detail = "The outcome of the request is unknown."
	}
	if out.Reason == session.RateExceeded && out.RetryAfter > 0 {
		e.Hint = fmt.Sprintf("Retry after %d ms.", out.RetryAfter.Milliseconds()+1)
	}
	return e
}
