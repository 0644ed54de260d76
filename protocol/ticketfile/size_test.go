package ticketfile

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/ticket"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Sizes of the design target. It does not include a number of customers; the test
// assumes 200 with 2 keys each.
const (
	targetGroups      = 800
	targetVMs         = 490
	targetDataCentres = 10
	targetCustomers   = 200
)

// designTargetObject returns an object with a configuration of the design target's
// size and the maximum number of records.
func designTargetObject() *ticket.Object {
	c := ticket.EmptyConfig()
	c.Ticket = state.TicketID{Number: 518300, Digest: strings.Repeat("d", 64)}
	dcName := func(i int) string { return fmt.Sprintf("region-%d-dc-%02d", i%3, i%targetDataCentres) }
	for i := range targetDataCentres {
		c.DataCentres[dcName(i)] = &state.DataCentre{Name: dcName(i), Region: fmt.Sprintf("region-%d", i%3), State: state.InService}
	}
	for i := range targetVMs {
		dc := c.DataCentres[dcName(i%targetDataCentres)]
		ip := fmt.Sprintf("10.%d.100.%d", i%targetDataCentres, i/targetDataCentres)
		dc.VMs = append(dc.VMs, state.VM{Name: fmt.Sprintf("%s-vm-%03d", dc.Name, i), Address: ip + ":7000", AdminAddress: ip + ":7001", State: state.InService})
	}
	for i := range targetGroups {
		name := fmt.Sprintf("ledger-%03d", i)
		g := &state.Group{Name: name}
		for j := range 3 {
			ip := fmt.Sprintf("10.%d.%d.%d", (i+j)%targetDataCentres, j, i%250)
			g.Servers = append(g.Servers, state.BackendServer{Name: fmt.Sprintf("%s-%c", name, 'a'+j), DataCentre: dcName((i + j) % targetDataCentres),
				Address: ip + ":5432", ControlAddress: ip + ":9432", Connections: 300, Slots: 16, State: state.InService})
		}
		c.Groups[name] = g
		c.Routes[name] = &state.Route{Name: name, Group: name, Access: state.ReadWrite, Deadline: 5 * time.Second}
	}
	for i := range targetCustomers {
		name := fmt.Sprintf("customer-%03d", i)
		c.Customers[name] = &state.Customer{Name: name, Rate: 3000, Burst: 6000, Keys: []state.Key{
			{ID: "2026-11", Hash: sha256.Sum256([]byte(name + "new"))}, {ID: "2026-05", Hash: sha256.Sum256([]byte(name + "old")), Revoked: true}},
			CutOff: state.CutOffPolicy{ServeFor: 10 * time.Minute, Reason: "Reservations must not stop for a short outage of the platform."}}
	}
	o := &ticket.Object{Config: c}
	for i := range uint64(ticket.MaxRecords) {
		r := ticket.Record{ID: state.TicketID{Number: 518201 + i, Digest: strings.Repeat("e", 64)}, Operator: "operator-on-duty",
			Reason: "Moves the VMs of a rack out of service for a change of its switch.", Time: time.Unix(int64(i), 0).UTC(), ChangedMore: 30}
		for j := range ticket.MaxChanged {
			r.Changed = append(r.Changed, fmt.Sprintf("groups/ledger-%03d", j))
		}
		o.Records = append(o.Records, r)
	}
	return o
}

// Guards against an encoding that exceeds the store's size limit at a fleet size
// within the design target.
func TestDesignTargetFitsStore(t *testing.T) {
	o := designTargetObject()
	object, err := EncodeObject(o)
	if err != nil {
		t.Fatal(err)
	}
	config, err := EncodeConfig(o.Config)
	if err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(config); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	t.Logf("object %d bytes of %d, configuration %d bytes, with gzip %d bytes", len(object), storeapi.MaxValueBytes, len(config), compressed.Len())
}
