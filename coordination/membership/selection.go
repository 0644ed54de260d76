package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Limits on the entries in a message.
const (
	MaxEntries = 32
	// maxRecent is the maximum number of recently changed entries among
	// MaxEntries. It reserves space for the rotation, so that frequent changes do
	// not hold back older entries.
	maxRecent = 24
	// recentPeriod is the time for which a changed entry takes precedence over
	// the rotation.
	recentPeriod = 10 * time.Second
)

// EntrySelector selects the entries of messages. The zero value is ready to use.
type EntrySelector struct {
	last string // name of the last entry sent by rotation
}

// Choose returns at most limit of the wanted members as entries: first those that
// changed most recently, then the others in rotation, so that repeated calls cover
// all of them. The entries are shortened according to the configuration.
func (s *EntrySelector) Choose(ms *state.Members, c *state.Config, limit int, now time.Time, want func(*state.Member) bool) []Entry {
	recent, rest := splitByRecency(ms, limit*maxRecent/MaxEntries, now, want)
	entries := make([]Entry, 0, limit)
	for _, m := range recent {
		entries = append(entries, NewEntry(m, now).Shorten(c))
	}
	start, _ := slices.BinarySearchFunc(rest, s.last, func(m *state.Member, last string) int {
		return cmp.Or(cmp.Compare(m.Name, last), -1) // the first name after the last one sent
	})
	for i := range min(len(rest), limit-len(entries)) {
		m := rest[(start+i)%len(rest)]
		s.last = m.Name
		entries = append(entries, NewEntry(m, now).Shorten(c))
	}
	return entries
}

// splitByRecency divides the wanted members into those that changed recently, at
// most limit of them with the latest change first, and the rest sorted by name.
func splitByRecency(ms *state.Members, limit int, now time.Time, want func(*state.Member) bool) (recent, rest []*state.Member) {
	for _, m := range ms.ByName {
		if !want(m) {
			continue
		}
		if now.Sub(m.Changed) <= recentPeriod {
			recent = append(recent, m)
		} else {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(recent, func(a, b *state.Member) int {
		return cmp.Or(b.Changed.Compare(a.Changed), cmp.Compare(a.Name, b.Name))
	})
	if len(recent) > limit {
		rest = append(rest, recent[limit:]...)
		recent = recent[:limit]
	}
	slices.SortFunc(rest, func(a, b *state.Member) int { return cmp.Compare(a.Name, b.Name) })
	return recent, rest
}
