package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Connection is what is known of the state of a backend connection: whose
// settings and prepared statements it holds.
type Connection struct {
	owner     uint64 // session; zero if fresh
	variables []state.Variable
	readOnly  bool
	modeKnown bool
	prepared  Statements
}

// Prepared is a request that is ready to be sent: the proxy's own preparation
// of the connection, then the request. Both are sent together.
type Prepared struct {
	Bytes        []byte
	Preparations int // ReadyForQuery messages that answer the preparation
}

// Preparation says what a connection must hold before a batch runs on it.
type Preparation struct {
	Owner         uint64 // session
	Variables     []state.Variable
	ReadOnly      bool
	InTransaction bool   // the batch runs in a transaction that is open on the connection
	Opening       *Batch // begins the transaction that the batch runs in; may be nil
	Lookup        func(name string) *pgproto3.Parse
}

// Prepare encodes a batch for the connection. If the connection was used by
// another session, everything which that session left behind is discarded
// first. Inside a transaction nothing is prepared but statements.
func (c *Connection) Prepare(want Preparation, b *Batch) Prepared {
	var p Prepared
	if !want.InTransaction {
		p.discardOthers(c, want.Owner)
		p.applySettings(c, want.Variables, want.ReadOnly)
	}
	if want.Opening != nil {
		p.batch(c, want.Opening, want.Lookup)
		p.Preparations++
	}
	p.batch(c, b, want.Lookup)
	return p
}

// batch adds a batch and the statements that it uses.
func (p *Prepared) batch(c *Connection, b *Batch, lookup func(string) *pgproto3.Parse) {
	p.prepareStatements(c, b, lookup)
	for _, m := range b.Messages {
		p.add(m)
	}
	for _, s := range b.Parsed {
		c.prepared[s.Name] = s
	}
	for _, name := range b.Closed {
		delete(c.prepared, name)
	}
}

// Changed tells that settings or statements of the connection are not known, so
// that everything must be discarded before the next request outside of a
// transaction.
func (c *Connection) Changed() { c.owner = 0 }

// SettingChanged tells that the owner changed a setting, after which its
// settings are vars.
func (c *Connection) SettingChanged(vars []state.Variable) {
	c.variables = vars
	c.modeKnown = false
}

// Failed tells that the batch's Parse messages after the first n failed.
func (c *Connection) Failed(b *Batch, n int) {
	for i, s := range b.Parsed {
		if i >= n {
			delete(c.prepared, s.Name)
		}
	}
}

func (p *Prepared) discardOthers(c *Connection, owner uint64) {
	if c.prepared == nil {
		c.prepared = make(Statements)
		c.owner = owner // a fresh connection has nothing to discard
	}
	if c.owner == owner {
		return
	}
	p.query("DISCARD ALL")
	c.owner = owner
	c.variables = nil
	c.modeKnown = false
	clear(c.prepared)
}

func (p *Prepared) applySettings(c *Connection, vars []state.Variable, readOnly bool) {
	if !equalVariables(c.variables, vars) {
		if len(c.variables) > 0 {
			p.query("RESET ALL")
			c.modeKnown = false
		}
		for _, v := range vars {
			p.query(v.Statement)
		}
		c.variables = vars
	}
	if c.modeKnown && c.readOnly == readOnly {
		return
	}
	mode := "off"
	if readOnly {
		mode = "on"
	}
	p.query("SET default_transaction_read_only = " + mode)
	c.readOnly, c.modeKnown = readOnly, true
}

// prepareStatements makes the connection hold the statements that the batch
// uses, and makes room for those that it prepares.
func (p *Prepared) prepareStatements(c *Connection, b *Batch, lookup func(string) *pgproto3.Parse) {
	before := p.Bytes
	for _, name := range b.Used {
		want := lookup(name)
		if want == nil || c.prepared[name] == want {
			continue
		}
		if c.prepared[name] != nil {
			p.add(&pgproto3.Close{ObjectType: 'S', Name: name})
		}
		p.add(want)
		c.prepared[name] = want
	}
	for _, s := range b.Parsed {
		if s.Name != "" && c.prepared[s.Name] != nil {
			p.add(&pgproto3.Close{ObjectType: 'S', Name: s.Name})
			delete(c.prepared, s.Name)
		}
	}
	if len(p.Bytes) > len(before) {
		p.add(&pgproto3.Sync{})
		p.Preparations++
	}
}

func (p *Prepared) query(sql string) {
	p.add(&pgproto3.Query{String: sql})
	p.Preparations++
}

func (p *Prepared) add(m pgproto3.FrontendMessage) {
	raw, err := m.Encode(p.Bytes)
	if err != nil {
		panic("message that was decoded cannot be encoded: " + err.Error())
	}
	p.Bytes = raw
}

func equalVariables(a, b []state.Variable) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
