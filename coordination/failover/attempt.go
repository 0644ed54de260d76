package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// advance moves the current attempt forward, or begins one if it is due.
func (d *decision) advance() {
	d.reconcileAttempt()
	switch d.failover.Step {
	case state.FailoverIdle:
		d.startIfNeeded()
	case state.FailoverAdopting:
		d.checkAdoption()
	case state.FailoverPromoting:
		if d.due(d.failover.StepEnds) {
			d.abort("timed out waiting for the candidate", d.retryDelay())
		}
	case state.FailoverFollowing:
		if d.due(d.failover.StepEnds) {
			d.failover.Step = state.FailoverIdle
		}
	case state.FailoverSwitching:
		if d.due(d.failover.StepEnds) {
			d.abortSwitchover("timed out waiting for the primary")
		}
	}
}

// reconcileAttempt ends an attempt whose outcome is visible in the servers'
// statuses: a primary of a later term exists, or the candidate was promoted but
// its answer was lost.
func (d *decision) reconcileAttempt() {
	g := d.State
	switch d.failover.Step {
	case state.FailoverAdopting, state.FailoverPromoting:
		if g.Term == d.failover.Term && g.Primary == d.failover.Candidate {
			d.finishPromotion()
		} else if g.Term >= d.failover.Term {
			d.endAttempt()
		}
	case state.FailoverSwitching:
		if g.Primary != d.failover.Predecessor {
			d.endAttempt()
		}
	}
}

// startIfNeeded begins an attempt if the condition of the group requires one
// and the delay that gives other VMs precedence has passed. In a healthy group it
// handles planned switchovers.
func (d *decision) startIfNeeded() {
	if !d.mayAct() || !d.Role.HasIndex {
		return
	}
	if d.failover.Condition == state.ConditionHealthy {
		d.switchOverOrResume()
		return
	}
	delay, act := d.startDelay()
	if !act {
		return
	}
	at := d.failover.ConditionSince.Add(delay)
	if at.Before(d.failover.RetryAt) {
		at = d.failover.RetryAt
	}
	if d.due(at) && d.ensureFresh(at) {
		d.beginAttempt("", "")
	}
}

// ensureFresh reports whether a majority answered queries sent since the given time
// and every possible leader was queried since then. If not, it requests a round
// of queries. Without this check a VM could act on answers from before another
// VM's promotion, and depose the primary that was just promoted.
func (d *decision) ensureFresh(since time.Time) bool {
	n := 0
	for i := range d.Group.Servers {
		if v := d.State.Servers[d.Group.Servers[i].Name]; v != nil && !v.QueriedAt.Before(since) {
			n++
		}
	}
	if n >= d.Group.Majority() && d.leadersQueried(since) {
		return true
	}
	if d.State.Round.Started.Before(since) {
		d.emit(Probe{})
	}
	return false
}

// leadersQueried reports whether every server that may lead was queried since the
// given time: the known primary, and the primaries followed by servers that have
// adopted a later term.
func (d *decision) leadersQueried(since time.Time) bool {
	if !d.leaderQueried(d.State.Primary, d.State.Term, since) {
		return false
	}
	for i := range d.Group.Servers {
		v := d.State.Servers[d.Group.Servers[i].Name]
		if v != nil && v.Status.AdoptedTerm > d.State.Term && !d.leaderQueried(v.Status.Primary, v.Status.AdoptedTerm, since) {
			return false
		}
	}
	return true
}

// leaderQueried reports whether the known status of a possible leader of the
// term was taken after the server adopted the term, or the server was queried
// since the given time, whether or not it answered.
func (d *decision) leaderQueried(server string, term uint64, since time.Time) bool {
	if d.Group.Server(server) == nil {
		return true
	}
	v := d.State.Servers[server]
	return v != nil && (v.Status.AdoptedTerm >= term || !v.QueriedAt.Before(since) || !v.FailedAt.Before(since))
}

