package history

import (
	"fmt"
	"strings"
)

// Names of the checks.
const (
	LostWrite     = "no acknowledged write is missing"
	DoubleWrite   = "no write is there twice"
	FalseNotRun   = "not run is true"
	FalseFailure  = "failed and rolled back are true"
	RanTwice      = "at most once"
	StaleRead     = "read your writes"
	MixedWrites   = "transactions are whole and not mixed"
	ForeignAnswer = "every answer belongs to its request and is whole"
	AppendOrder   = "appends of a session keep their order"
)

// Verdict is the result of one check.
type Verdict struct {
	Name       string
	Violations []string // explanations; empty if the check holds
}

// OK reports whether the check holds.
func (v *Verdict) OK() bool { return len(v.Violations) == 0 }

func (v *Verdict) String() string {
	if v.OK() {
		return v.Name + ": ok"
	}
	return v.Name + ": " + strings.Join(v.Violations, "; ")
}

// Check returns one verdict per check, always in the same order.
func Check(h History, t Truth) []Verdict {
	c := newChecker(h, t)
	checks := []struct {
		name string
		run  func(c *checker)
	}{
		{LostWrite, (*checker).lostWrites},
		{DoubleWrite, (*checker).doubleWrites},
		{FalseNotRun, (*checker).falseNotRun},
		{FalseFailure, (*checker).falseFailures},
		{RanTwice, (*checker).ranTwice},
		{StaleRead, (*checker).staleReads},
		{MixedWrites, (*checker).mixedWrites},
		{ForeignAnswer, (*checker).foreignAnswers},
		{AppendOrder, (*checker).appendOrder},
	}
	var verdicts []Verdict
	for _, check := range checks {
		c.violations = nil
		check.run(c)
		verdicts = append(verdicts, Verdict{Name: check.name, Violations: c.violations})
	}
	return verdicts
}

// Broken returns the verdicts that do not hold.
func Broken(verdicts []Verdict) []Verdict {
	var broken []Verdict
	for _, v := range verdicts {
		if !v.OK() {
			broken = append(broken, v)
		}
	}
	return broken
}

// unit is what commits as a whole: a transaction, or a write outside of one.
type unit struct {
	end        *Request // the Commit, or the write itself; nil if no commit was asked for
	first      *Request // the Begin, or the write itself
	changes    []Change // of the answered writes, in order
	others     []Change // of writes that were not answered
	idempotent bool
}

// outcome is what the client knows of the unit.
func (u *unit) outcome() Outcome {
	if u.end == nil {
		return RolledBack // a commit that was not asked for must not happen
	}
	return u.end.Outcome
}

func (u *unit) String() string {
	if u.end == nil {
		return fmt.Sprintf("transaction without commit (%s)", u.first)
	}
	return u.end.String()
}

// checker holds what the checks share.
type checker struct {
	history    History
	ledger     *ledger
	units      []*unit
	unitOf     map[string]*unit // by value written
	violations []string
}

func newChecker(h History, t Truth) *checker {
	c := &checker{history: h, ledger: newLedger(t), unitOf: make(map[string]*unit)}
	open := make(map[int]*unit) // by ID of the Begin
	for i := range h.Requests {
		c.collect(&h.Requests[i], open)
	}
	return c
}

func (c *checker) collect(r *Request, open map[int]*unit) {
	switch {
	case r.Kind == Begin:
		open[r.ID] = &unit{first: r}
		c.units = append(c.units, open[r.ID])
	case r.Kind == Commit:
		u := open[r.Tx]
		u.end, u.changes = r, append(u.changes, r.Changes...)
		c.own(u, r.Changes)
	case r.Kind == Write && r.Tx == 0:
		u := &unit{first: r, end: r, changes: r.Changes, idempotent: r.Idempotent}
		c.units = append(c.units, u)
		c.own(u, r.Changes)
	case r.Kind == Write:
		u := open[r.Tx]
		if r.Outcome == Answered {
			u.changes = append(u.changes, r.Changes...)
		} else {
			u.others = append(u.others, r.Changes...)
		}
		c.own(u, r.Changes)
	}
}

func (c *checker) own(u *unit, changes []Change) {
	for _, change := range changes {
		if c.unitOf[change.Value] != nil {
			panic("history: value " + change.Value + " is written by two requests")
		}
		c.unitOf[change.Value] = u
	}
}

func (c *checker) violated(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// describe names a commit for an explanation.
func (c *checker) describe(commit int) string {
	r := &c.ledger.truth.Commits[commit]
	return fmt.Sprintf("commit %d of %s (term %d, position %d)", commit+1, r.Server, r.Term, r.Position)
}
