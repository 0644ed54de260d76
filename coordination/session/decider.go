// Package session decides the life of one session and its requests: admission,
// choice of the backend server, answer, retry and outcome. It knows nothing of
// the wire protocol: payloads and parts of answers are opaque.
//
// A session has at most one request at a time. The caller holds the session's
// lock during each call and carries out the returned effects in order. Every
// answer to an effect names the request that asked for it; answers that come
// late are recognised by that and change nothing.
package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/routing"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// coverWait is the longest time that a read waits for a replica to reach the
// position that it must cover before it goes to the primary.
const coverWait = 5 * time.Millisecond

// requestCost is the number of tokens that a request takes from its customer's
// limit.
const requestCost = 1

// maxWriteRefusals bounds how often a request is routed again because the
// server refused it as a write; after that its answer goes to the client.
const maxWriteRefusals = 3

// Options choose between variants of the policy. All but the zero value are
// baselines for measurements.
type Options struct {
	ReadsOnPrimary bool // no read goes to a replica
	NoGroupCommit  bool // every write has a position round of its own
	AckOnCommit    bool // writes are acknowledged when the primary has committed; unsafe
	RetryAnything  bool // requests that must not be repeated are retried after they were sent; unsafe
}

// Decider makes the decisions for all sessions of a VM.
type Decider struct {
	Tables  *state.Tables
	Options Options
}

// Login decides whether a client may open the session. It returns the refusal,
// or nil.
func (d *Decider) Login(s *state.Session, now time.Time) *Outcome {
	if out := d.access(s, now); out.Kind != Answered {
		return &out
	}
	return nil
}

// access decides whether the session may run a request now, and notes the
// customer whose limit it counts against.
func (d *Decider) access(s *state.Session, now time.Time) Outcome {
	out := access.Check(d.Tables.Config.Current(), d.Tables.Config.Freshness(), now, access.Request{
		Customer: s.Login,
		Route:    s.Route,
		Key:      s.Key,
		HasKey:   s.HasKey,
	})
	if out.Allowed() {
		s.Customer = out.Customer
		return Outcome{Kind: Answered}
	}
	return Refused(accessReasons[out.Reason])
}

var accessReasons = map[access.Reason]Reason{
	access.UnknownCustomer: KeyRefused,
	access.WrongKey:        KeyRefused,
	access.RevokedKey:      KeyRefused,
	access.RouteNotAllowed: RouteRefused,
	access.UnknownRoute:    RouteUnknown,
	access.CutOff:          CutOff,
	access.NoConfiguration: NoConfiguration,
}

// Arrive starts a request.
func (d *Decider) Arrive(s *state.Session, r state.Request, now time.Time) []Effect {
	begin(s, r)
	if out := d.access(s, now); out.Kind != Answered {
		return d.refuseAccess(s, out)
	}
	d.restrict(s)
	wake := Wake{Request: r.Number, At: r.Deadline}
	if s.InTransaction && (r.Class == state.ClassEnd || r.Class == state.ClassRollback) {
		return append([]Effect{wake}, d.send(s, now)...)
	}
	return append([]Effect{wake}, d.admit(s, now)...)
}

