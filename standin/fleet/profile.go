// Package fleet runs a whole fleet in one process: VMs, simulated database groups and a
// simulated store, on an in-memory network with the delays of a profile.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Profile describes a user's installation: its size, load and timing.
type Profile struct {
	Name             string
	DataCentres      []string
	BetweenDCs       time.Duration // one-way network delay
	ToClients        time.Duration // one-way network delay
	InsideDC         time.Duration // one-way network delay
	Groups           []string
	ServersPerGroup  int
	Slots            int           // statements that a backend server runs at the same time
	Connections      int           // that a backend server accepts from all VMs together
	ConnectCost      time.Duration // time in which a backend server opens a connection
	StatementCost    time.Duration // time in which a backend server runs a statement
	ReplicationDelay time.Duration // from primary to replica
	VMs              int
	Customers        []Customer
	ViewStaleness    time.Duration // staleness limit of the routes named "views-GROUP"
	Deadline         time.Duration // of requests on all routes
}

// Customer is a customer with its limit, from which benchmarks also derive its load.
type Customer struct {
	Name  string
	Rate  float64 // requests a second, over the whole fleet
	Burst float64 // requests
}

// Fes returns the profile of the Régie Municipale des Cuirs de Reliure de Fès.
func Fes() Profile {
	return Profile{
		Name:             "fes",
		DataCentres:      []string{"andalous", "karaouine", "jdid"},
		BetweenDCs:       time.Millisecond,
		ToClients:        time.Millisecond,
		InsideDC:         100 * time.Microsecond,
		Groups:           []string{"ledger-1", "ledger-2", "ledger-3"},
		ServersPerGroup:  3,
		Slots:            3,
		Connections:      20,
		ConnectCost:      10 * time.Millisecond,
		StatementCost:    2 * time.Millisecond,
		ReplicationDelay: 3 * time.Millisecond,
		VMs:              8,
		Customers:        customers("bindery", "archive"),
		ViewStaleness:    500 * time.Millisecond,
		Deadline:         3 * time.Second,
	}
}

// Peachtree returns the profile of the Peachtree Bonsai Guardians.
func Peachtree() Profile {
	return Profile{
		Name:             "peachtree",
		DataCentres:      []string{"juniper", "maple", "pine"},
		BetweenDCs:       1500 * time.Microsecond,
		ToClients:        3 * time.Millisecond,
		InsideDC:         100 * time.Microsecond,
		Groups:           []string{"boarding-1", "boarding-2", "boarding-3"},
		ServersPerGroup:  3,
		Slots:            3,
		Connections:      30,
		ConnectCost:      30 * time.Millisecond,
		StatementCost:    2 * time.Millisecond,
		ReplicationDelay: 5 * time.Millisecond,
		VMs:              8,
		Customers:        customers("frontdesk", "owners"),
		ViewStaleness:    2 * time.Second,
		Deadline:         5 * time.Second,
	}
}

// customers returns eight customers, of which the named ones have higher limits.
func customers(large ...string) []Customer {
	var all []Customer
	for _, name := range large {
		all = append(all, Customer{Name: name, Rate: 300, Burst: 60})
	}
	for i := len(all); i < 8; i++ {
		all = append(all, Customer{Name: fmt.Sprintf("member-%d", i+1), Rate: 50, Burst: 20})
	}
	return all
}

// Key returns the access key of a customer.
func Key(customer string) string { return "key-of-" + customer }

// VMName returns the name of the VM with the given number. Names count from 1, numbers
// from 0.
func VMName(i int) string { return fmt.Sprintf("vm-%d", i+1) }

// DataCentreOf returns the data centre of the VM with the given number. VMs are
// assigned to the data centres in turn.
func (p *Profile) DataCentreOf(vm int) string { return p.DataCentres[vm%len(p.DataCentres)] }

