package fleetlink

import "github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"

// DecodesClasses reports whether the named VM decodes the class of a statement.
func (l *Links) DecodesClasses(vm string) bool {
	return l.capable(vm, func(s *fleetwire.Status) bool { return s.Classes })
}

// DecodesRanks reports whether the named VM decodes the ranks in a request for tokens.
func (l *Links) DecodesRanks(vm string) bool {
	return l.capable(vm, func(s *fleetwire.Status) bool { return s.LimitRanks })
}

// LendsConnections reports whether the named VM handles requests for loans of connections.
func (l *Links) LendsConnections(vm string) bool {
	return l.capable(vm, func(s *fleetwire.Status) bool { return s.ConnectionLoans })
}

// capable reports whether the status of the named VM has a capability. It is false for VMs
// that are not alive, and for this VM.
func (l *Links) capable(vm string, capability func(*fleetwire.Status) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.hasStatus && p.alive && p.status.Name == vm {
			return capability(&p.status)
		}
	}
	return false
}
