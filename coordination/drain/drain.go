// Package drain decides when a VM takes work, and how fast a returned backend
// server gets its share.
package drain

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// VMState returns the state of the named VM with its data centre taken into
// account. A VM that the configuration does not list is in service: tickets may
// add it after it has started.
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

// TakesWork reports whether a VM in the given state opens sessions and runs
// requests of sessions without a transaction.
func TakesWork(s state.ServiceState) bool { return s == state.InService }

// Returned lists the backend servers that are in service under next and were
// not under prev. The first configuration of a VM returns none, because it says
// nothing of how long a server has been in service.
func Returned(prev, next *state.Config) []Server {
	if prev == nil || next == nil {
		return nil
	}
	var back []Server
	for name, g := range next.Groups {
		for i := range g.Servers {
			s := &g.Servers[i]
			if next.ServerState(s) == state.InService && !wasInService(prev, name, s.Name) {
				back = append(back, Server{Group: name, Name: s.Name})
			}
		}
	}
	return back
}

// Server names a backend server of a group.
type Server struct{ Group, Name string }

func wasInService(c *state.Config, group, server string) bool {
	g := c.Groups[group]
	if g == nil {
		return false
	}
	s := g.Server(server)
	return s != nil && c.ServerState(s) == state.InService
}

// warmSteps is the number of steps in which connections are opened ahead of
// their use.
const warmSteps = 4

// WarmTarget returns how many connections a VM should hold open, elapsed after
// it began to warm up, so that the fleet's VMs do not open theirs at once.
// spread is between 0 and 1 and differs between VMs.
func WarmTarget(limit int, elapsed, over time.Duration, spread float64) int {
	if over <= 0 || elapsed >= over {
		return limit
	}
	progress := float64(elapsed)/float64(over) - spread/warmSteps
	return max(0, int(progress*float64(limit)))
}
