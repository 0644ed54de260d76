package history

import (
	"fmt"
	"strings"
)

// Names of the checks, which results and failing tests print.
const (
	LostWrite        = "no acknowledged write is missing"
	DoubleWrite      = "no write is in the final log twice"
	CommittedNotRun  = "nothing that was refused as not run is committed"
	CommittedFailure = "nothing that failed or was rolled back is committed"
	RanTwice         = "every write runs at most once"
	StaleRead        = "sessions read their own writes"
	MixedWrites      = "commits hold exactly one transaction"
	WrongAnswer      = "every answer is complete and belongs to its request"
	AppendOrder      = "appends of a session keep their order"
)

// CheckResult is the result of one check. Name is one of the constants above.
type CheckResult struct {
	Name       string
	Violations []string // descriptions; empty if the check passed
}

// OK reports whether the check found no violation.
func (v *CheckResult) OK() bool { return len(v.Violations) == 0 }

func (v *CheckResult) String() string {
	if v.OK() {
		return v.Name + ": ok"
	}
	return v.Name + ": " + strings.Join(v.Violations, "; ")
}

// Check runs all checks on what clients saw and what the servers did. It returns one
// result per check, always in the same order, and panics if two requests write the
// same value.
func Check(h History, t ServerRecord) []CheckResult {
	c := newChecker(h, t)
	checks := []struct {
		name string
		run  func(c *checker)
	}{
		{LostWrite, (*checker).checkLostWrites},
		{DoubleWrite, (*checker).checkDoubleWrites},
		{CommittedNotRun, (*checker).checkNotRun},
		{CommittedFailure, (*checker).checkFailures},
		{RanTwice, (*checker).checkRanTwice},
		{StaleRead, (*checker).checkStaleReads},
		{MixedWrites, (*checker).checkMixedWrites},
		{WrongAnswer, (*checker).checkAnswers},
		{AppendOrder, (*checker).checkAppendOrder},
	}
	var results []CheckResult
	for _, check := range checks {
		c.violations = nil
		check.run(c)
		results = append(results, CheckResult{Name: check.name, Violations: c.violations})
	}
	return results
}

// Violated returns the results with violations.
func Violated(results []CheckResult) []CheckResult {
	var violated []CheckResult
	for _, v := range results {
		if !v.OK() {
			violated = append(violated, v)
		}
	}
	return violated
}

// unit is an atomic unit of work: a transaction, or a write outside of one.
type unit struct {
	commit         *Request // the Commit, or the write itself; nil if no commit was requested
	begin          *Request // the Begin, or the write itself
	changes        []Change // of the answered writes and the commit, in order
	unacknowledged []Change // of writes in the transaction with another outcome than Answered
	idempotent     bool     // the client allows it to be committed more than once
}

// outcome returns what the client knows about the commit of the unit.
func (u *unit) outcome() Outcome {
	if u.commit == nil {
		return RolledBack // a commit that was not requested must not happen
	}
	return u.commit.Outcome
}

func (u *unit) String() string {
	if u.commit == nil {
		return fmt.Sprintf("transaction without commit (%s)", u.begin)
	}
	return u.commit.String()
}

// checker holds the data that all checks use, and the violations that the running
// check has found.
type checker struct {
	history    History
	index      *recordIndex
	units      []*unit
	unitOf     map[string]*unit // by value written
	violations []string
}

func newChecker(h History, t ServerRecord) *checker {
	c := &checker{history: h, index: newRecordIndex(t), unitOf: make(map[string]*unit)}
	open := make(map[int]*unit) // by ID of the Begin
	for i := range h.Requests {
		c.collect(&h.Requests[i], open)
	}
	return c
}

// collect adds a request to the units. open holds those of all transactions so far.
func (c *checker) collect(r *Request, open map[int]*unit) {
	switch {
	case r.Kind == Begin:
		open[r.ID] = &unit{begin: r}
		c.units = append(c.units, open[r.ID])
	case r.Kind == Commit:
		u := open[r.Tx]
		u.commit, u.changes = r, append(u.changes, r.Changes...)
		c.setUnit(u, r.Changes)
	case r.Kind == Write && r.Tx == 0:
		u := &unit{begin: r, commit: r, changes: r.Changes, idempotent: r.Idempotent}
		c.units = append(c.units, u)
		c.setUnit(u, r.Changes)
	case r.Kind == Write:
		u := open[r.Tx]
		if r.Outcome == Answered {
			u.changes = append(u.changes, r.Changes...)
		} else {
			u.unacknowledged = append(u.unacknowledged, r.Changes...)
		}
		c.setUnit(u, r.Changes)
	}
}

// setUnit records the unit as the one that writes the values of the changes.
func (c *checker) setUnit(u *unit, changes []Change) {
	for _, change := range changes {
		if c.unitOf[change.Value] != nil {
			panic("history: value " + change.Value + " is written by two requests")
		}
		c.unitOf[change.Value] = u
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// describeCommit describes a commit for a violation.
func (c *checker) describeCommit(commit int) string {
	r := &c.index.truth.Commits[commit]
	return fmt.Sprintf("commit %d of %s (term %d, position %d)", commit+1, r.Server, r.Term, r.Position)
}
