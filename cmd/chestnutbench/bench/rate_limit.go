package bench

import (
	"sort"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// rateLimit is the client's model of a customer's rate and burst, a token bucket.
// It tells whether a request is within the limit, and keeps the spans of the
// requests that ran, to check whether the fleet let more through.
type rateLimit struct {
	rate  float64 // requests per second
	burst float64 // requests

	mu       lockrank.Mutex // guards the fields below
	tokens   float64
	updated  time.Time
	executed []span
}

// span is the time from sending a request to its response.
type span struct{ sent, ended time.Time }

func newRateLimit(rate, burst float64) *rateLimit {
	return &rateLimit{rate: rate, burst: burst, tokens: burst, mu: lockrank.New(rankRateLimit)}
}

// allow reports whether a request sent now is within the rate and burst, and takes
// a token if it is.
func (l *rateLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.updated.IsZero() {
		l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.updated).Seconds())
	}
	l.updated = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// recordExecution records a request that was not refused.
func (l *rateLimit) recordExecution(s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executed = append(l.executed, s)
}

// excess returns by how many requests the customer exceeded its limit in the worst
// interval.
func (l *rateLimit) excess() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, worstExcess(l.executed, l.rate, l.burst))
}

// excessTolerance absorbs rounding errors of floating-point sums, in requests.
const excessTolerance = 1e-6

// worstExcess returns the maximum, over all intervals, of the number of requests
// that certainly ran within the interval minus (burst + rate x length). A request
// ran at an unknown moment of its span, so it counts only for intervals that
// contain the whole span. The worst interval starts where a span starts and ends
// where a span ends.
func worstExcess(spans []span, rate, burst float64) float64 {
	if len(spans) == 0 {
		return -burst
	}
	origin := spans[0].sent
	byStartDesc := append([]span(nil), spans...)
	sort.Slice(byStartDesc, func(i, j int) bool { return byStartDesc[i].sent.After(byStartDesc[j].sent) })
	byEnd := append([]span(nil), spans...)
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].ended.Before(byEnd[j].ended) })
	seconds := func(t time.Time) float64 { return t.Sub(origin).Seconds() }
	negatedRefill := make([]float64, len(byEnd))
	for i, s := range byEnd {
		negatedRefill[i] = -rate * seconds(s.ended)
	}
	excessByEnd := newSuffixMaxTree(negatedRefill)
	worst := -burst
	// The starts of intervals are visited from the latest to the earliest. Each
	// request is added to all intervals that end at or after its own end.
	firstEnd := func(t time.Time) int {
		return sort.Search(len(byEnd), func(i int) bool { return !byEnd[i].ended.Before(t) })
	}
	for _, s := range byStartDesc {
		excessByEnd.addFrom(firstEnd(s.ended), 1)
		worst = max(worst, excessByEnd.maxFrom(firstEnd(s.sent))+rate*seconds(s.sent)-burst)
	}
	if worst < excessTolerance {
		return min(worst, 0)
	}
	return worst
}

// suffixMaxTree is a segment tree over a list of numbers. It adds a value to all
// elements of a suffix and returns the maximum of a suffix, each in O(log n).
type suffixMaxTree struct {
	leaves    int
	maxima    []float64 // maximum of each node's range, including additions at and below the node
	additions []float64 // additions to the whole range of each node
}

// noValue is below every value in a suffixMaxTree.
const noValue = -1e300

func newSuffixMaxTree(values []float64) *suffixMaxTree {
	size := 1
	for size < len(values) {
		size *= 2
	}
	t := &suffixMaxTree{leaves: size, maxima: make([]float64, 2*size), additions: make([]float64, 2*size)}
	for i := range size {
		t.maxima[size+i] = noValue
		if i < len(values) {
			t.maxima[size+i] = values[i]
		}
	}
	for i := size - 1; i > 0; i-- {
		t.maxima[i] = max(t.maxima[2*i], t.maxima[2*i+1])
	}
	return t
}

func (t *suffixMaxTree) maxFrom(first int) float64 { return t.query(1, 0, t.leaves, first) }

func (t *suffixMaxTree) query(node, low, high, first int) float64 {
	switch {
	case high <= first:
		return noValue
	case first <= low:
		return t.maxima[node]
	}
	middle := (low + high) / 2
	return t.additions[node] + max(t.query(2*node, low, middle, first), t.query(2*node+1, middle, high, first))
}

func (t *suffixMaxTree) addFrom(first int, v float64) { t.update(1, 0, t.leaves, first, v) }

func (t *suffixMaxTree) update(node, low, high, first int, v float64) {
	switch {
	case high <= first:
		return
	case first <= low:
		t.maxima[node] += v
		t.additions[node] += v
		return
	}
	middle := (low + high) / 2
	t.update(2*node, low, middle, first, v)
	t.update(2*node+1, middle, high, first, v)
	t.maxima[node] = max(t.maxima[2*node], t.maxima[2*node+1]) + t.additions[node]
}
