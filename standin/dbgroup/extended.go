package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// prepared is a prepared statement. Its statement is nil if the text is empty.
type prepared struct {
	statement *sqltext.Statement
}

// portal is a prepared statement with parameters.
type portal struct {
	prepared *prepared
	args     []string
	binary   []bool
}

// extended handles a message of the extended protocol other than Sync.
func (c *session) extended(m any) {
	var err *sqlError
	switch m := m.(type) {
	case parseMessage:
		err = c.parse(m)
	case bindMessage:
		err = c.bind(m)
	case describeMessage:
		err = c.describe(m)
	case closeMessage:
		c.closeObject(m)
	case executeMessage:
		err = c.executePortal(m)
	case flushMessage:
		c.flush()
	}
	if err != nil {
		c.failExtended(err)
	}
}

// failExtended reports an error; messages up to the next Sync are skipped.
func (c *session) failExtended(err *sqlError) {
	c.fail(err)
	c.skipping = true
}

// sync ends the implicit transaction of a pipeline.
func (c *session) sync() {
	c.skipping = false
	if err := c.commitImplicit(); err != nil {
		c.fail(err)
	}
	c.ready()
}

func (c *session) parse(m parseMessage) *sqlError {
	statements, err := sqltext.Parse(m.text)
	switch {
	case err != nil:
		return errorf(codeSyntax, "%s", err)
	case len(statements) > 1:
		return errorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	case m.name != "" && c.prepared[m.name] != nil:
		return errorf(codeDuplicateName, "prepared statement %q already exists", m.name)
	}
	p := &prepared{}
	if len(statements) == 1 {
		p.statement = statements[0]
	}
	c.prepared[m.name] = p
	c.answers.parsed()
	return nil
}

func (c *session) bind(m bindMessage) *sqlError {
	p := c.prepared[m.statement]
	if p == nil {
		return errorf(codeNoStatement, "prepared statement %q does not exist", m.statement)
	}
	bound := &portal{prepared: p, binary: m.binary}
	if p.statement != nil {
		if len(m.params) != p.statement.Params() {
			return errorf(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
				len(m.params), m.statement, p.statement.Params())
		}
		args, err := p.statement.Bind(m.params)
		if err != nil {
			return errorf(codeNoParameter, "%s", err)
		}
		bound.args = args
	}
	c.portals[m.portal] = bound
	c.answers.bound()
	return nil
}

func (c *session) describe(m describeMessage) *sqlError {
	if m.portal {
		o := c.portals[m.name]
		if o == nil {
			return noPortal(m.name)
		}
		c.answers.description(o.prepared.columns(), o.binary)
		return nil
	}
	p := c.prepared[m.name]
	if p == nil {
		return errorf(codeNoStatement, "prepared statement %q does not exist", m.name)
	}
	c.answers.parameters(p.params())
	c.answers.description(p.columns(), nil)
	return nil
}

func (p *prepared) columns() []column {
	if p.statement == nil {
		return nil
	}
	return columnsOf(p.statement)
}

func (p *prepared) params() int {
	if p.statement == nil {
		return 0
	}
	return p.statement.Params()
}

func (c *session) closeObject(m closeMessage) {
	if m.portal {
		delete(c.portals, m.name)
	} else {
		delete(c.prepared, m.name)
	}
	c.answers.closed()
}

func (c *session) executePortal(m executeMessage) *sqlError {
	o := c.portals[m.portal]
	switch {
	case o == nil:
		return noPortal(m.portal)
	case m.maxRows > 0:
		return errorf(codeNotSupported, "a row limit in Execute is not supported")
	case o.prepared.statement == nil:
		c.answers.empty()
		return nil
	}
	c.run(o.prepared.statement, o.args, func(r *result, err *sqlError) {
		if err != nil {
			c.failExtended(err)
			return
		}
		c.answers.rows(r, o.binary)
	})
	return nil
}

func noPortal(name string) *sqlError {
	return errorf(codeNoPortal, "portal %q does not exist", name)
}
