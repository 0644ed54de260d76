package bench

import (
	"fmt"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// write is a write that a client sent. Its value is unique, so that it can be
// found in the logs of the backend servers.
type write struct {
	group string
	value string
	fate  fate
}

// fate is what the client was told of a write.
type fate int

const (
	fateAcknowledged fate = iota
	fateUnknown           // 08007, or no answer
	fateNotRun            // refused, or rolled back
)

// acknowledged is a key that views must show after the staleness bound.
type acknowledged struct {
	key string
	at  time.Time // when the client had the acknowledgement
}

// ack is an acknowledged write, for the failover gap.
type ack struct{ sent, at time.Time }

// ledger keeps what clients were told of their writes.
type ledger struct {
	mu     lockrank.Mutex // guards the fields below
	writes []write
	keys   map[string][]acknowledged // by group
	acks   map[string][]ack          // by group
}

func newLedger() *ledger {
	return &ledger{
		mu:   lockrank.New(rankLedger),
		keys: make(map[string][]acknowledged),
		acks: make(map[string][]ack),
	}
}

// record notes the end of a write. The key is empty for appends.
func (l *ledger) record(w write, key string, sent, ended time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, w)
	if w.fate != fateAcknowledged {
		return
	}
	l.acks[w.group] = append(l.acks[w.group], ack{sent, ended})
	if key != "" {
		l.keys[w.group] = append(l.keys[w.group], acknowledged{key, ended})
	}
}

// pick returns an acknowledged key of the group; choose returns a number below
// its argument.
func (l *ledger) pick(group string, choose func(n int) int) (acknowledged, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.keys[group]
	if len(keys) == 0 {
		return acknowledged{}, false
	}
	return keys[choose(len(keys))], true
}

// firstAck returns when the first write of the group that was sent at or after
// the given time was acknowledged.
func (l *ledger) firstAck(group string, since time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, a := range l.acks[group] {
		if !a.sent.Before(since) && (first.IsZero() || a.at.Before(first)) {
			first = a.at
		}
	}
	return first, !first.IsZero()
}

// writeFaults are the writes for which the backend servers' logs contradict
// what the client was told.
type writeFaults struct {
	Lost    int // acknowledged, and missing from the primary's log
	Doubled int // committed more than once
	NotRun  int // said not to have run, and committed
	First   string
}

func (f *writeFaults) note(kind, value string) {
	if f.First == "" {
		f.First = kind + ": " + value
	}
}

// commits counts, for each written value, the commits that ever happened and
// those that survive in the primary's log.
type commits struct {
	all       map[string]int
	surviving map[string]int
}

// commitsOf reads the history of the groups.
func commitsOf(groups map[string]*dbgroup.Group) (commits, error) {
	c := commits{all: make(map[string]int), surviving: make(map[string]int)}
	for name, g := range groups {
		primary := g.Primary()
		if primary == nil {
			return c, fmt.Errorf("group %s has no primary at the end", name)
		}
		countValues(c.all, g.Commits())
		countValues(c.surviving, g.Survivors(primary.Name()))
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

// check compares what clients were told with what was committed.
func (l *ledger) check(c commits) writeFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	var f writeFaults
	for _, w := range l.writes {
		if c.all[w.value] > 1 {
			f.Doubled++
			f.note("committed more than once", w.value)
		}
		if w.fate == fateAcknowledged && c.surviving[w.value] == 0 {
			f.Lost++
			f.note("acknowledged and lost", w.value)
		}
		if w.fate == fateNotRun && c.all[w.value] > 0 {
			f.NotRun++
			f.note("reported as not run and committed", w.value)
		}
	}
	return f
}
