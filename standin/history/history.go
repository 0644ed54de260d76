// Package history records what the clients of a database proxy saw and checks it
// against what the servers of the database group did. The checks do not depend on
// the proxy: they are the guarantees that clients rely on.
//
// Every value that a history writes is unique, so that a value in an answer or in a
// log identifies the request that wrote it.
package history

import (
	"fmt"
	"time"
)

// Change is one change to the data: it sets the value of a key or, without a key,
// appends the value to an ordered log.
type Change struct {
	Key   string
	Value string
}

// Kind is what a request does.
type Kind int

const (
	Read     Kind = iota // reads the value of a key
	ReadLog              // reads all entries of the log; not in a transaction that appends
	Write                // makes its changes; outside a transaction it commits them
	Begin                // begins a transaction
	Commit               // makes its changes, and commits the transaction
	Rollback             // rolls the transaction back
)

var kindNames = [...]string{"read", "read of the log", "write", "begin", "commit", "rollback"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is how a request ended for the client.
type Outcome int

const (
	Pending    Outcome = iota // no answer or error yet
	Answered                  // the complete answer arrived
	Failed                    // the database server answered with an error, so the request had no effect
	NotRun                    // refused; the refusal says that it was not run
	RolledBack                // the answer says that the transaction was rolled back
	Unknown                   // it may have taken effect
)

var outcomeNames = [...]string{"pending", "answered", "failed", "not run", "rolled back", "unknown"}

func (o Outcome) String() string { return outcomeNames[o] }

// Request is one request of a session. A session has at most one pending request.
type Request struct {
	ID         int // from 1 in order of invocation
	Session    string
	Tx         int // ID of the Begin of its transaction; zero if none
	Kind       Kind
	Key        string   // of a Read
	Changes    []Change // of a Write or Commit, in order
	Returning  bool     // the answer returns the values that Changes give to keys
	Idempotent bool     // the client allows it to run more than once
	Invoked    time.Time
	Result
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	Ended   time.Time
	Code    string   // SQLSTATE, or the text of an error that has none
	Values  []string // rows of the answer
	Rows    int      // number of rows that the answer states
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

// Move records that a session connected to a proxy, the first time or again.
type Move struct {
	Session   string
	Proxy     string
	After     int  // ID of the session's last request before; zero if none
	WithToken bool // the session presented the token of its earlier writes
}

// History is what the clients saw: their requests and their connections.
type History struct {
	Requests []Request // ordered by ID
	Moves    []Move    // in the order in which they happened
}