// startDelay returns how long the condition must persist before this VM begins an
// attempt, and whether it may begin one at all.
func (d *decision) startDelay() (delay time.Duration, act bool) {
	switch d.failover.Condition {
	case state.ConditionFailed:
		return d.stagger(), true
	case state.ConditionNoPrimary:
		switch {
		case d.ticketMayBeStale():
			return ticketPropagation + d.stagger(), true
		case d.ownAttemptIsLatest():
			return 0, true
		default:
			return promotionGrace + d.stagger(), true
		}
	case state.ConditionDivergedReplica:
		return divergedGrace + time.Duration(d.watcherOrder())*divergedStagger, d.Role.Watcher
	}
	return 0, false
}

// ticketMayBeStale reports whether the group follows a server that is missing from
// this VM's configuration. A newer ticket has then probably not arrived yet, and
// a promotion would depose a working primary.
func (d *decision) ticketMayBeStale() bool {
	unknown := func(server string) bool { return server != "" && d.Group.Server(server) == nil }
	if unknown(d.State.Primary) {
		return true
	}
	for name, v := range d.State.Servers {
		if v.Status.AdoptedTerm >= d.State.Term && unknown(v.Status.Primary) && d.isResponsive(name) {
			return true
		}
	}
	return false
}

// ownAttemptIsLatest reports whether no other VM has begun a promotion since the
// latest attempt of this VM.
func (d *decision) ownAttemptIsLatest() bool {
	return d.failover.Term > d.State.Term && d.highestTerm() == d.failover.Term
}

// beginAttempt starts an attempt: it orders every server to adopt a new term.
// target and predecessor are set in a planned switchover only.
func (d *decision) beginAttempt(target, predecessor string) {
	term, ok := nextTerm(d.highestTerm(), d.Role.Index)
	if !ok {
		return
	}
	d.failover.Term = term
	d.failover.Candidate, d.failover.Predecessor = target, predecessor
	d.failover.Adopted = make(map[string]state.ServerStatus)
	d.failover.Refused = make(map[string]bool)
	d.failover.MajorityAt = time.Time{}
	if predecessor == "" {
		d.emit(Report{Step: StepDetected, Server: d.State.Primary, Term: term, After: d.primarySilence()})
	} else {
		d.emit(Report{Step: StepDrained, Server: predecessor, Term: term, After: d.Now.Sub(d.failover.StepStarted)})
	}
	d.failover.StartedAt = d.Now
	d.enterStep(state.FailoverAdopting, orderTimeout)
	for i := range d.Group.Servers {
		d.sendOrder(Adopt, d.Group.Servers[i].Name, term, "", orderTimeout)
	}
}

// primarySilence returns how long the primary has not answered.
func (d *decision) primarySilence() time.Duration {
	if v := d.State.Servers[d.State.Primary]; v != nil && !v.SilentSince.IsZero() {
		return d.Now.Sub(v.SilentSince)
	}
	return d.Now.Sub(d.failover.ConditionSince)
}

func (d *decision) enterStep(s state.FailoverStep, timeout time.Duration) {
	d.failover.Step, d.failover.StepStarted = s, d.Now
	d.failover.StepEnds = d.Now.Add(timeout + stepSlack)
	d.wakeAt(d.failover.StepEnds)
}

// checkAdoption promotes the best candidate once a majority has adopted the term.
func (d *decision) checkAdoption() {
	switch adopted, pending := d.countAdopters(); {
	case d.laterTermAdopted():
		d.abort("a server has adopted a later term", promotionGrace+d.retryDelay())
	case adopted+pending < d.Group.Majority():
		d.abort("too few servers can adopt the term", d.retryDelay())
	case adopted >= d.Group.Majority():
		d.handleMajority(pending)
	case d.due(d.failover.StepEnds):
		d.abort("timed out waiting for a majority to adopt the term", d.retryDelay())
	}
}

