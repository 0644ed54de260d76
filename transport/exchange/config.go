package exchange

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/access"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// maxSnapshot is the largest encoded configuration in bytes. The store's
// largest value is 1 MiB; the rest is room for another encoding.
const maxSnapshot = 8 << 20

// askInterval is the least time between two requests for a snapshot of which
// the first brought none, because the other VM was still encoding it or this
// one cannot decode it.
const askInterval = 500 * time.Millisecond

// askTimeout is the time after which another VM is asked as well.
const askTimeout = time.Second

// ConfigOptions are the options of the distribution of the configuration.
type ConfigOptions struct {
	// Encode and Decode translate snapshots.
	Encode func(*state.Config) ([]byte, error)
	Decode func([]byte) (*state.Config, error)
	// Store is watched while this VM is a relay. It may be nil.
	Store ConfigStore
	// DecodeStored translates the value of the store's object; Decode if nil.
	DecodeStored func([]byte) (*state.Config, error)
}

// configPart distributes the configuration. Unless stated otherwise its fields
// belong to the events of the exchange's queue.
type configPart struct {
	e       *Exchange
	options ConfigOptions

	snapshot  snapshot // of the configuration in force, if its ticket is the same
	packing   bool     // a task is making the snapshot
	wanted    string   // VM that is being asked for its snapshot; empty if none
	wantedAt  time.Time
	askAfter  time.Time
	relay     bool
	stopWatch func()         // stops the watch; nil while this VM is no relay
	version   uint64         // of the store's object that was read last
	stored    state.TicketID // ticket of that object
	behind    bool           // its number was lower than the current one at the last answer
	reachedAt time.Time      // when the store answered last
	contact   contact
	conflict  state.TicketID // ticket whose conflict with the current one was logged last
}

// snapshot is an encoded and compressed configuration.
type snapshot struct {
	ticket state.TicketID
	data   []byte // nil if it cannot be encoded
}

// contact says how this VM stands to the store, for the log.
type contact string

const (
	inContact contact = "the configuration is confirmed by the store"
	storeDown contact = "the store is down for all VMs"
	cutOff    contact = "this VM is cut off from the store"
)

func newConfigPart(e *Exchange, o ConfigOptions) *configPart {
	if o.DecodeStored == nil {
		o.DecodeStored = o.Decode
	}
	return &configPart{e: e, options: o, contact: inContact}
}

// Fill implements Part.
func (p *configPart) Fill(to string, m *peerapi.Exchange) {
	m.Config = p.digest()
	m.Want = p.wanted != "" && p.wanted == to
}

// Handle implements Part.
func (p *configPart) Handle(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	current := p.compare(from.Name, m.Config)
	a.Config = p.digest()
	if m.Want && m.Config.Number < current.Number && p.snapshot.ticket == current {
		a.Config.Digest = current.Digest
		a.Snapshot = p.snapshot.data
	}
}

// HandleAnswer implements Part.
func (p *configPart) HandleAnswer(from peerapi.Sender, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeAnswer) {
	p.asked(from.Name, m)
	current := p.compare(from.Name, a.Config)
	age := time.Duration(a.Config.ConfirmedAge)
	same := current.Number > 0 && a.Config.Number == current.Number && samePrefix(current.Digest, a.Config.Digest)
	if at, valid := membership.Confirmation(same, age, sentAt); valid {
		p.e.tables.Config.Confirm(at)
	}
	report := membership.Report{Reached: age > 0 && age <= membership.MissedAfter, Missed: a.Config.StoreMissed}
	p.e.tables.Members.With(func(ms *state.Members) {
		if m := ms.ByName[from.Name]; m != nil {
			report.Record(ms, m.DataCentre, sentAt)
		}
	})
}

// asked notes that a message was answered, or was not. If it asked for a
// snapshot, the next request may go out after a pause.
func (p *configPart) asked(name string, m *peerapi.Exchange) {
	if m.Want && p.wanted == name {
		p.wanted = ""
		p.askAfter = p.e.now().Add(askInterval)
	}
}

// digest describes the configuration in force.
func (p *configPart) digest() peerapi.ConfigDigest {
	e := p.e
	c, fresh, applied, now := e.tables.Config.Current(), e.tables.Config.Freshness(), e.options.Applied(), e.now()
	if c == nil {
		return peerapi.ConfigDigest{}
	}
	d := peerapi.ConfigDigest{
		Number:       c.Ticket.Number,
		Digest:       prefix(c.Ticket.Digest),
		Applied:      applied,
		StoreReached: fresh.StoreReached,
	}
	if !fresh.ConfirmedAt.IsZero() {
		d.ConfirmedAge = peerapi.AgeOf(access.Elapsed(fresh.ConfirmedAt, now))
	}
	e.tables.Members.With(func(ms *state.Members) {
		d.StoreMissed = membership.Missed(c, ms, e.self, fresh, now)
	})
	return d
}

