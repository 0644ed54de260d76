// Package peerapi defines the messages between VMs: HTTP with JSON. Bodies are
// authenticated by an HMAC with the fleet's secret.
package peerapi

import (
	"encoding/json"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Paths of the peer interface.
const (
	PathExchange = "/v1/exchange" // an Exchange, answered by an ExchangeAnswer
	PathConfig   = "/v1/config"   // a ConfigPush, answered by an empty object
	PathCancel   = "/v1/cancel"   // a Cancel, answered by an empty object
)

// Sender says who sent a message.
type Sender struct {
	Name        string             `json:"name"`
	Incarnation uint64             `json:"incarnation"`
	Sequence    uint64             `json:"sequence"` // grows with each message of the incarnation
	DataCentre  string             `json:"data_centre"`
	Address     string             `json:"address"`
	State       state.ServiceState `json:"state"`
}

// Member is an entry of the member digest.
type Member struct {
	Name          string             `json:"name"`
	Incarnation   uint64             `json:"incarnation"`
	Sequence      uint64             `json:"sequence"`
	DataCentre    string             `json:"data_centre"`
	Address       string             `json:"address"`
	State         state.ServiceState `json:"state"`
	AppliedTicket uint64             `json:"applied_ticket"`
	Age           time.Duration      `json:"age_ns"` // since the entry was heard from the VM itself
}

// ConfigDigest says which configuration the sender has and how fresh it is.
type ConfigDigest struct {
	Number         uint64        `json:"number"`
	Digest         string        `json:"digest"`
	Applied        uint64        `json:"applied"` // ticket that is fully applied
	Confirmed      bool          `json:"confirmed"`
	ConfirmedAge   time.Duration `json:"confirmed_age_ns"` // since the store confirmed it, if Confirmed
	StoreReached   bool          `json:"store_reached"`    // by the sender itself
	StoreReachedBy bool          `json:"store_reached_by"` // by some VM of the sender's data centre
}

// GroupView announces the primary of a group.
type GroupView struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	Suspect bool   `json:"suspect,omitempty"` // the sender suspects that the primary of Term has failed
}

// Exchange is the regular message between two VMs.
type Exchange struct {
	Sender  Sender              `json:"sender"`
	Config  ConfigDigest        `json:"config"`
	Lease   *lease.Query        `json:"lease,omitempty"`
	Loans   []share.LoanRequest `json:"loans,omitempty"`
	Groups  []GroupView         `json:"groups,omitempty"`
	Members []Member            `json:"members,omitempty"`
}

// ExchangeAnswer answers an Exchange. Snapshot is set when the answering VM has
// a configuration with a higher ticket number than the asking one.
type ExchangeAnswer struct {
	Sender   Sender             `json:"sender"`
	Config   ConfigDigest       `json:"config"`
	Lease    *lease.Answer      `json:"lease,omitempty"`
	Loans    []share.LoanAnswer `json:"loans,omitempty"`
	Groups   []GroupView        `json:"groups,omitempty"`
	Members  []Member           `json:"members,omitempty"`
	Snapshot json.RawMessage    `json:"snapshot,omitempty"`
}

// ConfigPush carries a configuration from a relay.
type ConfigPush struct {
	Sender   Sender          `json:"sender"`
	Config   ConfigDigest    `json:"config"`
	Snapshot json.RawMessage `json:"snapshot"`
}

// Cancel passes a client's cancel request on to the VM that holds its session.
type Cancel struct {
	Sender  Sender `json:"sender"`
	Session uint64 `json:"session"`
	Secret  uint32 `json:"secret"`
}
