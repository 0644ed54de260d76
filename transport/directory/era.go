package directory

import (
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/coordination/restore"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// eraState is what a Directory records to keep in force what a store that comes back from
// an older copy has lost. It is guarded by the directory's mu.
type eraState struct {
	// era is the highest era of the store that this VM has learned of. It is written with mu
	// held and read without, also by holders of locks of a higher rank.
	era          atomic.Uint64
	refusing     bool   // the last answer of the store was of an earlier era
	announcedEra uint64 // that era when this VM last announced itself
	servers      restore.Servers
	outMarks     *restore.Marks
	members      map[string]missingMember // members that a copy lacks

	// The following are derived from the documents by resolve.
	registered map[string]*catalog.Server // registrations in force
	out        map[string]bool            // data centres out of service
}

// missingMember is a member that stays in the list until it announces itself again, or
// until the given time.
type missingMember struct {
	Member
	until time.Duration
}

// errEarlierEra is the error of an answer that belongs to an earlier era than one that is
// already known, such as one that was delayed.
var errEarlierEra = eris.New("the answer of the store is of an earlier era")

// StoreEra returns the highest era of the store that this VM has learned of.
func (d *Directory) StoreEra() uint64 { return d.era.Load() }

// learnEra records an era that the store or another VM reported.
func (d *Directory) learnEra(era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteEra(era)
}

// noteEra is learnEra for callers that hold mu.
func (d *Directory) noteEra(era uint64) {
	previous := d.era.Load()
	if era <= previous {
		return
	}
	d.logger.WithFields(log.Fields{"era": era, "previous_era": previous}).Warn("directory: the store has a new era.")
	d.era.Store(era)
	d.erasSeen.Inc(1)
	d.storeEra.Update(float64(era))
}

// checkEra records the era of an answer of the store, and returns an error if the answer
// is of an earlier one than is known.
func (d *Directory) checkEra(era uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteEra(era)
	refused := era < d.StoreEra()
	if refused && !d.refusing {
		d.logger.WithFields(log.Fields{"era": era, "previous_era": d.StoreEra()}).Warn("directory: answers of the store are of an earlier era and not used.")
	}
	d.refusing = refused
	if refused {
		return errEarlierEra
	}
	return nil
}

// recordAnnouncement records that this VM has announced itself when it knew of the era.
func (d *Directory) recordAnnouncement(era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announcedEra = era
}

// lists reports whether a list of members from the store has this VM. One that may be some
// seconds old need not have a VM that has just started.
func (d *Directory) lists(batch Batch, fresh bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range batch.Entries {
		if e.Name == d.self.Name {
			d.announcedEra = max(d.announcedEra, batch.Era)
			return true
		}
	}
	return !fresh && d.mayBeUnlisted(batch.Era)
}

// mayBeUnlisted reports whether a list of members of the era may lack this VM although it
// has announced itself: it has just started, and the store has not lost its announcement.
// The caller holds mu.
func (d *Directory) mayBeUnlisted(era uint64) bool {
	return era <= d.announcedEra && clock.Now()-d.started < 2*regularMembersInterval
}

// recordChange records which objects a new document of a kind adds and removes. If it is
// the first one of a later era, the store has come back from a copy. The caller holds mu.
func (d *Directory) recordChange(kind Kind, old, next *document, now time.Duration) {
	newEra := old.Revision.Era != next.Revision.Era || old.Revision.IsZero()
	restored := newEra && !old.Revision.IsZero()
	if newEra {
		next.Start = restore.Start{Revision: next.Revision, At: now}
	}
	if restored {
		d.logger.WithFields(log.Fields{"kind": string(kind), "era": next.Revision.Era, "revision": next.Revision.Number,
			"previous_era": old.Revision.Era, "previous_revision": old.Revision.Number}).Warn("directory: a document of a new era replaces one of an earlier era.")
	}
	expires, refresh := restored && kind == Servers, d.refresh
	switch kind {
	case Servers:
		for name := range old.Entries {
			if _, listed := next.Entries[name]; !listed && !restored {
				d.servers.Remove(name)
			}
		}
	case OutOfService:
		expires = d.outMarks.Change(revisionsOf(old.Entries), revisionsOf(next.Entries), restored, now)
	case VMs:
		expires, refresh = d.recordMissingMembers(old, next, restored, now), d.refreshMemberList
	}
	if restored {
		d.logDifferences(kind, next, now)
	}
	if expires {
		time.AfterFunc(restore.HoldFor, refresh)
	}
}

// maxDifferencesLogged limits the lines about objects of one kind after a restore.
const maxDifferencesLogged = 20

// logDifferences logs which objects of the first document of an era are not in force as the
// store has them. The caller holds mu.
func (d *Directory) logDifferences(kind Kind, doc *document, now time.Duration) {
	left := maxDifferencesLogged
	report := func(name, message string) {
		if left--; left >= 0 {
			d.logger.WithFields(log.Fields{"kind": string(kind), "name": name, "era": doc.Revision.Era}).Warn(message)
		}
	}
	switch kind {
	case Servers:
		for name, e := range doc.Entries {
			if e.Server != nil && d.servers.InForce(e.Server, doc.Start, now) != e.Server {
				report(name, "directory: a restored registration is not used until the server writes again.")
			}
		}
	case OutOfService:
		inForce := d.outMarks.InForce(revisionsOf(doc.Entries), now)
		for name := range inForce {
			if _, listed := doc.Entries[name]; !listed {
				report(name, "directory: a data centre stays out of service although the store has lost its entry.")
			}
		}
		for name := range doc.Entries {
			if !inForce[name] {
				report(name, "directory: a data centre stays in service although its removed entry has come back.")
			}
		}
	}
}

// recordMissingMembers keeps the members that are missing from the first list of an era,
// and reports whether there are any. The caller holds mu.
func (d *Directory) recordMissingMembers(old, next *document, restored bool, now time.Duration) bool {
	found := false
	for name, e := range old.Entries {
		if _, listed := next.Entries[name]; restored && !listed && e.Member != nil {
			d.members[name] = missingMember{*e.Member, now + restore.HoldFor}
			found = true
		}
	}
	for name, m := range d.members {
		if _, listed := next.Entries[name]; listed || now >= m.until {
			delete(d.members, name)
		}
	}
	return found
}

// missingMembers returns the members that the document lacks and that still count. The
// caller holds mu.
func (d *Directory) missingMembers(doc document) []Member {
	var missing []Member
	now := clock.Now()
	for name, m := range d.members {
		if _, listed := doc.Entries[name]; !listed && now < m.until {
			missing = append(missing, m.Member)
		}
	}
	return missing
}

// refreshMemberList removes members from the list that have not announced themselves in
// time after the store came back from a copy.
func (d *Directory) refreshMemberList() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setMembers(d.docs[VMs])
}

