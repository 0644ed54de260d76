package yamldoc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// MaxFile is the largest file that is decoded, in bytes.
const MaxFile = 8 << 20

// maxShown is how much of a wrong value an error message quotes, in bytes.
const maxShown = 40

// Decode fills out, a pointer to a struct, from a file of one YAML document.
// Fields are matched by their yaml tags. Values that are absent from the file
// are left as they are, so out can hold defaults. name appears in messages.
//
// The kinds of fields supported are structs, pointers to structs, maps with
// string keys, slices and scalars. Anchors and aliases are refused, because one
// line would then describe several values.
func Decode(name string, data []byte, out any) *Document {
	d := &Document{name: name}
	if len(data) > MaxFile {
		d.problems = append(d.problems, Problem{Text: fmt.Sprintf("the file has %d bytes; at most %d are read", len(data), MaxFile)})
		return d
	}
	d.root = d.parse(data)
	if d.root != nil {
		d.decode(d.root, reflect.ValueOf(out).Elem(), nil)
	}
	return d
}

func (d *Document) parse(data []byte) *yaml.Node {
	var doc, more yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	switch err := decoder.Decode(&doc); {
	case errors.Is(err, io.EOF):
		d.fail(nil, 0, "the file is empty")
		return nil
	case err != nil:
		d.syntaxError(err)
		return nil
	}
	switch err := decoder.Decode(&more); {
	case errors.Is(err, io.EOF):
	case err != nil:
		d.syntaxError(err)
	default:
		d.problems = append(d.problems, Problem{Line: more.Line, Text: "the file must hold one YAML document"})
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) != 1 {
		d.fail(nil, 0, "the file is empty")
		return nil
	}
	return doc.Content[0]
}

// The parser names the line only in the text of its errors.
var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (d *Document) syntaxError(err error) {
	text, line := err.Error(), 0
	if m := syntaxLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	d.fail(nil, line, strings.TrimPrefix(text, "yaml: "))
}

// fail records that the value at the path could not be decoded.
func (d *Document) fail(path Path, line int, text string) {
	d.failed = append(d.failed, slices.Clone(path))
	d.problems = append(d.problems, Problem{Line: line, Text: text})
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decode(n *yaml.Node, out reflect.Value, path Path) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.fail(path, n.Line, "anchors and aliases are not supported")
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		if isNull(n) {
			return
		}
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		d.decode(n, out.Elem(), path)
	case reflect.Struct:
		d.decodeStruct(n, out, path)
	case reflect.Map:
		d.decodeMap(n, out, path)
	case reflect.Slice:
		d.decodeSlice(n, out, path)
	default:
		d.decodeScalar(n, out, path)
	}
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

func (d *Document) decodeStruct(n *yaml.Node, out reflect.Value, path Path) {
	fields := fieldsOf(out.Type())
	d.eachEntry(n, path, func(key, value *yaml.Node, at Path) {
		index, known := fields[key.Value]
		if !known {
			d.fail(at, key.Line, fmt.Sprintf("unknown field %q; the fields here are %s", key.Value, names(fields)))
			return
		}
		d.decode(value, out.FieldByIndex(index), at)
	})
}

func (d *Document) decodeMap(n *yaml.Node, out reflect.Value, path Path) {
	if out.IsNil() {
		out.Set(reflect.MakeMap(out.Type()))
	}
	d.eachEntry(n, path, func(key, value *yaml.Node, at Path) {
		element := reflect.New(out.Type().Elem()).Elem()
		d.decode(value, element, at)
		out.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

// eachEntry calls f with the entries of a mapping, without the repeated ones.
func (d *Document) eachEntry(n *yaml.Node, path Path, f func(key, value *yaml.Node, at Path)) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.fail(path, n.Line, "expected fields, found "+describe(n))
		return
	}
	first := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			d.fail(path, key.Line, "expected the name of a field, found "+describe(key))
			continue
		}
		if line, repeated := first[key.Value]; repeated {
			d.problems = append(d.problems, Problem{Line: key.Line, Text: fmt.Sprintf("%q is already defined at line %d", key.Value, line)})
			continue
		}
		first[key.Value] = key.Line
		f(key, value, append(slices.Clone(path), key.Value))
	}
}

func (d *Document) decodeSlice(n *yaml.Node, out reflect.Value, path Path) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.SequenceNode {
		d.fail(path, n.Line, "expected a list, found "+describe(n))
		return
	}
	list := reflect.MakeSlice(out.Type(), len(n.Content), len(n.Content))
	for i, element := range n.Content {
		d.decode(element, list.Index(i), append(slices.Clone(path), strconv.Itoa(i)))
	}
	out.Set(list)
}

func (d *Document) decodeScalar(n *yaml.Node, out reflect.Value, path Path) {
	if isNull(n) {
		d.fail(path, n.Line, "the value is missing")
		return
	}
	if n.Kind != yaml.ScalarNode || !wholeIfNeeded(n, out.Type()) || n.Decode(out.Addr().Interface()) != nil {
		d.fail(path, n.Line, fmt.Sprintf("expected %s, found %s", expected(out.Type()), describe(n)))
	}
}

// wholeIfNeeded reports false for a fraction in place of a whole number, which
// the library would round without an error.
func wholeIfNeeded(n *yaml.Node, t reflect.Type) bool {
	whole := t.Kind() == reflect.Int || t.Kind() == reflect.Uint64
	return !whole || n.ShortTag() == "!!int"
}

// fieldsOf maps the names of a struct's fields in YAML to their indices. Fields
// of embedded structs count as fields of the struct itself.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := make(map[string][]int)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Index
		}
	}
	return fields
}

// names lists the fields in the order of the struct.
func names(fields map[string][]int) string {
	all := slices.Collect(maps.Keys(fields))
	slices.SortFunc(all, func(a, b string) int { return slices.Compare(fields[a], fields[b]) })
	return strings.Join(all, ", ")
}

func expected(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration such as 250ms or 10s"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Uint64:
		return "a whole number, not negative"
	case t.Kind() == reflect.Int:
		return "a whole number"
	default:
		return "text"
	}
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	value := n.Value
	if len(value) > maxShown {
		value = strings.ToValidUTF8(value[:maxShown], "") + "..."
	}
	return strconv.Quote(value)
}
