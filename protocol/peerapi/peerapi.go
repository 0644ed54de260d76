// Package peerapi defines the messages between VMs that are configured by tickets.
// They are JSON over HTTP. Bodies are authenticated by an HMAC with the fleet secret.
//
// A VM sends and receives about 40 messages per second within a budget of
// 21 KB/s, so sections and fields without new information are omitted.
package peerapi

import (
	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Paths of the peer interface.
const (
	PathExchange = "/v1/exchange" // request: Exchange; response: ExchangeResponse
	PathConfig   = "/v1/config"   // request: ConfigPush; response: empty object
	PathCancel   = "/v1/cancel"   // request: Cancel; response: empty object
)

// Sender identifies the sender of a message. The data centre and the address are
// omitted if the sender's configuration lists them, the state if it is
// in_service. A response omits the name, because its HMAC proves it.
type Sender struct {
	Name        string             `json:"name,omitempty"`
	Incarnation uint64             `json:"inc"`
	Sequence    uint64             `json:"seq"` // increases with each message of the incarnation
	DataCentre  string             `json:"data_centre,omitempty"`
	Address     string             `json:"address,omitempty"`
	State       state.ServiceState `json:"state,omitempty"` // service state that the process reports of itself
}

// Member is a membership entry of a VM. Fields are omitted as in Sender.
type Member struct {
	Name          string             `json:"name"`
	Incarnation   uint64             `json:"inc"`
	Sequence      uint64             `json:"seq"`
	DataCentre    string             `json:"data_centre,omitempty"`
	Address       string             `json:"address,omitempty"`
	State         state.ServiceState `json:"state,omitempty"`
	AppliedTicket uint64             `json:"applied_ticket"`
	Age           Age                `json:"age_ms"` // since a message from the VM was last received
}

// MembershipDigest summarises the sender's membership entries for the VMs that the
// configuration lists in a data centre. membership.Digest explains the fields.
type MembershipDigest struct {
	DataCentre string         `json:"dc"`
	List       uint32         `json:"list"`
	Entries    uint64         `json:"entries"`
	Ages       []byte         `json:"ages"`
	Lags       map[int]uint64 `json:"lags,omitempty"`
}

// ConfigDigest identifies the sender's configuration and says how fresh it is.
// A brief message carries only Number.
type ConfigDigest struct {
	Number       uint64 `json:"number"`
	Digest       string `json:"digest,omitempty"`           // complete with a snapshot, otherwise its first DigestPrefix characters
	Applied      uint64 `json:"applied,omitempty"`          // ticket that is fully applied; zero if none or omitted
	ConfirmedAge Age    `json:"confirmed_age_ms,omitempty"` // since the store confirmed it; zero if never or omitted
	StoreReached bool   `json:"store_reached,omitempty"`    // the sender is one of the VMs that watch the store for their data centre (relays), and reaches it
	StoreMissed  bool   `json:"store_missed,omitempty"`     // the sender finds that its data centre does not reach the store
}

// Brief reports whether the digest carries only the ticket number.
func (d ConfigDigest) Brief() bool { return d.Number > 0 && d.Digest == "" }

// DigestPrefix is the length in characters to which a digest is truncated in
// messages without a snapshot. It is long enough to detect two different tickets
// with the same number.
const DigestPrefix = 8

// GroupView announces the primary of a group.
type GroupView struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	Suspect bool   `json:"suspect,omitempty"` // the sender suspects that the primary of Term failed
}

// Exchange is the periodic message between two VMs.
type Exchange struct {
	Sender       Sender              `json:"sender"`
	Config       ConfigDigest        `json:"config"`
	WantSnapshot bool                `json:"want,omitempty"` // requests a snapshot if the receiver has a higher ticket number
	Heard        []MembershipDigest  `json:"heard,omitempty"`
	Lease        *lease.Query        `json:"lease,omitempty"`
	Agreed       uint64              `json:"agreed,omitempty"` // highest ticket known to be applied by all VMs
	Loans        []share.LoanRequest `json:"loans,omitempty"`
	Groups       []GroupView         `json:"groups,omitempty"`
	Members      []Member            `json:"members,omitempty"`
}

// ExchangeResponse is the response to an Exchange. Snapshot is set if the request
// has WantSnapshot and the responding VM has a higher ticket number. It is the
// encoded configuration, compressed with gzip.
type ExchangeResponse struct {
	Sender   Sender             `json:"sender"`
	Config   ConfigDigest       `json:"config"`
	Heard    []MembershipDigest `json:"heard,omitempty"`
	Lease    *lease.Answer      `json:"lease,omitempty"`
	Agreed   uint64             `json:"agreed,omitempty"`
	Loans    []share.LoanAnswer `json:"loans,omitempty"`
	Groups   []GroupView        `json:"groups,omitempty"`
	Members  []Member           `json:"members,omitempty"`
	Snapshot []byte             `json:"snapshot,omitempty"`
}

// ConfigPush carries a configuration from a relay. Snapshot is the encoded
// configuration, compressed with gzip.
type ConfigPush struct {
	Sender   Sender       `json:"sender"`
	Config   ConfigDigest `json:"config"`
	Snapshot []byte       `json:"snapshot"`
}

// Cancel forwards a client's cancel request to the VM that holds its session.
type Cancel struct {
	Sender  Sender `json:"sender"`
	Session uint64 `json:"session"`
	Secret  uint32 `json:"secret"`
}
