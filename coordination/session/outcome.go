package session

import "time"

// OutcomeKind is one of the three ways in which a request ends.
type OutcomeKind int

// Kinds of outcomes.
const (
	// Answered: the backend server's complete answer was forwarded.
	Answered OutcomeKind = iota
	// NotRun: the request was refused and did not run.
	NotRun
	// Unknown: the request was sent, and it is not known whether it took effect.
	Unknown
)

// Reason says why a request was not answered.
type Reason int

// Reasons.
const (
	NoReason          Reason = iota
	RateExceeded             // the customer's rate and burst are used up
	NotConfirmed             // the VM's voters do not confirm it, so it may spend nothing
	NoConnection             // no backend connection before the deadline
	NoPrimary                // no usable primary before the deadline
	NoConfiguration          // this VM has no configuration yet
	KeyRefused               // unknown customer, or wrong or revoked key
	CutOff                   // the VM cannot tell whether the key was revoked
	RouteUnknown             // there is no such route
	RouteRefused             // the customer may not use the route
	Unsupported              // not supported under transaction pooling
	ShuttingDown             // the VM is leaving
	CancelRequested          // the client cancelled the request
	TokenInvalid             // the session token is malformed or forged
	TokenForeign             // the session token belongs to another customer
	ConnectionLost           // the backend connection was lost after the request was sent
	DeadlinePassed           // no answer before the deadline
	NotAcknowledged          // no majority held the write before the deadline
	TransactionLost          // the backend connection of a transaction was lost, which rolls it back
	TooManySessions          // the VM has as many sessions as it may
	StatementTooLarge        // the request is larger than the VM accepts
	ParameterInvalid         // a setting of the proxy got an invalid value
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

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Outcome says how a request ended.
type Outcome struct {
	Kind       OutcomeKind
	Reason     Reason
	RetryAfter time.Duration // with RateExceeded: when a retry can succeed; zero if unknown
	Detail     string        // what exactly was refused; may be empty
}

// Refused returns the outcome of a request that was not run.
func Refused(reason Reason) Outcome { return Outcome{Kind: NotRun, Reason: reason} }
