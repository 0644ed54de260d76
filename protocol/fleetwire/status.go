package fleetwire

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Status is what a VM says of itself, on each new link and after each change.
type Status struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"` // where it accepts links
	DataCentre  string            `json:"data_centre"`
	Weight      float64           `json:"weight"`      // processor share
	Incarnation int64             `json:"incarnation"` // start of the process, Unix nanoseconds
	Leaving     bool              `json:"leaving,omitempty"`
	StoreCutOff bool              `json:"store_cut_off,omitempty"`
	Unreachable []string          `json:"unreachable,omitempty"` // backend servers
	Revisions   map[string]uint64 `json:"revisions,omitempty"`   // of what it knows from the store, by kind
}

// Encode returns the encoded status.
func (s *Status) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic("fleetwire: a status cannot be encoded: " + err.Error())
	}
	return b
}

// DecodeStatus decodes what Encode returned.
func DecodeStatus(b []byte) (Status, error) {
	var s Status
	if err := json.Unmarshal(b, &s); err != nil {
		return s, eris.Wrap(err, "status")
	}
	if s.Name == "" || s.Address == "" {
		return s, eris.New("status without name or address")
	}
	return s, nil
}
