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

// MaxFileBytes is the size limit of a file that Decode accepts.
const MaxFileBytes = 8 << 20

// maxQuotedBytes limits how much of an invalid value an error message quotes.
const maxQuotedBytes = 40

// Decode decodes a file with one YAML document into out, a pointer to a struct.
// Fields are matched by their yaml tags. Fields that the file does not set are
// unchanged, so out can hold defaults. name is the file name in messages.
//
// Fields may be structs, pointers to structs, maps with string keys, slices and
// scalars. Anchors and aliases are rejected, because one line would then stand
// for several values.
func Decode(name string, data []byte, out any) *Document {
	d := &Document{name: name}
	if len(data) > MaxFileBytes {
		d.problems = append(d.problems, Problem{Text: fmt.Sprintf("the file has %d bytes; at most %d are read", len(data), MaxFileBytes)})
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
		d.addFailure(nil, 0, "the file is empty")
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
		d.addFailure(nil, 0, "the file is empty")
		return nil
	}
	return doc.Content[0]
}

// syntaxErrorLine matches the line number in the parser's errors, which have it
// only in their text.
var syntaxErrorLine = regexp.MustCompile(`^yaml: line (\d+): `)

func (d *Document) syntaxError(err error) {
	text, line := err.Error(), 0
	if m := syntaxErrorLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = text[len(m[0]):]
	}
	d.addFailure(nil, line, strings.TrimPrefix(text, "yaml: "))
}

// addFailure records that the value at the path could not be decoded. Problems that
// are added later with AddError, AddInvalid or AddWarning at or below the path are
// dropped.
func (d *Document) addFailure(path Path, line int, text string) {
	d.failed = append(d.failed, slices.Clone(path))
	d.problems = append(d.problems, Problem{Line: line, Text: text})
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Document) decode(n *yaml.Node, out reflect.Value, path Path) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		d.addFailure(path, n.Line, "anchors and aliases are not supported")
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
	fields := yamlFields(out.Type())
	d.forEachEntry(n, path, func(key, value *yaml.Node, entryPath Path) {
		index, known := fields[key.Value]
		if !known {
			d.addFailure(entryPath, key.Line, fmt.Sprintf("unknown field %q; the fields here are %s", key.Value, joinFieldNames(fields)))
			return
		}
		d.decode(value, out.FieldByIndex(index), entryPath)
	})
}

func (d *Document) decodeMap(n *yaml.Node, out reflect.Value, path Path) {
	if out.IsNil() {
		out.Set(reflect.MakeMap(out.Type()))
	}
	d.forEachEntry(n, path, func(key, value *yaml.Node, entryPath Path) {
		element := reflect.New(out.Type().Elem()).Elem()
		d.decode(value, element, entryPath)
		out.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

// forEachEntry calls f for each entry of a mapping. Entries that repeat a key are
// recorded as problems and skipped.
func (d *Document) forEachEntry(n *yaml.Node, path Path, f func(key, value *yaml.Node, entryPath Path)) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.addFailure(path, n.Line, "expected fields, found "+describeNode(n))
		return
	}
	firstLine := make(map[string]int) // by key
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			d.addFailure(path, key.Line, "expected the name of a field, found "+describeNode(key))
			continue
		}
		if line, repeated := firstLine[key.Value]; repeated {
			d.problems = append(d.problems, Problem{Line: key.Line, Text: fmt.Sprintf("%q is already defined at line %d", key.Value, line)})
			continue
		}
		firstLine[key.Value] = key.Line
		f(key, value, append(slices.Clone(path), key.Value))
	}
}

func (d *Document) decodeSlice(n *yaml.Node, out reflect.Value, path Path) {
	if isNull(n) {
		return
	}
	if n.Kind != yaml.SequenceNode {
		d.addFailure(path, n.Line, "expected a list, found "+describeNode(n))
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
		d.addFailure(path, n.Line, "the value is missing")
		return
	}
	if n.Kind != yaml.ScalarNode || !fitsIntegerType(n, out.Type()) || n.Decode(out.Addr().Interface()) != nil {
		d.addFailure(path, n.Line, fmt.Sprintf("expected %s, found %s", describeType(out.Type()), describeNode(n)))
	}
}

// fitsIntegerType reports whether the value is an integer if the type requires
// one. The YAML library would round a fraction without an error.
func fitsIntegerType(n *yaml.Node, t reflect.Type) bool {
	integer := t.Kind() == reflect.Int || t.Kind() == reflect.Uint64
	return !integer || n.ShortTag() == "!!int"
}

// yamlFields maps the YAML names of a struct's fields to their indices. Fields of
// embedded structs count as fields of the struct itself.
func yamlFields(t reflect.Type) map[string][]int {
	fields := make(map[string][]int)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Index
		}
	}
	return fields
}

// joinFieldNames lists the field names, separated by commas, in the order of the
// struct.
func joinFieldNames(fields map[string][]int) string {
	names := slices.Collect(maps.Keys(fields))
	slices.SortFunc(names, func(a, b string) int { return slices.Compare(fields[a], fields[b]) })
	return strings.Join(names, ", ")
}

// describeType names the expected kind of value for a scalar type in messages.
func describeType(t reflect.Type) string {
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

// describeNode describes the value found in the file for messages. A scalar is
// quoted.
func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "fields"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	value := n.Value
	if len(value) > maxQuotedBytes {
		value = strings.ToValidUTF8(value[:maxQuotedBytes], "") + "..."
	}
	return strconv.Quote(value)
}
