// Package session is the state machine of a session and its requests: admission,
// choice of the backend server, answer, retry and outcome. It is independent of
// the wire protocol: payloads and parts of answers are opaque.
//
// A session has at most one request at a time. The caller holds the session's
// lock during each call and carries out the returned effects in order. The
// response to an effect carries the number of the request that caused it, so that
// late responses are recognised and ignored.
package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/routing"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// replicaPositionTimeout is the longest time that a read waits for a replica to
// reach the required position before it goes to the primary.
const replicaPositionTimeout = 5 * time.Millisecond

// requestCost is the number of tokens that a request takes from its customer's
// rate limit.
const requestCost = 1

// maxWriteRefusals limits how often a request is routed again because a server
// refused it as a write. After that the refusal goes to the client.
const maxWriteRefusals = 3

// Options select variants of the policy. The zero value is the normal policy; all
// others are baselines for benchmarks.
type Options struct {
	ReadsOnPrimary     bool // reads never go to a replica
	NoGroupCommit      bool // each write has its own round of status queries
	AckOnCommit        bool // writes are acknowledged once the primary has committed them; unsafe
	RetryNonIdempotent bool // requests that are not idempotent are also retried after they were sent; unsafe
}

// Decider decides on the events of all sessions of a VM.
type Decider struct {
	Tables  *state.Tables
	Options Options
}

// Login decides whether a client may open the session. It returns nil if it may,
// and the refusal otherwise.
func (d *Decider) Login(s *state.Session, now time.Time) *Outcome {
	if out := d.checkAccess(s, now); out.Kind != Answered {
		return &out
	}
	return nil
}

// StartRequest starts handling a request of the client.
func (d *Decider) StartRequest(s *state.Session, r state.Request, now time.Time) []Effect {
	resetRequest(s, r)
	out := d.checkAccess(s, now)
	if s.Ending && out.Kind == Answered {
		// The configuration allows the client again, but a transaction that was refused must
		// not go on outside of itself.
		out = Refused(KeyRefused)
	}
	if out.Kind != Answered {
		return d.refuseAccess(s, out)
	}
	d.applyReadOnlyRoute(s)
	deadlineTimer := SetTimer{Request: r.Number, At: r.Deadline}
	if s.InTransaction && (r.Class == state.ClassEnd || r.Class == state.ClassRollback) {
		return append([]Effect{deadlineTimer}, d.send(s, now)...)
	}
	return append([]Effect{deadlineTimer}, d.admit(s, now)...)
}

// applyReadOnlyRoute makes a request on a read-only route run in read-only mode, so
// that the server refuses writes. A request in a transaction keeps the mode that
// the transaction began with.
func (d *Decider) applyReadOnlyRoute(s *state.Session) {
	_, route, _ := d.lookup(s)
	if route == nil || route.Access != state.ReadOnly || s.InTransaction {
		return
	}
	switch s.Request.Class {
	case state.ClassWrite:
		s.Request.Class = state.ClassRead
	case state.ClassBegin:
		s.Request.Class = state.ClassBeginRO
	}
}

// resetRequest sets the new request and resets the fields that belong to a request.
// The connection, server and term of an open transaction are kept.
func resetRequest(s *state.Session, r state.Request) {
	s.Request = r
	s.Sent, s.Forwarded, s.MayHaveRun = false, false, false
	s.Attempts, s.WriteRefusals = 0, 0
	s.Excluded, s.PositionQueried = "", ""
	s.ReplayingBegin = false
}

