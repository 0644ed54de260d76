package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// step advances the current attempt, or begins one if it is time.
func (d *decision) step() {
	d.settleSuperseded()
	switch d.f.Step {
	case state.FailoverIdle:
		d.idle()
	case state.FailoverAdopting:
		d.adopting()
	case state.FailoverPromoting:
		if d.due(d.f.StepEnds) {
			d.giveUp("no answer from the candidate", d.retryDelay())
		}
	case state.FailoverFollowing:
		if d.due(d.f.StepEnds) {
			d.f.Step = state.FailoverIdle
		}
	case state.FailoverSwitching:
		if d.due(d.f.StepEnds) {
			d.giveUpSwitchover("no answer from the primary")
		}
	}
}

// settleSuperseded ends an attempt when the servers' statuses show how it went:
// a later primary exists, or the candidate was promoted although its answer was
// lost.
func (d *decision) settleSuperseded() {
	g := d.State
	switch d.f.Step {
	case state.FailoverAdopting, state.FailoverPromoting:
		if g.Term == d.f.Term && g.Primary == d.f.Candidate {
			d.promoted()
		} else if g.Term >= d.f.Term {
			d.end()
		}
	case state.FailoverSwitching:
		if g.Primary != d.f.Predecessor {
			d.end()
		}
	}
}

// idle begins an attempt if the condition of the group asks for one and the
// time left to others has passed.
func (d *decision) idle() {
	if !d.acts() || !d.Part.HasIndex {
		return
	}
	if d.f.Condition == state.ConditionHealthy {
		d.planned()
		return
	}
	delay, act := d.startDelay()
	if !act {
		return
	}
	at := d.f.ConditionSince.Add(delay)
	if at.Before(d.f.RetryAt) {
		at = d.f.RetryAt
	}
	if d.due(at) && d.fresh(at) {
		d.begin("", "")
	}
}

// fresh reports whether a majority answered queries sent since the given time,
// and every server that others follow was asked since then. It asks for a round
// if not. Without this a VM could begin on answers from before another VM's
// promotion, and depose the primary that was just promoted.
func (d *decision) fresh(since time.Time) bool {
	n := 0
	for i := range d.Group.Servers {
		if v := d.State.Servers[d.Group.Servers[i].Name]; v != nil && !v.AskedAt.Before(since) {
			n++
		}
	}
	if n >= d.Group.Majority() && d.leadersAsked(since) {
		return true
	}
	if d.State.Round.Started.Before(since) {
		d.add(Probe{})
	}
	return false
}

// leadersAsked reports whether no server may lead that was not asked since the
// given time: the known primary, and those that servers follow that have
// promised to a later term.
func (d *decision) leadersAsked(since time.Time) bool {
	if !d.heardAs(d.State.Primary, d.State.Term, since) {
		return false
	}
	for i := range d.Group.Servers {
		v := d.State.Servers[d.Group.Servers[i].Name]
		if v != nil && v.Status.AdoptedTerm > d.State.Term && !d.heardAs(v.Status.Primary, v.Status.AdoptedTerm, since) {
			return false
		}
	}
	return true
}

// heardAs reports whether the status of a server that is said to lead the term
// is from after its promise to the term, or it was asked since the given time,
// with or without an answer.
func (d *decision) heardAs(server string, term uint64, since time.Time) bool {
	if d.Group.Server(server) == nil {
		return true
	}
	v := d.State.Servers[server]
	return v != nil && (v.Status.AdoptedTerm >= term || !v.AskedAt.Before(since) || !v.FailedAt.Before(since))
}

// startDelay returns how long the condition must last before this VM acts.
func (d *decision) startDelay() (delay time.Duration, act bool) {
	switch d.f.Condition {
	case state.ConditionFailed:
		return d.stagger(), true
	case state.ConditionHeadless:
		switch {
		case d.ticketMayBeOld():
			return ticketPatience + d.stagger(), true
		case d.ownAttemptIsLatest():
			return 0, true
		default:
			return promotionPatience + d.stagger(), true
		}
	case state.ConditionStray:
		return strayPatience + time.Duration(d.watcherOrder())*strayStagger, d.Part.Watcher
	}
	return 0, false
}

// ticketMayBeOld reports whether the group follows a server that this VM's
// configuration does not have. Then a newer ticket has probably not arrived yet,
// and a promotion would depose a working primary.
func (d *decision) ticketMayBeOld() bool {
	unknown := func(server string) bool { return server != "" && d.Group.Server(server) == nil }
	if unknown(d.State.Primary) {
		return true
	}
	for name, v := range d.State.Servers {
		if v.Status.AdoptedTerm >= d.State.Term && unknown(v.Status.Primary) && d.answers(name) {
			return true
		}
	}
	return false
}

// ownAttemptIsLatest reports whether no other VM has begun a promotion since
// this VM's latest attempt.
func (d *decision) ownAttemptIsLatest() bool {
	return d.f.Term > d.State.Term && d.highestTerm() == d.f.Term
}

