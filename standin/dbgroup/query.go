package dbgroup

import "github.com/chestnutdyke/chestnutdyke/standin/dbgroup/sqltext"

// query handles a simple query. Its statements run in one implicit transaction,
// unless they begin or end transactions themselves.
func (c *session) query(m queryMessage) {
	statements, err := sqltext.Parse(m.text)
	if err != nil {
		c.fail(errorf(codeSyntax, "%s", err))
		c.ready()
		return
	}
	if len(statements) == 0 {
		c.answers.empty()
		c.ready()
		return
	}
	c.runAll(statements)
}

// runAll executes the statements in order up to the first error. The implicit
// transaction commits before the end of the last answer.
func (c *session) runAll(statements []*sqltext.Statement) {
	if len(statements) == 0 {
		c.ready()
		return
	}
	c.runLiteral(statements[0], func(r *result, err *sqlError) {
		if err == nil && len(statements) == 1 {
			err = c.commitImplicit()
		}
		if err != nil {
			c.fail(err)
			c.ready()
			return
		}
		if len(r.columns) > 0 {
			c.answers.description(r.columns, nil)
		}
		c.answers.rows(r, nil)
		c.runAll(statements[1:])
	})
}

// runLiteral runs a statement without parameters.
func (c *session) runLiteral(st *sqltext.Statement, done func(*result, *sqlError)) {
	args, err := st.Bind(nil)
	if err != nil {
		done(nil, errorf(codeNoParameter, "%s", err))
		return
	}
	c.run(st, args, done)
}

// ready ends the answer to a request.
func (c *session) ready() {
	if c.stage == stageEnded {
		return
	}
	c.answers.ready(c.status())
	c.flush()
}
