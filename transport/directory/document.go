package directory

import "maps"

// document holds the objects of one kind.
type document struct {
	Revision uint64 // revision of the store at the last change
	Entries  map[string]Entry
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

// copyAt returns a copy of the document for changes at a revision of the store.
func (doc *document) copyAt(revision uint64) document {
	next := document{Revision: revision, RemovedSince: doc.RemovedSince, Entries: maps.Clone(doc.Entries), Removed: maps.Clone(doc.Removed)}
	if next.Entries == nil {
		next.Entries, next.RemovedSince = make(map[string]Entry), revision
	}
	if next.Removed == nil || len(next.Removed) > maxRemoved {
		next.Removed, next.RemovedSince = make(map[string]uint64), revision
	}
	return next
}

// update is what a VM sends to another one about a kind: the entries that
// changed after the revision known to the other VM, or all entries.
type update struct {
	Revision uint64   `json:"revision"` // of the store when the kind last changed
	Full     bool     `json:"whole,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// changesSince returns the changes after the known revision.
func (doc *document) changesSince(known uint64) update {
	u := update{Revision: doc.Revision, Full: known < doc.RemovedSince}
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
	if u.Full {
		doc = &document{}
	}
	next := doc.copyAt(u.Revision)
	for _, e := range u.Entries {
		next.put(e)
	}
	for _, name := range u.Removed {
		next.remove(name, u.Revision)
	}
	return next
}
