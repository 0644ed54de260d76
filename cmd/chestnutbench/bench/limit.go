package bench

import (
	"sort"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// limit is the client's side of a customer's rate and burst. It says whether a
// request is inside them, and keeps when requests that ran were under way.
type limit struct {
	rate  float64 // requests a second
	burst float64 // requests

	mu      lockrank.Mutex // guards the fields below
	tokens  float64
	updated time.Time
	spent   []span
}

// span is the time from the sending of a request to its end.
type span struct{ sent, ended time.Time }

func newLimit(rate, burst float64) *limit {
	return &limit{rate: rate, burst: burst, tokens: burst, mu: lockrank.New(rankLimit)}
}

// take reports whether a request sent now is inside the rate and burst, and
// spends a token if it is.
func (l *limit) take(now time.Time) bool {
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

// ran records a request that was let through.
func (l *limit) ran(s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spent = append(l.spent, s)
}

// overspent returns by how many requests the customer exceeded its limit in the
// worst interval.
func (l *limit) overspent() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, worstExcess(l.spent, l.rate, l.burst))
}

// rounding is the tolerance for sums of floating-point numbers, in requests.
const rounding = 1e-6

// worstExcess returns the greatest value, over all intervals, of the requests
// that ran inside the interval for certain, minus burst + rate x length. A
// request ran at some moment of its span, so it counts for the intervals that
// contain the whole span. The worst interval starts at a sending and ends at an
// end.
func worstExcess(spans []span, rate, burst float64) float64 {
	if len(spans) == 0 {
		return -burst
	}
	origin := spans[0].sent
	bySent := append([]span(nil), spans...)
	sort.Slice(bySent, func(i, j int) bool { return bySent[i].sent.After(bySent[j].sent) })
	ends := append([]span(nil), spans...)
	sort.Slice(ends, func(i, j int) bool { return ends[i].ended.Before(ends[j].ended) })
	at := func(t time.Time) float64 { return t.Sub(origin).Seconds() }
	cost := make([]float64, len(ends))
	for i, s := range ends {
		cost[i] = -rate * at(s.ended)
	}
	counts := newMaxTree(cost)
	worst := -burst
	// Going back in time, each sending adds its request to every interval that
	// ends at or after the request's end.
	firstEnd := func(t time.Time) int {
		return sort.Search(len(ends), func(i int) bool { return !ends[i].ended.Before(t) })
	}
	for _, s := range bySent {
		counts.addFrom(firstEnd(s.ended), 1)
		worst = max(worst, counts.maxFrom(firstEnd(s.sent))+rate*at(s.sent)-burst)
	}
	if worst < rounding {
		return min(worst, 0)
	}
	return worst
}

// maxTree keeps the maxima of the tails of a list under additions to tails.
type maxTree struct {
	size int
	best []float64 // of each node's part, with the additions below the node
	add  []float64 // to the whole part of the node
}

// lowest is below every value in a maxTree.
const lowest = -1e300

func newMaxTree(values []float64) *maxTree {
	size := 1
	for size < len(values) {
		size *= 2
	}
	t := &maxTree{size: size, best: make([]float64, 2*size), add: make([]float64, 2*size)}
	for i := range size {
		t.best[size+i] = lowest
		if i < len(values) {
			t.best[size+i] = values[i]
		}
	}
	for i := size - 1; i > 0; i-- {
		t.best[i] = max(t.best[2*i], t.best[2*i+1])
	}
	return t
}

func (t *maxTree) maxFrom(first int) float64 { return t.query(1, 0, t.size, first) }

func (t *maxTree) query(node, low, high, first int) float64 {
	switch {
	case high <= first:
		return lowest
	case first <= low:
		return t.best[node]
	}
	middle := (low + high) / 2
	return t.add[node] + max(t.query(2*node, low, middle, first), t.query(2*node+1, middle, high, first))
}

func (t *maxTree) addFrom(first int, v float64) { t.update(1, 0, t.size, first, v) }

func (t *maxTree) update(node, low, high, first int, v float64) {
	switch {
	case high <= first:
		return
	case first <= low:
		t.best[node] += v
		t.add[node] += v
		return
	}
	middle := (low + high) / 2
	t.update(2*node, low, middle, first, v)
	t.update(2*node+1, middle, high, first, v)
	t.best[node] = max(t.best[2*node], t.best[2*node+1]) + t.add[node]
}
