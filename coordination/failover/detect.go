package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// updateCondition updates the condition of the group and whether its primary is
// suspected.
func (d *decision) updateCondition() {
	if c := d.groupCondition(); c != d.failover.Condition {
		d.failover.Condition, d.failover.ConditionSince = c, d.Now
	}
	if d.failover.Condition == state.ConditionHealthy {
		d.failover.Attempts = 0
	}
	d.updateSuspicion()
}

// updateSuspicion updates SuspectSince. The suspicion is shared with other VMs.
func (d *decision) updateSuspicion() {
	v := d.State.Servers[d.State.Primary]
	if v == nil || v.Missed == 0 && v.FailedAt.IsZero() {
		d.failover.SuspectSince = time.Time{}
		return
	}
	if d.failover.SuspectSince.IsZero() {
		d.failover.SuspectSince = d.Now
		d.emit(Report{Step: StepSuspected, Server: d.State.Primary, Term: d.State.Term})
		d.emit(Announce{})
	}
}

// groupCondition derives the condition of the group from the servers' statuses.
func (d *decision) groupCondition() state.Condition {
	responsive, ahead := 0, 0 // servers that answer, and those of them that have adopted a later term
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if !d.isResponsive(name) {
			continue
		}
		responsive++
		if d.State.Servers[name].Status.AdoptedTerm > d.State.Term {
			ahead++
		}
	}
	majority := d.Group.Majority()
	if responsive < majority {
		return state.ConditionUncertain
	}
	if d.Group.Server(d.State.Primary) == nil {
		return state.ConditionNoPrimary
	}
	if !d.isResponsive(d.State.Primary) {
		return d.unresponsivePrimaryCondition(ahead)
	}
	switch {
	case !d.State.Servers[d.State.Primary].Status.Leads(d.State.Term):
		return state.ConditionNoPrimary
	case ahead == 0:
		return state.ConditionHealthy
	case responsive-ahead >= majority:
		return state.ConditionDivergedReplica
	default:
		return state.ConditionNoPrimary
	}
}

// unresponsivePrimaryCondition returns the condition of a group whose primary does
// not answer.
func (d *decision) unresponsivePrimaryCondition(ahead int) state.Condition {
	failed := d.primaryFailed()
	switch {
	case failed && ahead == 0:
		return state.ConditionFailed
	case failed, ahead >= d.Group.Majority():
		return state.ConditionNoPrimary // another VM has begun a promotion
	default:
		return state.ConditionUncertain
	}
}

// isResponsive reports whether the server has missed no query since its latest
// answer, and the query for that answer was sent at most answerWindow ago.
func (d *decision) isResponsive(server string) bool {
	v := d.State.Servers[server]
	return v != nil && !v.QueriedAt.IsZero() && v.Missed == 0 && d.Now.Sub(v.QueriedAt) <= answerWindow
}

// primaryFailed reports whether the primary has been silent long enough to count as
// failed.
func (d *decision) primaryFailed() bool {
	v := d.State.Servers[d.State.Primary]
	if v == nil || v.SilentSince.IsZero() || v.Missed < minMissedProbes {
		return false
	}
	if v.Down && d.due(v.SilentSince.Add(refusedSilence)) {
		return true
	}
	if (d.hasWaiters() || d.recentlyReported()) && d.due(v.SilentSince.Add(silenceWithWaiters)) {
		return true
	}
	return v.Missed >= missedProbesWithoutWaiters && d.due(v.SilentSince.Add(silenceWithoutWaiters))
}

// recentlyReported reports whether another VM has recently reported the primary as
// suspected.
func (d *decision) recentlyReported() bool {
	return !d.failover.ReportedAt.IsZero() && d.Now.Sub(d.failover.ReportedAt) <= reportPeriod
}

// probeIfDue requests a round of status queries if one is due. Rounds that serve
// waiters count as probes.
func (d *decision) probeIfDue() {
	interval, wanted := d.probeInterval()
	if !wanted {
		return
	}
	started := d.State.Round.Started
	at := started.Add(interval)
	if d.Role.Watcher && d.failover.ReportedAt.After(started) {
		at = d.failover.ReportedAt
	}
	if d.due(at) {
		d.emit(Probe{})
		d.wakeAt(d.Now.Add(interval))
	}
}

func (d *decision) probeInterval() (interval time.Duration, wanted bool) {
	switch {
	case !d.Role.Watcher:
		return d.recheckInterval()
	case d.failover.Condition != state.ConditionHealthy && d.Now.Sub(d.failover.ConditionSince) < suspectPeriod:
		return suspectInterval, true
	default:
		return probeInterval, true
	}
}

// recheckInterval returns how often a VM that does not watch the group queries a
// failed server, so that the server is used again once it has recovered.
func (d *decision) recheckInterval() (interval time.Duration, wanted bool) {
	for i := range d.Group.Servers {
		v := d.State.Servers[d.Group.Servers[i].Name]
		if v == nil || v.FailedAt.IsZero() {
			continue
		}
		recheck := maxRecheck
		if !v.SilentSince.IsZero() {
			recheck = min(max(d.Now.Sub(v.SilentSince)/4, minRecheck), maxRecheck)
		}
		if !wanted || recheck < interval {
			interval, wanted = recheck, true
		}
	}
	return interval, wanted
}