// begin asks every server to adopt a new term. target and predecessor are set
// in a planned switchover.
func (d *decision) begin(target, predecessor string) {
	term, ok := nextTerm(d.highestTerm(), d.Part.Index)
	if !ok {
		return
	}
	d.f.Term = term
	d.f.Candidate, d.f.Predecessor = target, predecessor
	d.f.Adopted = make(map[string]state.ServerStatus)
	d.f.Refused = make(map[string]bool)
	d.f.MajorityAt = time.Time{}
	if predecessor == "" {
		d.add(Report{Step: StepDetected, Server: d.State.Primary, Term: term, After: d.silence()})
	} else {
		d.add(Report{Step: StepDrained, Server: predecessor, Term: term, After: d.Now.Sub(d.f.StepStarted)})
	}
	d.f.Began = d.Now
	d.enter(state.FailoverAdopting, orderTimeout)
	for i := range d.Group.Servers {
		d.call(Adopt, d.Group.Servers[i].Name, term, "", orderTimeout)
	}
}

// silence is how long the primary has not answered.
func (d *decision) silence() time.Duration {
	if v := d.State.Servers[d.State.Primary]; v != nil && !v.SilentSince.IsZero() {
		return d.Now.Sub(v.SilentSince)
	}
	return d.Now.Sub(d.f.ConditionSince)
}

func (d *decision) enter(s state.FailoverStep, timeout time.Duration) {
	d.f.Step, d.f.StepStarted = s, d.Now
	d.f.StepEnds = d.Now.Add(timeout + stepSlack)
	d.wakeAt(d.f.StepEnds)
}

// adopting promotes the best server once a majority has adopted the term.
func (d *decision) adopting() {
	switch adopted, open := d.countAdopters(); {
	case d.outbid():
		d.giveUp("a server has adopted a later term", promotionPatience+d.retryDelay())
	case adopted+open < d.Group.Majority():
		d.giveUp("no majority adopts the term", d.retryDelay())
	case adopted >= d.Group.Majority():
		d.majorityAdopted(open)
	case d.due(d.f.StepEnds):
		d.giveUp("no majority in time", d.retryDelay())
	}
}

// countAdopters counts the servers that have adopted the term, and those that
// may still do so.
func (d *decision) countAdopters() (adopted, open int) {
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if _, ok := d.f.Adopted[name]; ok {
			adopted++
		} else if !d.f.Refused[name] {
			open++
		}
	}
	return adopted, open
}

// outbid reports whether a server has promised to a later term than that of the
// current attempt. That server could not follow the new primary.
func (d *decision) outbid() bool { return d.highestTerm() > d.f.Term }

func (d *decision) majorityAdopted(open int) {
	if d.f.MajorityAt.IsZero() {
		d.f.MajorityAt = d.Now
		d.add(Report{Step: StepAdopted, Term: d.f.Term, After: d.Now.Sub(d.f.Began)})
	}
	if open > 0 && d.openAnswers() && !d.due(d.f.MajorityAt.Add(adoptGrace)) {
		return
	}
	d.f.Candidate = d.choose()
	d.enter(state.FailoverPromoting, orderTimeout)
	d.call(Promote, d.f.Candidate, d.f.Term, "", orderTimeout)
}

// openAnswers reports whether a server that is expected to answer has not yet
// said whether it adopts the term.
func (d *decision) openAnswers() bool {
	for i := range d.Group.Servers {
		name := d.Group.Servers[i].Name
		if _, ok := d.f.Adopted[name]; !ok && !d.f.Refused[name] && d.answers(name) {
			return true
		}
	}
	return false
}

// promoted records the new primary and tells the other servers to follow it.
func (d *decision) promoted() {
	d.add(Report{Step: StepPromoted, Server: d.f.Candidate, Term: d.f.Term, After: d.Now.Sub(d.f.StepStarted)})
	d.add(Announce{})
	d.f.Predecessor = ""
	d.f.Attempts = 0
	d.f.Following = make(map[string]bool)
	d.enter(state.FailoverFollowing, orderTimeout)
	for i := range d.Group.Servers {
		if name := d.Group.Servers[i].Name; name != d.f.Candidate {
			d.f.Following[name] = true
			d.call(Follow, name, d.f.Term, d.f.Candidate, orderTimeout)
		}
	}
}

// giveUp ends the attempt. A later attempt uses a higher term, because it is
// not known which orders of this one are still carried out.
func (d *decision) giveUp(reason string, retryAfter time.Duration) {
	d.add(Report{Step: StepGivenUp, Server: d.f.Candidate, Term: d.f.Term, Reason: reason})
	if d.f.Step == state.FailoverAdopting && d.f.Predecessor != "" {
		// Without a majority for the new term the drained primary may still be
		// able to work. It refuses if it has adopted the new term.
		d.call(Resume, d.f.Predecessor, d.State.Term, "", orderTimeout)
	}
	d.f.Attempts++
	d.f.RetryAt = d.Now.Add(retryAfter)
	d.end()
	d.wakeAt(d.f.RetryAt)
}

func (d *decision) end() {
	d.f.Step = state.FailoverIdle
	d.f.Candidate, d.f.Predecessor = "", ""
}

// retryDelay differs between VMs, so that two promoters do not keep outbidding
// each other.
func (d *decision) retryDelay() time.Duration {
	doublings := min(d.f.Attempts, retryDoublings)
	slot := d.watcherOrder()
	if !d.Part.Watcher {
		slot += 1 + d.Part.Rank%8
	}
	return retryBase<<doublings + time.Duration(slot)*watcherStagger
}
