package sqlfront

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// latencyBuckets range from a read on a server in the same data centre to the
// longest time-out of a route.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// hopKind tells where the VM is that a statement was sent to.
type hopKind uint8

const (
	hopSelf            hopKind = iota // this VM
	hopSameDataCentre                 // a VM in the same data centre
	hopOtherDataCentre                // a VM in another data centre
	numHopKinds
)

// hopNames are the values of the metric label "hop".
var hopNames = [numHopKinds]string{"own", "near", "far"}

// consistencyNames are the values of the metric label "route".
var consistencyNames = map[catalog.Consistency]string{
	catalog.Latest: "latest", catalog.BoundedStale: "bounded", catalog.ReadYourWrites: "read_your_writes",
}

type metrics struct {
	outcomes         [256]tally.Counter // by code
	statementLatency map[catalog.Consistency]tally.Histogram
	admissionLatency tally.Histogram // time to check an operation against the customer's limit
	hopLatency       [numHopKinds]tally.Histogram
	readsHedged      tally.Counter // reads sent to a second server
	runtimeErrors    tally.Counter // sessions ended by a run-time error
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{statementLatency: make(map[catalog.Consistency]tally.Histogram)}
	for c := statement.OK; c <= statement.Down; c++ {
		m.outcomes[c] = scope.Tagged(map[string]string{"code": c.String()}).Counter("statements")
	}
	for kind, name := range consistencyNames {
		m.statementLatency[kind] = scope.Tagged(map[string]string{"route": name}).Histogram("statement_latency", latencyBuckets)
	}
	m.readsHedged = scope.Counter("reads_hedged")
	m.runtimeErrors = scope.Counter("session_runtime_errors")
	m.admissionLatency = scope.Histogram("admission_latency", latencyBuckets)
	for kind, name := range hopNames {
		m.hopLatency[kind] = scope.Tagged(map[string]string{"hop": name}).Histogram("hop_latency", latencyBuckets)
	}
	return m
}

// hop measures one attempt, from sending the statement to a VM until its result.
type hop struct {
	startedAt time.Duration
	latency   tally.Histogram
	span      trace.Span
}

// startHop starts the span of an attempt and adds its IDs to the statement, so
// that the VM that runs the statement can attach its own span.
func (s *Server) startHop(ex *execution, view *placement.View, vm string, w *statement.RemoteStatement) hop {
	_, span := s.Tracer.Start(ex.ctx, "hop", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("vm", vm), attribute.String("server", w.Server), attribute.Int("attempt", ex.attempts),
	))
	if sc := span.SpanContext(); sc.IsSampled() {
		w.Trace = statement.Trace{TraceID: sc.TraceID(), SpanID: sc.SpanID()}
	}
	kind := hopOtherDataCentre
	switch {
	case vm == view.Self:
		kind = hopSelf
	case view.InSameDataCentre(vm):
		kind = hopSameDataCentre
	}
	return hop{startedAt: clock.Now(), latency: s.hopLatency[kind], span: span}
}

// end records the latency and ends the span.
func (h hop) end(r *statement.Result) {
	h.latency.RecordDuration(clock.Now() - h.startedAt)
	if r.Answer.Code != statement.OK {
		h.span.SetStatus(codes.Error, r.Answer.Code.String())
	}
	h.span.End()
}

// observe updates the state of the group's servers with the result: latency,
// health, log position, and whether the server is the primary.
func (c *session) observe(w *statement.RemoteStatement, r *statement.Result, sentAt time.Duration) {
	now := clock.Now()
	s := c.server
	server := s.Table.Current().Servers[w.Server]
	outcome := healthOutcome(r.Answer.Code)
	if r.RetryAfter > 0 {
		outcome = leadership.Declined // refused in favour of more urgent statements
	}
	s.Leadership.With(w.Group, func(g *leadership.Group) {
		g.StatementDone(w.Server, outcome, now-sentAt, r.Answer.At, now)
		switch r.Answer.Code {
		case statement.OK:
			if r.PrimaryConfirmed {
				g.RecordConfirmation(w.Server, r.Answer.At, sentAt)
			}
		case statement.ReadOnly:
			if server != nil {
				g.RecordNotPrimary(server)
			}
		case statement.Lagging:
			g.RecordLag(w.Server, now)
		case statement.Lost, statement.Timeout, statement.Unreachable, statement.Down, statement.WrongServer, statement.ConnectionLimit:
			g.Suspect(w.Server, now)
		}
	})
}

// healthOutcome returns what an answer's code says about the health of the server.
func healthOutcome(c statement.Code) leadership.Outcome {
	switch c {
	case statement.OK:
		return leadership.Answered
	case statement.Failed, statement.Busy, statement.Lost, statement.Timeout, statement.Unreachable, statement.Down:
		return leadership.Failed
	}
	return leadership.Declined
}
