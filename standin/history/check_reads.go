package history

import "slices"

// staleReads: a read shows every acknowledged write that its session made
// before it, or a later one, on whichever proxy it runs.
func (c *checker) staleReads() {
	own := make(map[string][]*unit) // session to its acknowledged units
	moves := c.history.Moves
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		for len(moves) > 0 && moves[0].After < r.ID {
			if !moves[0].WithToken {
				delete(own, moves[0].Session)
			}
			moves = moves[1:]
		}
		switch {
		case r.Outcome != Answered:
		case r.Kind == Read:
			c.checkRead(r, own[r.Session])
		case r.Kind == ReadLog:
			c.checkLogRead(r, own[r.Session])
		}
		if u := c.endedBy(r); u != nil && r.Outcome == Answered {
			own[r.Session] = append(own[r.Session], u)
		}
	}
}

// endedBy returns the unit that the request commits, or nil.
func (c *checker) endedBy(r *Request) *unit {
	for _, u := range c.units {
		if u.end != nil && u.end.ID == r.ID {
			return u
		}
	}
	return nil
}

func (c *checker) checkRead(r *Request, own []*unit) {
	if c.writtenInTx(r) {
		return
	}
	for _, u := range own {
		if !slices.ContainsFunc(u.changes, func(ch Change) bool { return ch.Key == r.Key }) {
			continue
		}
		switch {
		case len(r.Values) == 0:
			c.violated("%s found no value of %s, which %s wrote", r, r.Key, u)
		case !c.follows(r.Values[0], u):
			c.violated("%s found %q, which %s had replaced", r, r.Values[0], u)
		}
	}
}

// follows reports whether a server could hold both the value and the unit, with
// the value written by the unit or later.
func (c *checker) follows(value string, u *unit) bool {
	for _, later := range c.ledger.byValue[value] {
		for _, commit := range c.ledger.commitsOf(u.changes) {
			p, q := c.ledger.truth.Commits[later].Point, c.ledger.truth.Commits[commit].Point
			if c.ledger.holds(p, q) {
				return true
			}
		}
	}
	return false
}

func (c *checker) checkLogRead(r *Request, own []*unit) {
	for _, u := range own {
		for _, change := range u.changes {
			if change.Key == "" && !slices.Contains(r.Values, change.Value) {
				c.violated("%s lacks %q of %s", r, change.Value, u)
			}
		}
	}
}

// writtenInTx reports whether the transaction of a read has written its key.
func (c *checker) writtenInTx(r *Request) bool {
	_, written := c.ownValue(r)
	return written
}

// ownValue returns the value that the transaction of a read gave its key.
func (c *checker) ownValue(r *Request) (value string, written bool) {
	if r.Tx == 0 {
		return "", false
	}
	for i := range c.history.Requests[:r.ID-1] {
		q := &c.history.Requests[i]
		if q.Tx != r.Tx || q.Outcome != Answered {
			continue
		}
		for _, change := range q.Changes {
			if change.Key == r.Key {
				value, written = change.Value, true
			}
		}
	}
	return value, written
}

// foreignAnswers: an answer has as many rows as it says, repeats what its
// request wrote, and holds values that belong to what it read.
func (c *checker) foreignAnswers() {
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Outcome != Answered {
			continue
		}
		if r.Rows != len(r.Values) {
			c.violated("%s has %d rows and says %d", r, len(r.Values), r.Rows)
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

func (c *checker) checkReturned(r *Request) {
	var want []string
	for _, change := range r.Changes {
		if r.Returning && change.Key != "" {
			want = append(want, change.Value)
		}
	}
	if !slices.Equal(r.Values, want) {
		c.violated("%s returned %q, want %q", r, r.Values, want)
	}
}

func (c *checker) checkReadAnswer(r *Request) {
	if value, written := c.ownValue(r); written {
		if !slices.Equal(r.Values, []string{value}) {
			c.violated("%s found %q after its transaction wrote %q", r, r.Values, value)
		}
		return
	}
	if len(r.Values) == 0 {
		return
	}
	if len(r.Values) > 1 {
		c.violated("%s found %d values of one key", r, len(r.Values))
	}
	for _, commit := range c.ledger.byValue[r.Values[0]] {
		if slices.Contains(c.ledger.truth.Commits[commit].Changes, Change{Key: r.Key, Value: r.Values[0]}) {
			return
		}
	}
	c.violated("%s found %q, which was never committed as a value of %s", r, r.Values[0], r.Key)
}

// checkLogAnswer requires that the entries are all those that some server held
// at some time.
func (c *checker) checkLogAnswer(r *Request) {
	if len(r.Values) == 0 {
		return
	}
	last := r.Values[len(r.Values)-1]
	for _, commit := range c.ledger.byValue[last] {
		if slices.Equal(r.Values, c.ledger.entries(c.ledger.truth.Commits[commit].Point)) {
			return
		}
	}
	c.violated("%s found %d entries up to %q that no server ever held as a whole", r, len(r.Values), last)
}
