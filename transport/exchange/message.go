package exchange

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// unlistedEntries is the number of entries in a request. They are about VMs
// that the configuration does not list, since digests cover the others.
const unlistedEntries = 4

// refreshSelf gives this VM's own entry the next sequence number and returns it.
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
		e.logReplaced(m.Incarnation)
	}
	return entry
}

func (e *Exchange) logReplaced(by uint64) {
	if !e.replacedLog {
		e.replacedLog = true
		e.logger.WithField("incarnation", by).Error("peer: this VM was replaced by a higher incarnation")
	}
}

// stamp returns the sender of the next message.
func (e *Exchange) stamp() peerapi.Sender {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	var sender peerapi.Sender
	e.tables.Members.With(func(ms *state.Members) {
		sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(c))
	})
	return sender
}

// compose returns the message to a partner.
func (e *Exchange) compose(p membership.Partner) *peerapi.Exchange {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	m := &peerapi.Exchange{}
	e.tables.Members.With(func(ms *state.Members) {
		m.Sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(c))
		for _, dc := range e.topics.Request(c, ms, e.self, p, e.joining) {
			m.Heard = append(m.Heard, peerapi.Heard(membership.DigestOf(ms, c, dc, now)))
		}
		if p.Brief {
			return
		}
		entries := e.unlisted.Choose(ms, c, unlistedEntries, now, func(m *state.Member) bool {
			return m.Name != e.self.Name && !m.Listed
		})
		m.Members = members(entries)
	})
	for _, part := range e.parts {
		part.Fill(p.Name, m)
	}
	if p.Brief && !m.Want {
		m.Config = peerapi.ConfigDigest{Number: m.Config.Number}
	}
	return m
}

// receive is the event of a message from another VM. It returns the answer.
func (e *Exchange) receive(m *peerapi.Exchange) *peerapi.ExchangeAnswer {
	now, c, applied := e.now(), e.tables.Config.Current(), e.options.Applied()
	listing := c // what the sender can look up
	if m.Config.Number == 0 {
		listing = nil
	}
	a := &peerapi.ExchangeAnswer{}
	e.tables.Members.With(func(ms *state.Members) {
		different := e.merge(ms, c, m.Sender, m.Config, m.Members, m.Heard, now)
		a.Sender = peerapi.SenderOf(e.refreshSelf(ms, c, applied, now).Shorten(listing))
		a.Sender.Name = ""
		for _, dc := range membership.AnswerTopics(c, e.self, heardOf(m)) {
			a.Heard = append(a.Heard, peerapi.Heard(membership.DigestOf(ms, c, dc, now)))
		}
		if m.Config.Number == 0 || len(different) > 0 {
			a.Members = e.explain(ms, listing, m, different, now)
		}
	})
	for _, part := range e.parts {
		part.Handle(m.Sender, m, a)
	}
	if m.Config.Brief() {
		a.Config = peerapi.ConfigDigest{Number: a.Config.Number}
	}
	return a
}

// explain returns the entries for a sender that has no configuration, and
// therefore sends no digests, or has other entries about some data centres.
func (e *Exchange) explain(ms *state.Members, listing *state.Config, m *peerapi.Exchange, different map[string]bool, now time.Time) []peerapi.Member {
	return members(e.answers.Choose(ms, listing, membership.MaxEntries, now, func(known *state.Member) bool {
		if known.Name == e.self.Name || known.Name == m.Sender.Name {
			return false
		}
		return m.Config.Number == 0 || different[known.DataCentre]
	}))
}

// mergeAnswer records what an answer says of VMs. Ages are counted back from the
// sending of the question.
func (e *Exchange) mergeAnswer(sentAt time.Time, a *peerapi.ExchangeAnswer) {
	c := e.tables.Config.Current()
	e.tables.Members.With(func(ms *state.Members) {
		e.merge(ms, c, a.Sender, a.Config, a.Members, a.Heard, sentAt)
	})
}

// merge records what a message says of VMs, with ages counted back from the
// local time at. It returns the data centres about which the sender has other
// entries. Digests carry no sequence numbers, so those of a message that is not
// the latest of its sender are ignored.
func (e *Exchange) merge(ms *state.Members, c *state.Config, from peerapi.Sender, config peerapi.ConfigDigest, entries []peerapi.Member, heard []peerapi.Heard, at time.Time) map[string]bool {
	now := e.now()
	latest := membership.Merge(ms, c, from.Entry(config.Applied), at, now) != membership.Unchanged
	for _, entry := range entries {
		membership.Merge(ms, c, entry.Entry(), at, now)
	}
	if !latest {
		return nil
	}
	different := make(map[string]bool)
	for _, h := range heard {
		if !membership.MergeDigest(ms, c, config.Number, membership.Digest(h), at) {
			different[h.DataCentre] = true
		}
	}
	return different
}

// heardOf returns the data centres whose digests a message holds.
func heardOf(m *peerapi.Exchange) []string {
	var names []string
	for _, h := range m.Heard {
		names = append(names, h.DataCentre)
	}
	return names
}

func members(entries []membership.Entry) []peerapi.Member {
	var list []peerapi.Member
	for _, entry := range entries {
		list = append(list, peerapi.MemberOf(entry))
	}
	return list
}
