package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Phase is what a session's current request waits for.
type Phase int

// Phases of a request.
const (
	PhaseIdle          Phase = iota // no request
	PhaseAdmission                  // waits for a token of its customer's limit
	PhasePosition                   // waits for a position or a primary
	PhaseConnection                 // waits for a backend connection
	PhaseExecuting                  // sent; waits for the answer
	PhaseAcknowledging              // answered; waits until a majority holds the write
	PhaseBackoff                    // waits before a retry
	PhaseClosed                     // the session has ended
)

// Class determines how a request is routed.
type Class int

// Classes of requests.
const (
	ClassRead     Class = iota // may run on a replica, which refuses it before running it if it writes
	ClassWrite                 // runs on the primary
	ClassBegin                 // begins a transaction on the primary
	ClassBeginRO               // begins a read-only transaction
	ClassEnd                   // commits a transaction
	ClassRollback              // rolls back a transaction
	ClassSetting               // answered by the VM itself
)

// Request is a unit of work whose answer a client waits for. Payload is what
// the protocol layer sends to a backend server; this package does not interpret
// it.
type Request struct {
	Number       uint64
	Class        Class
	MayCommit    bool // several statements, one of which may end a transaction
	OnlyBegins   bool // only begins a transaction
	Payload      any
	Idempotent   bool
	MaxStaleness time.Duration
	Arrived      time.Time
	Deadline     time.Time
}

// ConnID identifies a backend connection within the VM. Zero means no
// connection.
type ConnID uint64

// Variable is a session setting that is replayed on backend connections.
type Variable struct {
	Name      string
	Statement string
}

// Token holds, for each group that a session wrote to, the point that its reads
// must cover.
type Token map[string]Point

// Merge advances the token's point for the group to p if p is later.
func (t Token) Merge(group string, p Point) {
	old, ok := t[group]
	if !ok || p.Term > old.Term || p.Term == old.Term && p.Position > old.Position {
		t[group] = p
	}
}

// Session is the state of a client's connection. Only the worker that runs the
// session's queue writes the fields; the lock protects other readers.
type Session struct {
	ID uint64

	mu lockrank.Mutex // guards the fields below

	Login    string // user name presented by the client
	Customer string // customer whose limit the requests count against
	Route    string
	Key      KeyHash
	HasKey   bool // the client presented a key
	Token    Token
	TokenSet bool // the client presented a token, so Token is complete

	MaxStaleness time.Duration // of the session; zero uses that of the route
	Idempotent   bool
	Variables    []Variable

	Phase   Phase
	Request Request
	Server  string // backend server that the request is sent to
	Term    uint64 // term of the primary that the request is sent to
	// TargetsPrimary is set if Server was chosen as the primary.
	TargetsPrimary  bool
	Conn            ConnID
	Sent            bool      // at least one byte of the request was handed to Conn
	Forwarded       bool      // at least one byte of the answer was handed to the client
	Answering       bool      // part of the answer has arrived
	Completed       bool      // the answer received so far contains a completed statement
	Superseded      bool      // a primary later than the one that runs the request is known
	CheckedAt       time.Time // when a check of the server began; zero if none is in progress
	Attempts        int       // number of times the request was sent
	WriteRefusals   int       // number of times a backend server refused it as a write
	MayHaveRun      bool      // an earlier attempt was sent and its result is unknown
	Cancelled       bool      // a cancel request was sent while Conn was held
	Excluded        string    // backend server that failed this request or refused it as a write; not chosen for the next attempt
	PositionQueried string    // replica whose position was already queried for this request

	InTransaction bool
	// BeginPayload is the payload of the request that began the transaction, as long
	// as nothing else has run in it; nil otherwise.
	BeginPayload   any
	ReplayingBegin bool // the transaction is begun again on another server, together with the current request
	Draining       bool // close as soon as there is no request and no transaction
	// Ending is set once the session's access is refused: the requests that were read are
	// refused too, and the session is closed after them.
	Ending bool
}

// Lock locks the session.
func (s *Session) Lock() { s.mu.Lock() }

// Unlock unlocks the session.
func (s *Session) Unlock() { s.mu.Unlock() }

// SessionTable holds the sessions of this VM.
type SessionTable struct {
	mu       lockrank.Mutex // guards the fields below
	sessions map[uint64]*Session
	next     uint64
}

// NewSessionTable returns an empty table.
func NewSessionTable() *SessionTable {
	return &SessionTable{mu: lockrank.New(lockrank.Sessions), sessions: make(map[uint64]*Session)}
}

// Add registers a new session.
func (t *SessionTable) Add() *Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	s := &Session{ID: t.next, mu: lockrank.New(lockrank.Session), Token: make(Token)}
	t.sessions[s.ID] = s
	return s
}

// Remove removes a session.
func (t *SessionTable) Remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, id)
}

// Len returns the number of sessions.
func (t *SessionTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}

// All returns the current sessions in unspecified order.
func (t *SessionTable) All() []*Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Session, 0, len(t.sessions))
	for _, s := range t.sessions {
		all = append(all, s)
	}
	return all
}
