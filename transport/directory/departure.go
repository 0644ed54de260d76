package directory

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// departure identifies a change after which servers get no new work: a data centre that
// is taken out of service, or a server that starts to drain.
type departure struct {
	kind Kind
	name string // of the object
	born int64  // of the server
}

// departureTime is what a VM knows of the time of a departure, as readings of the clock.
type departureTime struct {
	// earliest is a time at which the change had not been made yet: that of the latest
	// confirmation of a document without it. It is zero if there is none. Bounds are
	// counted from it, because they begin when the change is made and not when a VM learns
	// of it.
	earliest time.Duration
	seen     time.Duration // when the documents last contained the change
}

// drainMemory is how long a VM remembers that a server was draining after its registration
// has disappeared. Registrations that expire during an outage of the store are renewed
// within about 2 s of its recovery.
const drainMemory = time.Minute

// currentDepartures returns the departures that are in force. The caller holds
// mu.
func (d *Directory) currentDepartures() map[departure]bool {
	current := make(map[departure]bool)
	for name := range d.out {
		current[departure{kind: OutOfService, name: name}] = true
	}
	for name, s := range d.registered {
		if s.Draining {
			current[departure{Servers, name, s.Born}] = true
		}
	}
	return current
}

// recordDepartures records the departures that are new in the documents. The caller holds
// mu.
func (d *Directory) recordDepartures(now time.Duration) {
	current := d.currentDepartures()
	for p := range current {
		t, known := d.departures[p]
		if !known {
			t.earliest = d.confirmedAt[p.kind]
			d.logDeparture(p, t, now)
		}
		t.seen = now
		d.departures[p] = t
	}
	for p, t := range d.departures {
		if !current[p] && (p.kind == OutOfService || d.isBack(p) || now-t.seen > drainMemory) {
			delete(d.departures, p)
		}
	}
}

// logDeparture logs a new departure, with the largest age that the change may have.
func (d *Directory) logDeparture(p departure, t departureTime, now time.Duration) {
	entry := d.logger.WithFields(log.Fields{"kind": string(p.kind), "name": p.name, "age_known": t.earliest > 0})
	if t.earliest > 0 {
		entry = entry.WithField("max_age_ms", (now - t.earliest).Milliseconds())
	}
	entry.Info("directory: servers take no new work.")
}

// isBack reports whether the server of a departure is registered and not draining. The
// caller holds mu.
func (d *Directory) isBack(p departure) bool {
	s := d.registered[p.name]
	return s != nil && !s.Draining
}

// endOfTime is later than all readings of the clock.
const endOfTime = time.Duration(math.MaxInt64)

// leaving returns how long a server that takes no new work is still used. The caller
// holds mu.
func (d *Directory) leaving(s *catalog.Server) catalog.Leaving {
	l := catalog.Leaving{OperationsUntil: endOfTime, TransactionsUntil: endOfTime}
	if d.out[s.DataCentre] {
		l.OperationsUntil = d.departures[departure{kind: OutOfService, name: s.DataCentre}].end(d.bounds.OutOfService)
		l.TransactionsUntil = l.OperationsUntil
	}
	if s.Draining {
		l.OperationsUntil = min(l.OperationsUntil, d.departures[departure{Servers, s.ID, s.Born}].end(d.bounds.Draining))
	}
	return l
}

// end returns the time at which VMs stop sending if the bound counts from the change. It
// is zero, which is in the past, if the change may have any age.
func (t departureTime) end(bound time.Duration) time.Duration {
	if t.earliest == 0 {
		return 0
	}
	return t.earliest + bound - sendMargin
}
