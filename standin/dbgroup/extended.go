package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// preparedStatement is a prepared statement. Its statement is nil if the text is
// empty.
type preparedStatement struct {
	statement *sqltext.Statement
}

// portal is a prepared statement with bound parameters.
type portal struct {
	prepared *preparedStatement
	args     []string
	binary   []bool // result formats as in bindMessage
}

// handleExtended handles a message of the extended protocol other than Sync.
func (c *session) handleExtended(m any) {
	var err *sqlError
	switch m := m.(type) {
	case parseMessage:
		err = c.handleParse(m)
	case bindMessage:
		err = c.handleBind(m)
	case describeMessage:
		err = c.handleDescribe(m)
	case closeMessage:
		c.handleClose(m)
	case executeMessage:
		err = c.handleExecute(m)
	case flushMessage:
		c.flush()
	}
	if err != nil {
		c.failExtended(err)
	}
}

// failExtended adds an error to the buffered responses and skips the messages up
// to the next Sync.
func (c *session) failExtended(err *sqlError) {
	c.failStatement(err)
	c.skipUntilSync = true
}

// handleSync ends a pipeline and commits its implicit transaction.
func (c *session) handleSync() {
	c.skipUntilSync = false
	if err := c.commitImplicit(); err != nil {
		c.failStatement(err)
	}
	c.sendReady()
}

func (c *session) handleParse(m parseMessage) *sqlError {
	statements, err := sqltext.Parse(m.text)
	switch {
	case err != nil:
		return errorf(codeSyntaxError, "%s", err)
	case len(statements) > 1:
		return errorf(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
	case m.name != "" && c.preparedStatements[m.name] != nil:
		return errorf(codeDuplicateStatement, "prepared statement %q already exists", m.name)
	}
	p := &preparedStatement{}
	if len(statements) == 1 {
		p.statement = statements[0]
	}
	c.preparedStatements[m.name] = p
	c.responses.parseComplete()
	return nil
}

func (c *session) handleBind(m bindMessage) *sqlError {
	p := c.preparedStatements[m.statement]
	if p == nil {
		return errorf(codeUndefinedStatement, "prepared statement %q does not exist", m.statement)
	}
	bound := &portal{prepared: p, binary: m.binary}
	if p.statement != nil {
		if len(m.params) != p.statement.Params() {
			return errorf(codeProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
				len(m.params), m.statement, p.statement.Params())
		}
		args, err := p.statement.Bind(m.params)
		if err != nil {
			return errorf(codeUndefinedParameter, "%s", err)
		}
		bound.args = args
	}
	c.portals[m.portal] = bound
	c.responses.bindComplete()
	return nil
}

func (c *session) handleDescribe(m describeMessage) *sqlError {
	if m.portal {
		target := c.portals[m.name]
		if target == nil {
			return unknownPortal(m.name)
		}
		c.responses.rowDescription(target.prepared.columns(), target.binary)
		return nil
	}
	p := c.preparedStatements[m.name]
	if p == nil {
		return errorf(codeUndefinedStatement, "prepared statement %q does not exist", m.name)
	}
	c.responses.parameterDescription(p.params())
	c.responses.rowDescription(p.columns(), nil)
	return nil
}

func (p *preparedStatement) columns() []column {
	if p.statement == nil {
		return nil
	}
	return resultColumns(p.statement)
}

func (p *preparedStatement) params() int {
	if p.statement == nil {
		return 0
	}
	return p.statement.Params()
}

func (c *session) handleClose(m closeMessage) {
	if m.portal {
		delete(c.portals, m.name)
	} else {
		delete(c.preparedStatements, m.name)
	}
	c.responses.closeComplete()
}

func (c *session) handleExecute(m executeMessage) *sqlError {
	target := c.portals[m.portal]
	switch {
	case target == nil:
		return unknownPortal(m.portal)
	case m.maxRows > 0:
		return errorf(codeNotSupported, "a row limit in Execute is not supported")
	case target.prepared.statement == nil:
		c.responses.emptyQueryResponse()
		return nil
	}
	c.runStatement(target.prepared.statement, target.args, func(r *result, err *sqlError) {
		if err != nil {
			c.failExtended(err)
			return
		}
		c.responses.resultRows(r, target.binary)
	})
	return nil
}

func unknownPortal(name string) *sqlError {
	return errorf(codeUndefinedPortal, "portal %q does not exist", name)
}
