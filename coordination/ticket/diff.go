package ticket

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Op is the kind of a change to an object or field.
type Op string

// Values of Op.
const (
	Add    Op = "add"
	Change Op = "change"
	Remove Op = "remove"
)

// Difference is a change to one object.
type Difference struct {
	Op     Op
	Object Ref
	Fields []FieldDifference
}

// FieldDifference is a change to one field. Field is its path in the object,
// such as "servers/ledger-1-a/slots". Old is empty for an added field, New for
// a removed one.
type FieldDifference struct {
	Op       Op
	Field    string
	Old, New string
}

// field is one value of an object as text.
type field struct{ name, value string }

// Diff returns the objects that differ, ordered by kind and name. A nil
// configuration is treated as empty.
func Diff(before, after *state.Config) []Difference {
	a, b := flatten(before), flatten(after)
	var diffs []Difference
	for ref, fields := range b {
		old, existed := a[ref]
		switch {
		case !existed:
			diffs = append(diffs, Difference{Add, ref, diffFields(nil, fields)})
		case !slices.Equal(old, fields):
			diffs = append(diffs, Difference{Change, ref, diffFields(old, fields)})
		}
	}
	for ref, old := range a {
		if _, exists := b[ref]; !exists {
			diffs = append(diffs, Difference{Remove, ref, diffFields(old, nil)})
		}
	}
	slices.SortFunc(diffs, func(x, y Difference) int { return compareRefs(x.Object, y.Object) })
	return diffs
}

func changedRefs(diffs []Difference) []string {
	refs := make([]string, len(diffs))
	for i, d := range diffs {
		refs[i] = d.Object.String()
	}
	return refs
}

// sameObject reports whether the object is the same in both configurations.
func sameObject(a, b *state.Config, ref Ref) bool {
	before, existed := flattenObject(a, ref)
	after, exists := flattenObject(b, ref)
	return existed == exists && slices.Equal(before, after)
}

func diffFields(before, after []field) []FieldDifference {
	oldValues, newValues := indexFields(before), indexFields(after)
	var diffs []FieldDifference
	for _, f := range before {
		if _, exists := newValues[f.name]; !exists {
			diffs = append(diffs, FieldDifference{Op: Remove, Field: f.name, Old: f.value})
		}
	}
	for _, f := range after {
		value, existed := oldValues[f.name]
		switch {
		case !existed:
			diffs = append(diffs, FieldDifference{Op: Add, Field: f.name, New: f.value})
		case value != f.value:
			diffs = append(diffs, FieldDifference{Op: Change, Field: f.name, Old: value, New: f.value})
		}
	}
	return diffs
}

func indexFields(fields []field) map[string]string {
	index := make(map[string]string, len(fields))
	for _, f := range fields {
		index[f.name] = f.value
	}
	return index
}

func flatten(c *state.Config) map[Ref][]field {
	all := make(map[Ref][]field)
	if c == nil {
		return all
	}
	for name, o := range c.Customers {
		all[Ref{Customers, name}] = flattenCustomer(o)
	}
	for name, o := range c.Groups {
		all[Ref{Groups, name}] = flattenGroup(o)
	}
	for name, o := range c.Routes {
		all[Ref{Routes, name}] = flattenRoute(o)
	}
	for name, o := range c.DataCentres {
		all[Ref{DataCentres, name}] = flattenDataCentre(o)
	}
	return all
}

func flattenObject(c *state.Config, ref Ref) ([]field, bool) {
	if c == nil {
		return nil, false
	}
	switch ref.Kind {
	case Customers:
		return flattenNonNil(c.Customers[ref.Name], flattenCustomer)
	case Groups:
		return flattenNonNil(c.Groups[ref.Name], flattenGroup)
	case Routes:
		return flattenNonNil(c.Routes[ref.Name], flattenRoute)
	default:
		return flattenNonNil(c.DataCentres[ref.Name], flattenDataCentre)
	}
}

func flattenNonNil[T any](o *T, flatten func(*T) []field) ([]field, bool) {
	if o == nil {
		return nil, false
	}
	return flatten(o), true
}

func flattenCustomer(c *state.Customer) []field {
	fields := []field{
		{"rate", fmt.Sprint(c.Rate)},
		{"burst", fmt.Sprint(c.Burst)},
		{"when_cut_off/serve_for", formatServeFor(c.CutOff)},
		{"when_cut_off/reason", c.CutOff.Reason},
	}
	for _, k := range c.Keys {
		prefix := "keys/" + k.ID
		fields = append(fields, field{prefix, fmt.Sprintf("sha256 %x", k.Hash)})
		if k.Revoked {
			fields = append(fields, field{prefix + "/revoked", "true"})
		}
	}
	return fields
}

func formatServeFor(p state.CutOffPolicy) string {
	if p.Always {
		return "always"
	}
	return p.ServeFor.String()
}

func flattenGroup(g *state.Group) []field {
	names := make([]string, len(g.Servers))
	var fields []field
	for i, s := range g.Servers {
		names[i] = s.Name
		prefix := "servers/" + s.Name + "/"
		fields = append(fields,
			field{prefix + "data_centre", s.DataCentre},
			field{prefix + "address", s.Address},
			field{prefix + "control_address", s.ControlAddress},
			field{prefix + "connections", fmt.Sprint(s.Connections)},
			field{prefix + "slots", fmt.Sprint(s.Slots)},
			field{prefix + "state", string(s.State)})
	}
	return append(fields, field{"servers", strings.Join(names, ", ")})
}

func flattenRoute(r *state.Route) []field {
	fields := []field{
		{"group", r.Group},
		{"access", string(r.Access)},
	}
	if r.Open {
		fields = append(fields, field{"open", "true"})
	}
	fields = appendNonEmpty(fields, "charged_to", r.ChargedTo)
	fields = appendNonEmpty(fields, "customers", strings.Join(r.Customers, ", "))
	fields = appendNonEmpty(fields, "max_staleness", formatDuration(r.MaxStaleness))
	return appendNonEmpty(fields, "deadline", formatDuration(r.Deadline))
}

func flattenDataCentre(d *state.DataCentre) []field {
	fields := []field{{"region", d.Region}, {"state", string(d.State)}}
	names := make([]string, len(d.VMs))
	for i, vm := range d.VMs {
		names[i] = vm.Name
		prefix := "vms/" + vm.Name + "/"
		fields = append(fields,
			field{prefix + "address", vm.Address},
			field{prefix + "state", string(vm.State)})
		fields = appendNonEmpty(fields, prefix+"admin_address", vm.AdminAddress)
	}
	return append(fields, field{"vms", strings.Join(names, ", ")})
}

func appendNonEmpty(fields []field, name, value string) []field {
	if value == "" {
		return fields
	}
	return append(fields, field{name, value})
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
