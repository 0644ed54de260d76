package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// planned hands the primary over when its server is leaving, and lets a primary
// work again that was drained and forgotten.
func (d *decision) planned() {
	if !d.Part.Watcher {
		return
	}
	d.noteSwitching()
	target := ""
	if d.inService(d.State.Primary) {
		d.f.LeavingSince = time.Time{}
	} else {
		target = d.successor()
		if d.f.LeavingSince.IsZero() {
			d.f.LeavingSince = d.Now
		}
	}
	if target == "" {
		d.resumeForgotten()
		return
	}
	if d.due(d.switchoverTime(target)) {
		d.startSwitchover(target)
	}
}

// noteSwitching keeps the time since which the primary refuses writes.
func (d *decision) noteSwitching() {
	if d.State.Servers[d.State.Primary].Status.SwitchingTo == "" {
		d.f.SwitchingSince = time.Time{}
	} else if d.f.SwitchingSince.IsZero() {
		d.f.SwitchingSince = d.Now
	}
}

// successor returns the replica in service that has the highest log, or
// nothing.
func (d *decision) successor() string {
	best := ""
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if name == d.State.Primary || !d.inService(name) || !d.answers(name) || d.detached(name) {
			continue
		}
		if best == "" || compareLogs(&d.State.Servers[name].Status, &d.State.Servers[best].Status) > 0 {
			best = name
		}
	}
	return best
}

// switchoverTime returns when this VM starts the switchover. The watcher in the
// successor's data centre goes first; a switchover that is under way is left
// the time it may take.
func (d *decision) switchoverTime(target string) time.Time {
	at := d.f.LeavingSince
	if d.Group.Server(target).DataCentre != d.Part.DataCentre {
		at = at.Add(time.Duration(d.watcherOrder()+1) * switchoverStagger)
	}
	if at.Before(d.f.RetryAt) {
		at = d.f.RetryAt
	}
	if at.Before(d.f.SwitchoverAt) {
		at = d.f.SwitchoverAt
	}
	if underWay := d.f.SwitchingSince.Add(switchoverTimeout); !d.f.SwitchingSince.IsZero() && at.Before(underWay) {
		at = underWay
	}
	return at
}

func (d *decision) startSwitchover(target string) {
	d.f.SwitchoverAt = d.Now.Add(plannedRetry)
	d.f.Candidate, d.f.Predecessor = target, d.State.Primary
	d.enter(state.FailoverSwitching, switchoverTimeout)
	d.add(Report{Step: StepSwitching, Server: target, Term: d.State.Term})
	d.call(Switchover, d.State.Primary, d.State.Term, target, switchoverTimeout)
}

// giveUpSwitchover lets the primary accept writes again.
func (d *decision) giveUpSwitchover(reason string) {
	d.resume(d.f.Predecessor)
	d.giveUp(reason, d.retryDelay())
}

// resumeForgotten resumes a primary that was drained by a VM that has failed
// since.
func (d *decision) resumeForgotten() {
	if d.f.SwitchingSince.IsZero() {
		return
	}
	patience := resumePatience + time.Duration(d.watcherOrder())*strayStagger
	if d.due(d.f.SwitchingSince.Add(patience)) {
		d.f.SwitchingSince = d.Now
		d.resume(d.State.Primary)
	}
}

func (d *decision) resume(primary string) {
	d.add(Report{Step: StepResume, Server: primary, Term: d.State.Term})
	d.call(Resume, primary, d.State.Term, "", orderTimeout)
}