func revisionsOf(entries map[string]Entry) map[string]uint64 {
	revisions := make(map[string]uint64, len(entries))
	for name, e := range entries {
		revisions[name] = e.Revision
	}
	return revisions
}

// resolve derives from the documents which registrations and which data centres out of
// service are in force. The caller holds mu.
func (d *Directory) resolve(now time.Duration) {
	doc := d.docs[Servers]
	d.registered = make(map[string]*catalog.Server, len(doc.Entries))
	for name, e := range doc.Entries {
		if e.Server == nil {
			continue
		}
		if s := d.servers.InForce(e.Server, doc.Start, now); s != nil {
			d.registered[name] = s
		}
	}
	d.servers.Expire(now)
	d.out = d.outMarks.InForce(revisionsOf(d.docs[OutOfService].Entries), now)
}

// Suffixes of the keys of a request for updates, which maps kinds to revisions. VMs of an
// earlier build look only for kinds that they know, and ignore these keys.
const (
	eraSuffix     = ".era"
	versionSuffix = ".version"
)

// knownRevisions is what a VM that requests updates knows.
type knownRevisions struct {
	revisions     map[Kind]state.Revision
	hasEras       bool   // false if the VM is of an earlier build
	configVersion uint64 // of the configuration in force
}

// encodeKnown encodes a request for updates.
func encodeKnown(known map[Kind]state.Revision, configVersion uint64) []byte {
	request := map[string]uint64{string(Configuration) + versionSuffix: configVersion}
	for kind, revision := range known {
		request[string(kind)], request[string(kind)+eraSuffix] = revision.Number, revision.Era
	}
	b, err := json.Marshal(request)
	if err != nil {
		panic("directory: revisions cannot be encoded: " + err.Error())
	}
	return b
}

// decodeKnown decodes the output of encodeKnown, also that of an earlier build.
func decodeKnown(b []byte) (knownRevisions, error) {
	known := knownRevisions{revisions: make(map[Kind]state.Revision)}
	var request map[string]uint64
	err := json.Unmarshal(b, &request)
	known.configVersion, known.hasEras = request[string(Configuration)+versionSuffix]
	for kind, number := range request {
		if !strings.Contains(kind, ".") {
			known.revisions[Kind(kind)] = state.Revision{Era: request[kind+eraSuffix], Number: number}
		}
	}
	return known, eris.Wrap(err, "request for updates")
}

