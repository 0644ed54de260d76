package statement

import "time"

// RemoteStatement is a statement sent to the VM that holds the connections used
// for the customer.
type RemoteStatement struct {
	Customer string
	Group    string
	Server   string
	Command  Command
	// RequirePrimary requires that a read runs only on the group's current primary. It
	// then runs in a read-write transaction, which a server that is no longer
	// the primary refuses.
	RequirePrimary bool
	// Tx is the open transaction to run in; zero if there is none. If BeginsTx is
	// set, the statement begins a new one, which is read-only if ReadOnlyTx is
	// set.
	Tx         uint64
	BeginsTx   bool
	ReadOnlyTx bool
	Values     []Value
	Prepared   *Prepared     // the statement required by Execute
	Timeout    time.Duration // from arrival; whole milliseconds
	Wait       time.Duration // maximum wait for a connection; whole milliseconds
	Trace      Trace
	Admission  *Admission // nil if there is one class only, or if the sender is of an earlier build
}

// Trace identifies the parent span of the statement's next hop. The zero value
// is not traced.
type Trace struct {
	TraceID [16]byte
	SpanID  [8]byte
}

// Result is the answer to a RemoteStatement.
type Result struct {
	Answer           Answer
	PrimaryConfirmed bool   // the server was the group's primary while the statement ran
	Tx               uint64 // the open transaction; zero if there is none
	// RetryAfter says that the statement was not run because there is too little room at
	// its server, and when to try again; whole milliseconds. It is zero in other results,
	// and in those of statements without an Admission.
	RetryAfter time.Duration
}

// Writes reports whether the statement changes data.
func (s *RemoteStatement) Writes() bool {
	return s.Command.Verb == Write || s.Prepared != nil && s.Prepared.Writes
}

// Wrapped reports whether the statement must run in a read-write transaction of
// its own that is rolled back afterwards, to confirm that the server is the
// primary.
func (s *RemoteStatement) Wrapped() bool { return s.RequirePrimary && !s.BeginsTx && s.Tx == 0 }

// ConfirmsLeadership reports whether success of the statement confirms that the
// server is the primary.
func (s *RemoteStatement) ConfirmsLeadership() bool {
	return s.Command.Verb != Commit && (s.Writes() || s.RequirePrimary || s.BeginsTx && !s.ReadOnlyTx)
}
