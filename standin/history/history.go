// Package history records what the clients of a database proxy saw and checks
// it against what the database group really did. It knows nothing of the proxy:
// the rules are those that clients rely on.
//
// Every value that a history writes is unique, so that a value in an answer or
// in a log names the request that wrote it.
package history

import (
	"fmt"
	"time"
)

// Change is one change to the data: a key gets a value, or, without a key, the
// value is appended to the ordered log.
type Change struct {
	Key   string
	Value string
}

// Kind is what a request does.
type Kind int

// Kinds of requests.
const (
	Read     Kind = iota // reads the value of a key
	ReadLog              // reads all entries of the log; not in a transaction that appends
	Write                // makes its changes; outside a transaction it commits them
	Begin                // begins a transaction
	Commit               // makes its changes, and commits the transaction
	Rollback             // undoes it
)

var kindNames = [...]string{"read", "read of the log", "write", "begin", "commit", "rollback"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is how a request ended for the client.
type Outcome int

// Outcomes.
const (
	Pending    Outcome = iota // has not ended
	Answered                  // the complete answer arrived
	Failed                    // the database server's error arrived, so the request had no effect
	NotRun                    // refused with the statement that it was not run
	RolledBack                // the transaction is said to have been rolled back
	Unknown                   // it may or may not have taken effect
)

var outcomeNames = [...]string{"pending", "answered", "failed", "not run", "rolled back", "unknown"}

func (o Outcome) String() string { return outcomeNames[o] }

// Request is one request of a session. A session has one request at a time.
type Request struct {
	ID         int // from 1 in order of invocation
	Session    string
	Tx         int // ID of the Begin of the transaction in which it runs; zero if none
	Kind       Kind
	Key        string   // of a Read
	Changes    []Change // of a Write or Commit, in order
	Returning  bool     // the answer repeats the values that Changes give to keys
	Idempotent bool     // the client allows it to run more than once
	Invoked    time.Time
	Result
}

// Result is the end of a request.
type Result struct {
	Outcome Outcome
	Ended   time.Time
	Code    string   // SQLSTATE, or the text of an error without one
	Values  []string // rows of the answer
	Rows    int      // number of rows that the answer says it has
}

func (r *Request) String() string {
	s := fmt.Sprintf("%s of %s (request %d, %s", r.Kind, r.Session, r.ID, r.Outcome)
	if r.Code != "" {
		s += " " + r.Code
	}
	if r.Tx != 0 {
		s += fmt.Sprintf(", transaction %d", r.Tx)
	}
	return s + ")"
}

// Move says that a session connected to a proxy.
type Move struct {
	Session   string
	Proxy     string
	After     int  // ID of the session's latest request; zero if none
	WithToken bool // the session took along what proves its writes
}

// History is what the clients saw.
type History struct {
	Requests []Request // by ID
	Moves    []Move    // in order
}
