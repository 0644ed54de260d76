// Package sqlsession is the state machine of an SQL session. It decides which
// requests the proxy answers itself, which server runs the others, and which error
// the client receives when a statement fails.
//
// It is independent of the wire protocol. A Session is not safe for concurrent
// use; the caller handles one event at a time.
package sqlsession

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// txPhase is the phase of a session's transaction.
type txPhase uint8

const (
	txNone   txPhase = iota
	txBegun          // BEGIN was answered; no server has been chosen yet
	txOpen           // open on a server
	txFailed         // failed without a lasting effect; the client has not ended it yet
)

// Tx is a transaction that is open on a server.
type Tx struct {
	VM     string // VM that holds the connection
	ID     uint64 // transaction ID on that VM
	Server string
}

// Session is the state of a client's session.
type Session struct {
	database string
	key      state.KeyHash

	values     []statement.Value
	prepared   map[string]*statement.Prepared
	lastCommit state.Point // position of the session's latest commit of a write

	phase    txPhase
	readOnly bool
	tx       Tx
	route    *catalog.Route // route of the transaction
	customer string         // customer of the transaction

	// denied is the code that refuses all further requests, or OK. It is kept even if a
	// later configuration allows them: a statement of a transaction whose BEGIN was refused
	// must not run.
	denied statement.Code
}

// Open returns a session for a database name and the hash of the client's key. If
// the configuration does not allow it, the session is nil and the answer holds the
// refusal.
func Open(config *catalog.Config, database string, key state.KeyHash) (*Session, statement.Answer) {
	s := &Session{database: database, key: key, prepared: make(map[string]*statement.Prepared)}
	_, _, code := s.access(config)
	if code != statement.OK {
		return nil, statement.Refusal(code, "")
	}
	return s, statement.Answer{}
}

// publicCustomer is the customer name that servers receive for clients without a
// known key.
const publicCustomer = "public"

// access returns the session's route and customer according to the configuration.
func (s *Session) access(config *catalog.Config) (*catalog.Route, string, statement.Code) {
	route := config.Route(s.database)
	if route == nil {
		return nil, "", statement.UnknownDatabase
	}
	customer, code := s.customerOn(route, config)
	if code != statement.OK {
		return nil, "", code
	}
	return route, customer, statement.OK
}

// customerOn returns the customer for which the session's requests run on the route.
func (s *Session) customerOn(route *catalog.Route, config *catalog.Config) (string, statement.Code) {
	if c := config.CustomerByKey(s.key); c != nil {
		return c.Name, statement.OK
	}
	if route.Public {
		return publicCustomer, statement.OK
	}
	return "", statement.AccessDenied
}

// Operation is a statement that has to run on a server.
type Operation struct {
	Request      statement.Request
	Route        *catalog.Route
	Customer     string
	Charge       bool // counts against the customer's rate limit; false inside a transaction
	NeedsPrimary bool // only the primary may run it
	BeginsTx     bool // begins the transaction on the server
	ReadOnly     bool // its transaction is read-only
	Tx           Tx   // ID is zero unless a transaction is open
	Values       []statement.Value
	Prepared     *statement.Prepared
	LastWrite    state.Point // position of the session's latest commit of a write
	Failures     int         // number of answers with code Failed
	Refused      bool        // a server had too little room for it; see statement.Result.RetryAfter
}

// writes reports whether the statement changes data.
func (o *Operation) writes() bool {
	return o.Request.Verb == statement.Write || o.Prepared != nil && o.Prepared.Writes
}

// Step says how to handle a request. Exactly one of Answer and Run is set.
type Step struct {
	Answer *statement.Answer
	Run    *Operation
	// Charge says that the rate limit must admit the request before the answer is
	// sent.
	Charge   bool
	Customer string         // with Charge: whose limit the request counts against; with a refusal: of the ended transaction
	Route    *catalog.Route // with Charge: whose priority decides within the limit
	End      *Tx            // transaction to end on its server
	Close    bool           // close the session once all requests that were read are answered
}

// Handle decides on a request under the configuration in force.
func (s *Session) Handle(r statement.Request, config *catalog.Config) Step {
	if s.phase == txFailed {
		return s.handleInFailedTx(r)
	}
	if r.Verb != statement.Rollback {
		if code := s.checkAccess(config); code != statement.OK {
			return s.refuseAccess(r, code)
		}
	}
	switch r.Verb {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(r, config)
	case statement.Rollback:
		if s.phase == txNone {
			return s.malformed("no transaction is open")
		}
		end := s.endTx()
		return Step{Answer: s.success(), End: end}
	case statement.Set:
		s.set(r.Name, r.Payload)
		return Step{Answer: s.success()}
	case statement.Prepare:
		s.prepared[r.Name] = prepare(r)
		return Step{Answer: s.success()}
	case statement.Close:
		delete(s.prepared, r.Name)
		return Step{Answer: s.success()}
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return s.run(r, config)
	}
	return s.malformed("unknown statement")
}

// handleInFailedTx answers a request in a failed transaction, in which only
// ROLLBACK and COMMIT are accepted.
func (s *Session) handleInFailedTx(r statement.Request) Step {
	switch r.Verb {
	case statement.Rollback:
		s.phase = txNone
		return Step{Answer: s.success()}
	case statement.Commit:
		s.phase = txNone
		return Step{Answer: s.refusal(statement.Aborted, "the transaction had failed")}
	}
	return Step{Answer: s.refusal(statement.Malformed, "the transaction has failed")}
}

