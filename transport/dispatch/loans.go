package dispatch

import (
	"slices"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

// Lending implements sqlback.Lending over the links between VMs.
type Lending struct {
	Links *fleetlink.Links
	Table *catalog.Table
}

// Lenders returns the other connection owners of the server that handle requests for loans.
func (l Lending) Lenders(server *catalog.Server) []string {
	owners := l.Links.View().ConnectionOwners(server, placement.MaxConnectionOwners(l.Table.Current().Config, server.Group))
	return slices.DeleteFunc(owners, func(vm string) bool { return !l.Links.LendsConnections(vm) })
}

// RequestConnections asks the VM to lend up to n connections to the server.
func (l Lending) RequestConnections(vm, server string, n int, done func(lent int)) bool {
	return l.Links.Call(vm, fleetwire.KindConnectionRequest, fleetwire.AppendConnectionRequest(nil, server, n), func(f fleetwire.Frame, ok bool) {
		var lent uint64
		if ok && f.Kind == fleetwire.KindConnectionGrant {
			lent, _ = fleetwire.DecodeNumber(f.Body) // zero if it cannot be decoded
		}
		done(int(lent))
	})
}
