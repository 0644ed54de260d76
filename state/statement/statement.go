// Package statement holds the typed requests of SQL sessions and the answers to
// them, independent of any wire protocol.
package statement

import "github.com/chestnutdyke/chestnutdyke/state"

// Verb says what a request does.
type Verb uint8

// Verbs. Those from Discard on are sent by the proxy only.
const (
	Unknown       Verb = iota // a text that the protocol does not define
	Begin                     // begins a transaction that may write
	BeginReadOnly             // begins a transaction that only reads
	Commit
	Rollback
	Read
	Write
	Set     // sets a session value
	Prepare // names a statement
	Execute // runs a prepared statement
	Close   // forgets a prepared name
	Discard // drops a connection's session values and prepared names
	Status  // asks a backend server for its role and position
	StepDown
	verbs
)

// Valid reports whether the verb is one of this version's.
func (v Verb) Valid() bool { return v < verbs }

// Request is one request of a client.
type Request struct {
	ID   string
	Verb Verb
	Name string // session value or prepared statement
	// Payload is what follows the verb (and the name), as the client sent it.
	Payload string
	Writes  bool // Prepare: the statement writes
}

// Prepared is a prepared statement. Name is unique for its contents, so that
// sessions which prepare the same statement can share it on a connection.
type Prepared struct {
	Name   string
	Writes bool
	Shape  string
}

// Value is a session value.
type Value struct {
	Name string
	Data string
}

// Command is what is sent to a backend server.
type Command struct {
	ID      string // empty for the proxy's own commands
	Verb    Verb
	Name    string
	Payload string
	Writes  bool        // Prepare
	After   state.Point // Read, Begin*: the server must hold this point; zero asks for nothing
	Term    uint64      // StepDown
}

// Code is the outcome of a request.
type Code uint8

// Outcomes. Lost, Unreachable and Down occur inside the fleet only.
const (
	OK               Code = iota
	Busy                  // not run: no capacity
	Aborted               // nothing of the transaction is kept
	Lagging               // not run: the server lacks the point asked for
	ReadOnly              // not run: the server is not the primary
	WrongServer           // not run: the address belongs to another server now
	ConnectionLimit       // not run: the server takes no more connections
	InDoubt               // may have taken effect
	Timeout               // may have taken effect
	Failed                // ran and failed
	Malformed             // not run: the request is not valid in this state
	UnknownDatabase       // not run
	AccessDenied          // not run: unknown or revoked key
	UnknownStatement      // not run: no prepared statement of that name
	Lost                  // sent, and the connection broke before the answer was complete
	Unreachable           // not sent
	Down                  // not sent: nothing listens at the server's address
	codes
)

var codeNames = [codes]string{
	"ok", "busy", "aborted", "lagging", "read_only", "wrong_server", "connection_limit", "in_doubt", "timeout",
	"failed", "malformed", "unknown_database", "access_denied", "unknown_statement", "lost", "unreachable", "down",
}

// String returns the code's name in logs and metrics.
func (c Code) String() string {
	if !c.Valid() {
		return "invalid"
	}
	return codeNames[c]
}

// Valid reports whether the code is one of this version's.
func (c Code) Valid() bool { return c < codes }

// Internal reports whether the code occurs inside the fleet only.
func (c Code) Internal() bool { return c == Lost || c == Unreachable || c == Down }

// NotRun reports whether the code proves that the statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongServer, ConnectionLimit, UnknownStatement, Unreachable, Down:
		return true
	}
	return false
}

// TxState is the state of a session's transaction.
type TxState uint8

// Transaction states.
const (
	Idle     TxState = iota
	InTx             // a transaction is open
	FailedTx         // the transaction failed; only its end is accepted
	txStates
)

// Valid reports whether the state is one of this version's.
func (s TxState) Valid() bool { return s < txStates }

// Answer is the complete answer to a request or command.
type Answer struct {
	Code      Code
	Text      string // further words of an error
	Rows      []string
	Signature string      // proves which server ran the statement; empty for the proxy's own answers
	State     TxState     // after the statement
	At        state.Point // the server's log after the statement; zero if not known
}

// Refusal returns the answer of a request that the proxy refuses itself.
func Refusal(code Code, text string) Answer { return Answer{Code: code, Text: text} }