// admit applies the customer's rate limit: the request proceeds if a token is
// available, and waits for one or is refused otherwise. The token is spent when
// the request is sent; in a transaction, which already holds a connection, that
// is now.
func (d *Decider) admit(s *state.Session, now time.Time) []Effect {
	if s.InTransaction {
		a := share.Acquire(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
		return d.startAdmission(s, a, now)
	}
	a := share.Admit(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
	return d.startAdmission(s, a, now)
}

// startAdmission handles the decision on an admission that was just requested. It
// asks for the limits to be processed when the tokens are expected, and when a loan
// may be needed.
func (d *Decider) startAdmission(s *state.Session, a share.Admission, now time.Time) []Effect {
	s.Phase = state.PhaseAdmission
	effects := d.applyAdmission(s, a, now)
	if a.Verdict == share.Wait {
		effects = append(effects, AdvanceLimits{At: a.Until})
	}
	if !a.Advance.IsZero() {
		effects = append(effects, AdvanceLimits{At: a.Advance})
	}
	return effects
}

// HandleAdmission handles the decision on a request that waited for a token. The
// token is returned if the request no longer waits, or if it will spend one when
// it is sent.
func (d *Decider) HandleAdmission(s *state.Session, request uint64, a share.Admission, now time.Time) []Effect {
	waits := s.Phase == state.PhaseAdmission && s.Request.Number == request
	if a.Verdict == share.Granted && !(waits && s.InTransaction) {
		share.RefundToken(d.Tables, s.Customer, requestCost)
	}
	if !waits {
		return nil
	}
	if a.Verdict == share.Granted && s.InTransaction {
		if refused := d.recheckAccess(s, now); refused != nil {
			share.RefundToken(d.Tables, s.Customer, requestCost)
			return refused
		}
	}
	return d.applyAdmission(s, a, now)
}

// applyAdmission sends or routes a request that was admitted, and refuses one that
// was not.
func (d *Decider) applyAdmission(s *state.Session, a share.Admission, now time.Time) []Effect {
	switch a.Verdict {
	case share.Wait:
		return nil
	case share.Refused:
		return d.refuse(s, d.rateRefusal(a, now))
	}
	if s.InTransaction {
		return d.send(s, now)
	}
	if group := d.groupOf(s); group != "" {
		d.Tables.Backends.WithRetries(group, func(b *state.RetryBudget) { queueing.EarnRetries(b, now) })
	}
	return d.route(s, now)
}

// rateRefusal returns the refusal of a request that got no token. It distinguishes
// a customer that exceeds its rate from a VM that may spend no tokens.
func (d *Decider) rateRefusal(a share.Admission, now time.Time) Outcome {
	if !lease.Valid(d.Tables.Lease, now) || d.Tables.Shares.Agreed() == 0 {
		return Refused(NotConfirmed)
	}
	return Outcome{Kind: NotRun, Reason: RateExceeded, RetryAfter: max(0, a.RetryAt.Sub(now))}
}

// cancelAdmission removes the session's request from those that wait for a token.
func (d *Decider) cancelAdmission(s *state.Session) {
	share.Cancel(d.Tables.Shares, waiterID(s), s.Customer)
}

// groupOf returns the database group of the session's route, or an empty name.
func (d *Decider) groupOf(s *state.Session) string {
	_, _, group := d.lookup(s)
	if group == nil {
		return ""
	}
	return group.Name
}

// lookup returns the configuration in force with the session's route and its group;
// each is nil if it does not exist.
func (d *Decider) lookup(s *state.Session) (*state.Config, *state.Route, *state.Group) {
	cfg := d.Tables.Config.Current()
	if cfg == nil {
		return nil, nil, nil
	}
	route := cfg.Routes[s.Route]
	if route == nil {
		return cfg, nil, nil
	}
	return cfg, route, cfg.Groups[route.Group]
}

// route chooses a backend server and asks for a connection to it.
func (d *Decider) route(s *state.Session, now time.Time) []Effect {
	cfg, route, group := d.lookup(s)
	switch {
	case cfg == nil:
		return d.refuse(s, Refused(NoConfiguration))
	case group == nil:
		return d.refuse(s, Refused(RouteUnknown))
	}
	q := d.routingQuery(s, cfg, route, group, now)
	var choice routing.Choice
	d.Tables.Groups.With(group.Name, func(g *state.GroupState) { choice = routing.Choose(g, q) })
	switch choice.Kind {
	case routing.QueryPosition:
		return d.awaitReplicaPosition(s, q, choice.Server, now)
	case routing.AwaitPrimary:
		return d.awaitPrimary(s, group.Name, now)
	}
	s.Phase = state.PhaseConnection
	s.Server, s.TargetsPrimary, s.Term = choice.Server, choice.Primary, choice.Term
	return []Effect{Acquire{Server: choice.Server, Waiter: d.connWaiter(s, cfg, now)}}
}

func (d *Decider) routingQuery(s *state.Session, cfg *state.Config, route *state.Route, group *state.Group, now time.Time) routing.Query {
	point, known := s.Token[group.Name]
	maxAge := s.Request.MaxStaleness
	if maxAge == 0 {
		maxAge = s.MaxStaleness
	}
	if maxAge == 0 {
		maxAge = route.MaxStaleness
	}
	return routing.Query{
		Config:         cfg,
		Group:          group,
		DataCentre:     d.Tables.Self.DataCentre,
		Now:            now,
		Read:           readOnly(s.Request.Class) && !s.ReplayingBegin,
		ReplicaAllowed: known || s.TokenSet,
		Point:          point,
		MaxAge:         maxAge,
		Excluded:       s.Excluded,
		QueriedReplica: s.PositionQueried,
		TieBreaker:     s.ID + s.Request.Number,
		Load:           d.Tables.Backends.Load,
		PrimaryOnly:    d.Options.ReadsOnPrimary,
	}
}

func (d *Decider) connWaiter(s *state.Session, cfg *state.Config, now time.Time) state.ConnWaiter {
	weight := 1.0
	if c := cfg.Customers[s.Customer]; c != nil {
		weight = c.Rate
	}
	return state.ConnWaiter{
		ID:       waiterID(s),
		Customer: s.Customer,
		Weight:   weight,
		Joined:   now,
		Deadline: s.Request.Deadline,
	}
}

// awaitReplicaPosition waits until the replica reaches the position that the read
// requires.
func (d *Decider) awaitReplicaPosition(s *state.Session, q routing.Query, server string, now time.Time) []Effect {
	s.Phase = state.PhasePosition
	s.PositionQueried = server
	return []Effect{AwaitPosition{Group: q.Group.Name, Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitCover,
		Joined:   now,
		Deadline: earlier(now.Add(replicaPositionTimeout), s.Request.Deadline),
		Server:   server,
		Point:    q.Point,
		MaxAge:   q.MaxAge,
	}}}
}

func (d *Decider) awaitPrimary(s *state.Session, group string, now time.Time) []Effect {
	s.Phase = state.PhasePosition
	return []Effect{AwaitPosition{Group: group, Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitPrimary,
		Joined:   now,
		Deadline: s.Request.Deadline,
	}}}
}

