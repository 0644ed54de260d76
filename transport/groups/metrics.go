package groups

import (
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
)

// roundBuckets are the upper bounds of the waiters that one round serves.
var roundBuckets = tally.ValueBuckets{0, 1, 2, 4, 8, 16, 32, 64, 128, 256}

type metrics struct {
	scope   tally.Scope
	rounds  tally.Counter
	waiters tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:   scope,
		rounds:  scope.Counter("position_rounds"),
		waiters: scope.Histogram("position_round_waiters", roundBuckets),
	}
}

func (m *metrics) round(waiters int) {
	m.rounds.Inc(1)
	m.waiters.RecordValue(float64(waiters))
}

func (m *metrics) result(r replication.Result) {
	m.scope.Tagged(map[string]string{"kind": r.Kind.String()}).Counter("position_waits").Inc(1)
}

func (m *metrics) callFailed(order string) {
	m.scope.Tagged(map[string]string{"order": order}).Counter("control_failures").Inc(1)
}
