package fleetwire

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Status is the state that a VM sends to other VMs, on each new link and after each
// change.
type Status struct {
	Name        string            `json:"name"`
	Address     string            `json:"address"` // HOST:PORT where it accepts links from other VMs
	DataCentre  string            `json:"data_centre"`
	Weight      float64           `json:"weight"`                  // processor share in cores; VMs hold connections in proportion to it
	Incarnation int64             `json:"incarnation"`             // start time of the process, in Unix nanoseconds
	Leaving     bool              `json:"leaving,omitempty"`       // the VM is shutting down
	StoreCutOff bool              `json:"store_cut_off,omitempty"` // the VM cannot reach the store
	Unreachable []string          `json:"unreachable,omitempty"`   // IDs of backend servers that the VM cannot reach
	Revisions   map[string]uint64 `json:"revisions,omitempty"`     // latest known revision of the store's objects, by kind
	Fencing     bool              `json:"fencing,omitempty"`       // the VM handles KindFence and KindRenewal
	NoLease     bool              `json:"no_lease,omitempty"`      // the VM must not use primaries, see package fencing
	// StoreConfirmations says that the VM decodes Pong.Store.
	StoreConfirmations bool `json:"store_confirmations,omitempty"`
	// Eras has the era of the store to which each of Revisions belongs, by kind. A VM of
	// an earlier build sends none.
	Eras map[string]uint64 `json:"eras,omitempty"`
	// ConfigVersion is the version of the configuration in force at the VM. After a store
	// came back from an older copy it may be higher than that of its object in the store.
	ConfigVersion   uint64 `json:"config_version,omitempty"`
	Usage           bool   `json:"usage,omitempty"`            // the VM handles KindUsageRequest
	ConnectionLoans bool   `json:"connection_loans,omitempty"` // the VM handles KindConnectionRequest
	Classes         bool   `json:"classes,omitempty"`          // the VM decodes the class of a statement
	UnspentShares   bool   `json:"unspent_shares,omitempty"`   // the VM decodes Pong.Unspent
	LimitRanks      bool   `json:"limit_ranks,omitempty"`      // the VM decodes the ranks in a request for tokens
}

// Encode returns the status in JSON.
func (s *Status) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic("fleetwire: encode a status: " + err.Error())
	}
	return b
}

// DecodeStatus decodes the output of Status.Encode. It fails if the name or the
// address is missing.
func DecodeStatus(b []byte) (Status, error) {
	var s Status
	if err := json.Unmarshal(b, &s); err != nil {
		return s, eris.Wrap(err, "status")
	}
	if s.Name == "" || s.Address == "" {
		return s, eris.New("status without a name or address")
	}
	return s, nil
}
