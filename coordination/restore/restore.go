// Package restore decides which objects of the store are in force after the store has
// come back from an older copy. The copy may lack objects that were written last, and
// may contain objects that had been changed or removed. It has no input or output; the
// caller passes the time.
package restore

import (
	"cmp"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

const (
	// HoldFor is how long an object that the copy lacks stays in force, and one that
	// reappears does not come into force, until its owner writes it again. Backend servers
	// write within about 2 s; operators may need longer, and a data centre that gets
	// statements too soon is worse than one that is idle for too long.
	HoldFor = 30 * time.Second
	// memory is how long removed objects are remembered. Copies are some seconds old.
	memory = 10 * time.Minute
)

// Servers remembers the registrations of backend servers across eras of the store. The
// zero value remembers none.
type Servers struct{ known map[string]*knownServer }

// knownServer is the last registration of a server that was in force.
type knownServer struct {
	latest   *catalog.Server
	era      uint64        // of the store when it came into force
	removed  bool          // the store removed it
	lastSeen time.Duration // when it was last registered
}

// compare orders two registrations of one server by the times at which the server wrote
// them. It reports false if that is not known.
func compare(a, b *catalog.Server) (order int, known bool) {
	if order = cmp.Compare(a.Born, b.Born); order != 0 {
		return order, true
	}
	return cmp.Compare(a.Seq, b.Seq), a.Seq > 0 && b.Seq > 0
}

// Start is when a VM first knew the content of the store in an era.
type Start struct {
	Revision state.Revision // of that content; what has a later one was written in the era
	At       time.Duration
}

// InForce returns the registration of the server that is in force if the store has s: s
// itself, a later registration that the store has lost, or nil if the server had been
// removed and has not registered since.
func (t *Servers) InForce(s *catalog.Server, era Start, now time.Duration) *catalog.Server {
	k := t.known[s.ID]
	if k == nil || k.era == era.Revision.Era || s.Revision > era.Revision.Number {
		return t.accept(s, era.Revision.Era, now)
	}
	k.lastSeen = now
	order, known := compare(s, k.latest)
	isOlder := order < 0
	if !known {
		// Servers that write no sequence number are not waited for without a limit.
		isOlder = now-era.At < HoldFor && k.latest.Draining && !s.Draining
		k.removed = k.removed && now-era.At < HoldFor
	}
	switch {
	case known && order > 0:
	case k.removed:
		return nil
	case isOlder:
		return k.latest
	}
	return t.accept(s, era.Revision.Era, now)
}

func (t *Servers) accept(s *catalog.Server, era uint64, now time.Duration) *catalog.Server {
	if t.known == nil {
		t.known = make(map[string]*knownServer)
	}
	if t.known[s.ID] == nil {
		t.known[s.ID] = &knownServer{}
	}
	*t.known[s.ID] = knownServer{latest: s, era: era, lastSeen: now}
	return s
}

// Remove records that the store has removed the registration. A registration that a copy
// lacks has not been removed.
func (t *Servers) Remove(server string) {
	if k := t.known[server]; k != nil {
		k.removed = true
	}
}

// Override is a registration that is in force in place of that of the store, or that had
// been removed before the store came back with it.
type Override struct {
	Latest  *catalog.Server
	Removed bool `json:",omitempty"`
}

// Overrides returns the overrides of the listed registrations.
func (t *Servers) Overrides(listed []*catalog.Server, era Start, now time.Duration) []Override {
	var overrides []Override
	for _, s := range listed {
		if t.InForce(s, era, now) != s {
			k := t.known[s.ID]
			overrides = append(overrides, Override{k.latest, k.removed})
		}
	}
	return overrides
}

// Adopt takes over the overrides of another VM, for a VM that has started since the
// restore. It must precede InForce of the registrations.
func (t *Servers) Adopt(overrides []Override, now time.Duration) {
	for _, o := range overrides {
		if o.Latest != nil {
			t.accept(o.Latest, 0, now)
			t.known[o.Latest.ID].removed = o.Removed
		}
	}
}

// Expire forgets servers that have not been registered for long. It must follow InForce of
// all registrations at the same time.
func (t *Servers) Expire(now time.Duration) {
	for name, k := range t.known {
		if now-k.lastSeen > memory {
			delete(t.known, name)
		}
	}
}

// Marks remembers objects that are in force by their presence, such as data centres out
// of service, across eras of the store. It must be created with NewMarks.
type Marks struct {
	removed map[string]removedMark
	missing map[string]time.Duration // objects that a copy lacks, to the time until which they stay in force
	held    map[string]heldMark      // objects that reappeared in a copy and are not in force
}

type removedMark struct {
	revision uint64 // of the object when it was removed
	at       time.Duration
}

type heldMark struct {
	revision uint64
	until    time.Duration
}

// NewMarks returns an empty table.
func NewMarks() *Marks {
	return &Marks{removed: make(map[string]removedMark), missing: make(map[string]time.Duration), held: make(map[string]heldMark)}
}

// Change records a change of the store's objects from old to next, which map names to
// revisions. restored says that next is the first content known of a later era. It
// returns whether anything changes without another change of the store, after HoldFor.
func (m *Marks) Change(old, next map[string]uint64, restored bool, now time.Duration) (expires bool) {
	for name, revision := range old {
		if _, listed := next[name]; listed {
			continue
		}
		_, held := m.held[name]
		delete(m.held, name)
		if restored && !held {
			m.missing[name] = now + HoldFor
			expires = true
		} else {
			m.removed[name] = removedMark{revision, now}
		}
	}
	for name, revision := range next {
		delete(m.missing, name)
		if h, held := m.held[name]; held && h.revision == revision {
			continue
		}
		delete(m.held, name)
		gone, wasRemoved := m.removed[name]
		delete(m.removed, name)
		// Another revision means that it was written again, as far as can be known.
		if _, listed := old[name]; restored && !listed && wasRemoved && gone.revision == revision && now-gone.at <= memory {
			m.held[name] = heldMark{revision, now + HoldFor}
			expires = true
		}
	}
	for name, gone := range m.removed {
		if now-gone.at > memory {
			delete(m.removed, name)
		}
	}
	return expires
}

// InForce returns the names that are in force if the store has those listed.
func (m *Marks) InForce(listed map[string]uint64, now time.Duration) map[string]bool {
	names := make(map[string]bool, len(listed))
	for name := range listed {
		if h, held := m.held[name]; !held || now >= h.until {
			names[name] = true
		}
	}
	for name, until := range m.missing {
		if now < until {
			names[name] = true
		}
	}
	return names
}

// Missing returns the objects that a copy lacks and that are in force, with the time that
// they have left.
func (m *Marks) Missing(now time.Duration) map[string]time.Duration {
	left := make(map[string]time.Duration)
	for name, until := range m.missing {
		if now < until {
			left[name] = until - now
		}
	}
	return left
}

// Adopt takes over the result of Missing of another VM, for a VM that has started since the
// restore.
func (m *Marks) Adopt(left map[string]time.Duration, now time.Duration) {
	for name, t := range left {
		m.missing[name] = now + min(t, HoldFor)
	}
}
