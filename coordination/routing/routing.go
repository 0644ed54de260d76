// Package routing chooses the backend server for a request.
package routing

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// RampUp is the time in which the reads on a backend server that has returned to
// service grow to its full share.
const RampUp = 5 * time.Second

// Query describes a request and the conditions for its routing.
type Query struct {
	Config     *state.Config
	Group      *state.Group
	DataCentre string // of this VM
	Now        time.Time
	Read       bool
	// ReplicaAllowed is true if the session knows which point its reads must
	// cover. Otherwise reads without MaxAge go to the primary.
	ReplicaAllowed bool
	Point          state.Point   // point that the read must cover; zero is covered by every server
	MaxAge         time.Duration // maximum age of the data; zero means no limit
	Excluded       string        // backend server on which this request has just failed
	QueriedReplica string        // replica whose position was already queried for this request
	TieBreaker     uint64        // varies between requests, to spread them over equal choices
	Load           func(server string) float64
	PrimaryOnly    bool // send all reads to the primary, as a baseline for benchmarks
}

// Kind says what to do next with the request.
type Kind int

// Values of Kind.
const (
	Send          Kind = iota // send the request to Server
	QueryPosition             // query the position of Server, a replica, then choose again
	AwaitPrimary              // no usable primary is known
)

// Choice says which server to use, and how.
type Choice struct {
	Kind    Kind
	Server  string
	Primary bool   // Server is the primary of Term
	Term    uint64 // with Primary
}

// Choose returns the backend server for a request. For reads it prefers the least
// loaded replica that covers the point and is recent enough, first in the VM's data
// centre; otherwise it returns the primary.
func Choose(g *state.GroupState, q Query) Choice {
	if q.Read && !q.PrimaryOnly && (q.ReplicaAllowed || q.MaxAge > 0) {
		if c, ok := chooseReplica(g, q); ok {
			return c
		}
	}
	return choosePrimary(g, q)
}

func choosePrimary(g *state.GroupState, q Query) Choice {
	await := Choice{Kind: AwaitPrimary}
	if g.Primary == "" || g.Primary == q.Excluded || g.Term < q.Point.Term || q.Group.Server(g.Primary) == nil {
		return await
	}
	_, _, usable := g.UsablePrimary()
	if !usable && !(q.Read && g.View(g.Primary).Reachable()) {
		return await // a primary in a switchover still serves reads
	}
	return Choice{Kind: Send, Server: g.Primary, Primary: true, Term: g.Term}
}

// chooseReplica returns the choice of a replica for a read. It prefers a local
// replica, even if its position must be queried first, to a remote one.
func chooseReplica(g *state.GroupState, q Query) (Choice, bool) {
	var local, remote, toQuery *state.BackendServer
	for i := range q.Group.Servers {
		s := &q.Group.Servers[i]
		if !usableReplica(g, q, s) {
			continue
		}
		sameDC := s.DataCentre == q.DataCentre
		switch {
		case covers(g, q, s.Name) && sameDC:
			local = lessLoaded(q, local, s)
		case covers(g, q, s.Name):
			remote = lessLoaded(q, remote, s)
		case sameDC && s.Name != q.QueriedReplica:
			toQuery = lessLoaded(q, toQuery, s)
		}
	}
	switch {
	case local != nil:
		return Choice{Kind: Send, Server: local.Name}, true
	case toQuery != nil && q.QueriedReplica == "":
		return Choice{Kind: QueryPosition, Server: toQuery.Name}, true
	case remote != nil:
		return Choice{Kind: Send, Server: remote.Name}, true
	default:
		return Choice{}, false
	}
}

func usableReplica(g *state.GroupState, q Query, s *state.BackendServer) bool {
	if s.Name == g.Primary || s.Name == q.Excluded || q.Config.ServerState(s) != state.InService {
		return false
	}
	v := g.View(s.Name)
	if !v.FailedAt.IsZero() {
		return false
	}
	return admittedByRampUp(v, q)
}

// admittedByRampUp reports whether the request may use a server that may have
// returned recently. The fraction of admitted requests grows linearly over RampUp,
// because the server's caches are cold.
func admittedByRampUp(v *state.ServerView, q Query) bool {
	if v.ReturnedAt.IsZero() {
		return true
	}
	elapsed := q.Now.Sub(v.ReturnedAt)
	if elapsed >= RampUp {
		return true
	}
	const steps = 64
	return time.Duration(q.TieBreaker%steps)*RampUp/steps < elapsed
}

// covers reports whether a replica is known to cover the point and to be recent
// enough.
func covers(g *state.GroupState, q Query, server string) bool {
	v := g.View(server)
	if v.QueriedAt.IsZero() || v.Status.Role != state.Replica || !v.Status.Covers(q.Point) {
		return false
	}
	if q.MaxAge == 0 {
		return true
	}
	age, known := g.Age(server, q.Now)
	return known && age <= q.MaxAge
}

// lessLoaded returns the less loaded of two servers. best may be nil.
func lessLoaded(q Query, best, s *state.BackendServer) *state.BackendServer {
	if best == nil {
		return s
	}
	a, b := q.Load(best.Name), q.Load(s.Name)
	if b < a || b == a && q.TieBreaker%2 == 1 {
		return s
	}
	return best
}
