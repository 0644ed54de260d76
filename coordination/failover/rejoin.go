package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// rejoinReplicas orders servers that do not follow the primary to do so: a
// deposed primary that has recovered, or replicas that received no order
// because the VM that promoted the primary failed.
func (d *decision) rejoinReplicas() {
	if !d.mayAct() || !d.isResponsive(d.State.Primary) || !d.State.Servers[d.State.Primary].Status.Leads(d.State.Term) {
		return
	}
	for i := range d.Group.Servers {
		if name := d.Group.Servers[i].Name; name != d.State.Primary && d.isResponsive(name) {
			d.rejoinServer(name, d.State.Servers[name])
		}
	}
}

// rejoinServer orders a responsive server to follow the primary once it has been
// detached for long enough.
func (d *decision) rejoinServer(name string, v *state.ServerView) {
	if !d.detached(name) {
		v.DetachedSince = time.Time{}
		return
	}
	if v.DetachedSince.IsZero() {
		v.DetachedSince = d.Now
	}
	if v.Status.AdoptedTerm > d.State.Term || d.failover.Step != state.FailoverIdle {
		return // it would refuse the order, or the current attempt sends one
	}
	at := v.DetachedSince.Add(rejoinDelay + d.stagger())
	if at.Before(v.FollowAt) {
		at = v.FollowAt
	}
	// A status from before DetachedSince can predate the latest promotion.
	if !d.due(at) || !v.QueriedAt.After(v.DetachedSince) {
		return
	}
	v.FollowAt = d.Now.Add(followRetry)
	d.emit(Report{Step: StepFollow, Server: name, Term: d.State.Term})
	d.sendOrder(Follow, name, d.State.Term, d.State.Primary, orderTimeout)
}

// detached reports whether a responsive server does not follow the primary.
func (d *decision) detached(name string) bool {
	st := &d.State.Servers[name].Status
	return st.Role == state.Primary || st.Primary != d.State.Primary || st.AdoptedTerm != d.State.Term
}
