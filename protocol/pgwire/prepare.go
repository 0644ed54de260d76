package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// ConnectionState tracks the state of a backend connection: its settings, its
// prepared statements, and the session that they belong to.
type ConnectionState struct {
	owner           uint64 // session ID; zero if the connection is new or its state is unknown
	variables       []state.Variable
	readOnly        bool
	accessModeKnown bool
	prepared        PreparedStatements
}

// Prepared is an encoded request, preceded by the messages that prepare the
// connection for it. Both are sent together.
type Prepared struct {
	Bytes        []byte
	Preparations int // ReadyForQuery messages that answer the preparation
}

// Preparation is the connection state that a batch requires.
type Preparation struct {
	Owner         uint64 // session ID
	Variables     []state.Variable
	ReadOnly      bool
	InTransaction bool                              // the connection has an open transaction, in which the batch runs
	Opening       *Batch                            // begins the transaction that the batch runs in; may be nil
	Lookup        func(name string) *pgproto3.Parse // returns a prepared statement of the session, or nil
}

// Prepare encodes a batch for the connection. If another session used the
// connection before, its settings and prepared statements are discarded first. In an
// open transaction only statements are prepared.
func (c *ConnectionState) Prepare(want Preparation, b *Batch) Prepared {
	var p Prepared
	if !want.InTransaction {
		p.discardOtherSession(c, want.Owner)
		p.applySettings(c, want.Variables, want.ReadOnly)
	}
	if want.Opening != nil {
		p.addBatch(c, want.Opening, want.Lookup)
		p.Preparations++
	}
	p.addBatch(c, b, want.Lookup)
	return p
}

// addBatch appends a batch, preceded by the statements that it uses.
func (p *Prepared) addBatch(c *ConnectionState, b *Batch, lookup func(string) *pgproto3.Parse) {
	p.prepareStatements(c, b, lookup)
	for _, m := range b.Messages {
		p.addMessage(m)
	}
	for _, s := range b.Parsed {
		c.prepared[s.Name] = s
	}
	for _, name := range b.Closed {
		delete(c.prepared, name)
	}
}

// Invalidate records that the settings and prepared statements of the connection
// are unknown. The next request outside a transaction discards them first.
func (c *ConnectionState) Invalidate() { c.owner = 0 }

// SettingChanged records that the owning session changed a setting. vars are all its
// settings after the change.
func (c *ConnectionState) SettingChanged(vars []state.Variable) {
	c.variables = vars
	c.accessModeKnown = false
}

// RecordParseFailures records that only the first n Parse messages of the batch
// succeeded.
func (c *ConnectionState) RecordParseFailures(b *Batch, n int) {
	for i, s := range b.Parsed {
		if i >= n {
			delete(c.prepared, s.Name)
		}
	}
}

// discardOtherSession resets the connection if it belongs to another session or its
// state is unknown.
func (p *Prepared) discardOtherSession(c *ConnectionState, owner uint64) {
	if c.prepared == nil {
		c.prepared = make(PreparedStatements)
		c.owner = owner // a new connection has nothing to discard
	}
	if c.owner == owner {
		return
	}
	p.addQuery("DISCARD ALL")
	c.owner = owner
	c.variables = nil
	c.accessModeKnown = false
	clear(c.prepared)
}

// applySettings sets the settings of the session and the access mode where they
// differ from those of the connection.
func (p *Prepared) applySettings(c *ConnectionState, vars []state.Variable, readOnly bool) {
	if !equalVariables(c.variables, vars) {
		if len(c.variables) > 0 {
			p.addQuery("RESET ALL")
			c.accessModeKnown = false
		}
		for _, v := range vars {
			p.addQuery(v.Statement)
		}
		c.variables = vars
	}
	if c.accessModeKnown && c.readOnly == readOnly {
		return
	}
	mode := "off"
	if readOnly {
		mode = "on"
	}
	p.addQuery("SET default_transaction_read_only = " + mode)
	c.readOnly, c.accessModeKnown = readOnly, true
}

// prepareStatements prepares the statements that the batch uses and the connection
// lacks. It closes statements on the connection whose names the batch prepares.
func (p *Prepared) prepareStatements(c *ConnectionState, b *Batch, lookup func(string) *pgproto3.Parse) {
	before := p.Bytes
	for _, name := range b.Used {
		want := lookup(name)
		if want == nil || c.prepared[name] == want {
			continue
		}
		if c.prepared[name] != nil {
			p.addMessage(&pgproto3.Close{ObjectType: 'S', Name: name})
		}
		p.addMessage(want)
		c.prepared[name] = want
	}
	for _, s := range b.Parsed {
		if s.Name != "" && c.prepared[s.Name] != nil {
			p.addMessage(&pgproto3.Close{ObjectType: 'S', Name: s.Name})
			delete(c.prepared, s.Name)
		}
	}
	if len(p.Bytes) > len(before) {
		p.addMessage(&pgproto3.Sync{})
		p.Preparations++
	}
}

// addQuery appends a simple query to the preparation.
func (p *Prepared) addQuery(sql string) {
	p.addMessage(&pgproto3.Query{String: sql})
	p.Preparations++
}

func (p *Prepared) addMessage(m pgproto3.FrontendMessage) {
	raw, err := m.Encode(p.Bytes)
	if err != nil {
		panic("decoded message cannot be encoded: " + err.Error())
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
