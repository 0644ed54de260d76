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

// formatVersion is the version of the encodings below. Higher versions are
// rejected, because their meaning is not known.
const formatVersion = 1

// storedConfig is the JSON encoding of a state.Config.
type storedConfig struct {
	Format uint64 `json:"format"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	objects
}

// storedObject is the JSON encoding of a ticket.Object, the value of the store's
// configuration object.
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

// EncodeConfig encodes a configuration as JSON for messages between VMs. It fails
// if the result is longer than storeapi.MaxValueBytes.
func EncodeConfig(c *state.Config) ([]byte, error) {
	data, err := json.Marshal(storedConfig{
		Format: formatVersion,
		Number: c.Ticket.Number,
		Digest: c.Ticket.Digest,
		objects: objects{
			Customers:   convertAll(c.Customers, fromCustomer),
			Groups:      convertAll(c.Groups, fromGroup),
			Routes:      convertAll(c.Routes, fromRoute),
			DataCentres: convertAll(c.DataCentres, fromDataCentre),
		},
	})
	if err != nil {
		return nil, eris.Wrap(err, "configuration cannot be encoded")
	}
	return checkSize(data)
}

// EncodeObject encodes the value of the store's configuration object. It fails if
// the result is longer than storeapi.MaxValueBytes.
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
	if len(data) > storeapi.MaxValueBytes {
		return nil, eris.Errorf("the configuration takes %d bytes; the store holds at most %d", len(data), storeapi.MaxValueBytes)
	}
	return data, nil
}

// DecodeConfig decodes the result of EncodeConfig. It ignores unknown fields, so
// that a VM can apply tickets written by a newer release.
func DecodeConfig(data []byte) (*state.Config, error) {
	return decodeConfig(data, false)
}

// DecodeObject decodes the result of EncodeObject. It ignores unknown fields.
func DecodeObject(data []byte) (*ticket.Object, error) {
	return decodeObject(data, false)
}

// DecodeObjectForUpdate is DecodeObject for callers that write the object back. It
// rejects unknown fields, because writing the object back would lose them.
func DecodeObjectForUpdate(data []byte) (*ticket.Object, error) {
	return decodeObject(data, true)
}

func decodeObject(data []byte, strict bool) (*ticket.Object, error) {
	var stored storedObject
	if err := unmarshalJSON(data, &stored, strict); err != nil {
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
	if err := unmarshalJSON(data, &stored, strict); err != nil {
		return nil, err
	}
	if stored.Format < 1 || stored.Format > formatVersion {
		return nil, eris.Errorf("the configuration has format %d; this release reads format %d", stored.Format, formatVersion)
	}
	var invalid error
	c := &state.Config{
		Ticket:      state.TicketID{Number: stored.Number, Digest: stored.Digest},
		Customers:   convertFromStore(stored.Customers, customer.toState, &invalid),
		Groups:      convertFromStore(stored.Groups, group.toState, &invalid),
		Routes:      convertFromStore(stored.Routes, route.toState, &invalid),
		DataCentres: convertFromStore(stored.DataCentres, dataCentre.toState, &invalid),
	}
	if invalid != nil {
		return nil, eris.Wrap(invalid, "the configuration cannot be read")
	}
	return c, nil
}

// convertFromStore converts objects of one kind from their JSON encoding. If some
// cannot be converted, it sets invalid to the error of one of them.
func convertFromStore[Encoded, State any](objects map[string]Encoded, toState func(Encoded, string, reportFunc) *State, invalid *error) map[string]*State {
	converted := make(map[string]*State, len(objects))
	for name, o := range objects {
		converted[name] = toState(o, name, func(err error, _ ...string) { *invalid = eris.Wrapf(err, "object %q", name) })
	}
	return converted
}

// unmarshalJSON decodes data, which must be exactly one JSON value. strict rejects
// unknown fields.
func unmarshalJSON(data []byte, out any, strict bool) error {
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
