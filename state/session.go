package state

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Phase says what a session's current request waits for.
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
	PhaseClosed                     // the client is gone
)

// Class says how a request is routed.
type Class int

// Classes of requests.
const (
	ClassRead     Class = iota // may run on a replica; refused there before it runs if it writes
	ClassWrite                 // runs on the primary
	ClassBegin                 // opens a transaction on the primary
	ClassBeginRO               // opens a read-only transaction
	ClassEnd                   // ends a transaction
	ClassRollback              // ends a transaction without effect
	ClassLocal                 // answered by the VM itself
)

// Request is one unit that a client waits on. Payload is opaque here: it is
// what the protocol layer sends to a backend server.
type Request struct {
	Number       uint64
	Class        Class
	MayCommit    bool // several statements, of which one may end a transaction
	OnlyBegins   bool // begins a transaction and does nothing else
	Payload      any
	Idempotent   bool
	MaxStaleness time.Duration
	Arrived      time.Time
	Deadline     time.Time
}

// ConnID names a backend connection within the VM. Zero is no connection.
type ConnID uint64

// Variable is a session setting that is replayed on backend connections.
type Variable struct {
	Name      string
	Statement string
}

// Token holds, for each group that a session wrote to, the point that its reads
// must cover.
type Token map[string]Point

// Merge raises the token's point for the group to p if p is later.
func (t Token) Merge(group string, p Point) {
	old, ok := t[group]
	if !ok || p.Term > old.Term || p.Term == old.Term && p.Position > old.Position {
		t[group] = p
	}
}

// Session is the state of one client's connection. The fields are written only
// by the worker that runs the session's queue; the lock is for other readers.
type Session struct {
	ID uint64

	mu lockrank.Mutex // guards the fields below

	Login    string // user name that the client presented
	Customer string // customer whose limit the requests count against
	Route    string
	Key      KeyHash
	HasKey   bool // false on routes open to all
	Token    Token
	TokenSet bool // the client presented a token, so Token is complete

	MaxStaleness time.Duration // per session; zero takes the route's
	Idempotent   bool
	Variables    []Variable

	Phase   Phase
	Request Request
	Server  string // backend server that the request goes to
	Term    uint64 // term of the primary that the request goes to
	// TargetsPrimary says that Server was chosen as the primary.
	TargetsPrimary bool
	Conn           ConnID
	Sent           bool      // a byte of the request was handed to Conn
	Forwarded      bool      // a byte of the answer was handed to the client
	Answering      bool      // a part of the answer has arrived
	Completed      bool      // the answer so far holds a completed statement
	Superseded     bool      // a later primary than the one that runs the request is known
	CheckedAt      time.Time // when a check on the server began; zero if none is under way
	Attempts       int       // times that the request was sent
	Refusals       int       // times that a backend server refused it as a write
	MayHaveRun     bool      // an earlier attempt was sent and its result is not known
	Cancelled      bool      // a cancel request was sent while Conn was held
	Excluded       string    // backend server that just failed this request
	CoverAsked     string    // replica whose position was already asked for this request

	InTransaction bool
	// Opening is the payload of the request that began the transaction, while
	// nothing else has run in it; nil otherwise.
	Opening   any
	Reopening bool // the transaction is begun again on another server, with the current request
	Draining  bool // close at the next moment without a request or transaction
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

// Remove forgets a session.
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

// All returns the sessions at this moment, in no order.
func (t *SessionTable) All() []*Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Session, 0, len(t.sessions))
	for _, s := range t.sessions {
		all = append(all, s)
	}
	return all
}
