package history

import "slices"

// checkStaleReads checks that a read sees every acknowledged write that its session
// made before it, or a later write, on any proxy. A session that connects without its
// token loses this guarantee for its earlier writes.
func (c *checker) checkStaleReads() {
	acknowledged := make(map[string][]*unit) // by session
	moves := c.history.Moves
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		for len(moves) > 0 && moves[0].After < r.ID {
			if !moves[0].WithToken {
				delete(acknowledged, moves[0].Session)
			}
			moves = moves[1:]
		}
		switch {
		case r.Outcome != Answered:
		case r.Kind == Read:
			c.checkRead(r, acknowledged[r.Session])
		case r.Kind == ReadLog:
			c.checkLogRead(r, acknowledged[r.Session])
		}
		if u := c.committedBy(r); u != nil && r.Outcome == Answered {
			acknowledged[r.Session] = append(acknowledged[r.Session], u)
		}
	}
}

// committedBy returns the unit that the request commits, or nil.
func (c *checker) committedBy(r *Request) *unit {
	for _, u := range c.units {
		if u.commit != nil && u.commit.ID == r.ID {
			return u
		}
	}
	return nil
}

// checkRead checks a Read against the acknowledged units of its session. If its
// transaction wrote the key, checkReadAnswer checks the value instead.
func (c *checker) checkRead(r *Request, acknowledged []*unit) {
	if c.writtenInTx(r) {
		return
	}
	for _, u := range acknowledged {
		if !slices.ContainsFunc(u.changes, func(ch Change) bool { return ch.Key == r.Key }) {
			continue
		}
		switch {
		case len(r.Values) == 0:
			c.addViolation("%s returned no value of %s, which %s wrote", r, r.Key, u)
		case !c.isAtOrAfter(r.Values[0], u):
			c.addViolation("%s returned %q, which %s had overwritten", r, r.Values[0], u)
		}
	}
}

// isAtOrAfter reports whether a log holds both the value and the unit, with the value
// written by the unit or later.
func (c *checker) isAtOrAfter(value string, u *unit) bool {
	for _, later := range c.index.byValue[value] {
		for _, commit := range c.index.commitsOf(u.changes) {
			p, q := c.index.record.Commits[later].Point, c.index.record.Commits[commit].Point
			if c.index.logContains(p, q) {
				return true
			}
		}
	}
	return false
}

// checkLogRead checks that a ReadLog returns all entries of the acknowledged units.
func (c *checker) checkLogRead(r *Request, acknowledged []*unit) {
	for _, u := range acknowledged {
		for _, change := range u.changes {
			if change.Key == "" && !slices.Contains(r.Values, change.Value) {
				c.addViolation("%s did not return %q of %s", r, change.Value, u)
			}
		}
	}
}

// writtenInTx reports whether the transaction of a read has written the key before.
func (c *checker) writtenInTx(r *Request) bool {
	_, written := c.valueInTx(r)
	return written
}

// valueInTx returns the value that the transaction of a read gave the key before.
func (c *checker) valueInTx(r *Request) (value string, written bool) {
	if r.Tx == 0 {
		return "", false
	}
	for i := range c.history.Requests[:r.ID-1] {
		earlier := &c.history.Requests[i]
		if earlier.Tx != r.Tx || earlier.Outcome != Answered {
			continue
		}
		for _, change := range earlier.Changes {
			if change.Key == r.Key {
				value, written = change.Value, true
			}
		}
	}
	return value, written
}

// checkAnswers checks that an answer has as many rows as it states, returns what its
// request wrote, and holds values that belong to what it read.
func (c *checker) checkAnswers() {
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Outcome != Answered {
			continue
		}
		if r.Rows != len(r.Values) {
			c.addViolation("%s returned %d rows and stated %d", r, len(r.Values), r.Rows)
		}
		switch r.Kind {
		case Read:
			c.checkReadAnswer(r)
		case ReadLog:
			c.checkLogAnswer(r)
		case Write, Commit:
			c.checkReturned(r)
		}
	}
}

// checkReturned checks the values that a Write or Commit returns.
func (c *checker) checkReturned(r *Request) {
	var want []string
	for _, change := range r.Changes {
		if r.Returning && change.Key != "" {
			want = append(want, change.Value)
		}
	}
	if !slices.Equal(r.Values, want) {
		c.addViolation("%s returned %q, want %q", r, r.Values, want)
	}
}

// checkReadAnswer checks that a Read returns at most one value, and that this is the
// value that its transaction wrote or one that was committed for the key.
func (c *checker) checkReadAnswer(r *Request) {
	if value, written := c.valueInTx(r); written {
		if !slices.Equal(r.Values, []string{value}) {
			c.addViolation("%s returned %q after its transaction wrote %q", r, r.Values, value)
		}
		return
	}
	if len(r.Values) == 0 {
		return
	}
	if len(r.Values) > 1 {
		c.addViolation("%s returned %d values of one key", r, len(r.Values))
	}
	for _, commit := range c.index.byValue[r.Values[0]] {
		if slices.Contains(c.index.record.Commits[commit].Changes, Change{Key: r.Key, Value: r.Values[0]}) {
			return
		}
	}
	c.addViolation("%s returned %q, which was never committed as a value of %s", r, r.Values[0], r.Key)
}

// checkLogAnswer checks that a ReadLog returns a whole log, as it was up to some
// commit.
func (c *checker) checkLogAnswer(r *Request) {
	if len(r.Values) == 0 {
		return
	}
	last := r.Values[len(r.Values)-1]
	for _, commit := range c.index.byValue[last] {
		if slices.Equal(r.Values, c.index.logEntries(c.index.record.Commits[commit].Point)) {
			return
		}
	}
	c.addViolation("%s returned %d entries up to %q, which were never the whole log of a server", r, len(r.Values), last)
}
