// Package statement defines the requests of SQL sessions and their answers,
// independent of any wire protocol.
package statement

import "github.com/chestnutdyke/chestnutdyke/state"

// Verb is the kind of a request.
type Verb uint8

// Values of Verb. Those from Discard on are sent only by the proxy.
const (
	Unknown       Verb = iota // text that the protocol does not define
	Begin                     // begins a read-write transaction
	BeginReadOnly             // begins a read-only transaction
	Commit
	Rollback
	Read
	Write
	Set      // sets a session variable
	Prepare  // creates a prepared statement
	Execute  // runs a prepared statement
	Close    // drops a prepared statement
	Discard  // drops a connection's session variables and prepared statements
	Status   // queries the role and position of a backend server
	StepDown // orders the primary to give up its role
	Pause    // stops a replica from receiving the primary's log, until Resume or its promotion
	Resume   // ends Pause
	verbCount
)

// Valid reports whether this version defines the verb.
func (v Verb) Valid() bool { return v < verbCount }

// Request is a request of a client.
type Request struct {
	ID   string
	Verb Verb
	Name string // session variable or prepared statement
	// Payload is the text after the verb and the name, as sent by the client.
	Payload string
	Writes  bool // Prepare: the statement writes
}

// Prepared is a prepared statement. Name is derived from its contents, so that
// sessions that prepare the same statement share it on a connection.
type Prepared struct {
	Name   string
	Writes bool
	Shape  string // text of the statement, as given in the Prepare request
}

// Value is a session variable with its value.
type Value struct {
	Name string
	Data string
}

// Command is a command to a backend server.
type Command struct {
	ID      string // empty for commands of the proxy itself
	Verb    Verb
	Name    string
	Payload string
	Writes  bool        // Prepare
	After   state.Point // Read, Begin, BeginReadOnly: point that the server must hold; zero means none
	Term    uint64      // StepDown, Pause: term of the successor, above every term that the server knows
}

// Code is the outcome of a request.
type Code uint8

// Values of Code. Lost, Unreachable and Down are used only inside the fleet.
const (
	OK               Code = iota
	Busy                  // not run: no capacity
	Aborted               // none of the transaction's changes are kept
	Lagging               // not run: the server does not hold the requested point
	ReadOnly              // not run: the server is not the primary
	WrongServer           // not run: the address now belongs to another server
	ConnectionLimit       // not run: the server accepts no more connections
	InDoubt               // may have taken effect
	Timeout               // may have taken effect
	Failed                // ran and failed
	Malformed             // not run: the request is not valid in this state
	UnknownDatabase       // not run
	AccessDenied          // not run: unknown or revoked key
	UnknownStatement      // not run: no prepared statement has this name
	Lost                  // sent, but the connection broke before the answer was complete
	Unreachable           // not sent
	Down                  // not sent: no process listens at the server's address
	codeCount
)

var codeNames = [codeCount]string{
	"ok", "busy", "aborted", "lagging", "read_only", "wrong_server", "connection_limit", "in_doubt", "timeout",
	"failed", "malformed", "unknown_database", "access_denied", "unknown_statement", "lost", "unreachable", "down",
}

// String returns the name of the code in logs and metrics.
func (c Code) String() string {
	if !c.Valid() {
		return "invalid"
	}
	return codeNames[c]
}

// Valid reports whether this version defines the code.
func (c Code) Valid() bool { return c < codeCount }

// Internal reports whether the code is used only inside the fleet.
func (c Code) Internal() bool { return c == Lost || c == Unreachable || c == Down }

// NotRun reports whether the code proves that the statement did not run, and the
// statement may succeed if it is sent again. It is false for statements that would
// be refused again.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongServer, ConnectionLimit, UnknownStatement, Unreachable, Down:
		return true
	}
	return false
}

// TxState is the state of a session's transaction.
type TxState uint8

// Values of TxState.
const (
	Idle     TxState = iota
	InTx             // a transaction is open
	FailedTx         // the transaction failed; only its end is accepted
	txStateCount
)

// Valid reports whether this version defines the state.
func (s TxState) Valid() bool { return s < txStateCount }

// Answer is the complete answer to a request or command.
type Answer struct {
	Code      Code
	Text      string // details of an error
	Rows      []string
	Signature string      // proves which server ran the statement; empty for the proxy's own answers
	State     TxState     // after the statement
	At        state.Point // end of the server's log after the statement; zero if unknown
}

// Refusal returns the answer to a request that the proxy refuses.
func Refusal(code Code, text string) Answer { return Answer{Code: code, Text: text} }
