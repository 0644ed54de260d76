package usage

import (
	"maps"
	"slices"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Source identifies a process that counts: a VM and its incarnation.
type Source struct {
	VM  string
	Run int64 // incarnation of the process
}

// SourceCounts are counts of one source. They replace earlier ones of the same windows and
// customers.
type SourceCounts struct {
	Source
	Started Time   // since which it counts; zero if it does not know the true time
	Changes uint64 // number of the latest change in it, see Counter.Since
	Windows []WindowCounts
}

// Collection holds the counts of all sources that were collected. It must be created with
// NewCollection.
type Collection struct {
	settings Settings

	mu      lockrank.Mutex // guards sources
	sources map[Source]*collected
}

// collected are the counts of a source.
type collected struct {
	started    Time
	changes    uint64
	answeredAt Time // true time of the latest direct answer; zero if there was none
	windows    map[int64]Counts
}

// NewCollection returns an empty collection.
func NewCollection(s Settings) *Collection {
	return &Collection{settings: s, mu: lockrank.New(lockrank.Counters), sources: make(map[Source]*collected)}
}

// Record records counts of a source that were current at the given true time. Counts that
// another VM had collected have the time zero. Counts that are older than the known ones
// are ignored, because answers may overtake each other.
func (c *Collection) Record(s SourceCounts, at Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.sources[s.Source]
	if known == nil {
		known = &collected{windows: make(map[int64]Counts)}
		c.sources[s.Source] = known
	}
	if s.Changes < known.changes {
		return
	}
	if s.Started != 0 {
		known.started = s.Started
	}
	known.changes, known.answeredAt = s.Changes, max(known.answeredAt, at)
	for _, w := range s.Windows {
		if known.windows[w.Window] == nil {
			known.windows[w.Window] = make(Counts)
		}
		maps.Copy(known.windows[w.Window], w.Counts)
	}
}

// Changes returns the number of the latest change that was recorded of the source.
func (c *Collection) Changes(s Source) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.sources[s]; known != nil {
		return known.changes
	}
	return 0
}

// AnsweredSince reports whether the VM has answered since the given true time.
func (c *Collection) AnsweredSince(vm string, at Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, known := range c.sources {
		if s.VM == vm && known.answeredAt >= at {
			return true
		}
	}
	return false
}

// Total returns the counts of a window over all sources. Customers without operations are
// left out.
func (c *Collection) Total(window int64) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := make(Counts)
	for _, known := range c.sources {
		for customer, n := range known.windows[window] {
			if n > 0 {
				total[customer] += n
			}
		}
	}
	return total
}

// CoveredFrom returns the true time at which the first known source began to count; ok is
// false if it is not known of any.
func (c *Collection) CoveredFrom() (from Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.sources {
		if known.started != 0 && (!ok || known.started < from) {
			from, ok = known.started, true
		}
	}
	return from, ok
}

// maxDeparted limits the sources that are passed on. In a large fleet more VMs may be lost
// with a data centre, which would make the message too long.
const maxDeparted = 32

// Departed returns the counts, from the given window on, of sources that have not answered
// since the given true time. They may be gone, and this VM the only one that has their
// counts.
func (c *Collection) Departed(window int64, since Time) []SourceCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []SourceCounts
	for s, known := range c.sources {
		if known.answeredAt >= since || len(list) >= maxDeparted {
			continue
		}
		byWindow := make(map[int64]Counts)
		for w, counts := range known.windows {
			if w >= window {
				byWindow[w] = maps.Clone(counts)
			}
		}
		if len(byWindow) > 0 {
			list = append(list, SourceCounts{Source: s, Started: known.started, Changes: known.changes, Windows: sortWindows(byWindow)})
		}
	}
	slices.SortFunc(list, func(a, b SourceCounts) int { return int(max(-1, min(1, a.Run-b.Run))) })
	return list
}

// Expire drops the windows that are older than Retention, and sources without any. It also
// drops windows far in the future: a VM with another window length numbers them otherwise.
func (c *Collection) Expire(now Time) {
	earliest, latest := c.settings.WindowAt(now.Add(-Retention)), c.settings.WindowAt(now.Add(Retention))
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.sources, func(_ Source, known *collected) bool {
		maps.DeleteFunc(known.windows, func(window int64, _ Counts) bool { return window < earliest || window > latest })
		return len(known.windows) == 0 && known.answeredAt < now.Add(-Retention)
	})
}
