// Package adminapi defines the status that a VM reports to operators: HTTP with
// JSON on its admin address.
//
//	GET /v1/status             a Status
//	GET /v1/status?brief=true  a Status without the lists
//
// Tools ask every VM for the brief form, which stays small in a large fleet, and
// ask for the lists where they need them.
package adminapi

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Path and query of the status.
const (
	PathStatus = "/v1/status"
	QueryBrief = "brief" // "true" asks for the brief form
)

// Status is what a VM says of itself and of what it heard.
type Status struct {
	Name        string             `json:"name"`
	DataCentre  string             `json:"data_centre"`
	Incarnation uint64             `json:"incarnation"`
	State       state.ServiceState `json:"state"`
	Config      Config             `json:"config"`
	Sessions    Sessions           `json:"sessions"`

	// The lists below are absent from the brief form.
	VMs     []VM     `json:"vms,omitempty"`     // as listed in the ticket in force
	Members []Member `json:"members,omitempty"` // VMs heard of
	Groups  []Group  `json:"groups,omitempty"`
	Shares  []Share  `json:"shares,omitempty"`
}

// Config describes the configuration in force at the VM.
type Config struct {
	Ticket       uint64        `json:"ticket"` // zero if the VM has no configuration yet
	Digest       string        `json:"digest"`
	Applied      uint64        `json:"applied"`   // ticket that is fully applied
	Confirmed    bool          `json:"confirmed"` // the store confirmed it at some time
	Age          time.Duration `json:"age_ns"`    // since then
	StoreReached bool          `json:"store_reached"`
	StoreDown    bool          `json:"store_down"` // no VM of any data centre reaches the store
}

// Sessions counts the sessions of the VM.
type Sessions struct {
	Open          int `json:"open"`
	InTransaction int `json:"in_transaction"`
	Waiting       int `json:"waiting"` // with a request that waits for a token, a position or a connection
}

// VM is an entry of the ticket's list of VMs.
type VM struct {
	Name         string             `json:"name"`
	DataCentre   string             `json:"data_centre"`
	AdminAddress string             `json:"admin_address,omitempty"`
	State        state.ServiceState `json:"state"` // out also if the data centre is
}

// Member is what the VM heard of another one.
type Member struct {
	Name        string             `json:"name"`
	DataCentre  string             `json:"data_centre"`
	Incarnation uint64             `json:"incarnation"`
	State       state.ServiceState `json:"state"`
	Applied     uint64             `json:"applied"`
	Age         time.Duration      `json:"age_ns"` // since it was heard itself, by whichever VM
}

// Group is the VM's view of a database group.
type Group struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"` // empty if unknown
}

// Share is what the VM may spend of a customer's rate.
type Share struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`     // requests a second, with loans
	Burst    float64 `json:"burst"`    // requests, with loans
	Tokens   float64 `json:"tokens"`   // requests that can be spent now
	Lent     float64 `json:"lent"`     // requests a second
	Borrowed float64 `json:"borrowed"` // requests a second
	Demand   float64 `json:"demand"`   // requests a second asked for lately
}

// ListVMs returns the VMs of a configuration for a Status, by data centre and
// name.
func ListVMs(c *state.Config) []VM {
	var vms []VM
	for _, dc := range c.DataCentres {
		for _, vm := range dc.VMs {
			entry := VM{vm.Name, dc.Name, vm.AdminAddress, vm.State}
			if dc.State == state.Out {
				entry.State = state.Out
			}
			vms = append(vms, entry)
		}
	}
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return vms
}
