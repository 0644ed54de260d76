package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Limits of the entries in one message.
const (
	MaxEntries = 32
	// maxFresh leaves room for the rotation, so that a constant stream of
	// changes does not keep older entries back.
	maxFresh = 24
	// recentChange is the time for which a change goes before the rotation.
	recentChange = 10 * time.Second
)

// Selector chooses the entries of a message. The zero value is ready to use.
type Selector struct {
	last string // name of the last entry of the rotation
}

// Choose returns at most limit of the wanted members as entries: those that
// changed most recently first, then the others in rotation, so that repeated
// calls cover all of them. The entries are shortened by the configuration.
func (s *Selector) Choose(ms *state.Members, c *state.Config, limit int, now time.Time, want func(*state.Member) bool) []Entry {
	fresh, rest := split(ms, limit*maxFresh/MaxEntries, now, want)
	entries := make([]Entry, 0, limit)
	for _, m := range fresh {
		entries = append(entries, EntryOf(m, now).Shorten(c))
	}
	start, _ := slices.BinarySearchFunc(rest, s.last, func(m *state.Member, last string) int {
		return cmp.Or(cmp.Compare(m.Name, last), -1) // the first name after the last one sent
	})
	for i := range min(len(rest), limit-len(entries)) {
		m := rest[(start+i)%len(rest)]
		s.last = m.Name
		entries = append(entries, EntryOf(m, now).Shorten(c))
	}
	return entries
}

// split returns at most most recently changed members, latest first, and the
// rest by name.
func split(ms *state.Members, most int, now time.Time, want func(*state.Member) bool) (fresh, rest []*state.Member) {
	for _, m := range ms.ByName {
		if !want(m) {
			continue
		}
		if now.Sub(m.Changed) <= recentChange {
			fresh = append(fresh, m)
		} else {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *state.Member) int {
		return cmp.Or(b.Changed.Compare(a.Changed), cmp.Compare(a.Name, b.Name))
	})
	if len(fresh) > most {
		rest = append(rest, fresh[most:]...)
		fresh = fresh[:most]
	}
	slices.SortFunc(rest, func(a, b *state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return fresh, rest
}
