package ticketfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// formatVersion is the version of the encodings below. A higher one is refused:
// it would be misunderstood.
const formatVersion = 1

// storedConfig is the JSON of a state.Config.
type storedConfig struct {
	Format uint64 `json:"format"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	objects
}

// storedObject is the JSON of the store's object that holds the configuration.
type storedObject struct {
	Config  json.RawMessage `json:"config"`
	Records []storedRecord  `json:"records,omitempty"`
}

type storedRecord struct {
	Number      uint64    `json:"number"`
	Digest      string    `json:"digest"`
	Operator    string    `json:"operator"`
	Reason      string    `json:"reason"`
	Time        time.Time `json:"time"`
	Changed     []string  `json:"changed,omitempty"`
	ChangedMore int       `json:"changed_more,omitempty"`
}

// EncodeConfig returns the configuration as JSON, for messages between VMs. It
// fails if the value is above storeapi.MaxValue.
func EncodeConfig(c *state.Config) ([]byte, error) {
	data, err := json.Marshal(storedConfig{
		Format: formatVersion,
		Number: c.Ticket.Number,
		Digest: c.Ticket.Digest,
		objects: objects{
			Customers:   each(c.Customers, fromCustomer),
			Groups:      each(c.Groups, fromGroup),
			Routes:      each(c.Routes, fromRoute),
			DataCentres: each(c.DataCentres, fromDataCentre),
		},
	})
	if err != nil {
		return nil, eris.Wrap(err, "configuration cannot be encoded")
	}
	return checkSize(data)
}

// EncodeObject returns the value of the store's object. It fails if the value
// is above storeapi.MaxValue.
func EncodeObject(o *ticket.Object) ([]byte, error) {
	config, err := EncodeConfig(o.Config)
	if err != nil {
		return nil, err
	}
	stored := storedObject{Config: config}
	for _, r := range o.Records {
		stored.Records = append(stored.Records, storedRecord{
			r.ID.Number, r.ID.Digest, r.Operator, r.Reason, r.Time, r.Changed, r.ChangedMore,
		})
	}
	data, err := json.Marshal(stored)
	if err != nil {
		return nil, eris.Wrap(err, "configuration cannot be encoded")
	}
	return checkSize(data)
}

func checkSize(data []byte) ([]byte, error) {
	if len(data) > storeapi.MaxValue {
		return nil, eris.Errorf("the configuration takes %d bytes; the store holds at most %d", len(data), storeapi.MaxValue)
	}
	return data, nil
}

// DecodeConfig reads what EncodeConfig wrote. Unknown fields are ignored, so
// that a VM can follow tickets written by a newer release.
func DecodeConfig(data []byte) (*state.Config, error) {
	return decodeConfig(data, false)
}

// DecodeObject reads what EncodeObject wrote. Unknown fields are ignored.
func DecodeObject(data []byte) (*ticket.Object, error) {
	return decodeObject(data, false)
}

// DecodeObjectForUpdate is DecodeObject for a caller that writes the object
// back. It refuses unknown fields, since writing would lose them.
func DecodeObjectForUpdate(data []byte) (*ticket.Object, error) {
	return decodeObject(data, true)
}

func decodeObject(data []byte, strict bool) (*ticket.Object, error) {
	var stored storedObject
	if err := unmarshal(data, &stored, strict); err != nil {
		return nil, err
	}
	config, err := decodeConfig(stored.Config, strict)
	if err != nil {
		return nil, err
	}
	o := &ticket.Object{Config: config}
	for _, r := range stored.Records {
		o.Records = append(o.Records, ticket.Record{
			ID:          state.TicketID{Number: r.Number, Digest: r.Digest},
			Operator:    r.Operator,
			Reason:      r.Reason,
			Time:        r.Time.UTC(),
			Changed:     r.Changed,
			ChangedMore: r.ChangedMore,
		})
	}
	return o, nil
}

func decodeConfig(data []byte, strict bool) (*state.Config, error) {
	var stored storedConfig
	if err := unmarshal(data, &stored, strict); err != nil {
		return nil, err
	}
	if stored.Format < 1 || stored.Format > formatVersion {
		return nil, eris.Errorf("the configuration has format %d; this release reads format %d", stored.Format, formatVersion)
	}
	var invalid error
	c := &state.Config{
		Ticket:      state.TicketID{Number: stored.Number, Digest: stored.Digest},
		Customers:   fromStored(stored.Customers, customer.toState, &invalid),
		Groups:      fromStored(stored.Groups, group.toState, &invalid),
		Routes:      fromStored(stored.Routes, route.toState, &invalid),
		DataCentres: fromStored(stored.DataCentres, dataCentre.toState, &invalid),
	}
	if invalid != nil {
		return nil, eris.Wrap(invalid, "the configuration cannot be read")
	}
	return c, nil
}

func fromStored[W, S any](objects map[string]W, toState func(W, string, failer) *S, invalid *error) map[string]*S {
	converted := make(map[string]*S, len(objects))
	for name, o := range objects {
		converted[name] = toState(o, name, func(err error, _ ...string) { *invalid = eris.Wrapf(err, "object %q", name) })
	}
	return converted
}

func unmarshal(data []byte, out any, strict bool) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(out); err != nil {
		return eris.Wrap(err, "the configuration cannot be read")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return eris.New("the configuration is followed by other data")
	}
	return nil
}
