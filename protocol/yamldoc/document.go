// Package yamldoc decodes YAML files strictly and reports all errors together,
// each with its line.
//
// Decode fills a Go value and records unknown fields, repeated keys and values
// of the wrong type. The caller then validates the values and adds further
// problems by path. The document maps paths to lines and drops problems that
// follow from an error already recorded.
package yamldoc

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Path is the location of a value: keys of mappings and decimal indices of
// sequences, from the root.
type Path []string

// Problem is an error or a warning. Line 0 stands for the whole file.
type Problem struct {
	Line    int
	Warning bool
	Text    string
}

// Document is a decoded file and the problems recorded for it.
type Document struct {
	name     string
	root     *yaml.Node // nil if the file is empty or not valid YAML
	failed   []Path     // values that could not be decoded or converted
	problems []Problem
}

// AddError records an error at the path. The error is dropped if the value at the
// path, or a value that contains it, could not be decoded or was reported with
// AddInvalid.
func (d *Document) AddError(path Path, format string, args ...any) {
	d.add(path, false, fmt.Sprintf(format, args...))
}

// AddInvalid records that the value at the path cannot be converted, under the same
// rule as AddError. Problems that are added later at or below the path are dropped.
func (d *Document) AddInvalid(path Path, format string, args ...any) {
	d.add(path, false, fmt.Sprintf(format, args...))
	d.failed = append(d.failed, slices.Clone(path))
}

// Clone returns a copy of the document. Problems added to the copy do not appear
// in the original.
func (d *Document) Clone() *Document {
	c := *d
	c.failed = slices.Clone(d.failed)
	c.problems = slices.Clone(d.problems)
	return &c
}

// AddWarning records a warning at the path, under the same rule as AddError.
func (d *Document) AddWarning(path Path, format string, args ...any) {
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

// Line returns the line of the value at the path. If the file has no such value,
// it returns the line of the innermost existing value on the path, and false.
func (d *Document) Line(path Path) (line int, exact bool) {
	if d.root == nil {
		return 0, len(path) == 0
	}
	n, line := d.root, d.root.Line
	for _, element := range path {
		lineNode, value := child(n, element)
		if value == nil {
			return line, false
		}
		n, line = value, lineNode.Line
	}
	return line, true
}

// child returns the value under a key or index and the node whose line is
// reported for it: the key in a mapping, the value itself in a sequence.
func child(n *yaml.Node, element string) (lineNode, value *yaml.Node) {
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

// Problems returns the errors and warnings recorded so far, ordered by line.
func (d *Document) Problems() []Problem {
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}

// Err returns the errors recorded so far as an *Errors. It returns nil if there
// are none; warnings do not count.
func (d *Document) Err() error {
	errs := slices.DeleteFunc(d.Problems(), func(p Problem) bool { return p.Warning })
	if len(errs) == 0 {
		return nil
	}
	return &Errors{File: d.name, Problems: errs}
}

// Errors is the error returned for an invalid file. It holds all errors of the
// file, ordered by line.
type Errors struct {
	File     string
	Problems []Problem
}

// Error implements error. Each problem is formatted on its own line.
func (e *Errors) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Format(e.File)
	}
	return strings.Join(lines, "\n")
}

// Format returns the problem as FILE:LINE: TEXT, which editors recognise as a
// location.
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
