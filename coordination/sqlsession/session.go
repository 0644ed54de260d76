// Package sqlsession decides what happens to the requests of an SQL session:
// which are answered by the proxy, which run on which server, and what the
// client is told when a statement fails.
//
// It knows no wire protocol. A Session is used by one event at a time.
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
	txBegun          // BEGIN was answered, no server was chosen yet
	txOpen           // open on a server
	txFailed         // failed; nothing of it is kept
)

// Tx is a transaction that is open on a server.
type Tx struct {
	VM     string // holds the connection
	ID     uint64 // there
	Server string
}

// Session is the state of a client's session.
type Session struct {
	database string
	key      state.KeyHash

	values   []statement.Value
	prepared map[string]*statement.Prepared
	own      state.Point // of the latest own commit

	phase    txPhase
	readOnly bool
	tx       Tx
	route    *catalog.Route // of the transaction
	customer string
}

// Open begins a session for a database name with the hash of the client's key.
// It reports the refusal if the configuration does not allow it.
func Open(config *catalog.Config, database string, key state.KeyHash) (*Session, statement.Answer) {
	s := &Session{database: database, key: key, prepared: make(map[string]*statement.Prepared)}
	_, _, code := s.access(config)
	if code != statement.OK {
		return nil, statement.Refusal(code, "")
	}
	return s, statement.Answer{}
}

// publicCustomer is named to servers for clients without a known key.
const publicCustomer = "public"

// access returns the session's route and customer under the configuration.
func (s *Session) access(config *catalog.Config) (*catalog.Route, string, statement.Code) {
	route := config.Route(s.database)
	if route == nil {
		return nil, "", statement.UnknownDatabase
	}
	if c := config.Holder(s.key); c != nil {
		return route, c.Name, statement.OK
	}
	if route.Public {
		return route, publicCustomer, statement.OK
	}
	return nil, "", statement.AccessDenied
}

// Operation is a statement that runs on a server.
type Operation struct {
	Request   statement.Request
	Route     *catalog.Route
	Customer  string
	Charge    bool // it is the first of an operation that counts against the limit
	NeedsLead bool // only the primary may run it
	Opens     bool
	ReadOnly  bool // its transaction only reads
	Tx        Tx   // ID is zero unless a transaction is open
	Values    []statement.Value
	Prepared  *statement.Prepared
	Own       state.Point
	Failures  int // answers that the statement ran and failed
}

// writes reports whether the statement changes data.
func (o *Operation) writes() bool {
	return o.Request.Verb == statement.Write || o.Prepared != nil && o.Prepared.Writes
}

// Step is what happens to a request. Exactly one of Answer and Run is set.
type Step struct {
	Answer *statement.Answer
	Run    *Operation
	// Charge asks that the operation is admitted before the answer is sent.
	Charge   bool
	Customer string // to charge
	End      *Tx    // transaction to end on its server
	Close    bool   // close the session after the answer
}

// Handle decides a request under the configuration in force.
func (s *Session) Handle(r statement.Request, config *catalog.Config) Step {
	if s.phase == txFailed {
		return s.handleFailed(r)
	}
	switch r.Verb {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(r, config)
	case statement.Rollback:
		if s.phase == txNone {
			return s.malformed("no transaction is open")
		}
		end := s.endTx()
		return Step{Answer: s.done(), End: end}
	case statement.Set:
		s.set(r.Name, r.Payload)
		return Step{Answer: s.done()}
	case statement.Prepare:
		s.prepared[r.Name] = prepare(r)
		return Step{Answer: s.done()}
	case statement.Close:
		delete(s.prepared, r.Name)
		return Step{Answer: s.done()}
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return s.run(r, config)
	}
	return s.malformed("unknown statement")
}

// handleFailed answers in a failed transaction, which only its end leaves.
func (s *Session) handleFailed(r statement.Request) Step {
	switch r.Verb {
	case statement.Rollback:
		s.phase = txNone
		return Step{Answer: s.done()}
	case statement.Commit:
		s.phase = txNone
		return Step{Answer: s.refusal(statement.Aborted, "the transaction had failed")}
	}
	return Step{Answer: s.refusal(statement.Malformed, "the transaction has failed")}
}

