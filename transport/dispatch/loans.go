package dispatch

import (
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

// Lending implements sqlback.Lending over the links between VMs.
type Lending struct{ Links *fleetlink.Links }

// Lenders returns the cores of the server's data centre that handle requests for loans.
func (l Lending) Lenders(server *catalog.Server) []string {
	var names []string
	for _, s := range l.Links.Peers() {
		if s.ConnectionLoans && !s.Leaving && s.DataCentre == server.DataCentre {
			names = append(names, s.Name)
		}
	}
	return names
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
