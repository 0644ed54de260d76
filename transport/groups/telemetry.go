package groups

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// roundBuckets are the upper bounds of the waiters that one round serves.
var roundBuckets = tally.ValueBuckets{0, 1, 2, 4, 8, 16, 32, 64, 128, 256}

// stepFirstAcknowledged is the last timed step of a failover: the first write
// that is acknowledged under the new term.
const stepFirstAcknowledged = "first_acknowledged"

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

// step records the time that a step of a failover took since the step before.
func (m *metrics) step(name string, d time.Duration) {
	m.scope.Tagged(map[string]string{"step": name}).Timer("failover_step").Record(d)
}

// timeline remembers this VM's latest promotion in a group until a write is
// acknowledged under its term.
type timeline struct {
	term       uint64
	promotedAt time.Time // zero if no acknowledgement is awaited
}

// report logs and measures a step of a failover.
func (e *group) report(m moment, r failover.Report) {
	fields := log.Fields{"group": e.name, "term": r.Term}
	if r.Server != "" {
		fields["server"] = r.Server
	}
	l := e.driver.opts.Logger.WithFields(fields)
	steps := &e.driver.metrics
	switch r.Step {
	case failover.StepSuspected:
		l.Warn("failover: primary suspected")
	case failover.StepDetected:
		steps.step("detected", r.After)
		l.WithDuration(r.After).Warn("failover: promotion started")
	case failover.StepAdopted:
		steps.step("adopted", r.After)
		l.WithDuration(r.After).Info("failover: term adopted by a majority")
	case failover.StepPromoted:
		steps.step("promoted", r.After)
		e.timeline = timeline{term: r.Term, promotedAt: m.now}
		l.WithDuration(r.After).Info("failover: primary promoted")
	case failover.StepGivenUp:
		l.WithField("reason", r.Reason).Warn("failover: attempt given up")
	case failover.StepSwitching:
		l.Info("failover: switchover started")
	case failover.StepDrained:
		steps.step("drained", r.After)
		l.WithDuration(r.After).Info("failover: primary drained")
	case failover.StepFollow:
		l.Info("failover: server told to follow")
	case failover.StepResume:
		l.Info("failover: primary told to resume")
	}
}

// noteResult measures the first acknowledgement after a promotion, and logs
// writes whose fate cannot be shown.
func (e *group) noteResult(m moment, r replication.Result) {
	if r.Wait != state.WaitDurable {
		return
	}
	if r.Kind != replication.Satisfied {
		e.driver.opts.Logger.WithFields(log.Fields{"group": e.name, "server": r.Server, "term": r.Term, "result": r.Kind.String()}).
			Warn("replication: write not acknowledged")
		return
	}
	if !e.timeline.promotedAt.IsZero() && r.Term >= e.timeline.term {
		e.driver.metrics.step(stepFirstAcknowledged, m.now.Sub(e.timeline.promotedAt))
		e.timeline.promotedAt = time.Time{}
	}
}
