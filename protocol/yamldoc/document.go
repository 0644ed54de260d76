// Package yamldoc decodes YAML files strictly and reports every error at once,
// each with its line.
//
// A file is decoded in two steps: Decode fills a Go value and records unknown
// fields, repeated keys and values of the wrong type; the caller then checks
// the values and adds what it finds by path. The document turns paths into
// lines, and drops what follows from an error that is already recorded.
package yamldoc

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Path leads to a value: keys of mappings, and indices of sequences as decimal
// numbers.
type Path []string

// Problem is one error or warning. Line 0 means the file as a whole.
type Problem struct {
	Line    int
	Warning bool
	Text    string
}

// Document is a decoded file with the problems found in it so far.
type Document struct {
	name     string
	root     *yaml.Node // nil if the file is empty or no YAML
	failed   []Path     // values that could not be decoded
	problems []Problem
}

// Error records an error at the path. It is dropped if the value at the path,
// or one that contains it, could not be decoded.
func (d *Document) Error(path Path, format string, args ...any) {
	d.add(path, false, fmt.Sprintf(format, args...))
}

// Invalid records that the value at the path has the wrong form. Further
// problems at the path are dropped.
func (d *Document) Invalid(path Path, format string, args ...any) {
	d.add(path, false, fmt.Sprintf(format, args...))
	d.failed = append(d.failed, slices.Clone(path))
}

// Clone returns a document to which problems can be added independently.
func (d *Document) Clone() *Document {
	c := *d
	c.failed = slices.Clone(d.failed)
	c.problems = slices.Clone(d.problems)
	return &c
}

// Warning records a warning at the path, under the same rule as Error.
func (d *Document) Warning(path Path, format string, args ...any) {
	d.add(path, true, fmt.Sprintf(format, args...))
}

func (d *Document) add(path Path, warning bool, text string) {
	for _, f := range d.failed {
		if len(f) <= len(path) && slices.Equal(f, path[:len(f)]) {
			return
		}
	}
	line, _ := d.Line(path)
	d.problems = append(d.problems, Problem{Line: line, Warning: warning, Text: text})
}

// Line returns the line of the value at the path. If there is no such value it
// returns the line of the innermost value on the way to it, and false.
func (d *Document) Line(path Path) (line int, exact bool) {
	if d.root == nil {
		return 0, len(path) == 0
	}
	n, line := d.root, d.root.Line
	for _, element := range path {
		key, value := child(n, element)
		if value == nil {
			return line, false
		}
		n, line = value, key.Line
	}
	return line, true
}

// child returns the value under a key or index, and the node whose line is
// reported for it: the key in a mapping, the value itself in a sequence.
func child(n *yaml.Node, element string) (at, value *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == element {
				return n.Content[i], n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		i, err := strconv.Atoi(element)
		if err == nil && i >= 0 && i < len(n.Content) {
			return n.Content[i], n.Content[i]
		}
	}
	return nil, nil
}

// Problems returns the errors and warnings found so far in the order of their
// lines.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}

// Err returns the errors found so far as an *Errors, or nil if there are only
// warnings or nothing.
func (d *Document) Err() error {
	errs := slices.DeleteFunc(d.Problems(), func(p Problem) bool { return p.Warning })
	if len(errs) == 0 {
		return nil
	}
	return &Errors{File: d.name, Problems: errs}
}

// Errors are all errors of a file.
type Errors struct {
	File     string
	Problems []Problem
}

// Error gives one line per error: file, line and text.
func (e *Errors) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Format(e.File)
	}
	return strings.Join(lines, "\n")
}

// Format gives the problem as file, line and text, the form that editors
// recognise.
func (p Problem) Format(file string) string {
	kind := ""
	if p.Warning {
		kind = "warning: "
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s%s", file, kind, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s%s", file, p.Line, kind, p.Text)
}
