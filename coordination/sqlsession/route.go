package sqlsession

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// maxReadFailures is the number of failed runs of a read after which the error goes
// to the client. A read that fails on one server may succeed on another.
const maxReadFailures = 2

const (
	// hedgeFraction is the fraction of the route's latency objective after which a
	// read without an answer is also sent to another server. The rest of the
	// objective is enough for that server to answer.
	hedgeFraction = 1.0 / 3
	// minHedgeDelay is longer than nearly all reads take on a server under load.
	minHedgeDelay = 50 * time.Millisecond
)

// HedgeAfter returns the time after which an operation without an answer is also
// sent to a second server. It reports false if the operation must not run twice or
// can run on one server only.
func (o *Operation) HedgeAfter() (time.Duration, bool) {
	if o.NeedsPrimary || o.BeginsTx || o.Tx.ID != 0 || o.writes() {
		return 0, false
	}
	return max(time.Duration(hedgeFraction*float64(o.Route.TargetLatency)), minHedgeDelay), true
}

// Target is the VM and backend server that run an attempt of an operation, and the
// statement to send.
type Target struct {
	VM        string
	Server    string
	Statement statement.RemoteStatement
}

// Env holds the state of the fleet that a choice depends on.
type Env struct {
	Deployment *catalog.Deployment
	Leadership *leadership.Table
	View       *placement.View
	DataCentre string
	Now        time.Duration   // reading of the clock that keeps running while the host is suspended
	Tried      map[string]bool // servers to avoid: they failed or refused this operation, or are still running it
}

// Choose returns the target for the next attempt of the operation. It reports false
// if no server can run it at the moment.
func Choose(o *Operation, env Env) (Target, bool) {
	stmt := statement.RemoteStatement{
		Customer: o.Customer, Group: o.Route.Group, Values: o.Values, Prepared: o.Prepared,
		BeginsTx: o.BeginsTx, ReadOnlyTx: o.ReadOnly, Tx: o.Tx.ID,
		Command: statement.Command{ID: o.Request.ID, Verb: o.Request.Verb, Payload: o.Request.Payload},
	}
	if o.Prepared != nil {
		stmt.Command.Name = o.Prepared.Name
	}
	if o.Tx.ID != 0 {
		stmt.Server = o.Tx.Server
		stmt.RequirePrimary = !o.ReadOnly
		return Target{VM: o.Tx.VM, Server: o.Tx.Server, Statement: stmt}, true
	}
	var server *catalog.Server
	env.Leadership.With(o.Route.Group, func(g *leadership.Group) {
		server = chooseServer(o, env, g, &stmt)
	})
	if server == nil {
		return Target{}, false
	}
	stmt.Server = server.ID
	vm, ok := env.View.ConnectionOwner(o.Customer, server, placement.MaxConnectionOwners(env.Deployment.Config, server.Group))
	return Target{VM: vm, Server: server.ID, Statement: stmt}, ok
}

// chooseServer returns a replica that is recent enough for the read, or else the
// primary, or nil. It completes the statement for the server that it returns.
func chooseServer(o *Operation, env Env, g *leadership.Group, stmt *statement.RemoteStatement) *catalog.Server {
	servers := env.Deployment.GroupServers(o.Route.Group)
	if !o.NeedsPrimary {
		if minPoint, ok := g.MinReadPoint(env.Now, o.Route.MaxStaleness); ok {
			need := leadership.MaxPoint(minPoint, ownPosition(o))
			if s := g.Reader(env.Deployment, servers, env.DataCentre, need, env.Tried, env.Now); s != nil {
				stmt.Command.After = need
				return s
			}
		}
	}
	// The primary runs reads for which no suitable replica is known. A read-only
	// transaction becomes a read-write one, which confirms that the server is still the
	// primary of the group.
	if !o.writes() {
		stmt.RequirePrimary = true
		stmt.ReadOnlyTx = false
	}
	var candidates []*catalog.Server
	for _, s := range servers {
		if env.Deployment.UsableAsPrimary(s, env.Now) && !env.Tried[s.ID] {
			candidates = append(candidates, s)
		}
	}
	return g.Primary(candidates, env.Now)
}

// ownPosition returns the position of the session's own writes that a read must
// see. It is zero unless the route has consistency ReadYourWrites.
func ownPosition(o *Operation) state.Point {
	if o.Route.Consistency == catalog.ReadYourWrites {
		return o.LastWrite
	}
	return state.Point{}
}

// Verdict says how to continue after an attempt.
type Verdict uint8

// Values of Verdict.
const (
	Answer Verdict = iota // send the answer to the client
	Retry                 // run the operation again, on the same or another server
)

// HandleResult decides how to continue after the result of an attempt. If the
// answer goes to the client, it replaces codes that are internal to the fleet.
func (o *Operation) HandleResult(r *statement.Result) Verdict {
	a := &r.Answer
	if a.Code == statement.OK {
		return Answer
	}
	if o.Tx.ID != 0 {
		o.replaceCodeInTx(a)
		return Answer
	}
	if r.RetryAfter > 0 {
		// Another replica may have room. The primary is not tried again: the client is told
		// when to retry, which costs nothing until then.
		if o.NeedsPrimary || o.Refused {
			return Answer
		}
		o.Refused = true
		return Retry
	}
	if a.Code.NotRun() {
		return Retry
	}
	switch a.Code {
	case statement.Lost:
		// A transaction that was not committed has no lasting effect.
		if !o.writes() || o.BeginsTx {
			return Retry
		}
		a.Code = statement.InDoubt
	case statement.Timeout:
		if o.BeginsTx && o.Request.Verb != statement.Commit {
			a.Code = statement.Aborted
		}
	case statement.Failed:
		o.Failures++
		if !o.writes() && !o.BeginsTx && o.Failures < maxReadFailures {
			return Retry
		}
	}
	return Answer
}

// replaceCodeInTx replaces the code of a statement that failed in an open
// transaction by the code that the client receives. Any error ends the transaction, and only a commit that was sent can
// have taken effect.
func (o *Operation) replaceCodeInTx(a *statement.Answer) {
	switch a.Code {
	case statement.Busy, statement.Failed, statement.Aborted:
	case statement.Unreachable, statement.Down, statement.UnknownStatement, statement.ReadOnly, statement.Lagging,
		statement.WrongServer, statement.ConnectionLimit:
		a.Code = statement.Aborted
	case statement.Lost, statement.Timeout:
		a.Code = statement.Aborted
		if o.Request.Verb == statement.Commit && !o.ReadOnly {
			a.Code = statement.InDoubt
		}
	}
}