// HandleConn gives the session's request a backend connection. The connection is
// released unused if the request no longer waits for it or may no longer run, if the
// server is no longer the primary, or if no token is left.
func (d *Decider) HandleConn(s *state.Session, request uint64, server string, conn state.ConnID, now time.Time) []Effect {
	if s.Phase != state.PhaseConnection || s.Request.Number != request {
		return []Effect{Release{Server: server, Conn: conn}}
	}
	if refused := d.recheckAccess(s, now); refused != nil {
		return append([]Effect{Release{Server: server, Conn: conn}}, refused...)
	}
	if s.TargetsPrimary && !d.isPrimary(s) {
		return append([]Effect{Release{Server: server, Conn: conn}}, d.route(s, now)...)
	}
	a := share.AcquireAdmitted(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
	if a.Verdict != share.Granted {
		release := Release{Server: server, Conn: conn}
		return append([]Effect{release}, d.startAdmission(s, a, now)...)
	}
	s.Conn = conn
	effects := d.send(s, now)
	if !a.Advance.IsZero() {
		effects = append(effects, AdvanceLimits{At: a.Advance})
	}
	return effects
}

// isPrimary reports whether the chosen server is still the primary in the term in
// which it was chosen.
func (d *Decider) isPrimary(s *state.Session) bool {
	primary := false
	d.Tables.Groups.With(d.groupOf(s), func(g *state.GroupState) {
		primary = g.Primary == s.Server && g.Term == s.Term
	})
	return primary
}

// HandleConnRefused handles the refusal of a backend connection.
func (d *Decider) HandleConnRefused(s *state.Session, request uint64, reason queueing.Reason, now time.Time) []Effect {
	if s.Phase != state.PhaseConnection || s.Request.Number != request {
		return nil
	}
	if reason != queueing.Unreachable {
		return d.refuse(s, Refused(NoConnection))
	}
	s.Excluded = s.Server
	effects := []Effect{ReportFailure{Group: d.groupOf(s), Server: s.Server}}
	return append(effects, d.backoff(s, now)...)
}

// send sends the request on the session's backend connection and schedules the
// first check on the server.
func (d *Decider) send(s *state.Session, now time.Time) []Effect {
	s.Phase = state.PhaseExecuting
	s.Sent = true
	s.Answering, s.Completed, s.Superseded = false, false, false
	s.CheckedAt = time.Time{}
	s.Attempts++
	send := Send{
		Conn:     s.Conn,
		Request:  s.Request.Number,
		Payload:  s.Request.Payload,
		ReadOnly: !s.InTransaction && readOnly(s.Request.Class) && !s.ReplayingBegin,
	}
	if s.ReplayingBegin {
		send.BeginPayload = s.BeginPayload
	}
	return []Effect{send, SetTimer{Request: s.Request.Number, At: now.Add(firstCheckDelay)}}
}

// HandleSendFailed handles a connection that failed before any byte of the
// request was sent on it.
func (d *Decider) HandleSendFailed(s *state.Session, conn state.ConnID, request uint64, now time.Time) []Effect {
	if !d.isCurrent(s, conn, request) {
		return nil
	}
	s.Conn, s.Cancelled, s.Sent = 0, false, false
	if s.InTransaction {
		return d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})
	}
	return d.backoff(s, now)
}

// backoff schedules the next attempt to route the request.
func (d *Decider) backoff(s *state.Session, now time.Time) []Effect {
	s.Phase = state.PhaseBackoff
	at := now.Add(queueing.Backoff(max(s.Attempts, 1)))
	return []Effect{SetTimer{Request: s.Request.Number, At: earlier(at, s.Request.Deadline)}}
}

func readOnly(c state.Class) bool { return c == state.ClassRead || c == state.ClassBeginRO }

func waiterID(s *state.Session) state.WaiterID {
	return state.WaiterID{Session: s.ID, Request: s.Request.Number}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
