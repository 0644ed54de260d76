package ticket

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Problem is an error or warning about a ticket. Path is the path of the value in
// the ticket's file. For a missing value it is the path where it belongs.
type Problem struct {
	Path    []string
	Warning bool // does not prevent the ticket from being applied
	Text    string
}

// HasErrors reports whether any of the problems is an error.
func HasErrors(problems []Problem) bool {
	return slices.ContainsFunc(problems, func(p Problem) bool { return !p.Warning })
}

// finding is a problem before it is assigned to a path in the ticket. Each path
// begins with the kind and the name of an object. The first path whose object
// the ticket changes is reported.
type finding struct {
	paths   [][]string
	warning bool
	text    string
}

// findings is a list of findings.
type findings []finding

func (f *findings) error(text string, paths ...[]string) {
	*f = append(*f, finding{paths, false, text})
}

func (f *findings) warn(text string, paths ...[]string) {
	*f = append(*f, finding{paths, true, text})
}

// Check merges the ticket into the current configuration, which may be nil, and
// reports all problems of the ticket and of the result. The merged
// configuration must not be used if one of the problems is an error.
//
// Errors that the current configuration already had become warnings, so that
// they do not keep operators from revoking a key. Its warnings are not
// repeated.
func Check(current *state.Config, t *Ticket) (merged *state.Config, problems []Problem) {
	if current == nil {
		current = EmptyConfig()
	}
	problems = CheckStandalone(t)
	var f findings
	checkNumber(&f, current, t)
	checkRemovals(&f, current, t)
	merged = Merge(current, t)
	f = append(f, newFindings(current, merged)...)
	checkChanges(&f, current, merged)
	return merged, append(problems, attribute(f, t)...)
}

// CheckStandalone reports the problems that do not depend on the current
// configuration.
func CheckStandalone(t *Ticket) []Problem {
	var f findings
	checkHeader(&f, t)
	checkObjects(&f, t)
	return attribute(f, t)
}

// newFindings returns the problems of the merged configuration as a whole,
// compared with those of the current one.
func newFindings(current, merged *state.Config) findings {
	known := make(map[string]bool)
	for _, old := range checkConfig(current) {
		known[old.text] = true
	}
	var f findings
	for _, added := range checkConfig(merged) {
		switch {
		case !known[added.text]:
			f = append(f, added)
		case !added.warning:
			f.warn("already in force: "+added.text, added.paths...)
		}
	}
	return f
}

// attribute assigns findings to paths that exist in the ticket's file.
func attribute(f findings, t *Ticket) []Problem {
	var problems []Problem
	for _, item := range f {
		problems = append(problems, Problem{reportedPath(t, item.paths), item.warning, item.text})
	}
	return problems
}

// reportedPath returns the first path whose object the ticket sets or removes.
func reportedPath(t *Ticket, paths [][]string) []string {
	for _, p := range paths {
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
	return paths[0]
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

// maxOperatorLength is the maximum length of an operator's name in bytes.
const maxOperatorLength = 100

func checkHeader(f *findings, t *Ticket) {
	if t.ID.Number == 0 {
		f.error("the ticket has no number, or the number zero", []string{"ticket"})
	}
	checkText(f, "operator", t.Operator, maxOperatorLength)
	checkText(f, "reason", t.Reason, MaxReason)
	if len(t.Touched()) == 0 {
		f.error("the ticket changes nothing", []string{"ticket"})
	}
}

func checkText(f *findings, name, value string, limit int) {
	path := []string{name}
	switch {
	case strings.TrimSpace(value) == "":
		f.error(name+" is missing", path)
	case len(value) > limit:
		f.error(fmt.Sprintf("%s has %d bytes; at most %d are allowed", name, len(value), limit), path)
	case strings.ContainsFunc(value, unicode.IsControl):
		f.error(name+" contains a line break or another control character", path)
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
			ref, path := Ref{kind, name}, []string{"remove", string(kind), fmt.Sprint(i)}
			switch {
			case slices.Index(names, name) < i:
				f.error(fmt.Sprintf("%s is removed twice", ref), path)
			case t.sets(ref):
				f.error(fmt.Sprintf("%s is both set and removed", ref), path)
			case existing[ref] == nil:
				f.error(fmt.Sprintf("%s does not exist", ref), path)
			}
		}
	}
}
