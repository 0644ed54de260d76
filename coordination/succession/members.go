package succession

import (
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Members holds the servers of a group whose logs may have acknowledged commits, also
// those that are no longer registered: the start time of each, in Unix milliseconds, by
// server ID.
type Members map[string]int64

// Registered returns the servers as members.
func Registered(servers []*catalog.Server) Members {
	m := make(Members, len(servers))
	m.Add(servers)
	return m
}

// Add adds the servers that are not members yet, and reports whether there were any.
func (m Members) Add(servers []*catalog.Server) bool {
	before := len(m)
	for _, s := range servers {
		if _, known := m[s.ID]; !known {
			m[s.ID] = s.Born
		}
	}
	return len(m) > before
}

// Match reports whether the members are exactly the servers, each since its present start.
func (m Members) Match(servers []*catalog.Server) bool {
	for _, s := range servers {
		if born, known := m[s.ID]; !known || born != s.Born {
			return false
		}
	}
	return len(m) == len(servers)
}

// HasLostLog reports whether a member that reports a log up to received has started again
// without the log that it had.
func (m Members) HasLostLog(s *catalog.Server, received state.Point) bool {
	born, known := m[s.ID]
	return known && born != s.Born && received.Position == 0
}

// Missing returns the IDs of the members that are not among the servers.
func (m Members) Missing(servers []*catalog.Server) []string {
	registered := Registered(servers)
	var missing []string
	for id := range m {
		if _, found := registered[id]; !found {
			missing = append(missing, id)
		}
	}
	return missing
}

// Cover reports whether the reported logs of syncReplicas servers go up to the point, so
// that no commit up to it is only on other replicas.
func Cover(candidates []Candidate, p state.Point, syncReplicas int) bool {
	complete := 0
	for _, c := range candidates {
		if Holds(c.Received, p) {
			complete++
		}
	}
	return complete >= syncReplicas
}
