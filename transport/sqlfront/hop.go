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

// latencyBuckets reach from a read on a server in the data centre to the
// longest time-out of a route.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// hopKind says where a statement was sent.
type hopKind uint8

const (
	hopOwn  hopKind = iota // this VM's connection
	hopNear                // a VM of the data centre
	hopFar                 // a VM of another data centre
	hopKinds
)

var hopNames = [hopKinds]string{"own", "near", "far"}

// consistencyNames are the routes' kinds in metrics.
var consistencyNames = map[catalog.Consistency]string{
	catalog.Latest: "latest", catalog.BoundedStale: "bounded", catalog.ReadYourWrites: "read_your_writes",
}

type metrics struct {
	outcomes  [256]tally.Counter // by code
	latency   map[catalog.Consistency]tally.Histogram
	admission tally.Histogram // from the question whether an operation is inside the limit to the answer
	hops      [hopKinds]tally.Histogram
	hedged    tally.Counter // reads that were run on a second server
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{latency: make(map[catalog.Consistency]tally.Histogram)}
	for c := statement.OK; c <= statement.Down; c++ {
		m.outcomes[c] = scope.Tagged(map[string]string{"code": c.String()}).Counter("statements")
	}
	for kind, name := range consistencyNames {
		m.latency[kind] = scope.Tagged(map[string]string{"route": name}).Histogram("statement_latency", latencyBuckets)
	}
	m.hedged = scope.Counter("reads_hedged")
	m.admission = scope.Histogram("admission_latency", latencyBuckets)
	for kind, name := range hopNames {
		m.hops[kind] = scope.Tagged(map[string]string{"hop": name}).Histogram("hop_latency", latencyBuckets)
	}
	return m
}

// hop is an attempt of a statement on its way to the VM that runs it.
type hop struct {
	begin   time.Duration
	latency tally.Histogram
	span    trace.Span
}

// startHop begins the span of an attempt and puts it into the work, so that the
// VM that runs it can add its own.
func (s *Server) startHop(u *run, view *placement.View, vm string, w *statement.Work) hop {
	_, span := s.Tracer.Start(u.ctx, "hop", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("vm", vm), attribute.String("server", w.Server), attribute.Int("attempt", u.attempts),
	))
	if sc := span.SpanContext(); sc.IsSampled() {
		w.Trace = statement.Trace{TraceID: sc.TraceID(), SpanID: sc.SpanID()}
	}
	kind := hopFar
	switch {
	case vm == view.Self:
		kind = hopOwn
	case view.Near(vm):
		kind = hopNear
	}
	return hop{begin: clock.Now(), latency: s.hops[kind], span: span}
}

// end ends the attempt with its result.
func (h hop) end(r *statement.Result) {
	h.latency.RecordDuration(clock.Now() - h.begin)
	if r.Answer.Code != statement.OK {
		h.span.SetStatus(codes.Error, r.Answer.Code.String())
	}
	h.span.End()
}

// observe records what the result says of the server.
func (c *session) observe(w *statement.Work, r *statement.Result, sentAt time.Duration) {
	now := clock.Now()
	s := c.server
	server := s.Table.Current().Servers[w.Server]
	s.Leads.With(w.Group, func(g *leadership.Group) {
		g.Done(w.Server, outcome(r.Answer.Code), now-sentAt, r.Answer.At, now)
		switch r.Answer.Code {
		case statement.OK:
			if r.Proven {
				g.Prove(w.Server, r.Answer.At, sentAt)
			}
		case statement.ReadOnly:
			if server != nil {
				g.Deny(server)
			}
		case statement.Lagging:
			g.Lags(w.Server, now)
		case statement.Lost, statement.Timeout, statement.Unreachable, statement.Down, statement.WrongServer, statement.ConnectionLimit:
			g.Suspect(w.Server, now)
		}
	})
}

// outcome returns what a code says of the server's health.
func outcome(c statement.Code) leadership.Outcome {
	switch c {
	case statement.OK:
		return leadership.Answered
	case statement.Failed, statement.Busy, statement.Lost, statement.Timeout, statement.Unreachable, statement.Down:
		return leadership.Failing
	}
	return leadership.Declined
}
