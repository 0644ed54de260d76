package directory

import "maps"

// document is what is known of one kind.
type document struct {
	Revision uint64 // of the store when it last changed
	Entries  map[string]Entry
	// Removed has the revisions from which entries are gone, and Since the one
	// from which on it has all of them.
	Removed map[string]uint64
	Since   uint64
}

// maxRemoved bounds the removed entries that a document remembers.
const maxRemoved = 256

// remove takes an entry out of the document as of a revision of the store.
func (doc *document) remove(name string, revision uint64) {
	if _, known := doc.Entries[name]; !known {
		return
	}
	delete(doc.Entries, name)
	doc.Removed[name] = revision
}

// put sets an entry.
func (doc *document) put(e Entry) {
	doc.Entries[e.Name] = e
	delete(doc.Removed, e.Name)
}

// next returns a copy of the document to change, as of a revision of the store.
func (doc *document) next(revision uint64) document {
	next := document{Revision: revision, Since: doc.Since, Entries: maps.Clone(doc.Entries), Removed: maps.Clone(doc.Removed)}
	if next.Entries == nil {
		next.Entries, next.Since = make(map[string]Entry), revision
	}
	if next.Removed == nil || len(next.Removed) > maxRemoved {
		next.Removed, next.Since = make(map[string]uint64), revision
	}
	return next
}

// update is what a VM tells another one about a kind: the entries that changed
// after the revision that the other one knows, or all of them.
type update struct {
	Revision uint64   `json:"revision"` // of the store when the kind last changed
	Whole    bool     `json:"whole,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// since returns what has changed after the revision.
func (doc *document) since(known uint64) update {
	u := update{Revision: doc.Revision, Whole: known < doc.Since}
	for _, e := range doc.Entries {
		if u.Whole || e.Revision > known {
			u.Entries = append(u.Entries, e)
		}
	}
	for name, revision := range doc.Removed {
		if !u.Whole && revision > known {
			u.Removed = append(u.Removed, name)
		}
	}
	return u
}

// updated returns the document with another VM's update.
func (doc *document) updated(u update) document {
	if u.Whole {
		doc = &document{}
	}
	next := doc.next(u.Revision)
	for _, e := range u.Entries {
		next.put(e)
	}
	for _, name := range u.Removed {
		next.remove(name, u.Revision)
	}
	return next
}
