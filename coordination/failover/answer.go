package failover

import "github.com/chestnutdyke/chestnutdyke/state"

// answer takes in the end of a call. An answer that belongs to an earlier
// attempt or step only tells the server's status.
func (d *decision) answer(c Call, o Outcome) {
	if d.Group.Server(c.Server) == nil {
		return
	}
	if o.Result != Failed && o.Status.Server != c.Server {
		o = Outcome{Result: Failed} // the control address leads to another server
	}
	if o.Result != Failed {
		d.State.Observe(o.Status, c.Sent)
	}
	switch c.Order {
	case Adopt:
		d.answerAdopt(c, o)
	case Promote:
		d.answerPromote(c, o)
	case Follow:
		d.answerFollow(c)
	case Switchover:
		d.answerSwitchover(c, o)
	}
}

func (d *decision) answerAdopt(c Call, o Outcome) {
	if d.f.Step != state.FailoverAdopting || c.Term != d.f.Term {
		return
	}
	if o.Result == Done && o.Status.AdoptedTerm == c.Term {
		d.f.Adopted[c.Server] = o.Status
		delete(d.f.Refused, c.Server)
		return
	}
	if _, adopted := d.f.Adopted[c.Server]; !adopted {
		d.f.Refused[c.Server] = true
	}
}

func (d *decision) answerPromote(c Call, o Outcome) {
	if d.f.Step != state.FailoverPromoting || c.Term != d.f.Term || c.Server != d.f.Candidate {
		return
	}
	switch {
	case o.Result == Done && o.Status.Leads(c.Term):
		// settleSuperseded finds the new primary in the group's state.
	case o.Result == Failed:
		d.giveUp("the candidate did not answer", d.retryDelay())
	default:
		d.giveUp("the candidate refused", promotionPatience+d.retryDelay())
	}
}

func (d *decision) answerFollow(c Call) {
	if d.f.Step != state.FailoverFollowing || c.Term != d.f.Term {
		return
	}
	delete(d.f.Following, c.Server)
	if len(d.f.Following) == 0 {
		d.f.Step = state.FailoverIdle
	}
}

func (d *decision) answerSwitchover(c Call, o Outcome) {
	if d.f.Step != state.FailoverSwitching || c.Server != d.f.Predecessor || c.Term != d.State.Term || c.Peer != d.f.Candidate {
		return
	}
	switch o.Result {
	case Done:
		d.begin(d.f.Candidate, d.f.Predecessor)
	case Refused:
		// Another VM's switchover may be under way; a resume would break it.
		d.giveUp("the primary refused the switchover", d.retryDelay())
	default:
		d.giveUpSwitchover("the switchover failed")
	}
}
