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

// Limits of a push.
const (
	pushParallel = 8
	pushTimeout  = 2 * time.Second
)

// round is the part of a regular round that concerns the configuration: the
// relay role, the contact to the store, and the snapshot.
func (p *configPart) round(relays []string, now time.Time) {
	p.setRelay(slices.Contains(relays, p.e.self.Name))
	p.assess(now)
	if c := p.e.tables.Config.Current(); c != nil && p.snapshot.ticket != c.Ticket {
		p.pack(c) // put in force by another part of the process, or not encoded then
	}
}

// setRelay starts and stops the watch as the role moves.
func (p *configPart) setRelay(relay bool) {
	setFlag(p.e.metrics.relay, relay)
	if relay != p.relay {
		p.relay = relay
		p.e.logger.WithField("relay", relay).Info("peer: relay role changed")
	}
	switch {
	case relay && p.stopWatch == nil && p.options.Store != nil:
		ctx, stop := context.WithCancel(p.e.running)
		after := p.version
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

// assess records how this VM stands to the store. The time up to which the
// store was down for all VMs counts as confirmed, so that a VM that is cut off
// afterwards has the whole time that its customers accept.
func (p *configPart) assess(now time.Time) {
	e := p.e
	c, fresh := e.tables.Config.Current(), e.tables.Config.Freshness()
	down, until := false, time.Time{}
	e.tables.Members.With(func(ms *state.Members) {
		down, until = membership.StoreDown(c, ms, e.self, fresh, now)
	})
	if down {
		e.tables.Config.Confirm(until)
	}
	reached := p.relay && !p.reachedAt.IsZero() && now.Sub(p.reachedAt) <= membership.MissedAfter
	e.tables.Config.SetStore(reached, down)
	setFlag(e.metrics.storeDown, down)
	if c == nil || fresh.ConfirmedAt.IsZero() {
		return
	}
	age := access.Elapsed(fresh.ConfirmedAt, now)
	e.metrics.age.Update(age.Seconds())
	p.logContact(down, age > access.ContactBound)
}

func (p *configPart) logContact(down, old bool) {
	state := inContact
	switch {
	case down:
		state = storeDown
	case old:
		state = cutOff
	}
	if state == p.contact {
		return
	}
	p.contact = state
	if state == inContact {
		p.e.logger.Infof("peer: %s", state)
		return
	}
	p.e.logger.Warnf("peer: %s", state)
}

// push sends the snapshot to the VMs of this data centre, and announces it to the
// relays of every other one in case the store is reached from here only.
func (p *configPart) push() {
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
			targets[t] = p.pushMessage()
		}
	}
	if len(targets) > 0 && !e.tasks.start(func() { p.pushAll(targets) }) {
		e.metrics.overload.Inc(1)
	}
}

func (p *configPart) pushMessage() *peerapi.ConfigPush {
	m := &peerapi.ConfigPush{Sender: p.e.stamp(), Config: p.digest(), Snapshot: p.snapshot.data}
	m.Config.Digest = p.snapshot.ticket.Digest
	return m
}

// pushAll runs in its own goroutine. A VM that a push misses gets the
// configuration through the exchange.
func (p *configPart) pushAll(targets map[peer.Target]*peerapi.ConfigPush) {
	var g errgroup.Group
	g.SetLimit(pushParallel)
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
	_ = g.Wait() // failures are counted
}