// addMissing adds the data centres that the store has lost to the updates, and reports
// whether there are any. What it adds depends on the time. The caller holds mu.
func (d *Directory) addMissing(updates map[Kind]update) bool {
	u, changed := updates[OutOfService]
	u.Missing = d.outMarks.Missing(clock.Now())
	if !changed || len(u.Missing) == 0 {
		return false
	}
	updates[OutOfService] = u
	return true
}

// addOverrides adds the registrations that are not in force as the store has them to the
// updates. The caller holds mu.
func (d *Directory) addOverrides(updates map[Kind]update) {
	u, changed := updates[Servers]
	doc := d.docs[Servers]
	if !changed || !u.Full || doc.Revision.Era == 0 {
		return
	}
	var listed []*catalog.Server
	for _, e := range doc.Entries {
		if e.Server != nil {
			listed = append(listed, e.Server)
		}
	}
	u.Overrides = d.servers.Overrides(listed, doc.Start, clock.Now())
	updates[Servers] = u
}

// adoptMissing keeps data centres out of service that the store has lost, on a VM that has
// started since. The caller holds mu.
func (d *Directory) adoptMissing(missing map[string]time.Duration) {
	d.outMarks.Adopt(missing, clock.Now())
	for _, left := range missing {
		time.AfterFunc(min(left, restore.HoldFor), d.refresh)
	}
}

// statusChange returns the change of this VM's status after a change of the documents or
// of the configuration in force. The caller holds mu.
func (d *Directory) statusChange() func(*fleetwire.Status) {
	revisions, eras := make(map[string]uint64, len(d.docs)), make(map[string]uint64, len(d.docs))
	for kind, doc := range d.docs {
		revisions[string(kind)], eras[string(kind)] = doc.Revision.Number, doc.Revision.Era
	}
	version := d.configVersion()
	return func(s *fleetwire.Status) { s.Revisions, s.Eras, s.ConfigVersion = revisions, eras, version }
}

// hasNewer reports whether another VM has a document, or a configuration in force, that is
// newer than this VM's. A revision without an era, from a VM of an earlier build, counts as
// of the era of this VM's document. The caller holds mu.
func (d *Directory) hasNewer(s *fleetwire.Status) bool {
	for kind, number := range s.Revisions {
		own := d.docs[Kind(kind)].Revision
		revision := state.Revision{Era: own.Era, Number: number}
		if era, known := s.Eras[kind]; known {
			revision.Era = era
		}
		if revision.After(own) {
			return true
		}
	}
	return s.ConfigVersion > d.configVersion()
}

// configVersion returns the version of the configuration in force, or zero.
func (d *Directory) configVersion() uint64 {
	if c := d.table.Current().Config; c != nil {
		return c.Version
	}
	return 0
}

// peersAreAhead reports whether another VM has a later configuration in force. The store
// may have come back without it.
func (d *Directory) peersAreAhead() bool {
	version := d.configVersion()
	for _, s := range d.fleet.Peers() {
		if s.ConfigVersion > version {
			return true
		}
	}
	return false
}

// adoptConfig puts a configuration of another VM in force if its version is higher than
// that of the present one, and reports whether it did. The caller holds mu.
func (d *Directory) adoptConfig(c *catalog.Config) bool {
	if c == nil || c.Version <= d.configVersion() {
		return false
	}
	d.table.Update(func(next catalog.Deployment) catalog.Deployment {
		next.Config = c
		return next
	})
	d.logger.WithField("version", c.Version).Info("directory: configuration in force, received from another VM.")
	d.docsVersion++
	clear(d.encodedUpdates)
	return true
}

// addNewestConfig adds the configuration in force to the updates for a VM that has an
// earlier one, if the document does not have it. The caller holds mu.
func (d *Directory) addNewestConfig(updates map[Kind]update, known knownRevisions) {
	current := d.table.Current().Config
	if !known.hasEras || current == nil || current.Version <= known.configVersion {
		return
	}
	u, changed := updates[Configuration]
	for _, e := range u.Entries {
		if e.Config != nil && e.Config.Version >= current.Version {
			return
		}
	}
	if !changed {
		u = update{Revision: known.revisions[Configuration].Number}
		era := known.revisions[Configuration].Era
		u.Era = &era
	}
	u.Newest = current
	updates[Configuration] = u
}