// restrict makes a request on a read-only route run in read-only mode, so that
// the server refuses it if it writes. A transaction has the mode of its BEGIN.
func (d *Decider) restrict(s *state.Session) {
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

// begin resets the per-request fields. The connection, the server and the term
// of a running transaction stay.
func begin(s *state.Session, r state.Request) {
	s.Request = r
	s.Sent, s.Forwarded, s.MayHaveRun = false, false, false
	s.Attempts, s.Refusals = 0, 0
	s.Excluded, s.CoverAsked = "", ""
	s.Reopening = false
}

// refuseAccess refuses a request whose session may not run it. The session is
// closed if its key was refused, or if it could not end its transaction.
func (d *Decider) refuseAccess(s *state.Session, out Outcome) []Effect {
	if out.Reason == KeyRefused || s.InTransaction {
		return d.close(s, out)
	}
	return d.refuse(s, out)
}

// admit lets the request pass if its customer's limit has a token, or makes it
// wait for one. The token is spent when the request is sent; inside a
// transaction that is now.
func (d *Decider) admit(s *state.Session, now time.Time) []Effect {
	if s.InTransaction {
		a := share.Take(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
		return d.afterAdmission(s, a, now)
	}
	a := share.Admit(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
	return d.afterAdmission(s, a, now)
}

// afterAdmission carries out an admission that was just asked for.
func (d *Decider) afterAdmission(s *state.Session, a share.Admission, now time.Time) []Effect {
	s.Phase = state.PhaseAdmission
	effects := d.admitted(s, a, now)
	if a.Verdict == share.Wait {
		effects = append(effects, AdvanceLimits{At: a.Until})
	}
	if !a.Advance.IsZero() {
		effects = append(effects, AdvanceLimits{At: a.Advance})
	}
	return effects
}

// Admitted takes the decision on a request that waited for a token.
func (d *Decider) Admitted(s *state.Session, request uint64, a share.Admission, now time.Time) []Effect {
	waits := s.Phase == state.PhaseAdmission && s.Request.Number == request
	if a.Verdict == share.Granted && !(waits && s.InTransaction) {
		share.GiveBack(d.Tables, s.Customer, requestCost)
	}
	if !waits {
		return nil
	}
	return d.admitted(s, a, now)
}

func (d *Decider) admitted(s *state.Session, a share.Admission, now time.Time) []Effect {
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
		d.Tables.Backends.WithRetries(group, func(b *state.RetryBudget) { queueing.Earn(b, now) })
	}
	return d.route(s, now)
}

// rateRefusal tells a customer that is over its rate from a VM that may spend
// nothing.
func (d *Decider) rateRefusal(a share.Admission, now time.Time) Outcome {
	if !lease.Valid(d.Tables.Lease, now) || d.Tables.Shares.Agreed() == 0 {
		return Refused(NotConfirmed)
	}
	return Outcome{Kind: NotRun, Reason: RateExceeded, RetryAfter: max(0, a.RetryAt.Sub(now))}
}

// leaveAdmission forgets the session's request among those that wait for a
// token.
func (d *Decider) leaveAdmission(s *state.Session) {
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
	q := d.query(s, cfg, route, group, now)
	var choice routing.Choice
	d.Tables.Groups.With(group.Name, func(g *state.GroupState) { choice = routing.Choose(g, q) })
	switch choice.Kind {
	case routing.AskPosition:
		return d.awaitCover(s, q, choice.Server, now)
	case routing.AwaitPrimary:
		return d.awaitPrimary(s, group.Name, now)
	}
	s.Phase = state.PhaseConnection
	s.Server, s.TargetsPrimary, s.Term = choice.Server, choice.Primary, choice.Term
	return []Effect{Acquire{Server: choice.Server, Waiter: d.connWaiter(s, cfg, now)}}
}

func (d *Decider) query(s *state.Session, cfg *state.Config, route *state.Route, group *state.Group, now time.Time) routing.Query {
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
		Read:           readOnly(s.Request.Class) && !s.Reopening,
		ReplicaAllowed: known || s.TokenSet,
		Point:          point,
		MaxAge:         maxAge,
		Excluded:       s.Excluded,
		Asked:          s.CoverAsked,
		Spread:         s.ID + s.Request.Number,
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

func (d *Decider) awaitCover(s *state.Session, q routing.Query, server string, now time.Time) []Effect {
	s.Phase = state.PhasePosition
	s.CoverAsked = server
	return []Effect{Await{Group: q.Group.Name, Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitCover,
		Joined:   now,
		Deadline: earlier(now.Add(coverWait), s.Request.Deadline),
		Server:   server,
		Point:    q.Point,
		MaxAge:   q.MaxAge,
	}}}
}

func (d *Decider) awaitPrimary(s *state.Session, group string, now time.Time) []Effect {
	s.Phase = state.PhasePosition
	return []Effect{Await{Group: group, Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitPrimary,
		Joined:   now,
		Deadline: s.Request.Deadline,
	}}}
}

// Granted gives the session's request a backend connection. A connection that
// comes too late is returned unused.
func (d *Decider) Granted(s *state.Session, request uint64, server string, conn state.ConnID, now time.Time) []Effect {
	if s.Phase != state.PhaseConnection || s.Request.Number != request {
		return []Effect{Release{Server: server, Conn: conn}}
	}
	if s.TargetsPrimary && !d.isPrimary(s) {
		return append([]Effect{Release{Server: server, Conn: conn}}, d.route(s, now)...)
	}
	a := share.Spend(d.Tables, waiterID(s), s.Customer, requestCost, now, s.Request.Deadline)
	if a.Verdict != share.Granted {
		release := Release{Server: server, Conn: conn}
		return append([]Effect{release}, d.afterAdmission(s, a, now)...)
	}
	s.Conn = conn
	effects := d.send(s, now)
	if !a.Advance.IsZero() {
		effects = append(effects, AdvanceLimits{At: a.Advance})
	}
	return effects
}

// isPrimary reports whether the chosen server is still the primary of the term
// under which it was chosen.
func (d *Decider) isPrimary(s *state.Session) bool {
	ok := false
	d.Tables.Groups.With(d.groupOf(s), func(g *state.GroupState) {
		ok = g.Primary == s.Server && g.Term == s.Term
	})
	return ok
}

// NotGranted tells that the request gets no connection.
func (d *Decider) NotGranted(s *state.Session, request uint64, reason queueing.Reason, now time.Time) []Effect {
	if s.Phase != state.PhaseConnection || s.Request.Number != request {
		return nil
	}
	if reason != queueing.Unreachable {
		return d.refuse(s, Refused(NoConnection))
	}
	s.Excluded = s.Server
	effects := []Effect{Suspect{Group: d.groupOf(s), Server: s.Server}}
	return append(effects, d.backoff(s, now)...)
}

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
		ReadOnly: !s.InTransaction && readOnly(s.Request.Class) && !s.Reopening,
	}
	if s.Reopening {
		send.Opening = s.Opening
	}
	return []Effect{send, Wake{Request: s.Request.Number, At: now.Add(firstCheck)}}
}

// Unsent tells that the connection had failed before a byte of the request was
// sent on it.
func (d *Decider) Unsent(s *state.Session, conn state.ConnID, request uint64, now time.Time) []Effect {
	if !d.current(s, conn, request) {
		return nil
	}
	s.Conn, s.Cancelled, s.Sent = 0, false, false
	if s.InTransaction {
		return d.close(s, Outcome{Kind: Unknown, Reason: TransactionLost})
	}
	return d.backoff(s, now)
}

// backoff waits before the request is routed again.
func (d *Decider) backoff(s *state.Session, now time.Time) []Effect {
	s.Phase = state.PhaseBackoff
	at := now.Add(queueing.Backoff(max(s.Attempts, 1)))
	return []Effect{Wake{Request: s.Request.Number, At: earlier(at, s.Request.Deadline)}}
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
