package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// handleQuery handles a simple query. Its statements execute in one implicit
// transaction unless they begin or end transactions themselves.
func (c *session) handleQuery(m queryMessage) {
	statements, err := sqltext.Parse(m.text)
	if err != nil {
		c.failStatement(errorf(codeSyntaxError, "%s", err))
		c.sendReady()
		return
	}
	if len(statements) == 0 {
		c.responses.emptyQueryResponse()
		c.sendReady()
		return
	}
	c.runStatements(statements)
}

// runStatements executes the statements in order up to the first error. The
// implicit transaction commits before the response to the last statement, so that
// this response can report an error of the commit.
func (c *session) runStatements(statements []*sqltext.Statement) {
	if len(statements) == 0 {
		c.sendReady()
		return
	}
	c.runWithoutParameters(statements[0], func(r *result, err *sqlError) {
		if err == nil && len(statements) == 1 {
			err = c.commitImplicit()
		}
		if err != nil {
			c.failStatement(err)
			c.sendReady()
			return
		}
		if len(r.columns) > 0 {
			c.responses.rowDescription(r.columns, nil)
		}
		c.responses.resultRows(r, nil)
		c.runStatements(statements[1:])
	})
}

// runWithoutParameters executes a statement of a simple query, which cannot have
// parameters.
func (c *session) runWithoutParameters(st *sqltext.Statement, done func(*result, *sqlError)) {
	args, err := st.Bind(nil)
	if err != nil {
		done(nil, errorf(codeUndefinedParameter, "%s", err))
		return
	}
	c.runStatement(st, args, done)
}

// sendReady ends the response to a simple query or a pipeline and sends it.
func (c *session) sendReady() {
	if c.stage == stageEnded {
		return
	}
	c.responses.readyForQuery(c.transactionStatus())
	c.flush()
}