// compare asks a VM that has a higher ticket for its configuration, or notes a
// conflict. It returns the current ticket.
func (p *configPart) compare(name string, d peerapi.ConfigDigest) state.TicketID {
	current := ticketOf(p.e.tables.Config.Current())
	switch {
	case d.Number > current.Number:
		p.ask(name)
	case d.Number == current.Number && d.Digest != "" && !samePrefix(d.Digest, current.Digest):
		p.reportConflict(state.TicketID{Number: d.Number, Digest: d.Digest}, current, name)
	}
	return current
}

// ask asks a VM for its snapshot. One VM is asked at a time, unless it takes
// long.
func (p *configPart) ask(name string) {
	now := p.e.now()
	waiting := p.wanted != "" && now.Sub(p.wantedAt) < askTimeout
	if waiting || now.Before(p.askAfter) {
		return
	}
	p.wanted, p.wantedAt = name, now
	if !p.e.sendTo(name) {
		p.wanted = ""
	}
}

// reportConflict notes a ticket that should not exist beside the current one:
// another one with the same number, or an older one in the store.
func (p *configPart) reportConflict(other, current state.TicketID, source string) {
	p.e.metrics.conflicts.Inc(1)
	if p.conflict == other {
		return
	}
	p.conflict = other
	p.e.logger.WithField("ticket", other.Number).WithField("digest", other.Digest).WithField("from", source).
		Errorf("peer: ticket conflicts with ticket %d (%s) in force", current.Number, current.Digest)
}

// accept puts a configuration in force if its number is higher than the current
// one. The snapshot may be nil if it still has to be made.
func (p *configPart) accept(c *state.Config, data []byte, source string) {
	if !p.e.tables.Config.Advance(c) {
		return
	}
	p.e.metrics.advanced.Inc(1)
	p.e.metrics.ticket.Update(float64(c.Ticket.Number))
	p.e.logger.WithField("ticket", c.Ticket.Number).WithField("from", source).Info("peer: configuration in force")
	if data == nil {
		p.pack(c)
		return
	}
	p.publish(snapshot{ticket: c.Ticket, data: data})
}

// pack makes the snapshot of a configuration in a task, since encoding 1 MB
// takes tens of milliseconds.
func (p *configPart) pack(c *state.Config) {
	if p.packing {
		return
	}
	p.packing = p.e.tasks.start(func() {
		data, err := p.encode(c)
		p.e.queue.PostAlways(func() { p.packed(snapshot{ticket: c.Ticket, data: data}, err) })
	})
}

func (p *configPart) packed(s snapshot, err error) {
	p.packing = false
	c := p.e.tables.Config.Current()
	switch {
	case s.ticket != ticketOf(c):
		p.pack(c) // another one was put in force meanwhile
	case err != nil:
		p.e.logger.WithError(err).Error("peer: configuration cannot be encoded")
		p.snapshot = snapshot{ticket: s.ticket}
	default:
		p.publish(s)
	}
}

// publish keeps a snapshot for VMs that ask for it, and sends it as a relay.
func (p *configPart) publish(s snapshot) {
	p.snapshot = s
	if p.relay {
		p.push()
	}
}

func (p *configPart) encode(c *state.Config) ([]byte, error) {
	encoded, err := p.options.Encode(c)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(encoded); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

// unpack decodes a snapshot and verifies that it holds the announced ticket. It
// may be called from any goroutine.
func (p *configPart) unpack(d peerapi.ConfigDigest, data []byte) (*state.Config, error) {
	c, err := p.decode(data)
	if err != nil {
		p.e.metrics.refused.Inc(1)
		return nil, err
	}
	if c.Ticket.Number != d.Number || c.Ticket.Digest != d.Digest {
		p.e.metrics.refused.Inc(1)
		return nil, eris.Errorf("snapshot holds ticket %d (%s), announced was %d (%s)",
			c.Ticket.Number, c.Ticket.Digest, d.Number, d.Digest)
	}
	return c, nil
}

func (p *configPart) decode(data []byte) (*state.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxSnapshot+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	if len(encoded) > maxSnapshot {
		return nil, eris.Errorf("snapshot exceeds %d bytes", maxSnapshot)
	}
	return p.options.Decode(encoded)
}

func prefix(digest string) string { return digest[:min(len(digest), peerapi.DigestPrefix)] }

func samePrefix(a, b string) bool { return prefix(a) == prefix(b) }
