package statement

import "time"

// Work is a statement for the VM that holds the customer's connections.
type Work struct {
	Customer string
	Group    string
	Server   string
	Command  Command
	// Proof asks that a read runs only on a server that leads the group: in a
	// transaction that may write, which a server that lost the lead refuses.
	Proof bool
	// Tx is the open transaction to run in; zero for none. With Opens the
	// statement begins a new one, which ReadOnlyTx makes a reading one.
	Tx         uint64
	Opens      bool
	ReadOnlyTx bool
	Values     []Value
	Prepared   *Prepared     // the statement that Execute needs
	Timeout    time.Duration // from its arrival; whole milliseconds
	Wait       time.Duration // longest wait for a connection; whole milliseconds
	Trace      Trace
}

// Trace names the span that a statement's next hop belongs to. The zero value
// is not traced.
type Trace struct {
	TraceID [16]byte
	SpanID  [8]byte
}

// Result answers a Work.
type Result struct {
	Answer Answer
	Proven bool   // the server led the group while the statement ran
	Tx     uint64 // the open transaction; zero if none is open
}

// Writes reports whether the statement changes data.
func (w *Work) Writes() bool {
	return w.Command.Verb == Write || w.Prepared != nil && w.Prepared.Writes
}

// Wrapped reports whether the statement needs a transaction of its own that is
// rolled back, to prove the lead.
func (w *Work) Wrapped() bool { return w.Proof && !w.Opens && w.Tx == 0 }

// Proves reports whether success of the statement proves the lead.
func (w *Work) Proves() bool {
	return w.Command.Verb != Commit && (w.Writes() || w.Proof || w.Opens && !w.ReadOnlyTx)
}
