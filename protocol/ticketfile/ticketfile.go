// Package ticketfile reads and writes tickets and configurations: tickets as
// YAML files that are kept under version control, configurations as JSON in the
// store and in messages between VMs.
//
// A ticket:
//
//	ticket: 42
//	operator: amina
//	reason: New key for the bindery on Rue Talaa, the old one is revoked.
//	customers:
//	  talaa:
//	    rate: 200          # requests a second
//	    burst: 400
//	    keys:
//	      - id: "2026-11"
//	        sha256: 6e34...
//	      - id: "2025-02"
//	        sha256: 9f86...
//	        revoked: true
//	    when_cut_off:
//	      serve_for: 10m   # or always
//	      reason: Reservations must not stop for a short outage.
//	remove:
//	  routes: [archive]
//
// groups, routes and data_centres are written in the same way. Each object
// stands there with its whole new state; objects that are not named stay as they
// are.
package ticketfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/yamldoc"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// file is the form of a ticket. The digest is taken over its JSON, so the order
// of the fields must not change.
type file struct {
	Ticket   uint64 `yaml:"ticket" json:"ticket"`
	Operator string `yaml:"operator" json:"operator"`
	Reason   string `yaml:"reason" json:"reason"`
	objects  `yaml:",inline"`
	Remove   removals `yaml:"remove,omitempty" json:"remove"`
}

type removals struct {
	Customers   []string `yaml:"customers,omitempty" json:"customers,omitempty"`
	Groups      []string `yaml:"groups,omitempty" json:"groups,omitempty"`
	Routes      []string `yaml:"routes,omitempty" json:"routes,omitempty"`
	DataCentres []string `yaml:"data_centres,omitempty" json:"data_centres,omitempty"`
}

func (r removals) toTicket() map[ticket.Kind][]string {
	return map[ticket.Kind][]string{
		ticket.Customers:   r.Customers,
		ticket.Groups:      r.Groups,
		ticket.Routes:      r.Routes,
		ticket.DataCentres: r.DataCentres,
	}
}

// File is a ticket as read from a file.
type File struct {
	Name   string
	Ticket *ticket.Ticket
	doc    *yamldoc.Document
}

// Parse reads a ticket. It always returns a File; Problems and Err say what is
// wrong with it. name appears in messages.
func Parse(name string, data []byte) *File {
	var raw file
	doc := yamldoc.Decode(name, data, &raw)
	t := &ticket.Ticket{
		ID:          state.TicketID{Number: raw.Ticket},
		Operator:    raw.Operator,
		Reason:      raw.Reason,
		Customers:   convert(raw.Customers, customer.toState, doc, ticket.Customers),
		Groups:      convert(raw.Groups, group.toState, doc, ticket.Groups),
		Routes:      convert(raw.Routes, route.toState, doc, ticket.Routes),
		DataCentres: convert(raw.DataCentres, dataCentre.toState, doc, ticket.DataCentres),
		Remove:      raw.Remove.toTicket(),
	}
	t.ID.Digest = digest(t)
	return &File{Name: name, Ticket: t, doc: doc}
}

// convert turns one kind of objects into their form in package state. What
// cannot be converted is recorded in the document.
func convert[W, S any](objects map[string]W, toState func(W, string, failer) *S, doc *yamldoc.Document, kind ticket.Kind) map[string]*S {
	converted := make(map[string]*S, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		converted[name] = toState(objects[name], name, func(err error, path ...string) {
			doc.AddInvalid(append(yamldoc.Path{string(kind), name}, path...), "%v", err)
		})
	}
	return converted
}

// digest identifies the content of a ticket. It does not depend on the layout
// of the file or the order of its objects.
func digest(t *ticket.Ticket) string {
	data, err := json.Marshal(fromTicket(t))
	if err != nil {
		return "" // a rate of infinity, which validation refuses
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func fromTicket(t *ticket.Ticket) file {
	return file{
		Ticket:   t.ID.Number,
		Operator: t.Operator,
		Reason:   t.Reason,
		objects: objects{
			Customers:   each(t.Customers, fromCustomer),
			Groups:      each(t.Groups, fromGroup),
			Routes:      each(t.Routes, fromRoute),
			DataCentres: each(t.DataCentres, fromDataCentre),
		},
		Remove: removals{
			Customers:   slices.Sorted(slices.Values(t.Remove[ticket.Customers])),
			Groups:      slices.Sorted(slices.Values(t.Remove[ticket.Groups])),
			Routes:      slices.Sorted(slices.Values(t.Remove[ticket.Routes])),
			DataCentres: slices.Sorted(slices.Values(t.Remove[ticket.DataCentres])),
		},
	}
}

func each[S, W any](objects map[string]*S, from func(*S) W) map[string]W {
	converted := make(map[string]W, len(objects))
	for name, o := range objects {
		converted[name] = from(o)
	}
	return converted
}

// Format writes a ticket as a YAML file that Parse reads back.
func Format(t *ticket.Ticket) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(indent)
	if err := e.Encode(fromTicket(t)); err != nil {
		return nil, eris.Wrap(err, "ticket cannot be written")
	}
	return b.Bytes(), nil
}

// indent is the number of spaces per level of a written ticket.
const indent = 2

// Problems returns everything that is wrong with the file, by line. found is
// the result of ticket.Check, or of ticket.CheckAlone if there is no
// configuration to compare the ticket with.
func (f *File) Problems(found []ticket.Problem) []yamldoc.Problem {
	return f.with(found).Problems()
}

// Err returns the errors among the problems as a *yamldoc.Errors, or nil.
func (f *File) Err(found []ticket.Problem) error {
	return f.with(found).Err()
}

func (f *File) with(found []ticket.Problem) *yamldoc.Document {
	doc := f.doc.Clone()
	for _, p := range found {
		if p.Warning {
			doc.AddWarning(p.Path, "%s", p.Text)
		} else {
			doc.AddError(p.Path, "%s", p.Text)
		}
	}
	return doc
}
