package exchange

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/peer"
)

// Limits of pushes.
const (
	maxParallelPushes = 8
	pushTimeout       = 2 * time.Second
)

// runRound updates the relay role, the status of the store and the snapshot in
// each regular round.
func (p *configExtension) runRound(relays []string, now time.Time) {
	p.setRelay(slices.Contains(relays, p.e.self.Name))
	p.updateStoreStatus(now)
	if c := p.e.tables.Config.Current(); c != nil && p.snapshot.ticket != c.Ticket {
		p.startEncoding(c) // put in force by another component, or no task was free to encode it
	}
}

// setRelay sets the relay role and starts or stops the watch of the store.
func (p *configExtension) setRelay(relay bool) {
	setBoolGauge(p.e.metrics.relay, relay)
	if relay != p.isRelay {
		p.isRelay = relay
		p.e.logger.WithField("relay", relay).Info("peer: relay role changed")
	}
	switch {
	case relay && p.stopWatch == nil && p.options.Store != nil:
		ctx, stop := context.WithCancel(p.e.running)
		after := p.storedVersion
		if !p.e.tasks.start(func() { p.watch(ctx, after) }) {
			stop()
			return
		}
		p.stopWatch = stop
	case !relay && p.stopWatch != nil:
		p.stopWatch()
		p.stopWatch = nil
	}
}

// updateStoreStatus records whether this VM reaches the store and whether the
// store is down for all VMs. Time during which it is down for all VMs counts as
// confirmed, so that a VM that is cut off afterwards may serve for the full time
// that its customers accept.
func (p *configExtension) updateStoreStatus(now time.Time) {
	e := p.e
	c, freshness := e.tables.Config.Current(), e.tables.Config.Freshness()
	down, until := false, time.Time{}
	e.tables.Members.With(func(ms *state.Members) {
		down, until = membership.StoreDown(c, ms, e.self, freshness, now)
	})
	if down {
		e.tables.Config.Confirm(until)
	}
	reached := p.isRelay && !p.reachedAt.IsZero() && now.Sub(p.reachedAt) <= membership.StoreMissedAfter
	e.tables.Config.SetStore(reached, down)
	setBoolGauge(e.metrics.storeDown, down)
	if c == nil || freshness.ConfirmedAt.IsZero() {
		return
	}
	age := access.Elapsed(freshness.ConfirmedAt, now)
	e.metrics.age.Update(age.Seconds())
	p.logStoreStatus(down, age > access.MaxConfirmationAge)
}

func (p *configExtension) logStoreStatus(down, old bool) {
	status := storeConfirmed
	switch {
	case down:
		status = storeDown
	case old:
		status = cutOff
	}
	if status == p.storeStatus {
		return
	}
	p.storeStatus = status
	if status == storeConfirmed {
		p.e.logger.Infof("peer: %s", status)
		return
	}
	p.e.logger.Warnf("peer: %s", status)
}

// pushSnapshot sends the snapshot to the VMs of this data centre. It also starts
// exchanges with the relays of the other data centres, in case only this data
// centre reaches the store.
func (p *configExtension) pushSnapshot() {
	e, now := p.e, p.e.now()
	number := p.snapshot.ticket.Number
	var names, remote []string
	c := e.tables.Config.Current()
	e.tables.Members.With(func(ms *state.Members) {
		names = membership.PushTargets(ms, e.self, number, now)
		for _, dc := range membership.OtherDataCentres(c, e.self.DataCentre) {
			for _, relay := range membership.Relays(ms, e.self, dc, now) {
				if ms.ByName[relay].AppliedTicket < number {
					remote = append(remote, relay)
				}
			}
		}
	})
	for _, name := range remote {
		e.sendTo(name)
	}
	targets := make(map[peer.Target]*peerapi.ConfigPush)
	for _, name := range names {
		if t, _ := e.target(name); t.Address != "" {
			targets[t] = p.newPushMessage()
		}
	}
	if len(targets) > 0 && !e.tasks.start(func() { p.sendPushes(targets) }) {
		e.metrics.overload.Inc(1)
	}
}

func (p *configExtension) newPushMessage() *peerapi.ConfigPush {
	m := &peerapi.ConfigPush{Sender: p.e.nextSender(), Config: p.digest(), Snapshot: p.snapshot.data}
	m.Config.Digest = p.snapshot.ticket.Digest
	return m
}

// sendPushes sends pushes concurrently. It runs in its own goroutine. A VM whose
// push fails receives the configuration through the regular exchange.
func (p *configExtension) sendPushes(targets map[peer.Target]*peerapi.ConfigPush) {
	var g errgroup.Group
	g.SetLimit(maxParallelPushes)
	for target, m := range targets {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(p.e.running, pushTimeout)
			defer cancel()
			if err := p.e.client.PushConfig(ctx, target, m); err != nil {
				p.e.metrics.pushFailed.Inc(1)
				p.e.logger.WithError(err).WithField("vm", target.Name).Debug("peer: push failed")
				return nil
			}
			p.e.metrics.pushed.Inc(1)
			return nil
		})
	}
	_ = g.Wait() // the metrics count failures
}