// begin starts a transaction. A server is chosen only for its first statement.
func (s *Session) begin(r statement.Request, config *catalog.Config) Step {
	if s.phase != txNone {
		return s.malformed("a transaction is open")
	}
	route, customer, _ := s.access(config) // Handle has checked the access
	s.phase, s.route, s.customer = txBegun, route, customer
	s.readOnly = r.Verb == statement.BeginReadOnly
	return Step{Answer: s.success(), Charge: true, Customer: customer, Route: route}
}

// UndoBegin undoes a BEGIN that the rate limit did not admit.
func (s *Session) UndoBegin() { s.phase = txNone }

// run returns the operation for a statement that has to run on a server.
func (s *Session) run(r statement.Request, config *catalog.Config) Step {
	o := &Operation{Request: r, Values: s.values, LastWrite: s.lastCommit}
	if r.Verb == statement.Execute {
		o.Prepared = s.prepared[r.Name]
		if o.Prepared == nil {
			return s.fail(statement.UnknownStatement, "no prepared statement of this name")
		}
	}
	if s.phase == txNone {
		if r.Verb == statement.Commit {
			return s.malformed("no transaction is open")
		}
		o.Route, o.Customer, _ = s.access(config) // Handle has checked the access
		o.Charge = true
		o.NeedsPrimary = o.writes() || o.Route.Consistency == catalog.Latest
		return Step{Run: o}
	}
	o.Route, o.Customer, o.Tx = s.route, s.customer, s.tx
	o.BeginsTx = s.phase == txBegun
	// On a route with consistency latest, a read-only transaction has to run as a
	// read-write one: otherwise it could run on a former primary and see old data.
	o.ReadOnly = s.readOnly && s.route.Consistency != catalog.Latest
	o.NeedsPrimary = !o.ReadOnly || o.writes()
	return Step{Run: o}
}

// set changes a session value. Values are sorted by name, so that equal sets
// compare equal.
func (s *Session) set(name, data string) {
	// Running operations still use the old slice.
	values := slices.Clone(s.values)
	i, found := slices.BinarySearchFunc(values, name, func(v statement.Value, name string) int {
		switch {
		case v.Name < name:
			return -1
		case v.Name > name:
			return 1
		}
		return 0
	})
	if found {
		values[i].Data = data
	} else {
		values = slices.Insert(values, i, statement.Value{Name: name, Data: data})
	}
	s.values = values
}

// prepare names a prepared statement by a hash of its contents. The names that
// clients choose would collide on shared connections.
func prepare(r statement.Request) *statement.Prepared {
	h := fnv.New64a()
	mode := byte('r')
	if r.Writes {
		mode = 'w'
	}
	h.Write(append([]byte{mode}, r.Payload...))
	return &statement.Prepared{Name: "p" + strconv.FormatUint(h.Sum64(), 36), Writes: r.Writes, Shape: r.Payload}
}

// State returns the state of the session's transaction.
func (s *Session) State() statement.TxState {
	switch s.phase {
	case txNone:
		return statement.Idle
	case txFailed:
		return statement.FailedTx
	}
	return statement.InTx
}

// Customer returns the session's customer under the configuration, or "" if the
// session has no access any more.
func (s *Session) Customer(config *catalog.Config) string {
	_, customer, _ := s.access(config)
	return customer
}

// FailTx marks the session's transaction as failed, and returns the transaction to
// end on its server, or nil. The session stays usable; the client receives the
// error with its next request.
func (s *Session) FailTx() *Tx {
	end := s.endTx()
	s.phase = txFailed
	return end
}

// endTx resets the transaction state and returns the transaction that is open on a
// server, or nil.
func (s *Session) endTx() *Tx {
	var end *Tx
	if s.phase == txOpen {
		tx := s.tx
		end = &tx
	}
	s.phase, s.tx, s.route = txNone, Tx{}, nil
	return end
}

// Finish updates the session with the result of an operation, after HandleResult,
// and returns the answer for the client. vm and server ran the operation.
func (s *Session) Finish(o *Operation, r statement.Result, vm, server string) statement.Answer {
	a := r.Answer
	inTx := s.phase != txNone
	if a.Code == statement.OK {
		switch {
		case o.Request.Verb == statement.Commit:
			s.endTx()
			s.recordCommit(a.At, !o.ReadOnly)
		case !inTx:
			s.recordCommit(a.At, o.writes())
		default:
			s.phase, s.tx = txOpen, Tx{VM: vm, ID: r.Tx, Server: server}
		}
	} else if inTx {
		// The server has ended the transaction, or the connection to it was lost.
		s.endTx()
		if o.Request.Verb != statement.Commit {
			s.phase = txFailed
		}
	}
	a.State, a.At = s.State(), s.lastCommit
	return a
}

// recordCommit advances the position of the session's latest commit of a write.
func (s *Session) recordCommit(at state.Point, wrote bool) {
	if wrote && (at.Term > s.lastCommit.Term || at.Term == s.lastCommit.Term && at.Position > s.lastCommit.Position) {
		s.lastCommit = at
	}
}

// success returns the answer to a request that the proxy handled itself.
func (s *Session) success() *statement.Answer {
	return &statement.Answer{State: s.State(), At: s.lastCommit}
}

func (s *Session) refusal(code statement.Code, text string) *statement.Answer {
	return &statement.Answer{Code: code, Text: text, State: s.State(), At: s.lastCommit}
}

func (s *Session) malformed(text string) Step { return s.fail(statement.Malformed, text) }

// fail refuses a request without running it, and marks an open transaction as
// failed.
func (s *Session) fail(code statement.Code, text string) Step {
	var end *Tx
	if s.phase != txNone {
		end = s.endTx()
		s.phase = txFailed
	}
	return Step{Answer: s.refusal(code, text), End: end}
}
