package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// The server is checked while a request has received no part of its answer. A
// network partition closes no connection, so the client would otherwise wait
// until its deadline.
const (
	firstCheckDelay = 100 * time.Millisecond // after the request is sent
	recheckDelay    = 200 * time.Millisecond // after the previous check
	// replicaStatusTimeout is the time within which a replica must answer a
	// status query while a read waits for it.
	replicaStatusTimeout = 400 * time.Millisecond
	// supersededGrace is the time for an answer that may be on its way to arrive
	// after a later primary was found, as in a planned switchover.
	supersededGrace = 100 * time.Millisecond
)

// checkServer finds out whether the server that runs the request can still answer
// it. If not, the request is retried or ends with an unknown outcome.
func (d *Decider) checkServer(s *state.Session, now time.Time) []Effect {
	switch {
	case s.Answering:
		return nil
	case s.Superseded:
		effects := d.discardConn(s)
		return append(effects, d.retryOrFail(s, ConnectionLost, now)...)
	case s.TargetsPrimary:
		return []Effect{d.queryServers(s, now, s.Request.Deadline)}
	case s.CheckedAt.IsZero():
		s.CheckedAt = now
		return []Effect{
			d.queryServers(s, now, earlier(now.Add(replicaStatusTimeout), s.Request.Deadline)),
			SetTimer{Request: s.Request.Number, At: now.Add(replicaStatusTimeout)},
		}
	case d.answeredSince(s, s.CheckedAt):
		s.CheckedAt = time.Time{}
		return []Effect{SetTimer{Request: s.Request.Number, At: now.Add(recheckDelay)}}
	}
	effects := append(d.discardConn(s), ReportFailure{Group: d.groupOf(s), Server: s.Server})
	return append(effects, d.retryOrFail(s, ConnectionLost, now)...)
}

// queryServers asks all servers of the group for their status. The waiter also
// shows the failover logic that a request is waiting for the primary.
func (d *Decider) queryServers(s *state.Session, now, deadline time.Time) Effect {
	return AwaitPosition{Group: d.groupOf(s), Waiter: state.PositionWaiter{
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
		answered = !g.View(s.Server).QueriedAt.Before(since)
	})
	return answered
}

// handleServerCheck handles the result of queryServers. If a later primary than
// the request's own was found, the request is abandoned after supersededGrace,
// because its server can no longer get a majority to acknowledge it.
func (d *Decider) handleServerCheck(s *state.Session, r replication.Result, now time.Time) []Effect {
	if s.Answering || !s.TargetsPrimary {
		return nil
	}
	if r.Kind != replication.Satisfied || r.Term <= s.Term {
		return []Effect{SetTimer{Request: s.Request.Number, At: now.Add(recheckDelay)}}
	}
	s.Superseded = true
	if !d.reachable(s) {
		return d.checkServer(s, now)
	}
	return []Effect{SetTimer{Request: s.Request.Number, At: now.Add(supersededGrace)}}
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
