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

// maxSnapshotBytes bounds the size of a decompressed snapshot. A value in the
// store has at most 1 MiB; the rest allows for another encoding.
const maxSnapshotBytes = 8 << 20

// snapshotRetryInterval is the minimum time between the end of a request for a
// snapshot and the next request. A request may yield no usable snapshot, because
// the other VM is still encoding it or this VM cannot decode it.
const snapshotRetryInterval = 500 * time.Millisecond

// snapshotRequestTimeout is the time after which another VM may be asked while a
// request for a snapshot is still pending.
const snapshotRequestTimeout = time.Second

// ConfigOptions configure the distribution of the configuration.
type ConfigOptions struct {
	// Encode and Decode convert between configurations and snapshots.
	Encode func(*state.Config) ([]byte, error)
	Decode func([]byte) (*state.Config, error)
	// Store is watched while this VM is a relay. It may be nil.
	Store ConfigStore
	// DecodeStored decodes the value of the store's object. The default is
	// Decode.
	DecodeStored func([]byte) (*state.Config, error)
}

// configExtension is the Extension that distributes the configuration. Only
// events of the exchange's queue may use its fields, unless stated otherwise.
type configExtension struct {
	e       *Exchange
	options ConfigOptions

	snapshot      snapshot // of the configuration in force if the tickets are equal
	encoding      bool     // a task is encoding a snapshot
	requestedFrom string   // VM with a pending request for its snapshot; empty if none
	requestedAt   time.Time
	nextRequestAt time.Time
	isRelay       bool
	stopWatch     func()         // stops the watch; nil while this VM is no relay
	storedVersion uint64         // version of the store's object that was read last
	storedTicket  state.TicketID // ticket of that object
	storeBehind   bool           // storedTicket was older than the current one at the last response
	reachedAt     time.Time      // time of the last response of the store
	storeStatus   storeStatus
	conflict      state.TicketID // conflicting ticket that was logged last
}

// snapshot is a configuration, encoded and compressed.
type snapshot struct {
	ticket state.TicketID
	data   []byte // nil if the configuration cannot be encoded
}

// storeStatus describes for the log whether this VM receives confirmations of the
// configuration from the store.
type storeStatus string

const (
	storeConfirmed storeStatus = "the configuration is confirmed by the store"
	storeDown      storeStatus = "the store is down for all VMs"
	cutOff         storeStatus = "this VM is cut off from the store"
)

func newConfigExtension(e *Exchange, o ConfigOptions) *configExtension {
	if o.DecodeStored == nil {
		o.DecodeStored = o.Decode
	}
	return &configExtension{e: e, options: o, storeStatus: storeConfirmed}
}

// AddSections implements Extension.
func (p *configExtension) AddSections(to string, m *peerapi.Exchange) {
	m.Config = p.digest()
	m.WantSnapshot = p.requestedFrom != "" && p.requestedFrom == to
}

// HandleRequest implements Extension.
func (p *configExtension) HandleRequest(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	current := p.compareTicket(from.Name, m.Config)
	a.Config = p.digest()
	if m.WantSnapshot && m.Config.Number < current.Number && p.snapshot.ticket == current {
		a.Config.Digest = current.Digest
		a.Snapshot = p.snapshot.data
	}
}

// HandleResponse implements Extension.
func (p *configExtension) HandleResponse(from peerapi.Sender, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeResponse) {
	p.requestEnded(from.Name, m)
	current := p.compareTicket(from.Name, a.Config)
	age := time.Duration(a.Config.ConfirmedAge)
	same := current.Number > 0 && a.Config.Number == current.Number && samePrefix(current.Digest, a.Config.Digest)
	if at, valid := membership.Confirmation(same, age, sentAt); valid {
		p.e.tables.Config.Confirm(at)
	}
	report := membership.StoreReport{Reached: age > 0 && age <= membership.StoreMissedAfter, Missed: a.Config.StoreMissed}
	p.e.tables.Members.With(func(ms *state.Members) {
		if m := ms.ByName[from.Name]; m != nil {
			report.Record(ms, m.DataCentre, sentAt)
		}
	})
}

// requestEnded is called when an exchange with message m ended, with or without
// a response. If m requested a snapshot, the next request may be sent after
// snapshotRetryInterval.
func (p *configExtension) requestEnded(name string, m *peerapi.Exchange) {
	if m.WantSnapshot && p.requestedFrom == name {
		p.requestedFrom = ""
		p.nextRequestAt = p.e.now().Add(snapshotRetryInterval)
	}
}

