package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// Retention is how long counts are kept, so that reports can be sent after an outage
	// of the store and by a new holder of the duty.
	Retention = 2 * time.Minute
	// pendingResolution is the resolution of counts before the VM knows the true time.
	pendingResolution = 20 * time.Millisecond
	// maxPending limits the counts before the VM knows the true time.
	maxPending = 1 << 14
)

// cellKey identifies a count.
type cellKey struct {
	window   int64
	customer string
}

// pendingKey identifies a count of a VM that does not know the true time yet.
type pendingKey struct {
	at       time.Duration // clock reading, rounded down to pendingResolution
	customer string
}

// cell is a count with the number of its latest change.
type cell struct {
	n      int64
	change uint64
}

// Counter counts the operations that a VM runs at servers. It must be created with
// NewCounter. Times are readings of a monotonic clock that advances while the VM is
// suspended.
type Counter struct {
	settings Settings

	mu       lockrank.Mutex // guards the fields below
	offset   time.Duration  // of true time to the monotonic clock
	synced   bool           // offset is known
	token    uint64         // highest fencing token of a holder of the duty that is known
	changes  uint64
	cells    map[cellKey]*cell
	pending  map[pendingKey]int64 // counts before synced
	earliest int64                // earliest window that is kept
}

// NewCounter returns an empty counter.
func NewCounter(s Settings) *Counter {
	return &Counter{settings: s, mu: lockrank.New(lockrank.Counters), cells: make(map[cellKey]*cell), pending: make(map[pendingKey]int64)}
}

// Add adds n operations of the customer that began at the given time. n is negative for
// operations that were counted and turned out not to have run.
func (c *Counter) Add(customer string, at time.Duration, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.synced {
		c.add(customer, at, n)
		return
	}
	key := pendingKey{at - at%pendingResolution, customer}
	if _, known := c.pending[key]; known || len(c.pending) < maxPending {
		c.pending[key] += n
		c.changes++
	}
}

// Changes returns the number of the latest change.
func (c *Counter) Changes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes
}

// add is Add for a counter that knows the true time. The caller holds mu.
func (c *Counter) add(customer string, at time.Duration, n int64) {
	window := c.settings.WindowAt(Time(at + c.offset))
	if window < c.earliest {
		return
	}
	key := cellKey{window, customer}
	entry := c.cells[key]
	if entry == nil {
		entry = &cell{}
		c.cells[key] = entry
	}
	c.changes++
	entry.n, entry.change = max(entry.n+n, 0), c.changes
}

// SetOffset sets the offset of true time to the monotonic clock, as estimated by the
// holder of the duty with the fencing token. Offsets of earlier holders are ignored, since
// a VM that is cut off may still regard itself as the holder.
func (c *Counter) SetOffset(token uint64, offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.token {
		return
	}
	c.token, c.offset, c.synced = token, offset, true
	for key, n := range c.pending {
		c.add(key.customer, key.at+pendingResolution/2, n)
	}
	clear(c.pending)
}

// RecordToken records the fencing token of a VM that holds the duty.
func (c *Counter) RecordToken(token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = max(c.token, token)
}

// Token returns the highest fencing token of a holder that is known.
func (c *Counter) Token() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// Offset returns the offset of true time to the monotonic clock, if it is known.
func (c *Counter) Offset() (offset time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset, c.synced
}

// WindowCounts are the counts of one window.
type WindowCounts struct {
	Window int64
	Counts Counts
}

// Since returns the counts from the given window on that changed after the change with the
// number seen, and the number of the latest change. It reports false if the VM does not
// know the true time.
func (c *Counter) Since(window int64, seen uint64) (list []WindowCounts, changes uint64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byWindow := make(map[int64]Counts)
	for key, entry := range c.cells {
		if key.window < window || entry.change <= seen {
			continue
		}
		if byWindow[key.window] == nil {
			byWindow[key.window] = make(Counts)
		}
		byWindow[key.window][key.customer] = entry.n
	}
	return sortWindows(byWindow), c.changes, c.synced
}

// Expire drops the counts that are older than Retention.
func (c *Counter) Expire(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.pending, func(key pendingKey, _ int64) bool { return key.at < now-Retention })
	if !c.synced {
		return
	}
	c.earliest = c.settings.WindowAt(Time(now + c.offset - Retention))
	maps.DeleteFunc(c.cells, func(key cellKey, _ *cell) bool { return key.window < c.earliest })
}

// sortWindows returns the counts in ascending order of the windows.
func sortWindows(byWindow map[int64]Counts) []WindowCounts {
	var list []WindowCounts
	for _, window := range slices.Sorted(maps.Keys(byWindow)) {
		list = append(list, WindowCounts{window, byWindow[window]})
	}
	return list
}
