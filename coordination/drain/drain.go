// Package drain decides whether a VM accepts work, and how quickly connections
// to a backend server are opened after it returns to service.
package drain

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// VMState returns the effective state of the named VM: that of its data centre
// unless the data centre is in service, and its own otherwise. A VM that the
// configuration does not list counts as in service, because a ticket may add it
// after it has started.
func VMState(c *state.Config, name, dataCentre string) state.ServiceState {
	if c == nil {
		return state.InService
	}
	if dc := c.DataCentres[dataCentre]; dc != nil && dc.State != state.InService {
		return dc.State
	}
	vm, _ := c.VM(name)
	if vm == nil {
		return state.InService
	}
	return vm.State
}

// AcceptsWork reports whether a VM in the given state accepts new sessions, and
// new requests of sessions without an open transaction.
func AcceptsWork(s state.ServiceState) bool { return s == state.InService }

// ReturnedServers lists the backend servers that are in service under next and were
// not under prev. It lists none for the first configuration of a VM, which does
// not tell how long a server has been in service.
func ReturnedServers(prev, next *state.Config) []Server {
	if prev == nil || next == nil {
		return nil
	}
	var returned []Server
	for name, g := range next.Groups {
		for i := range g.Servers {
			s := &g.Servers[i]
			if next.ServerState(s) == state.InService && !wasInService(prev, name, s.Name) {
				returned = append(returned, Server{Group: name, Name: s.Name})
			}
		}
	}
	return returned
}

// Server identifies a backend server within its group.
type Server struct{ Group, Name string }

func wasInService(c *state.Config, group, server string) bool {
	g := c.Groups[group]
	if g == nil {
		return false
	}
	s := g.Server(server)
	return s != nil && c.ServerState(s) == state.InService
}

// warmUpStaggerDivisor sets the part of the warm-up period, one quarter, over
// which VMs spread their start.
const warmUpStaggerDivisor = 4

// WarmTarget returns how many connections to a server a VM should hold open when
// the given part of the warm-up period has elapsed. The number grows linearly to
// the limit. stagger lies between 0 and 1 and differs between VMs, which delays
// them by different times so that they do not all connect at once.
func WarmTarget(limit int, elapsed, period time.Duration, stagger float64) int {
	if period <= 0 || elapsed >= period {
		return limit
	}
	progress := float64(elapsed)/float64(period) - stagger/warmUpStaggerDivisor
	return max(0, int(progress*float64(limit)))
}
