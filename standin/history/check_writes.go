package history

import "slices"

// checkLostWrites checks that the final log holds every acknowledged write.
func (c *checker) checkLostWrites() {
	for _, u := range c.units {
		if u.outcome() != Answered || len(u.changes) == 0 {
			continue
		}
		commits := c.index.commitsOf(u.changes)
		if !slices.ContainsFunc(commits, c.index.inFinalLog) {
			c.addViolation("%s was acknowledged, but is not in the final log (it was %s)", u, c.describeLast(commits))
		}
	}
}

// describeLast describes the last of a unit's commits for a violation.
func (c *checker) describeLast(commits []int) string {
	if len(commits) == 0 {
		return "never committed"
	}
	return c.describeCommit(commits[len(commits)-1])
}

// checkDoubleWrites checks that the final log holds a write at most once, unless the
// client allowed it to run more than once.
func (c *checker) checkDoubleWrites() {
	for _, u := range c.units {
		n := 0
		for _, commit := range c.index.commitsOf(u.changes) {
			if c.index.inFinalLog(commit) {
				n++
			}
		}
		if n > 1 && !u.idempotent {
			c.addViolation("the final log holds %s %d times", u, n)
		}
	}
}

// checkRanTwice checks that no write was committed more than once, including commits
// that promotions dropped, unless the client allowed it.
func (c *checker) checkRanTwice() {
	for _, u := range c.units {
		if commits := c.index.commitsOf(u.changes); len(commits) > 1 && !u.idempotent {
			c.addViolation("%s was committed %d times, first as %s, last as %s",
				u, len(commits), c.describeCommit(commits[0]), c.describeCommit(commits[len(commits)-1]))
		}
	}
}

// checkNotRun checks that no server ever committed what was refused as not run, be it
// a whole unit or a single statement of a transaction.
func (c *checker) checkNotRun() {
	for _, u := range c.units {
		if u.outcome() == NotRun {
			c.checkNotCommitted(u, u.changes)
		}
	}
	for i := range c.history.Requests {
		r := &c.history.Requests[i]
		if r.Tx == 0 || r.Outcome != NotRun || len(r.Changes) == 0 {
			continue
		}
		if commits := c.index.commitsOf(r.Changes); len(commits) > 0 {
			c.addViolation("%s was committed in %s", r, c.describeCommit(commits[0]))
		}
	}
}

// checkFailures checks that nothing was committed of units that the database server
// answered with an error, that were reported as rolled back, or whose commit was never
// requested.
func (c *checker) checkFailures() {
	for _, u := range c.units {
		if o := u.outcome(); o == Failed || o == RolledBack {
			c.checkNotCommitted(u, u.changes)
		}
	}
}

func (c *checker) checkNotCommitted(u *unit, changes []Change) {
	if commits := c.index.commitsOf(changes); len(commits) > 0 {
		c.addViolation("%s was committed as %s", u, c.describeCommit(commits[0]))
	}
}

// checkMixedWrites checks that every commit holds exactly the changes of one unit, in
// order, without those of statements of a transaction that were not answered.
func (c *checker) checkMixedWrites() {
	for i := range c.index.record.Commits {
		c.checkCommit(i)
	}
}

func (c *checker) checkCommit(commit int) {
	changes := c.index.record.Commits[commit].Changes
	if len(changes) == 0 {
		return
	}
	u := c.unitOf[changes[0].Value]
	switch {
	case u == nil:
		c.addViolation("%s holds %q, which no request wrote", c.describeCommit(commit), changes[0].Value)
	case !slices.Equal(changes, u.changes):
		c.addViolation("%s holds %v, but %s wrote %v (unacknowledged: %v)", c.describeCommit(commit), changes, u, u.changes, u.unacknowledged)
	}
}

// checkAppendOrder checks that the final log holds the acknowledged entries of each
// session in the order of its requests.
func (c *checker) checkAppendOrder() {
	positions := make(map[string]int) // of the first occurrence in the final log
	for i, entry := range c.index.logEntries(c.index.record.Final) {
		if _, seen := positions[entry]; !seen {
			positions[entry] = i
		}
	}
	last := make(map[string]string) // last entry of each session
	for _, u := range c.acknowledgedInOrder() {
		for _, change := range u.changes {
			at, present := positions[change.Value]
			if change.Key != "" || !present {
				continue
			}
			session := u.commit.Session
			if previous, ok := last[session]; ok && at < positions[previous] {
				c.addViolation("%s appended %q after %q, but the log holds it before", session, change.Value, previous)
			}
			last[session] = change.Value
		}
	}
}

// acknowledgedInOrder returns the acknowledged units in the order in which their
// commits were invoked. It omits idempotent units, which may be repeated late.
func (c *checker) acknowledgedInOrder() []*unit {
	var units []*unit
	for _, u := range c.units {
		if u.outcome() == Answered && !u.idempotent {
			units = append(units, u)
		}
	}
	slices.SortFunc(units, func(a, b *unit) int { return a.commit.ID - b.commit.ID })
	return units
}
