package groups

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// roundBuckets are the upper bounds of the histogram of waiters per round of status
// queries.
var roundBuckets = tally.ValueBuckets{0, 1, 2, 4, 8, 16, 32, 64, 128, 256}

// stepFirstAcknowledged is the last timed step of a failover: from the promotion to
// the first acknowledged write of the new term.
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

func (m *metrics) callFailed(command string) {
	m.scope.Tagged(map[string]string{"order": command}).Counter("control_failures").Inc(1)
}

// step records the duration of a failover step, measured from the previous step.
func (m *metrics) step(name string, d time.Duration) {
	m.scope.Tagged(map[string]string{"step": name}).Timer("failover_step").Record(d)
}

// promotion is the most recent promotion by this VM in a group. It is kept to measure
// stepFirstAcknowledged.
type promotion struct {
	term       uint64
	promotedAt time.Time // zero once a write of the term was acknowledged
}

// report logs a failover step and records its duration.
func (e *executor) report(snap snapshot, r failover.Report) {
	fields := log.Fields{"group": e.name, "term": r.Term}
	if r.Server != "" {
		fields["server"] = r.Server
	}
	l := e.driver.opts.Logger.WithFields(fields)
	m := &e.driver.metrics
	switch r.Step {
	case failover.StepSuspected:
		l.Warn("failover: primary suspected")
	case failover.StepDetected:
		m.step("detected", r.After)
		l.WithDuration(r.After).Warn("failover: promotion started")
	case failover.StepAdopted:
		m.step("adopted", r.After)
		l.WithDuration(r.After).Info("failover: term adopted by a majority")
	case failover.StepPromoted:
		m.step("promoted", r.After)
		e.lastPromotion = promotion{term: r.Term, promotedAt: snap.now}
		l.WithDuration(r.After).Info("failover: primary promoted")
	case failover.StepGivenUp:
		l.WithField("reason", r.Reason).Warn("failover: promotion attempt abandoned")
	case failover.StepSwitching:
		l.Info("failover: switchover started")
	case failover.StepDrained:
		m.step("drained", r.After)
		l.WithDuration(r.After).Info("failover: primary drained")
	case failover.StepFollow:
		l.Info("failover: server ordered to follow the primary")
	case failover.StepResume:
		l.Info("failover: primary ordered to resume writes")
	}
}

// recordResult measures the time from a promotion to the first acknowledged write,
// and logs writes that could not be shown to be durable.
func (e *executor) recordResult(snap snapshot, r replication.Result) {
	if r.Wait != state.WaitDurable {
		return
	}
	if r.Kind != replication.Satisfied {
		e.driver.opts.Logger.WithFields(log.Fields{"group": e.name, "server": r.Server, "term": r.Term, "result": r.Kind.String()}).
			Warn("replication: write not acknowledged")
		return
	}
	if !e.lastPromotion.promotedAt.IsZero() && r.Term >= e.lastPromotion.term {
		e.driver.metrics.step(stepFirstAcknowledged, snap.now.Sub(e.lastPromotion.promotedAt))
		e.lastPromotion.promotedAt = time.Time{}
	}
}
