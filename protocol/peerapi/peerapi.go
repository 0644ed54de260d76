// Package peerapi defines the messages between VMs: HTTP with JSON. Bodies are
// authenticated by an HMAC with the fleet's secret.
//
// A VM sends and receives about 40 messages a second within a budget of 21 KB a
// second, so sections and fields that say nothing new are left out.
package peerapi

import (
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

// Sender says who sent a message. The data centre and the address are left out
// if the sender's configuration lists them, and the state if it is in service.
// An answer leaves out the name, which its authentication proves.
type Sender struct {
	Name        string             `json:"name,omitempty"`
	Incarnation uint64             `json:"inc"`
	Sequence    uint64             `json:"seq"` // grows with each message of the incarnation
	DataCentre  string             `json:"data_centre,omitempty"`
	Address     string             `json:"address,omitempty"`
	State       state.ServiceState `json:"state,omitempty"` // of the process
}

// Member is an entry about a VM. Fields are left out as in Sender.
type Member struct {
	Name          string             `json:"name"`
	Incarnation   uint64             `json:"inc"`
	Sequence      uint64             `json:"seq"`
	DataCentre    string             `json:"data_centre,omitempty"`
	Address       string             `json:"address,omitempty"`
	State         state.ServiceState `json:"state,omitempty"`
	AppliedTicket uint64             `json:"applied_ticket"`
	Age           Age                `json:"age_ms"` // since the VM was heard
}

// Heard summarises what the sender knows of the listed VMs of a data centre;
// membership.Digest explains the fields.
type Heard struct {
	DataCentre string         `json:"dc"`
	List       uint32         `json:"list"`
	Entries    uint64         `json:"entries"`
	Ages       []byte         `json:"ages"`
	Lags       map[int]uint64 `json:"lags,omitempty"`
}

// ConfigDigest says which configuration the sender has and how fresh it is. A
// brief message carries the number only.
type ConfigDigest struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest,omitempty"`           // whole with a snapshot, otherwise its first DigestPrefix characters
	Applied      uint64 `json:"applied,omitempty"`          // ticket that is fully applied; zero if none or not said
	ConfirmedAge Age    `json:"confirmed_age_ms,omitempty"` // since the store confirmed it; zero if it never did or not said
	StoreReached bool   `json:"store_reached,omitempty"`    // by the sender itself, as a relay
	StoreMissed  bool   `json:"store_missed,omitempty"`     // the sender's data centre does not reach the store
}

// Brief reports whether the message says no more than the number of the ticket.
func (d ConfigDigest) Brief() bool { return d.Number > 0 && d.Digest == "" }

// DigestPrefix is the length to which a digest is cut in messages without a
// snapshot. It suffices to notice two tickets with the same number.
const DigestPrefix = 8

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
	Want    bool                `json:"want,omitempty"` // asks for a snapshot if the receiver has a higher ticket number
	Heard   []Heard             `json:"heard,omitempty"`
	Lease   *lease.Query        `json:"lease,omitempty"`
	Agreed  uint64              `json:"agreed,omitempty"` // highest ticket that all VMs are known to have applied
	Loans   []share.LoanRequest `json:"loans,omitempty"`
	Groups  []GroupView         `json:"groups,omitempty"`
	Members []Member            `json:"members,omitempty"`
}

// ExchangeAnswer answers an Exchange. Snapshot is set if it was asked for and
// the answering VM has a configuration with a higher ticket number than the
// asking one. It is the encoded configuration, compressed by gzip.
type ExchangeAnswer struct {
	Sender   Sender             `json:"sender"`
	Config   ConfigDigest       `json:"config"`
	Heard    []Heard            `json:"heard,omitempty"`
	Lease    *lease.Answer      `json:"lease,omitempty"`
	Agreed   uint64             `json:"agreed,omitempty"`
	Loans    []share.LoanAnswer `json:"loans,omitempty"`
	Groups   []GroupView        `json:"groups,omitempty"`
	Members  []Member           `json:"members,omitempty"`
	Snapshot []byte             `json:"snapshot,omitempty"`
}

// ConfigPush carries a configuration from a relay. Snapshot is compressed by
// gzip.
type ConfigPush struct {
	Sender   Sender       `json:"sender"`
	Config   ConfigDigest `json:"config"`
	Snapshot []byte       `json:"snapshot"`
}

// Cancel passes a client's cancel request on to the VM that holds its session.
type Cancel struct {
	Sender  Sender `json:"sender"`
	Session uint64 `json:"session"`
	Secret  uint32 `json:"secret"`
}
