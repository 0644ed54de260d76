package sqlsession

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// maxReadFailures is how often a read may fail on servers before the client is
// told; one server may fail what another one answers.
const maxReadFailures = 2

const (
	// hedgePart of a route's latency objective is how long a read waits for its
	// server before it runs on another one too. The rest is enough for that.
	hedgePart = 1.0 / 3
	// minHedgeDelay is longer than nearly all reads take on a server with load.
	minHedgeDelay = 50 * time.Millisecond
)

// HedgeAfter returns how long the operation may stay without an answer before it
// runs on a second server too. It reports false for what must not run twice or
// runs on one server only.
func (o *Operation) HedgeAfter() (time.Duration, bool) {
	if o.NeedsLead || o.Opens || o.Tx.ID != 0 || o.writes() {
		return 0, false
	}
	return max(time.Duration(hedgePart*float64(o.Route.TargetLatency)), minHedgeDelay), true
}

// Target is where an attempt of an operation runs.
type Target struct {
	VM     string
	Server string
	Work   statement.Work
}

// Env is what a choice depends on.
type Env struct {
	Deployment *catalog.Deployment
	Leads      *leadership.Table
	View       *placement.View
	DataCentre string
	Now        time.Duration   // reading of the clock that counts suspensions
	Tried      map[string]bool // servers that refused this operation
}

// Choose returns where to run the operation now. It reports false if nothing
// can run it at the moment.
func Choose(o *Operation, env Env) (Target, bool) {
	work := statement.Work{
		Customer: o.Customer, Group: o.Route.Group, Values: o.Values, Prepared: o.Prepared,
		Opens: o.Opens, ReadOnlyTx: o.ReadOnly, Tx: o.Tx.ID,
		Command: statement.Command{ID: o.Request.ID, Verb: o.Request.Verb, Payload: o.Request.Payload},
	}
	if o.Prepared != nil {
		work.Command.Name = o.Prepared.Name
	}
	if o.Tx.ID != 0 {
		work.Server = o.Tx.Server
		work.Proof = !o.ReadOnly
		return Target{VM: o.Tx.VM, Server: o.Tx.Server, Work: work}, true
	}
	var server *catalog.Server
	env.Leads.With(o.Route.Group, func(g *leadership.Group) {
		server = chooseServer(o, env, g, &work)
	})
	if server == nil {
		return Target{}, false
	}
	work.Server = server.ID
	vm, ok := env.View.Executor(o.Customer, server)
	return Target{VM: vm, Server: server.ID, Work: work}, ok
}

func chooseServer(o *Operation, env Env, g *leadership.Group, work *statement.Work) *catalog.Server {
	servers := env.Deployment.GroupServers(o.Route.Group)
	if !o.NeedsLead {
		if floor, ok := g.Floor(env.Now, o.Route.MaxStaleness); ok {
			need := leadership.Cover(floor, ownNeed(o))
			if s := g.Reader(env.Deployment, servers, env.DataCentre, need, env.Tried, env.Now); s != nil {
				work.Command.After = need
				return s
			}
		}
	}
	// The primary runs reads that no replica is known to be fit for. A reading
	// transaction becomes one that may write, which proves the lead.
	if !o.writes() {
		work.Proof = true
		work.ReadOnlyTx = false
	}
	var candidates []*catalog.Server
	for _, s := range servers {
		if env.Deployment.UsableAsPrimary(s, env.Now) && !env.Tried[s.ID] {
			candidates = append(candidates, s)
		}
	}
	return g.Primary(candidates, env.Now)
}

func ownNeed(o *Operation) state.Point {
	if o.Route.Consistency == catalog.ReadYourWrites {
		return o.Own
	}
	return state.Point{}
}

// Verdict says what follows an attempt.
type Verdict uint8

// Verdicts.
const (
	Tell  Verdict = iota // tell the client
	Retry                // try another server, or this one again
)

// Judge decides what follows the result of an attempt, and turns codes that
// only the fleet knows into the client's.
func (o *Operation) Judge(r *statement.Result) Verdict {
	a := &r.Answer
	if a.Code == statement.OK {
		return Tell
	}
	if o.Tx.ID != 0 {
		o.judgeInTx(a)
		return Tell
	}
	if a.Code.NotRun() {
		return Retry
	}
	switch a.Code {
	case statement.Lost:
		// Nothing of a transaction that was not committed is kept.
		if !o.writes() || o.Opens {
			return Retry
		}
		a.Code = statement.InDoubt
	case statement.Timeout:
		if o.Opens && o.Request.Verb != statement.Commit {
			a.Code = statement.Aborted
		}
	case statement.Failed:
		o.Failures++
		if !o.writes() && !o.Opens && o.Failures < maxReadFailures {
			return Retry
		}
	}
	return Tell
}

// judgeInTx turns the code of a statement in an open transaction, which any
// error ends. Only a commit that was sent can have taken effect.
func (o *Operation) judgeInTx(a *statement.Answer) {
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
