package ticket

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Problem is something wrong with a ticket. Path leads to the value in the
// ticket's file; if the value is missing there, to where it belongs.
type Problem struct {
	Path    []string
	Warning bool // the ticket can be applied all the same
	Text    string
}

// HasErrors reports whether one of the problems is no mere warning.
func HasErrors(problems []Problem) bool {
	return slices.ContainsFunc(problems, func(p Problem) bool { return !p.Warning })
}

// finding is a problem before it is attributed to a place in the ticket. Each
// of its places begins with the kind and the name of an object; the first that
// the ticket touches is reported.
type finding struct {
	places  [][]string
	warning bool
	text    string
}

// findings collects findings.
type findings []finding

func (f *findings) error(text string, places ...[]string) {
	*f = append(*f, finding{places, false, text})
}

func (f *findings) warn(text string, places ...[]string) {
	*f = append(*f, finding{places, true, text})
}

// Check merges the ticket into the current configuration, nil for none, and
// reports everything that is wrong with the ticket or with the result. The
// merged configuration must not be used if there is an error among the problems.
//
// What was wrong with the current configuration before does not make the ticket
// invalid: an old fault must not keep operators from revoking a key. Errors that
// the ticket leaves in place become warnings; warnings that it leaves in place
// are not repeated.
func Check(current *state.Config, t *Ticket) (merged *state.Config, problems []Problem) {
	if current == nil {
		current = EmptyConfig()
	}
	problems = CheckAlone(t)
	var f findings
	checkNumber(&f, current, t)
	checkRemovals(&f, current, t)
	merged = Merge(current, t)
	f = append(f, newFindings(current, merged)...)
	checkChanges(&f, current, merged)
	return merged, append(problems, attribute(f, t)...)
}

// CheckAlone reports what is wrong with the ticket regardless of the current
// configuration.
func CheckAlone(t *Ticket) []Problem {
	var f findings
	checkHeader(&f, t)
	checkObjects(&f, t)
	return attribute(f, t)
}

// newFindings returns what is wrong with the merged configuration as a whole,
// compared with the current one.
func newFindings(current, merged *state.Config) findings {
	known := make(map[string]bool)
	for _, old := range checkConfig(current) {
		known[old.text] = true
	}
	var f findings
	for _, now := range checkConfig(merged) {
		switch {
		case !known[now.text]:
			f = append(f, now)
		case !now.warning:
			f.warn("already in force: "+now.text, now.places...)
		}
	}
	return f
}

// attribute turns findings into problems at places that the ticket's file has.
func attribute(f findings, t *Ticket) []Problem {
	var problems []Problem
	for _, one := range f {
		problems = append(problems, Problem{placeIn(t, one.places), one.warning, one.text})
	}
	return problems
}

func placeIn(t *Ticket, places [][]string) []string {
	for _, p := range places {
		if len(p) < 2 {
			return p
		}
		kind, name := Kind(p[0]), p[1]
		if i := slices.Index(t.Remove[kind], name); i >= 0 {
			return []string{"remove", p[0], fmt.Sprint(i)}
		}
		if t.sets(Ref{kind, name}) {
			return p
		}
	}
	return places[0]
}

// sets reports whether the ticket adds or changes the object.
func (t *Ticket) sets(ref Ref) bool {
	var found bool
	switch ref.Kind {
	case Customers:
		_, found = t.Customers[ref.Name]
	case Groups:
		_, found = t.Groups[ref.Name]
	case Routes:
		_, found = t.Routes[ref.Name]
	case DataCentres:
		_, found = t.DataCentres[ref.Name]
	}
	return found
}

// maxOperator is the longest name of an operator in bytes.
const maxOperator = 100

func checkHeader(f *findings, t *Ticket) {
	if t.ID.Number == 0 {
		f.error("the ticket has no number, or the number zero", []string{"ticket"})
	}
	checkText(f, "operator", t.Operator, maxOperator)
	checkText(f, "reason", t.Reason, MaxReason)
	if len(t.Touched()) == 0 {
		f.error("the ticket changes nothing", []string{"ticket"})
	}
}

func checkText(f *findings, name, value string, limit int) {
	place := []string{name}
	switch {
	case strings.TrimSpace(value) == "":
		f.error(name+" is missing", place)
	case len(value) > limit:
		f.error(fmt.Sprintf("%s has %d bytes; at most %d are allowed", name, len(value), limit), place)
	case strings.ContainsFunc(value, unicode.IsControl):
		f.error(name+" contains a line break or another control character", place)
	}
}

func checkNumber(f *findings, current *state.Config, t *Ticket) {
	if t.ID.Number != 0 && t.ID.Number <= current.Ticket.Number {
		f.error(fmt.Sprintf("ticket %d is not above ticket %d, which is in force", t.ID.Number, current.Ticket.Number), []string{"ticket"})
	}
}

func checkRemovals(f *findings, current *state.Config, t *Ticket) {
	existing := flatten(current)
	for _, kind := range Kinds {
		names := t.Remove[kind]
		for i, name := range names {
			ref, place := Ref{kind, name}, []string{"remove", string(kind), fmt.Sprint(i)}
			switch {
			case slices.Index(names, name) < i:
				f.error(fmt.Sprintf("%s is removed twice", ref), place)
			case t.sets(ref):
				f.error(fmt.Sprintf("%s is both set and removed", ref), place)
			case existing[ref] == nil:
				f.error(fmt.Sprintf("%s does not exist", ref), place)
			}
		}
	}
}
