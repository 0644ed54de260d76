package failover

import "github.com/chestnutdyke/chestnutdyke/state"

// handleOutcome processes the outcome of a call. An outcome of an earlier
// attempt or step only updates the server's status.
func (d *decision) handleOutcome(c Call, o Outcome) {
	if d.Group.Server(c.Server) == nil {
		return
	}
	if o.Result != Failed && o.Status.Server != c.Server {
		o = Outcome{Result: Failed} // another server answered at this control address
	}
	if o.Result != Failed {
		d.State.Observe(o.Status, c.Sent)
	}
	switch c.Order {
	case Adopt:
		d.handleAdopt(c, o)
	case Promote:
		d.handlePromote(c, o)
	case Follow:
		d.handleFollow(c)
	case Switchover:
		d.handleSwitchover(c, o)
	}
}

func (d *decision) handleAdopt(c Call, o Outcome) {
	if d.failover.Step != state.FailoverAdopting || c.Term != d.failover.Term {
		return
	}
	if o.Result == Done && o.Status.AdoptedTerm == c.Term {
		d.failover.Adopted[c.Server] = o.Status
		delete(d.failover.Refused, c.Server)
		return
	}
	if _, adopted := d.failover.Adopted[c.Server]; !adopted {
		d.failover.Refused[c.Server] = true
	}
}

func (d *decision) handlePromote(c Call, o Outcome) {
	if d.failover.Step != state.FailoverPromoting || c.Term != d.failover.Term || c.Server != d.failover.Candidate {
		return
	}
	switch {
	case o.Result == Done && o.Status.Leads(c.Term):
		// reconcileAttempt finds the new primary in the group's state.
	case o.Result == Failed:
		d.abort("the candidate did not answer", d.retryDelay())
	default:
		d.abort("the candidate refused", promotionGrace+d.retryDelay())
	}
}

func (d *decision) handleFollow(c Call) {
	if d.failover.Step != state.FailoverFollowing || c.Term != d.failover.Term {
		return
	}
	delete(d.failover.FollowPending, c.Server)
	if len(d.failover.FollowPending) == 0 {
		d.failover.Step = state.FailoverIdle
	}
}

func (d *decision) handleSwitchover(c Call, o Outcome) {
	if d.failover.Step != state.FailoverSwitching || c.Server != d.failover.Predecessor || c.Term != d.State.Term || c.Peer != d.failover.Candidate {
		return
	}
	switch o.Result {
	case Done:
		d.beginAttempt(d.failover.Candidate, d.failover.Predecessor)
	case Refused:
		// Another VM's switchover may be in progress, and a resume would abort it.
		d.abort("the primary refused the switchover", d.retryDelay())
	default:
		d.abortSwitchover("the switchover failed")
	}
}
