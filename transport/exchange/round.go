package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/peer"
)

// runRound is the event of a regular round. It updates the liveness of the
// members and starts exchanges with the peers of this round.
func (e *Exchange) runRound() {
	e.roundPending.Store(false)
	now := e.now()
	voters := e.options.Voters()
	applied := e.options.Applied()
	c, freshness := e.tables.Config.Current(), e.tables.Config.Freshness()
	var changes []membership.Transition
	var peers []membership.Peer
	var relays []string
	e.tables.Members.With(func(ms *state.Members) {
		e.refreshSelf(ms, c, applied, now)
		changes = membership.UpdateLiveness(ms, c, e.self, now)
		relays = membership.Relays(ms, e.self, e.self.DataCentre, now)
		if e.joining && (membership.HasAllEntries(c, ms) || now.Sub(e.started) > membership.MaxJoinTime) {
			e.joining = false
		}
		peers = e.schedule.Peers(membership.Round{
			Self:    e.self,
			Config:  c,
			Members: ms,
			Voters:  voters,
			Seeds:   e.seeds,
			Missed:  membership.StoreMissed(c, ms, e.self, freshness, now),
			Joining: e.joining,
			Random:  rand.IntN,
			Now:     now,
		})
	})
	for _, t := range changes {
		e.logger.WithField("vm", t.Name).Infof("peer: VM is %s", t.To)
	}
	e.config.runRound(relays, now)
	for _, p := range peers {
		e.send(p)
	}
}

// sendTo starts an exchange with a VM outside of the regular rounds. It reports
// false if the VM's address is unknown or the VM is this one.
func (e *Exchange) sendTo(name string) bool {
	target, dataCentre := e.target(name)
	if target.Address == "" || name == e.self.Name {
		return false
	}
	kind := membership.Neighbour
	if dataCentre != e.self.DataCentre {
		kind = membership.Remote
	}
	e.send(membership.Peer{Name: name, DataCentre: dataCentre, Address: target.Address, Kind: kind})
	return true
}

// target returns the address and the data centre of a VM. The address is empty if
// it is unknown.
func (e *Exchange) target(name string) (t peer.Target, dataCentre string) {
	c := e.tables.Config.Current()
	if m, known := e.tables.Members.Get(name); known && m.Address != "" {
		return peer.Target{Name: name, Address: m.Address}, m.DataCentre
	}
	if c != nil {
		if vm, dc := c.VM(name); vm != nil {
			return peer.Target{Name: name, Address: vm.Address}, dc.Name
		}
	}
	for _, s := range e.seeds {
		if s.Name == name {
			return peer.Target{Name: name, Address: s.Address}, s.DataCentre
		}
	}
	return peer.Target{Name: name}, ""
}

// send starts an exchange. If one with the same VM is still running, the new one
// starts after it.
func (e *Exchange) send(p membership.Peer) {
	if e.inFlight[p.Name] {
		e.resend[p.Name] = true
		e.metrics.postponed.Inc(1)
		return
	}
	m := e.newMessage(p)
	timeout := exchangeTimeout
	if m.WantSnapshot {
		timeout = snapshotTimeout
	}
	started := e.tasks.start(func() { e.runExchange(p, m, timeout) })
	if !started {
		e.config.requestEnded(p.Name, m)
		e.metrics.overload.Inc(1)
		return
	}
	e.inFlight[p.Name] = true
}

// runExchange sends a message and queues the result as an event. It runs in its
// own goroutine.
func (e *Exchange) runExchange(p membership.Peer, m *peerapi.Exchange, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(e.running, timeout)
	defer cancel()
	sentAt := e.now()
	a, err := e.client.Exchange(ctx, peer.Target{Name: p.Name, Address: p.Address}, m)
	var received *state.Config
	if err == nil && len(a.Snapshot) > 0 {
		received, err = e.config.decodeSnapshot(a.Config, a.Snapshot)
	}
	e.queue.PostUnbounded(func() { e.handleResult(p, sentAt, m, a, received, err) })
}

// handleResult is the event for an exchange that ended.
func (e *Exchange) handleResult(p membership.Peer, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeResponse, received *state.Config, err error) {
	delete(e.inFlight, p.Name)
	if err != nil {
		e.metrics.failed.Inc(1)
		e.logger.WithError(err).WithField("vm", p.Name).Debug("peer: exchange failed")
		e.config.requestEnded(p.Name, m)
	} else {
		e.metrics.done.Inc(1)
		e.mergeResponse(sentAt, a)
		if received != nil {
			e.config.activate(received, a.Snapshot, p.Name)
		}
		for _, x := range e.extensions {
			x.HandleResponse(a.Sender, sentAt, m, a)
		}
	}
	if e.resend[p.Name] {
		delete(e.resend, p.Name)
		e.send(p)
	}
}
