// Package routing chooses the backend server for a request.
package routing

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// RampUp is the time over which a backend server that came back into service
// gets its full share of reads.
const RampUp = 5 * time.Second

// Query says what a request needs.
type Query struct {
	Config     *state.Config
	Group      *state.Group
	DataCentre string // of this VM
	Now        time.Time
	Read       bool
	// ReplicaAllowed says that the session knows what its reads must cover.
	// Without it, and without MaxAge, reads go to the primary.
	ReplicaAllowed bool
	Point          state.Point   // what the read must cover; zero is covered by every server
	MaxAge         time.Duration // greatest age of the data; zero is no bound
	Excluded       string        // backend server that just failed this request
	Asked          string        // replica whose position was already asked for this request
	Spread         uint64        // spreads equal choices
	Load           func(server string) float64
	PrimaryOnly    bool // baseline for measurements: all reads on the primary
}

// Kind says what to do next.
type Kind int

// Kinds of choices.
const (
	Send         Kind = iota // send the request to Server
	AskPosition              // ask for the position of Server, a replica, then choose again
	AwaitPrimary             // no usable primary is known
)

// Choice is the result of Choose.
type Choice struct {
	Kind    Kind
	Server  string
	Primary bool   // Server is the primary of Term
	Term    uint64 // with Primary
}

// Choose returns the backend server for a request: for reads the least loaded
// replica that covers the point and is recent enough, in the VM's data centre
// first; otherwise the primary.
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
		return await // a primary that hands over still serves reads
	}
	return Choice{Kind: Send, Server: g.Primary, Primary: true, Term: g.Term}
}

func chooseReplica(g *state.GroupState, q Query) (Choice, bool) {
	var near, far, ask *state.BackendServer
	for i := range q.Group.Servers {
		s := &q.Group.Servers[i]
		if !usableReplica(g, q, s) {
			continue
		}
		local := s.DataCentre == q.DataCentre
		switch {
		case covers(g, q, s.Name) && local:
			near = lessLoaded(q, near, s)
		case covers(g, q, s.Name):
			far = lessLoaded(q, far, s)
		case local && s.Name != q.Asked:
			ask = lessLoaded(q, ask, s)
		}
	}
	switch {
	case near != nil:
		return Choice{Kind: Send, Server: near.Name}, true
	case ask != nil && q.Asked == "":
		return Choice{Kind: AskPosition, Server: ask.Name}, true
	case far != nil:
		return Choice{Kind: Send, Server: far.Name}, true
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
	return admittedByRamp(v, q)
}

// admittedByRamp keeps most requests away from a server that has just come
// back, because its caches are cold.
func admittedByRamp(v *state.ServerView, q Query) bool {
	if v.ReturnsAt.IsZero() {
		return true
	}
	elapsed := q.Now.Sub(v.ReturnsAt)
	if elapsed >= RampUp {
		return true
	}
	const steps = 64
	return time.Duration(q.Spread%steps)*RampUp/steps < elapsed
}

func covers(g *state.GroupState, q Query, server string) bool {
	v := g.View(server)
	if v.AskedAt.IsZero() || v.Status.Role != state.Replica || !v.Status.Covers(q.Point) {
		return false
	}
	if q.MaxAge == 0 {
		return true
	}
	age, known := g.Age(server, q.Now)
	return known && age <= q.MaxAge
}

func lessLoaded(q Query, best, s *state.BackendServer) *state.BackendServer {
	if best == nil {
		return s
	}
	a, b := q.Load(best.Name), q.Load(s.Name)
	if b < a || b == a && q.Spread%2 == 1 {
		return s
	}
	return best
}