func (s *Session) begin(r statement.Request, config *catalog.Config) Step {
	if s.phase != txNone {
		return s.malformed("a transaction is open")
	}
	route, customer, code := s.access(config)
	if code != statement.OK {
		return Step{Answer: s.refusal(code, ""), Close: true}
	}
	s.phase, s.route, s.customer = txBegun, route, customer
	s.readOnly = r.Verb == statement.BeginReadOnly
	return Step{Answer: s.done(), Charge: true, Customer: customer}
}

// Unbegin takes back a transaction whose operation was not admitted.
func (s *Session) Unbegin() { s.phase = txNone }

// run plans a statement that a server has to run.
func (s *Session) run(r statement.Request, config *catalog.Config) Step {
	o := &Operation{Request: r, Values: s.values, Own: s.own}
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
		var code statement.Code
		o.Route, o.Customer, code = s.access(config)
		if code != statement.OK {
			return Step{Answer: s.refusal(code, ""), Close: true}
		}
		o.Charge = true
		o.NeedsLead = o.writes() || o.Route.Consistency == catalog.Latest
		return Step{Run: o}
	}
	o.Route, o.Customer, o.Tx = s.route, s.customer, s.tx
	o.Opens = s.phase == txBegun
	// A reading transaction may run on a former primary and see old data.
	o.ReadOnly = s.readOnly && s.route.Consistency != catalog.Latest
	o.NeedsLead = !o.ReadOnly || o.writes()
	return Step{Run: o}
}

// set changes a session value. Values are kept in the order of their names, so
// that equal sets compare equal.
func (s *Session) set(name, data string) {
	// Operations that run hold the old slice.
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

// prepare names a statement after its contents: clients' own names collide on
// the connections that they share.
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

// Customer returns the customer that the session's key belongs to, or "".
func (s *Session) Customer(config *catalog.Config) string {
	_, customer, _ := s.access(config)
	return customer
}

// Abandon ends the session's transaction and returns what is open on a server.
// The session stays usable; its client learns of it with the next request.
func (s *Session) Abandon() *Tx {
	end := s.endTx()
	s.phase = txFailed
	return end
}

// endTx leaves the transaction and returns what is open on a server, or nil.
func (s *Session) endTx() *Tx {
	var end *Tx
	if s.phase == txOpen {
		tx := s.tx
		end = &tx
	}
	s.phase, s.tx, s.route = txNone, Tx{}, nil
	return end
}

// Finish takes the result of an operation, as judged, and returns the answer
// for the client. vm and server are where it ran.
func (s *Session) Finish(o *Operation, r statement.Result, vm, server string) statement.Answer {
	a := r.Answer
	inTx := s.phase != txNone
	if a.Code == statement.OK {
		switch {
		case o.Request.Verb == statement.Commit:
			s.endTx()
			s.committed(a.At, !o.ReadOnly)
		case !inTx:
			s.committed(a.At, o.writes())
		default:
			s.phase, s.tx = txOpen, Tx{VM: vm, ID: r.Tx, Server: server}
		}
	} else if inTx {
		// The server ended the transaction, or its connection is gone.
		s.endTx()
		if o.Request.Verb != statement.Commit {
			s.phase = txFailed
		}
	}
	a.State, a.At = s.State(), s.own
	return a
}

func (s *Session) committed(at state.Point, wrote bool) {
	if wrote && (at.Term > s.own.Term || at.Term == s.own.Term && at.Position > s.own.Position) {
		s.own = at
	}
}

func (s *Session) done() *statement.Answer {
	return &statement.Answer{State: s.State(), At: s.own}
}

func (s *Session) refusal(code statement.Code, text string) *statement.Answer {
	return &statement.Answer{Code: code, Text: text, State: s.State(), At: s.own}
}

func (s *Session) malformed(text string) Step { return s.fail(statement.Malformed, text) }

// fail refuses a request without running it; a transaction fails with it.
func (s *Session) fail(code statement.Code, text string) Step {
	var end *Tx
	if s.phase != txNone {
		end = s.endTx()
		s.phase = txFailed
	}
	return Step{Answer: s.refusal(code, text), End: end}
}
