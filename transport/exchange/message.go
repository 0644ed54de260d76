package exchange

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// unlistedEntries is the maximum number of member entries in a request. They are
// about VMs that the configuration does not list; digests cover the listed ones.
const unlistedEntries = 4

// refreshSelf updates this VM's own entry with the next sequence number and
// returns it.
func (e *Exchange) refreshSelf(ms *state.Members, c *state.Config, applied uint64, now time.Time) membership.Entry {
	e.sequence++
	entry := membership.Entry{
		Name:          e.self.Name,
		Incarnation:   e.self.Incarnation,
		Sequence:      e.sequence,
		DataCentre:    e.self.DataCentre,
		Address:       e.options.Address,
		State:         e.state,
		AppliedTicket: applied,
	}
	membership.Merge(ms, c, entry, now, now)
	if m := ms.ByName[e.self.Name]; m.Incarnation > e.self.Incarnation {
		e.logReplacement(m.Incarnation)
	}
	return entry
}

func (e *Exchange) logReplacement(by uint64) {
	if !e.replacementLogged {
		e.replacementLogged = true
		e.logger.WithField("incarnation", by).Error("peer: this VM was replaced by a higher incarnation")
	}
}

// nextSender returns the sender section of the next message.
func (e *Exchange) nextSender() peerapi.Sender {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	var sender peerapi.Sender
	e.tables.Members.With(func(ms *state.Members) {
		sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(c))
	})
	return sender
}

// newMessage returns the next message to a peer.
func (e *Exchange) newMessage(p membership.Peer) *peerapi.Exchange {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	m := &peerapi.Exchange{}
	e.tables.Members.With(func(ms *state.Members) {
		m.Sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(c))
		for _, dc := range e.digestSelector.Request(c, ms, e.self, p, e.joining) {
			m.Heard = append(m.Heard, peerapi.MembershipDigest(membership.NewDigest(ms, c, dc, now)))
		}
		if p.Brief {
			return
		}
		entries := e.requestEntries.Choose(ms, c, unlistedEntries, now, func(m *state.Member) bool {
			return m.Name != e.self.Name && !m.Listed
		})
		m.Members = toMembers(entries)
	})
	for _, x := range e.extensions {
		x.AddSections(p.Name, m)
	}
	if p.Brief && !m.WantSnapshot {
		m.Config = peerapi.ConfigDigest{Number: m.Config.Number}
	}
	return m
}

// handleExchange is the event for a message from another VM. It returns the
// response.
func (e *Exchange) handleExchange(m *peerapi.Exchange) *peerapi.ExchangeResponse {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	senderConfig := c // the configuration from which the sender can complete shortened entries
	if m.Config.Number == 0 {
		senderConfig = nil
	}
	a := &peerapi.ExchangeResponse{}
	e.tables.Members.With(func(ms *state.Members) {
		differing := e.merge(ms, c, m.Sender, m.Config, m.Members, m.Heard, now)
		a.Sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(senderConfig))
		a.Sender.Name = ""
		for _, dc := range membership.ResponseDataCentres(c, e.self, heardDataCentres(m)) {
			a.Heard = append(a.Heard, peerapi.MembershipDigest(membership.NewDigest(ms, c, dc, now)))
		}
		if m.Config.Number == 0 || len(differing) > 0 {
			a.Members = e.selectMembers(ms, senderConfig, m, differing, now)
		}
	})
	for _, x := range e.extensions {
		x.HandleRequest(m.Sender, m, a)
	}
	if m.Config.Brief() {
		a.Config = peerapi.ConfigDigest{Number: a.Config.Number}
	}
	return a
}

// selectMembers returns the entries for a sender that has no configuration, and
// therefore sends no digests, or whose entries about some data centres differ
// from this VM's.
func (e *Exchange) selectMembers(ms *state.Members, senderConfig *state.Config, m *peerapi.Exchange, differing map[string]bool, now time.Time) []peerapi.Member {
	return toMembers(e.responseEntries.Choose(ms, senderConfig, membership.MaxEntries, now, func(known *state.Member) bool {
		if known.Name == e.self.Name || known.Name == m.Sender.Name {
			return false
		}
		return m.Config.Number == 0 || differing[known.DataCentre]
	}))
}

// mergeResponse merges the member data of a response. Ages are relative to the time
// at which the request was sent, so that members do not appear to have been heard
// of more recently than they were.
func (e *Exchange) mergeResponse(sentAt time.Time, a *peerapi.ExchangeResponse) {
	c := e.tables.Config.Current()
	e.tables.Members.With(func(ms *state.Members) {
		e.merge(ms, c, a.Sender, a.Config, a.Members, a.Heard, sentAt)
	})
}

// merge merges the member data of a message, whose ages are relative to the local
// time at. It returns the data centres about which the sender's entries differ.
// Digests have no sequence numbers, so they are ignored unless the message is the
// latest one of its sender.
func (e *Exchange) merge(ms *state.Members, c *state.Config, from peerapi.Sender, config peerapi.ConfigDigest, entries []peerapi.Member, heard []peerapi.MembershipDigest, at time.Time) map[string]bool {
	now := e.now()
	latest := membership.Merge(ms, c, from.Entry(config.Applied), at, now) != membership.Unchanged
	for _, entry := range entries {
		membership.Merge(ms, c, entry.Entry(), at, now)
	}
	if !latest {
		return nil
	}
	differing := make(map[string]bool)
	for _, h := range heard {
		if !membership.MergeDigest(ms, c, config.Number, membership.Digest(h), at) {
			differing[h.DataCentre] = true
		}
	}
	return differing
}

// heardDataCentres returns the data centres whose digests a message contains.
func heardDataCentres(m *peerapi.Exchange) []string {
	var names []string
	for _, h := range m.Heard {
		names = append(names, h.DataCentre)
	}
	return names
}

func toMembers(entries []membership.Entry) []peerapi.Member {
	var list []peerapi.Member
	for _, entry := range entries {
		list = append(list, peerapi.MemberOf(entry))
	}
	return list
}
