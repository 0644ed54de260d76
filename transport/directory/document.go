package directory

import (
	"maps"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/restore"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// document holds the objects of one kind.
type document struct {
	Revision state.Revision // revision of the store at the last change
	// Start is when this VM first had a document of the era. All entries are of that era.
	Start   restore.Start
	Entries map[string]Entry
	// Removed maps removed entries to the revisions of their removal. It is
	// complete from the revision RemovedSince on.
	Removed      map[string]uint64
	RemovedSince uint64
}

// maxRemoved limits the removed entries that a document records.
const maxRemoved = 256

// remove removes an entry as of a revision of the store.
func (doc *document) remove(name string, revision uint64) {
	if _, known := doc.Entries[name]; !known {
		return
	}
	delete(doc.Entries, name)
	doc.Removed[name] = revision
}

// put adds or replaces an entry.
func (doc *document) put(e Entry) {
	doc.Entries[e.Name] = e
	delete(doc.Removed, e.Name)
}

// copyAt returns a copy of the document for changes at a revision of the store. For a
// revision of another era it is empty.
func (doc *document) copyAt(revision state.Revision) document {
	if revision.Era != doc.Revision.Era {
		doc = &document{}
	}
	next := document{Revision: revision, Start: doc.Start, RemovedSince: doc.RemovedSince, Entries: maps.Clone(doc.Entries), Removed: maps.Clone(doc.Removed)}
	if next.Entries == nil {
		next.Entries, next.RemovedSince = make(map[string]Entry), revision.Number
	}
	if next.Removed == nil || len(next.Removed) > maxRemoved {
		next.Removed, next.RemovedSince = make(map[string]uint64), revision.Number
	}
	return next
}

// update is what a VM sends to another one about a kind: the entries that
// changed after the revision known to the other VM, or all entries.
type update struct {
	Revision uint64   `json:"revision"`      // of the store when the kind last changed
	Era      *uint64  `json:"era,omitempty"` // of the revision; nil if the sender is of an earlier build
	Full     bool     `json:"whole,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Removed  []string `json:"removed,omitempty"`
	// Newest is the configuration in force at the sender if the document has an earlier
	// version. The store may come back with one.
	Newest *catalog.Config `json:"newest,omitempty"`
	// Missing has the data centres that stay out of service although the store has lost
	// their entries, with the time in ns that they have left.
	Missing map[string]time.Duration `json:"missing,omitempty"`
	// Overrides has the registrations that are not in force as the store has them.
	Overrides []restore.Override `json:"overrides,omitempty"`
}

// revision returns the revision of the update. One without an era counts as of the given
// era, that of the receiver.
func (u *update) revision(era uint64) state.Revision {
	if u.Era != nil {
		era = *u.Era
	}
	return state.Revision{Era: era, Number: u.Revision}
}

// changesFor returns the changes that a VM lacks which knows the revision, or false if it
// lacks none. A revision of another era is no base for changes. One without an era counts
// as of the document's era, but the VM that sent it may have a document of another one.
func (doc *document) changesFor(known state.Revision, hasEra bool) (update, bool) {
	base := known.Number
	switch {
	case !hasEra:
		known.Era = doc.Revision.Era
		if known.Era > 0 {
			base = 0
		}
	case known.Era != doc.Revision.Era:
		base = 0
	}
	if !doc.Revision.After(known) {
		return update{}, false
	}
	return doc.changesSince(base), true
}

// changesSince returns the changes after the known revision of the document's era.
func (doc *document) changesSince(known uint64) update {
	era := doc.Revision.Era
	u := update{Revision: doc.Revision.Number, Era: &era, Full: known < doc.RemovedSince}
	for _, e := range doc.Entries {
		if u.Full || e.Revision > known {
			u.Entries = append(u.Entries, e)
		}
	}
	for name, revision := range doc.Removed {
		if !u.Full && revision > known {
			u.Removed = append(u.Removed, name)
		}
	}
	return u
}

// withUpdate returns a copy of the document with an update from another VM
// applied.
func (doc *document) withUpdate(u update) document {
	revision := u.revision(doc.Revision.Era)
	if u.Full {
		doc = &document{Revision: doc.Revision, Start: doc.Start}
	}
	next := doc.copyAt(revision)
	for _, e := range u.Entries {
		next.put(e)
	}
	for _, name := range u.Removed {
		next.remove(name, u.Revision)
	}
	return next
}