// countAdopters returns the number of servers that have adopted the term and of
// those that may still adopt it.
func (d *decision) countAdopters() (adopted, pending int) {
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if _, ok := d.failover.Adopted[name]; ok {
			adopted++
		} else if !d.failover.Refused[name] {
			pending++
		}
	}
	return adopted, pending
}

// laterTermAdopted reports whether a server has adopted a later term than that
// of the current attempt. Such a server would refuse to follow the new primary.
func (d *decision) laterTermAdopted() bool { return d.highestTerm() > d.failover.Term }

// handleMajority promotes a candidate once no further adoption is expected or
// adoptGrace has passed.
func (d *decision) handleMajority(pending int) {
	if d.failover.MajorityAt.IsZero() {
		d.failover.MajorityAt = d.Now
		d.emit(Report{Step: StepAdopted, Term: d.failover.Term, After: d.Now.Sub(d.failover.StartedAt)})
	}
	if pending > 0 && d.adoptionsPending() && !d.due(d.failover.MajorityAt.Add(adoptGrace)) {
		return
	}
	d.failover.Candidate = d.chooseCandidate()
	d.enterStep(state.FailoverPromoting, orderTimeout)
	d.sendOrder(Promote, d.failover.Candidate, d.failover.Term, "", orderTimeout)
}

// adoptionsPending reports whether a responsive server has neither adopted nor
// refused the term yet.
func (d *decision) adoptionsPending() bool {
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if _, ok := d.failover.Adopted[name]; !ok && !d.failover.Refused[name] && d.isResponsive(name) {
			return true
		}
	}
	return false
}

// finishPromotion announces the new primary and orders the other servers to
// follow it.
func (d *decision) finishPromotion() {
	d.emit(Report{Step: StepPromoted, Server: d.failover.Candidate, Term: d.failover.Term, After: d.Now.Sub(d.failover.StepStarted)})
	d.emit(Announce{})
	d.failover.Predecessor = ""
	d.failover.Attempts = 0
	d.failover.FollowPending = make(map[string]bool)
	d.enterStep(state.FailoverFollowing, orderTimeout)
	for i := range d.Group.Servers {
		if name := d.Group.Servers[i].Name; name != d.failover.Candidate {
			d.failover.FollowPending[name] = true
			d.sendOrder(Follow, name, d.failover.Term, d.failover.Candidate, orderTimeout)
		}
	}
}

// abort ends the attempt without a promotion. The next attempt uses a higher
// term, because orders of this one may still be executed.
func (d *decision) abort(reason string, retryAfter time.Duration) {
	d.emit(Report{Step: StepGivenUp, Server: d.failover.Candidate, Term: d.failover.Term, Reason: reason})
	if d.failover.Step == state.FailoverAdopting && d.failover.Predecessor != "" {
		// Without a majority for the new term, the drained primary may still be
		// able to accept writes. It refuses the order if it has adopted the new
		// term.
		d.sendOrder(Resume, d.failover.Predecessor, d.State.Term, "", orderTimeout)
	}
	d.failover.Attempts++
	d.failover.RetryAt = d.Now.Add(retryAfter)
	d.endAttempt()
	d.wakeAt(d.failover.RetryAt)
}

func (d *decision) endAttempt() {
	d.failover.Step = state.FailoverIdle
	d.failover.Candidate, d.failover.Predecessor = "", ""
}

// retryDelay returns the delay before the next attempt. It differs between most
// VMs, so that two of them do not keep superseding each other's terms. The
// remainder of the rank limits the delay of VMs that do not watch the group.
func (d *decision) retryDelay() time.Duration {
	doublings := min(d.failover.Attempts, retryDoublings)
	slot := d.watcherOrder()
	if !d.Role.Watcher {
		slot += 1 + d.Role.Rank%8
	}
	return retryBase<<doublings + time.Duration(slot)*watcherStagger
}
