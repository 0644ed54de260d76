package bench

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// write is a write that a client sent. Its value is unique in the run, so that the
// write can be found in the logs of the backend servers.
type write struct {
	group   string
	value   string
	outcome writeOutcome
}

// writeOutcome is what the client learned about a write.
type writeOutcome int

const (
	writeAcknowledged writeOutcome = iota
	writeUnknown                   // 08007, or no answer
	writeNotRun                    // refused, failed or rolled back
)

// acknowledgedKey is the key of an acknowledged write. Reads with bounded staleness
// must see it once the bound has passed.
type acknowledgedKey struct {
	key            string
	acknowledgedAt time.Time // when the client received the acknowledgement
}

// acknowledgement holds the times of an acknowledged write, for the failover gap.
type acknowledgement struct{ sent, received time.Time }

// writeHistory records all writes and what clients learned about them.
type writeHistory struct {
	mu               lockrank.Mutex // guards the fields below
	writes           []write
	keys             map[string][]acknowledgedKey // by group
	acknowledgements map[string][]acknowledgement // by group
}

func newWriteHistory() *writeHistory {
	return &writeHistory{
		mu:               lockrank.New(rankWriteHistory),
		keys:             make(map[string][]acknowledgedKey),
		acknowledgements: make(map[string][]acknowledgement),
	}
}

// record adds a write. The key is empty if there is no key to read back.
func (h *writeHistory) record(w write, key string, sent, ended time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
	if w.outcome != writeAcknowledged {
		return
	}
	h.acknowledgements[w.group] = append(h.acknowledgements[w.group], acknowledgement{sent, ended})
	if key != "" {
		h.keys[w.group] = append(h.keys[w.group], acknowledgedKey{key, ended})
	}
}

// pickKey returns an acknowledged key of the group, chosen by intN, which returns a
// random number in [0,n). It reports false if there is none.
func (h *writeHistory) pickKey(group string, intN func(n int) int) (acknowledgedKey, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := h.keys[group]
	if len(keys) == 0 {
		return acknowledgedKey{}, false
	}
	return keys[intN(len(keys))], true
}

// firstAcknowledgement returns the earliest acknowledgement of a write of the group
// that was sent at or after the given time. It reports false if there is none.
func (h *writeHistory) firstAcknowledgement(group string, since time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first time.Time
	for _, a := range h.acknowledgements[group] {
		if !a.sent.Before(since) && (first.IsZero() || a.received.Before(first)) {
			first = a.received
		}
	}
	return first, !first.IsZero()
}

// writeViolations counts the writes for which the backend servers' logs contradict
// what the client was told.
type writeViolations struct {
	Lost                   int // acknowledged, and missing from the primary's log
	Duplicated             int // committed more than once
	CommittedThoughRefused int // reported as not run, and committed
	Example                string
}

func (v *writeViolations) noteExample(kind, value string) {
	if v.Example == "" {
		v.Example = kind + ": " + value
	}
}

// commitCounts counts the commits of each written value: all that ever happened on
// any server, and those that survive in the primary's log.
type commitCounts struct {
	all       map[string]int
	surviving map[string]int
}

// countCommits counts the commits in the histories of the groups. It fails if a
// group has no primary.
func countCommits(groups map[string]*dbgroup.Group) (commitCounts, error) {
	c := commitCounts{all: make(map[string]int), surviving: make(map[string]int)}
	for name, g := range groups {
		primary := g.Primary()
		if primary == nil {
			return c, fmt.Errorf("group %q has no primary at the end of the run", name)
		}
		countValues(c.all, g.Commits())
		countValues(c.surviving, g.SurvivingCommits(primary.Name()))
	}
	return c, nil
}

func countValues(counts map[string]int, list []dbgroup.Commit) {
	for _, commit := range list {
		for _, op := range commit.Ops {
			counts[op.Value]++
		}
	}
}

// findViolations compares what clients were told with what was committed.
func (h *writeHistory) findViolations(c commitCounts) writeViolations {
	h.mu.Lock()
	defer h.mu.Unlock()
	var v writeViolations
	for _, w := range h.writes {
		if c.all[w.value] > 1 {
			v.Duplicated++
			v.noteExample("committed more than once", w.value)
		}
		if w.outcome == writeAcknowledged && c.surviving[w.value] == 0 {
			v.Lost++
			v.noteExample("acknowledged and lost", w.value)
		}
		if w.outcome == writeNotRun && c.all[w.value] > 0 {
			v.CommittedThoughRefused++
			v.noteExample("reported as not run and committed", w.value)
		}
	}
	return v
}
