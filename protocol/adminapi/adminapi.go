// Package adminapi defines the status that a VM reports to operators, as JSON
// over HTTP on its admin address.
//
//	GET /v1/status             a Status
//	GET /v1/status?brief=true  a Status without the lists
//
// The brief form does not grow with the fleet. Tools request it from every VM
// and request the lists only from the VMs where they need them.
package adminapi

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Path and query parameter of the status.
const (
	PathStatus = "/v1/status"
	QueryBrief = "brief" // "true" requests the brief form
)

// Status is a VM's report on itself and on its view of the fleet.
type Status struct {
	Name        string             `json:"name"`
	DataCentre  string             `json:"data_centre"`
	Incarnation uint64             `json:"incarnation"`
	State       state.ServiceState `json:"state"`
	Config      Config             `json:"config"`
	Sessions    Sessions           `json:"sessions"`

	// The brief form omits the lists below.
	VMs     []VM     `json:"vms,omitempty"`     // VMs in the configuration in force
	Members []Member `json:"members,omitempty"` // VMs known from messages between VMs
	Groups  []Group  `json:"groups,omitempty"`
	Shares  []Share  `json:"shares,omitempty"`
}

// Config describes the configuration in force at the VM.
type Config struct {
	Ticket       uint64        `json:"ticket"` // zero if the VM has no configuration yet
	Digest       string        `json:"digest"`
	Applied      uint64        `json:"applied"`   // highest ticket that is fully applied
	Confirmed    bool          `json:"confirmed"` // the store has confirmed the configuration at least once
	Age          time.Duration `json:"age_ns"`    // since the last confirmation
	StoreReached bool          `json:"store_reached"`
	StoreDown    bool          `json:"store_down"` // no VM of any data centre reaches the store
}

// Sessions counts the sessions of the VM.
type Sessions struct {
	Open          int `json:"open"`
	InTransaction int `json:"in_transaction"`
	Waiting       int `json:"waiting"` // with a request that waits for a rate token, a log position or a connection
}

// VM is a VM listed in the configuration.
type VM struct {
	Name         string             `json:"name"`
	DataCentre   string             `json:"data_centre"`
	AdminAddress string             `json:"admin_address,omitempty"`
	State        state.ServiceState `json:"state"` // also out if its data centre is out
}

// Member is the latest information that the VM has on another VM.
type Member struct {
	Name        string             `json:"name"`
	DataCentre  string             `json:"data_centre"`
	Incarnation uint64             `json:"incarnation"`
	State       state.ServiceState `json:"state"`
	Applied     uint64             `json:"applied"` // highest ticket that is fully applied
	Age         time.Duration      `json:"age_ns"`  // since any VM last received a message from it
}

// Group is the VM's view of a database group.
type Group struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"` // empty if unknown
}

// Share is the part of a customer's rate limit that the VM may use.
type Share struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`     // requests per second, including loans
	Burst    float64 `json:"burst"`    // requests, including loans
	Tokens   float64 `json:"tokens"`   // requests available now
	Lent     float64 `json:"lent"`     // requests per second
	Borrowed float64 `json:"borrowed"` // requests per second
	Demand   float64 `json:"demand"`   // recent demand in requests per second
}

// ListVMs returns the VMs of a configuration, sorted by data centre and name.
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
