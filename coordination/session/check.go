package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// A request whose answer does not begin is checked on: a server that is cut off
// breaks no connection, and the client would wait until its deadline.
const (
	firstCheck = 100 * time.Millisecond // from the sending of the request
	nextCheck  = 200 * time.Millisecond // from the previous check
	// replicaPatience is how long a replica may take to answer a status query
	// while a read waits for it.
	replicaPatience = 400 * time.Millisecond
	// supersededGrace is left to an answer that is on its way when a later
	// primary is known, as in a planned switchover.
	supersededGrace = 100 * time.Millisecond
)

// check finds out whether the server that runs the request can still answer.
func (d *Decider) check(s *state.Session, now time.Time) []Effect {
	switch {
	case s.Answering:
		return nil
	case s.Superseded:
		effects := d.dropConn(s)
		return append(effects, d.afterLoss(s, ConnectionLost, now)...)
	case s.TargetsPrimary:
		return []Effect{d.queryServers(s, now, s.Request.Deadline)}
	case s.CheckedAt.IsZero():
		s.CheckedAt = now
		return []Effect{
			d.queryServers(s, now, earlier(now.Add(replicaPatience), s.Request.Deadline)),
			Wake{Request: s.Request.Number, At: now.Add(replicaPatience)},
		}
	case d.answeredSince(s, s.CheckedAt):
		s.CheckedAt = time.Time{}
		return []Effect{Wake{Request: s.Request.Number, At: now.Add(nextCheck)}}
	}
	effects := append(d.dropConn(s), Suspect{Group: d.groupOf(s), Server: s.Server})
	return append(effects, d.afterLoss(s, ConnectionLost, now)...)
}

// queryServers asks all servers of the group for their status. The waiter also
// tells the failover that a request waits for the primary.
func (d *Decider) queryServers(s *state.Session, now, deadline time.Time) Effect {
	return Await{Group: d.groupOf(s), Waiter: state.PositionWaiter{
		ID:       waiterID(s),
		Kind:     state.WaitPrimary,
		Joined:   now,
		Deadline: deadline,
	}}
}

// answeredSince reports whether the session's server answered a status query
// that was sent at the given time or later.
func (d *Decider) answeredSince(s *state.Session, since time.Time) bool {
	answered := false
	d.Tables.Groups.With(d.groupOf(s), func(g *state.GroupState) {
		answered = !g.View(s.Server).AskedAt.Before(since)
	})
	return answered
}

// checked takes the primary that queryServers found. The request is given up
// after a while if a later primary than its own is found, because its server
// cannot acknowledge it any more.
func (d *Decider) checked(s *state.Session, r replication.Result, now time.Time) []Effect {
	if s.Answering || !s.TargetsPrimary {
		return nil
	}
	if r.Kind != replication.Satisfied || r.Term <= s.Term {
		return []Effect{Wake{Request: s.Request.Number, At: now.Add(nextCheck)}}
	}
	s.Superseded = true
	if !d.reachable(s) {
		return d.check(s, now)
	}
	return []Effect{Wake{Request: s.Request.Number, At: now.Add(supersededGrace)}}
}

// reachable reports whether the session's server answered the latest status
// query.
func (d *Decider) reachable(s *state.Session) bool {
	reachable := false
	d.Tables.Groups.With(d.groupOf(s), func(g *state.GroupState) {
		reachable = g.View(s.Server).Reachable()
	})
	return reachable
}
