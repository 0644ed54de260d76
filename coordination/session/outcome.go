package session

import "time"

// OutcomeKind says whether a request was answered, was not run, or may have run.
type OutcomeKind int

// Values of OutcomeKind.
const (
	// Answered means that the backend server's complete answer was forwarded.
	Answered OutcomeKind = iota
	// NotRun means that the request was refused and did not run.
	NotRun
	// Unknown means that the request was sent and may have taken effect.
	Unknown
)

// Reason says why a request was refused or has an unknown outcome, or why a session
// was closed.
type Reason int

// Values of Reason.
const (
	NoReason          Reason = iota
	RateExceeded             // the customer has used up its rate and burst
	NotConfirmed             // the VM's voters do not confirm it, so it may spend no tokens
	NoConnection             // no backend connection before the deadline
	NoPrimary                // no usable primary before the deadline
	NoConfiguration          // this VM has no configuration yet
	KeyRefused               // unknown customer, or wrong or revoked key
	CutOff                   // the VM is cut off from the store and cannot tell whether the key was revoked
	RouteUnknown             // the route is not in the configuration
	RouteRefused             // the customer may not use the route
	Unsupported              // not supported under transaction pooling
	ShuttingDown             // the VM is shutting down
	CancelRequested          // the client cancelled the request
	TokenInvalid             // the session token is malformed or forged
	TokenForeign             // the session token belongs to another customer
	ConnectionLost           // the backend connection was lost after the request was sent
	DeadlinePassed           // no answer before the deadline
	NotAcknowledged          // no majority of servers had the write before the deadline
	TransactionLost          // the backend connection of a transaction was lost, which rolls it back
	TooManySessions          // the VM has reached its maximum number of sessions
	StatementTooLarge        // the request is larger than the VM accepts
	ParameterInvalid         // a session parameter of the proxy was set to an invalid value
)

var reasonNames = map[Reason]string{
	NoReason:          "none",
	RateExceeded:      "rate_exceeded",
	NotConfirmed:      "not_confirmed",
	NoConnection:      "no_connection",
	NoPrimary:         "no_primary",
	NoConfiguration:   "no_configuration",
	KeyRefused:        "key_refused",
	CutOff:            "cut_off",
	RouteUnknown:      "route_unknown",
	RouteRefused:      "route_refused",
	Unsupported:       "unsupported",
	ShuttingDown:      "shutting_down",
	CancelRequested:   "cancel_requested",
	TokenInvalid:      "token_invalid",
	TokenForeign:      "token_foreign",
	ConnectionLost:    "connection_lost",
	DeadlinePassed:    "deadline_passed",
	NotAcknowledged:   "not_acknowledged",
	TransactionLost:   "transaction_lost",
	TooManySessions:   "too_many_sessions",
	StatementTooLarge: "statement_too_large",
	ParameterInvalid:  "parameter_invalid",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Outcome describes how a request ended.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	RetryAfter time.Duration // with RateExceeded: time after which a retry can succeed; zero if unknown
	Detail     string        // further details of the refusal; may be empty
}

// Refused returns the outcome of a request that was not run.
func Refused(reason Reason) Outcome { return Outcome{Kind: NotRun, Reason: reason} }
