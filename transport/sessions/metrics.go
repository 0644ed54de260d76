package sessions

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/session"
)

// latencyBuckets range from the latency of a local read to that of a request that
// waits for a failover: 250 µs to 8.2 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

type metrics struct {
	sessions  tally.Gauge
	answered  tally.Counter
	notRun    tally.Counter
	unknown   tally.Counter
	onReplica tally.Counter
	onPrimary tally.Counter
	retries   tally.Counter
	latency   tally.Histogram
	scope     tally.Scope
}

func newMetrics(scope tally.Scope) metrics {
	outcome := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": kind}).Counter("requests")
	}
	sentTo := func(role string) tally.Counter {
		return scope.Tagged(map[string]string{"role": role}).Counter("requests_sent")
	}
	return metrics{
		sessions:  scope.Gauge("sessions"),
		answered:  outcome("answered"),
		notRun:    outcome("not_run"),
		unknown:   outcome("unknown"),
		onReplica: sentTo("replica"),
		onPrimary: sentTo("primary"),
		retries:   scope.Counter("retries"),
		latency:   scope.Histogram("request_latency", latencyBuckets),
		scope:     scope,
	}
}

// outcome counts a finished request, and the reason if it was not answered.
func (m *metrics) outcome(out session.Outcome) {
	switch out.Kind {
	case session.Answered:
		m.answered.Inc(1)
	case session.NotRun:
		m.notRun.Inc(1)
	case session.Unknown:
		m.unknown.Inc(1)
	}
	if out.Kind != session.Answered {
		m.scope.Tagged(map[string]string{"reason": out.Reason.String()}).Counter("refusals").Inc(1)
	}
}