// digest returns the digest of the configuration in force.
func (p *configExtension) digest() peerapi.ConfigDigest {
	e := p.e
	c, freshness, applied, now := e.tables.Config.Current(), e.tables.Config.Freshness(), e.options.Applied(), e.now()
	if c == nil {
		return peerapi.ConfigDigest{}
	}
	d := peerapi.ConfigDigest{
		Number:       c.Ticket.Number,
		Digest:       prefix(c.Ticket.Digest),
		Applied:      applied,
		StoreReached: freshness.StoreReached,
	}
	if !freshness.ConfirmedAt.IsZero() {
		d.ConfirmedAge = peerapi.AgeOf(access.Elapsed(freshness.ConfirmedAt, now))
	}
	e.tables.Members.With(func(ms *state.Members) {
		d.StoreMissed = membership.StoreMissed(c, ms, e.self, freshness, now)
	})
	return d
}

// compareTicket compares another VM's ticket with the current one, which it
// returns. It requests the configuration if the other ticket has a higher number,
// and reports a conflict if it has the same number and another digest.
func (p *configExtension) compareTicket(name string, d peerapi.ConfigDigest) state.TicketID {
	current := ticketOf(p.e.tables.Config.Current())
	switch {
	case d.Number > current.Number:
		p.requestSnapshot(name)
	case d.Number == current.Number && d.Digest != "" && !samePrefix(d.Digest, current.Digest):
		p.reportConflict(state.TicketID{Number: d.Number, Digest: d.Digest}, current, name)
	}
	return current
}

// requestSnapshot requests a snapshot from a VM, unless another request has been
// pending for less than snapshotRequestTimeout or snapshotRetryInterval has not
// elapsed.
func (p *configExtension) requestSnapshot(name string) {
	now := p.e.now()
	waiting := p.requestedFrom != "" && now.Sub(p.requestedAt) < snapshotRequestTimeout
	if waiting || now.Before(p.nextRequestAt) {
		return
	}
	p.requestedFrom, p.requestedAt = name, now
	if !p.e.sendTo(name) {
		p.requestedFrom = ""
	}
}

// reportConflict counts and logs a ticket that must not exist alongside the
// current one: one with the same number and another digest, or an older one in
// the store. It logs each conflict once.
func (p *configExtension) reportConflict(other, current state.TicketID, source string) {
	p.e.metrics.conflicts.Inc(1)
	if p.conflict == other {
		return
	}
	p.conflict = other
	p.e.logger.WithField("ticket", other.Number).WithField("digest", other.Digest).WithField("from", source).
		Errorf("peer: ticket conflicts with ticket %d (%s) in force", current.Number, current.Digest)
}

// activate puts a configuration in force if its ticket has a higher number than
// the current one. If data is nil, the snapshot is encoded afterwards.
func (p *configExtension) activate(c *state.Config, data []byte, source string) {
	if !p.e.tables.Config.Advance(c) {
		return
	}
	p.e.metrics.advanced.Inc(1)
	p.e.metrics.ticket.Update(float64(c.Ticket.Number))
	p.e.logger.WithField("ticket", c.Ticket.Number).WithField("from", source).Info("peer: configuration in force")
	if data == nil {
		p.startEncoding(c)
		return
	}
	p.publish(snapshot{ticket: c.Ticket, data: data})
}

// startEncoding encodes the snapshot of a configuration in a task, because
// encoding 1 MB takes tens of milliseconds.
func (p *configExtension) startEncoding(c *state.Config) {
	if p.encoding {
		return
	}
	p.encoding = p.e.tasks.start(func() {
		data, err := p.marshalSnapshot(c)
		p.e.queue.PostUnbounded(func() { p.finishEncoding(snapshot{ticket: c.Ticket, data: data}, err) })
	})
}

func (p *configExtension) finishEncoding(s snapshot, err error) {
	p.encoding = false
	c := p.e.tables.Config.Current()
	switch {
	case s.ticket != ticketOf(c):
		p.startEncoding(c) // another configuration was put in force meanwhile
	case err != nil:
		p.e.logger.WithError(err).Error("peer: configuration cannot be encoded")
		p.snapshot = snapshot{ticket: s.ticket}
	default:
		p.publish(s)
	}
}

// publish stores the snapshot for VMs that request it and, if this VM is a relay,
// pushes it.
func (p *configExtension) publish(s snapshot) {
	p.snapshot = s
	if p.isRelay {
		p.pushSnapshot()
	}
}

func (p *configExtension) marshalSnapshot(c *state.Config) ([]byte, error) {
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

// decodeSnapshot decodes a snapshot and verifies that it has the announced
// ticket. It may be called from any goroutine.
func (p *configExtension) decodeSnapshot(d peerapi.ConfigDigest, data []byte) (*state.Config, error) {
	c, err := p.unmarshalSnapshot(data)
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

func (p *configExtension) unmarshalSnapshot(data []byte) (*state.Config, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	if len(encoded) > maxSnapshotBytes {
		return nil, eris.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	return p.options.Decode(encoded)
}

func prefix(digest string) string { return digest[:min(len(digest), peerapi.DigestPrefix)] }

func samePrefix(a, b string) bool { return prefix(a) == prefix(b) }