// Config returns the profile's configuration with the given ticket number.
func (p *Profile) Config(ticket uint64) *state.Config {
	c := &state.Config{
		Ticket:      state.TicketID{Number: ticket, Digest: ticketDigest(ticket)},
		Customers:   make(map[string]*state.Customer),
		Groups:      make(map[string]*state.Group),
		Routes:      make(map[string]*state.Route),
		DataCentres: make(map[string]*state.DataCentre),
	}
	for _, customer := range p.Customers {
		c.Customers[customer.Name] = p.customer(customer)
	}
	for i, dc := range p.DataCentres {
		c.DataCentres[dc] = p.dataCentre(i, dc)
	}
	for i, name := range p.Groups {
		c.Groups[name] = p.group(i, name)
		c.Routes[name] = &state.Route{Name: name, Group: name, Access: state.ReadWrite, Deadline: p.Deadline}
		views := "views-" + name
		c.Routes[views] = &state.Route{
			Name: views, Group: name, Access: state.ReadOnly, MaxStaleness: p.ViewStaleness, Deadline: p.Deadline,
		}
	}
	return c
}

// ticketDigest returns a digest in place of that of a ticket file, which fleets do not
// have.
func ticketDigest(ticket uint64) string {
	sum := sha256.Sum256([]byte(strconv.FormatUint(ticket, 10)))
	return hex.EncodeToString(sum[:])
}

func (p *Profile) customer(c Customer) *state.Customer {
	return &state.Customer{
		Name:   c.Name,
		Rate:   c.Rate,
		Burst:  c.Burst,
		Keys:   []state.Key{{ID: c.Name + "-1", Hash: sha256.Sum256([]byte(Key(c.Name)))}},
		CutOff: state.CutOffPolicy{ServeFor: 5 * time.Minute, Reason: "stock enquiries go on while a data centre is cut off"},
	}
}

func (p *Profile) dataCentre(i int, name string) *state.DataCentre {
	dc := &state.DataCentre{Name: name, Region: "region-1", State: state.InService}
	for vm := i; vm < p.VMs; vm += len(p.DataCentres) {
		dc.VMs = append(dc.VMs, state.VM{Name: VMName(vm), Address: address(vmHost(vm), peerPort), AdminAddress: address(vmHost(vm), adminPort), State: state.InService})
	}
	return dc
}

func (p *Profile) group(i int, name string) *state.Group {
	g := &state.Group{Name: name}
	for s := range p.ServersPerGroup {
		host := serverHost(i, s)
		g.Servers = append(g.Servers, state.BackendServer{
			Name:           fmt.Sprintf("%s-%c", name, 'a'+s),
			DataCentre:     p.serverDataCentre(i, s),
			Address:        address(host, postgresPort),
			ControlAddress: address(host, controlPort),
			Connections:    p.Connections,
			Slots:          p.Slots,
			State:          state.InService,
		})
	}
	return g
}

// serverDataCentre returns the data centre of a group's server. The servers of a group
// are assigned to the data centres in turn, and so are the first servers of the groups,
// which are the initial primaries.
func (p *Profile) serverDataCentre(group, server int) string {
	return p.DataCentres[(group+server)%len(p.DataCentres)]
}

// Ports of VMs and backend servers.
const (
	postgresPort = 5432 // of both, for clients and VMs respectively
	peerPort     = 7432
	controlPort  = 8432
	adminPort    = 9432
)

// Ports by which tests and benchmarks recognise control traffic.
const (
	PeerPort    = peerPort    // of VMs, for other VMs
	ControlPort = controlPort // of backend servers, for status queries
)

// vmHost returns the address of the host on which only the given VM runs.
func vmHost(vm int) string { return fmt.Sprintf("127.1.%d.%d", vm/200, vm%200+1) }

// serverHost returns the address of the host on which only the given backend server
// runs.
func serverHost(group, server int) string {
	return fmt.Sprintf("127.%d.%d.%d", 2+server, group/200, group%200+1)
}

// Hosts and zones of the store and of clients.
const (
	storeHost  = "127.100.0.1"
	clientHost = "127.101.0.1"
	clientZone = "clients"
	storeZone  = "platform"
)

func address(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
