package managed

import (
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// maxRestoreAge is the age of the oldest copy from which a store can be restored.
const maxRestoreAge = 30 * time.Second

// undoableChange is a change of the store and the function that takes it back.
type undoableChange struct {
	at       time.Time
	revision uint64 // of the store before the change
	undo     func()
}

// recordUndo records how the next change is taken back. The caller holds mu.
func (s *Store) recordUndo(undo func()) {
	old := slices.IndexFunc(s.undo, func(c undoableChange) bool { return time.Since(c.at) <= maxRestoreAge })
	if old < 0 {
		old = len(s.undo)
	}
	if old > len(s.undo)/2 { // removes many at once
		s.undo = slices.Clone(s.undo[old:])
	}
	s.undo = append(s.undo, undoableChange{time.Now(), s.revision, undo})
}

// recordUndoMember is recordUndo for a change of the list of members.
func (s *Store) recordUndoMember(name string) {
	before, listed := s.members[name]
	s.recordUndo(func() {
		if listed {
			s.members[name] = before
		} else {
			delete(s.members, name)
		}
	})
}

// Restore replaces the content of the store by a copy that has the given age, at most
// maxRestoreAge. The revisions after that of the copy are assigned again, and the era
// rises. Backend servers register again after rewriteDelay; operators' objects are not
// written again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	for len(s.undo) > 0 && s.undo[len(s.undo)-1].at.After(copiedAt) {
		last := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		last.undo()
		s.revision = last.revision
	}
	for kind, history := range s.history {
		s.history[kind] = slices.DeleteFunc(history, func(e directory.Entry) bool { return e.Revision > s.revision })
	}
	s.compacted = min(s.compacted, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the era of the store.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// rewriteDelay is the time after which a backend server notices that the store has come
// back from a copy, and registers again.
const rewriteDelay = time.Second
