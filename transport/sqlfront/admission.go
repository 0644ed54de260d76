package sqlfront

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/sqlsession"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// admission says how urgent an operation is.
type admission struct {
	class          statement.Class
	kind           uint16
	objectiveUntil time.Duration // reading of clock.Now; zero if the route has no objective
}

// admissionOf returns the admission of an operation that starts now, or nil if it runs in
// an open transaction, or if the configuration has one class only. The objective of a
// transaction counts from its BEGIN.
func (c *session) admissionOf(op *sqlsession.Operation, now time.Duration) *admission {
	config := c.server.Table.Current().Config
	if op.Tx.ID != 0 || !config.HasClasses() {
		return nil
	}
	a := &admission{class: statement.Class{Route: op.Route.Priority, Customer: config.CustomerPriority(op.Customer)}, kind: kindOfRoute(op.Route.Name)}
	if op.Route.TargetLatency > 0 {
		a.objectiveUntil = now + op.Route.TargetLatency
		if op.BeginsTx {
			a.objectiveUntil = c.txStartedAt + op.Route.TargetLatency
		}
	}
	return a
}

// kindOfRoute returns a short identifier of the route; see statement.Admission.
func kindOfRoute(route string) uint16 {
	h := fnv.New32a()
	h.Write([]byte(route))
	return uint16(h.Sum32())
}

// permittedWait returns how long the operation may wait before it runs.
func (a *admission) permittedWait(now, timeout, fallback time.Duration) time.Duration {
	return classqueue.PermittedWait(a.objectiveUntil-now, timeout, fallback)
}

// at returns the admission for a statement that is sent now.
func (a *admission) at(now time.Duration) *statement.Admission {
	return &statement.Admission{Class: a.class, Kind: a.kind, Objective: max(a.objectiveUntil-now, 0)}
}

// avoidPrimary prepares another attempt of a read that found too little room at its
// server. It must not take the room of operations that only the primary can run. If no
// other server is suitable, the client gets the refusal.
func (c *session) avoidPrimary(ex *execution, r statement.Result) {
	ex.refusal = &r
	c.server.Leadership.With(ex.op.Route.Group, func(g *leadership.Group) { ex.tried[g.ConfirmedPrimary()] = true })
}

// withRetryTime adds the time to retry to the text of a refusal for lack of room.
func withRetryTime(r statement.Result) statement.Result {
	if r.Answer.Code == statement.Busy && r.RetryAfter > 0 {
		r.Answer.Text += "; retry after " + strconv.FormatInt(max(r.RetryAfter.Milliseconds(), 1), 10) + " ms"
	}
	return r
}
