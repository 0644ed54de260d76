// Package ticket decides about configuration changes: whether a ticket is
// valid, what it changes, how its application continues after a conflict or a
// lost answer, and which configuration a VM adopts.
//
// A ticket contains the complete new state of each object that it changes. It
// is merged into the current configuration and written back with one
// conditional update, so it takes effect atomically.
package ticket

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Kind is a kind of configuration object. Its value is the key of these objects
// in files.
type Kind string

// Kinds of objects, in the order in which they are listed.
const (
	Customers   Kind = "customers"
	Groups      Kind = "groups"
	Routes      Kind = "routes"
	DataCentres Kind = "data_centres"
)

// Kinds lists all kinds in their order.
var Kinds = []Kind{Customers, Groups, Routes, DataCentres}

// Ref identifies an object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// compareRefs orders references by kind, then by name.
func compareRefs(a, b Ref) int {
	if a.Kind != b.Kind {
		return slices.Index(Kinds, a.Kind) - slices.Index(Kinds, b.Kind)
	}
	return strings.Compare(a.Name, b.Name)
}

// Ticket is a change requested by an operator.
type Ticket struct {
	ID       state.TicketID
	Operator string
	Reason   string

	// Complete new state of each object that the ticket adds or changes.
	Customers   map[string]*state.Customer
	Groups      map[string]*state.Group
	Routes      map[string]*state.Route
	DataCentres map[string]*state.DataCentre

	// Remove lists the objects that the ticket removes, by kind.
	Remove map[Kind][]string
}

// Record describes an applied ticket. Records are stored with the configuration.
type Record struct {
	ID          state.TicketID
	Operator    string
	Reason      string
	Time        time.Time // by the operator's clock, in whole seconds
	Changed     []string  // objects as "kind/name", at most MaxChanged
	ChangedMore int       // number of changed objects that Changed omits
}

// Limits of the records stored with the configuration.
const (
	// MaxRecords is the number of records kept. After a lost answer, the record
	// shows whether the ticket was applied, unless more tickets have been
	// applied since.
	MaxRecords = 100
	// MaxChanged is the maximum number of objects listed in a record. 100
	// records of 20 names of 30 bytes take 60 KB of the 1 MB that a value may
	// have.
	MaxChanged = 20
	// MaxReason is the maximum length of a reason in bytes, which limits the
	// size of records.
	MaxReason = 500
)

// Object is the content of the stored object that holds the configuration.
type Object struct {
	Config  *state.Config
	Records []Record // ascending by number, at most MaxRecords
}

// EmptyConfig returns the configuration that precedes the first ticket.
func EmptyConfig() *state.Config {
	return &state.Config{
		Customers:   map[string]*state.Customer{},
		Groups:      map[string]*state.Group{},
		Routes:      map[string]*state.Route{},
		DataCentres: map[string]*state.DataCentre{},
	}
}

// Touched returns the objects that the ticket adds, changes or removes.
func (t *Ticket) Touched() []Ref {
	var refs []Ref
	refs = appendRefs(refs, Customers, t.Customers, t.Remove)
	refs = appendRefs(refs, Groups, t.Groups, t.Remove)
	refs = appendRefs(refs, Routes, t.Routes, t.Remove)
	refs = appendRefs(refs, DataCentres, t.DataCentres, t.Remove)
	slices.SortFunc(refs, compareRefs)
	return slices.Compact(refs)
}

func appendRefs[T any](refs []Ref, kind Kind, set map[string]T, remove map[Kind][]string) []Ref {
	for name := range set {
		refs = append(refs, Ref{kind, name})
	}
	for _, name := range remove[kind] {
		refs = append(refs, Ref{kind, name})
	}
	return refs
}

// Merge returns the current configuration with the ticket's objects set and
// removed. Unchanged objects are shared with the current configuration.
func Merge(current *state.Config, t *Ticket) *state.Config {
	return &state.Config{
		Ticket:      t.ID,
		Customers:   merge(current.Customers, t.Customers, t.Remove[Customers]),
		Groups:      merge(current.Groups, t.Groups, t.Remove[Groups]),
		Routes:      merge(current.Routes, t.Routes, t.Remove[Routes]),
		DataCentres: merge(current.DataCentres, t.DataCentres, t.Remove[DataCentres]),
	}
}

func merge[T any](current, set map[string]T, remove []string) map[string]T {
	merged := maps.Clone(current)
	if merged == nil {
		merged = make(map[string]T)
	}
	for _, name := range remove {
		delete(merged, name)
	}
	maps.Copy(merged, set)
	return merged
}

// append returns the object after the ticket is applied: the merged
// configuration and one more record.
func (o *Object) append(t *Ticket, merged *state.Config, at time.Time) *Object {
	changed := changedRefs(Diff(o.Config, merged))
	more := max(len(changed)-MaxChanged, 0)
	record := Record{
		ID:          t.ID,
		Operator:    t.Operator,
		Reason:      t.Reason,
		Time:        at.UTC().Truncate(time.Second),
		Changed:     changed[:len(changed)-more],
		ChangedMore: more,
	}
	records := append(slices.Clone(o.Records), record)
	records = records[max(len(records)-MaxRecords, 0):]
	return &Object{Config: merged, Records: records}
}

// record returns the record of the ticket with the given number, or nil.
func (o *Object) record(number uint64) *Record {
	for i := range o.Records {
		if o.Records[i].ID.Number == number {
			return &o.Records[i]
		}
	}
	return nil
}

// latest returns the latest record, or one without details if there is none.
func (o *Object) latest() Record {
	if len(o.Records) == 0 {
		return Record{ID: o.Config.Ticket}
	}
	return o.Records[len(o.Records)-1]
}

// Order is the relation of an offered configuration to the current one.
type Order int

// Values of Order.
const (
	Older    Order = iota // ignore it and offer the current one
	Same                  // nothing to do
	Newer                 // adopt it
	Diverged              // same number but different content, a fault of the store or of a VM; keep the current one
)

// Compare decides whether a VM adopts an offered configuration. A VM only
// adopts a higher number. The zero TicketID stands for no configuration.
func Compare(current, offered state.TicketID) Order {
	switch {
	case offered.Number > current.Number:
		return Newer
	case offered.Number < current.Number:
		return Older
	case offered.Digest != current.Digest:
		return Diverged
	default:
		return Same
	}
}
