package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// assess updates the condition of the group and the suspicion.
func (d *decision) assess() {
	if c := d.condition(); c != d.f.Condition {
		d.f.Condition, d.f.ConditionSince = c, d.Now
	}
	if d.f.Condition == state.ConditionHealthy {
		d.f.Attempts = 0
	}
	d.suspect()
}

// suspect keeps SuspectSince, which other VMs are told of.
func (d *decision) suspect() {
	v := d.State.Servers[d.State.Primary]
	if v == nil || v.Missed == 0 && v.FailedAt.IsZero() {
		d.f.SuspectSince = time.Time{}
		return
	}
	if d.f.SuspectSince.IsZero() {
		d.f.SuspectSince = d.Now
		d.add(Report{Step: StepSuspected, Server: d.State.Primary, Term: d.State.Term})
		d.add(Announce{})
	}
}

func (d *decision) condition() state.Condition {
	answering, ahead := 0, 0 // servers that answer, and those of them that promised to a later term
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if !d.answers(name) {
			continue
		}
		answering++
		if d.State.Servers[name].Status.AdoptedTerm > d.State.Term {
			ahead++
		}
	}
	majority := d.Group.Majority()
	if answering < majority {
		return state.ConditionUncertain
	}
	if d.Group.Server(d.State.Primary) == nil {
		return state.ConditionHeadless
	}
	if !d.answers(d.State.Primary) {
		return d.silentCondition(ahead)
	}
	switch {
	case !d.State.Servers[d.State.Primary].Status.Leads(d.State.Term):
		return state.ConditionHeadless
	case ahead == 0:
		return state.ConditionHealthy
	case answering-ahead >= majority:
		return state.ConditionStray
	default:
		return state.ConditionHeadless
	}
}

// silentCondition is the condition of a group whose primary does not answer.
func (d *decision) silentCondition(ahead int) state.Condition {
	failed := d.failed()
	switch {
	case failed && ahead == 0:
		return state.ConditionFailed
	case failed, ahead >= d.Group.Majority():
		return state.ConditionHeadless // another VM has begun a promotion
	default:
		return state.ConditionUncertain
	}
}

// answers reports whether the server's latest query was answered, and recently.
func (d *decision) answers(server string) bool {
	v := d.State.Servers[server]
	return v != nil && !v.AskedAt.IsZero() && v.Missed == 0 && d.Now.Sub(v.AskedAt) <= answerWindow
}

// failed reports whether the primary has been silent for long enough.
func (d *decision) failed() bool {
	v := d.State.Servers[d.State.Primary]
	if v == nil || v.SilentSince.IsZero() || v.Missed < pressedMissed {
		return false
	}
	if v.Down && d.due(v.SilentSince.Add(downSilence)) {
		return true
	}
	if (d.waiting() || d.reported()) && d.due(v.SilentSince.Add(pressedSilence)) {
		return true
	}
	return v.Missed >= missedProbes && d.due(v.SilentSince.Add(missedSilence))
}

// reported reports whether another VM suspects the primary.
func (d *decision) reported() bool {
	return !d.f.ReportedAt.IsZero() && d.Now.Sub(d.f.ReportedAt) <= reportPeriod
}

// probe asks for a round of status queries when one is due. Rounds for waiters
// count as probes.
func (d *decision) probe() {
	interval, wanted := d.probeInterval()
	if !wanted {
		return
	}
	started := d.State.Round.Started
	at := started.Add(interval)
	if d.Part.Watcher && d.f.ReportedAt.After(started) {
		at = d.f.ReportedAt
	}
	if d.due(at) {
		d.add(Probe{})
		d.wakeAt(d.Now.Add(interval))
	}
}

func (d *decision) probeInterval() (interval time.Duration, wanted bool) {
	switch {
	case !d.Part.Watcher:
		return d.recheckInterval()
	case d.f.Condition != state.ConditionHealthy && d.Now.Sub(d.f.ConditionSince) < suspectPeriod:
		return suspectInterval, true
	default:
		return probeInterval, true
	}
}

// recheckInterval is how often a VM that does not watch the group asks about a
// server that failed, so that the server is used again once it is back.
func (d *decision) recheckInterval() (interval time.Duration, wanted bool) {
	for i := range d.Group.Servers {
		v := d.State.Servers[d.Group.Servers[i].Name]
		if v == nil || v.FailedAt.IsZero() {
			continue
		}
		again := maxRecheck
		if !v.SilentSince.IsZero() {
			again = min(max(d.Now.Sub(v.SilentSince)/4, minRecheck), maxRecheck)
		}
		if !wanted || again < interval {
			interval, wanted = again, true
		}
	}
	return interval, wanted
}
