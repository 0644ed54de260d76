// Package ticketfile encodes and decodes tickets and configurations: tickets as
// YAML files that operators keep under version control, configurations as JSON in
// the store and in messages between VMs.
//
// An example of a ticket:
//
//	ticket: 42
//	operator: amina
//	reason: New key for the bindery on Rue Talaa, the old one is revoked.
//	customers:
//	  talaa:
//	    rate: 200          # requests per second
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
// groups, routes and data_centres have the same form. A ticket contains the
// complete new state of each object that it names; other objects are unchanged.
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

// ticketDocument is the YAML encoding of a ticket. The digest is computed from its
// JSON encoding, so the order of the fields must not change.
type ticketDocument struct {
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

// File is a ticket read from a file, with the problems found in it.
type File struct {
	Name   string
	Ticket *ticket.Ticket
	doc    *yamldoc.Document
}

// Parse decodes a ticket. It always returns a File, whose Problems and Err report
// what is wrong with it. name is the file name in messages.
func Parse(name string, data []byte) *File {
	var decoded ticketDocument
	doc := yamldoc.Decode(name, data, &decoded)
	t := &ticket.Ticket{
		ID:          state.TicketID{Number: decoded.Ticket},
		Operator:    decoded.Operator,
		Reason:      decoded.Reason,
		Customers:   convertFromFile(decoded.Customers, customer.toState, doc, ticket.Customers),
		Groups:      convertFromFile(decoded.Groups, group.toState, doc, ticket.Groups),
		Routes:      convertFromFile(decoded.Routes, route.toState, doc, ticket.Routes),
		DataCentres: convertFromFile(decoded.DataCentres, dataCentre.toState, doc, ticket.DataCentres),
		Remove:      decoded.Remove.toTicket(),
	}
	t.ID.Digest = digest(t)
	return &File{Name: name, Ticket: t, doc: doc}
}

// convertFromFile converts objects of one kind from their YAML encoding. Values
// that cannot be converted are recorded in the document.
func convertFromFile[Encoded, State any](objects map[string]Encoded, toState func(Encoded, string, reportFunc) *State, doc *yamldoc.Document, kind ticket.Kind) map[string]*State {
	converted := make(map[string]*State, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		converted[name] = toState(objects[name], name, func(err error, path ...string) {
			doc.AddInvalid(append(yamldoc.Path{string(kind), name}, path...), "%v", err)
		})
	}
	return converted
}

// digest returns the SHA-256 hash of a ticket's content in hexadecimal. It does not
// depend on the layout of the file or the order of its objects.
func digest(t *ticket.Ticket) string {
	data, err := json.Marshal(fromTicket(t))
	if err != nil {
		return "" // JSON cannot encode an infinite rate or NaN; validation rejects both
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func fromTicket(t *ticket.Ticket) ticketDocument {
	return ticketDocument{
		Ticket:   t.ID.Number,
		Operator: t.Operator,
		Reason:   t.Reason,
		objects: objects{
			Customers:   convertAll(t.Customers, fromCustomer),
			Groups:      convertAll(t.Groups, fromGroup),
			Routes:      convertAll(t.Routes, fromRoute),
			DataCentres: convertAll(t.DataCentres, fromDataCentre),
		},
		Remove: removals{
			Customers:   slices.Sorted(slices.Values(t.Remove[ticket.Customers])),
			Groups:      slices.Sorted(slices.Values(t.Remove[ticket.Groups])),
			Routes:      slices.Sorted(slices.Values(t.Remove[ticket.Routes])),
			DataCentres: slices.Sorted(slices.Values(t.Remove[ticket.DataCentres])),
		},
	}
}

// convertAll converts objects of one kind to their encoding.
func convertAll[State, Encoded any](objects map[string]*State, from func(*State) Encoded) map[string]Encoded {
	converted := make(map[string]Encoded, len(objects))
	for name, o := range objects {
		converted[name] = from(o)
	}
	return converted
}

// Format encodes a ticket as a YAML file that Parse decodes to the same ticket.
func Format(t *ticket.Ticket) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(indentSpaces)
	if err := e.Encode(fromTicket(t)); err != nil {
		return nil, eris.Wrap(err, "ticket cannot be written")
	}
	return b.Bytes(), nil
}

// indentSpaces is the indentation per level in files written by Format.
const indentSpaces = 2

// Problems returns the problems of the file, ordered by line: those found while
// decoding it and the given ones. found is the result of ticket.Check, or of
// ticket.CheckStandalone if there is no configuration to compare the ticket with.
func (f *File) Problems(found []ticket.Problem) []yamldoc.Problem {
	return f.withProblems(found).Problems()
}

// Err returns the errors among the Problems as a *yamldoc.Errors. It returns nil if
// there are none; warnings do not count.
func (f *File) Err(found []ticket.Problem) error {
	return f.withProblems(found).Err()
}

// withProblems returns a copy of the document to which the problems are added.
func (f *File) withProblems(found []ticket.Problem) *yamldoc.Document {
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
