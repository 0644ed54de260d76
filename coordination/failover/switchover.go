package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// switchOverOrResume starts a switchover when the primary's server is leaving, and
// resumes a primary whose switchover was abandoned.
func (d *decision) switchOverOrResume() {
	if !d.Role.Watcher {
		return
	}
	d.trackSwitching()
	target := ""
	if d.inService(d.State.Primary) {
		d.failover.LeavingSince = time.Time{}
	} else {
		target = d.chooseSuccessor()
		if d.failover.LeavingSince.IsZero() {
			d.failover.LeavingSince = d.Now
		}
	}
	if target == "" {
		d.resumeAbandoned()
		return
	}
	if d.due(d.switchoverTime(target)) {
		d.startSwitchover(target)
	}
}

// trackSwitching tracks since when the primary has refused writes.
func (d *decision) trackSwitching() {
	if d.State.Servers[d.State.Primary].Status.SwitchingTo == "" {
		d.failover.SwitchingSince = time.Time{}
	} else if d.failover.SwitchingSince.IsZero() {
		d.failover.SwitchingSince = d.Now
	}
}

// chooseSuccessor returns the attached replica in service with the most
// advanced log, or "".
func (d *decision) chooseSuccessor() string {
	best := ""
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if name == d.State.Primary || !d.inService(name) || !d.isResponsive(name) || d.detached(name) {
			continue
		}
		if best == "" || compareLogs(&d.State.Servers[name].Status, &d.State.Servers[best].Status) > 0 {
			best = name
		}
	}
	return best
}

// switchoverTime returns when this VM starts the switchover. The watcher in the
// successor's data centre has precedence, and a switchover in progress is given
// the time that it may take.
func (d *decision) switchoverTime(target string) time.Time {
	at := d.failover.LeavingSince
	if d.Group.Server(target).DataCentre != d.Role.DataCentre {
		at = at.Add(time.Duration(d.watcherOrder()+1) * switchoverStagger)
	}
	if at.Before(d.failover.RetryAt) {
		at = d.failover.RetryAt
	}
	if at.Before(d.failover.SwitchoverAt) {
		at = d.failover.SwitchoverAt
	}
	if underWay := d.failover.SwitchingSince.Add(switchoverTimeout); !d.failover.SwitchingSince.IsZero() && at.Before(underWay) {
		at = underWay
	}
	return at
}

func (d *decision) startSwitchover(target string) {
	d.failover.SwitchoverAt = d.Now.Add(plannedRetry)
	d.failover.Candidate, d.failover.Predecessor = target, d.State.Primary
	d.enterStep(state.FailoverSwitching, switchoverTimeout)
	d.emit(Report{Step: StepSwitching, Server: target, Term: d.State.Term})
	d.sendOrder(Switchover, d.State.Primary, d.State.Term, target, switchoverTimeout)
}

// abortSwitchover ends the switchover and lets the primary accept writes
// again.
func (d *decision) abortSwitchover(reason string) {
	d.resumePrimary(d.failover.Predecessor)
	d.abort(reason, d.retryDelay())
}

// resumeAbandoned resumes a primary whose switchover was started by a VM that has
// failed since.
func (d *decision) resumeAbandoned() {
	if d.failover.SwitchingSince.IsZero() {
		return
	}
	grace := resumeGrace + time.Duration(d.watcherOrder())*divergedStagger
	if d.due(d.failover.SwitchingSince.Add(grace)) {
		d.failover.SwitchingSince = d.Now
		d.resumePrimary(d.State.Primary)
	}
}

func (d *decision) resumePrimary(primary string) {
	d.emit(Report{Step: StepResume, Server: primary, Term: d.State.Term})
	d.sendOrder(Resume, primary, d.State.Term, "", orderTimeout)
}
