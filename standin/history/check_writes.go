package history

import "slices"

// lostWrites: a write whose answer arrived is in the final log.
func (c *checker) lostWrites() {
	for _, u := range c.units {
		if u.outcome() != Answered || len(u.changes) == 0 {
			continue
		}
		commits := c.ledger.commitsOf(u.changes)
		if !slices.ContainsFunc(commits, c.ledger.survives) {
			c.violated("%s was acknowledged, and the final log lacks it (it was %s)", u, c.describeAll(commits))
		}
	}
}

func (c *checker) describeAll(commits []int) string {
	if len(commits) == 0 {
		return "never committed"
	}
	return c.describe(commits[len(commits)-1])
}

// doubleWrites: the final log holds a write once, unless the client allowed
// more.
func (c *checker) doubleWrites() {
	for _, u := range c.units {
		n := 0
		for _, commit := range c.ledger.commitsOf(u.changes) {
			if c.ledger.survives(commit) {
				n++
			}
		}
		if n > 1 && !u.idempotent {
			c.violated("the final log holds %s %d times", u, n)
		}
	}
}

// ranTwice: no server ever committed again what had been committed, unless the
// client allowed it.
func (c *checker) ranTwice() {
	for _, u := range c.units {
		if commits := c.ledger.commitsOf(u.changes); len(commits) > 1 && !u.idempotent {
			c.violated("%s was committed %d times, first as %s, last as %s",
				u, len(commits), c.describe(commits[0]), c.describe(commits[len(commits)-1]))
		}
	}
}

// falseNotRun: what was refused as not run is in no log at any time. That holds
// for whole units and for single statements of transactions.
func (c *checker) falseNotRun() {
	for _, u := range c.units {
		if u.outcome() == NotRun {
			c.mustNotBeCommitted(u, u.changes)
		}
	}
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Tx == 0 || r.Outcome != NotRun || len(r.Changes) == 0 {
			continue
		}
		if commits := c.ledger.commitsOf(r.Changes); len(commits) > 0 {
			c.violated("%s is in %s", r, c.describe(commits[0]))
		}
	}
}

// falseFailures: a database server's error, and the statement that a
// transaction was rolled back, mean that nothing was committed; so does a
// commit that was never asked for.
func (c *checker) falseFailures() {
	for _, u := range c.units {
		if o := u.outcome(); o == Failed || o == RolledBack {
			c.mustNotBeCommitted(u, u.changes)
		}
	}
}

func (c *checker) mustNotBeCommitted(u *unit, changes []Change) {
	if commits := c.ledger.commitsOf(changes); len(commits) > 0 {
		c.violated("%s was committed as %s", u, c.describe(commits[0]))
	}
}

// mixedWrites: a commit holds exactly the changes of one unit, in order, none of
// which the client saw fail.
func (c *checker) mixedWrites() {
	for i := range c.ledger.truth.Commits {
		c.checkCommit(i)
	}
}

func (c *checker) checkCommit(commit int) {
	changes := c.ledger.truth.Commits[commit].Changes
	if len(changes) == 0 {
		return
	}
	u := c.unitOf[changes[0].Value]
	switch {
	case u == nil:
		c.violated("%s holds %q, which no request wrote", c.describe(commit), changes[0].Value)
	case !slices.Equal(changes, u.changes):
		c.violated("%s holds %v, but %s wrote %v (unanswered: %v)", c.describe(commit), changes, u, u.changes, u.others)
	}
}

// appendOrder: the final log holds the acknowledged entries of each session in
// the order of its requests.
func (c *checker) appendOrder() {
	place := make(map[string]int)
	for i, entry := range c.ledger.entries(c.ledger.truth.Final) {
		if _, seen := place[entry]; !seen {
			place[entry] = i
		}
	}
	last := make(map[string]string) // session to its latest entry
	for _, u := range c.acknowledgedInOrder() {
		for _, change := range u.changes {
			at, present := place[change.Value]
			if change.Key != "" || !present {
				continue
			}
			session := u.end.Session
			if before, any := last[session]; any && at < place[before] {
				c.violated("%s appended %q after %q, and the log holds it before", session, change.Value, before)
			}
			last[session] = change.Value
		}
	}
}

// acknowledgedInOrder returns the acknowledged units by the invocation of their
// commit. Idempotent ones are left out, because a late repetition is allowed.
func (c *checker) acknowledgedInOrder() []*unit {
	var units []*unit
	for _, u := range c.units {
		if u.outcome() == Answered && !u.idempotent {
			units = append(units, u)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int { return a.end.ID - b.end.ID })
	return units
}
