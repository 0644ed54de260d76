package bench

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// origin is the time zero of tests.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

// instantSpans returns requests of zero duration.
func instantSpans(seconds ...float64) []span {
	var spans []span
	for _, s := range seconds {
		spans = append(spans, span{at(s), at(s)})
	}
	return spans
}

// Guards against exceeded limits that go unnoticed, and against false alarms for
// requests whose exact execution time is unknown.
func TestWorstExcess(t *testing.T) {
	tests := []struct {
		name  string
		spans []span
		want  float64 // with 2 requests per second and a burst of 3
	}{
		{"none", nil, -3},
		{"the burst at once", instantSpans(0, 0, 0), 0},
		{"one above the burst", instantSpans(0, 0, 0, 0), 1},
		{"the burst, then the rate", instantSpans(0, 0, 0, 0.5, 1, 1.5), 0},
		{"above the rate late in the run", instantSpans(0, 100, 100, 100, 100.25, 100.5), 1},
		{"within a long run", instantSpans(0, 10, 20, 30, 40), -2},
		{"one of four may have run earlier", append(instantSpans(0, 0, 0), span{at(-5), at(0)}), 0},
		{"slow requests that overlap", []span{{at(0), at(1)}, {at(0), at(1)}, {at(0), at(1)}, {at(0), at(1)}, {at(0), at(1)}, {at(0), at(1)}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := worstExcess(tt.spans, 2, 3); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("excess %g, want %g", got, tt.want)
			}
		})
	}
}

// Guards against a result of the O(n log n) algorithm that differs from the
// definition, which is evaluated by brute force.
func TestWorstExcessMatchesDefinition(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var spans []span
		for range rng.IntN(30) + 1 {
			sent := rng.Float64() * 10
			spans = append(spans, span{at(sent), at(sent + rng.Float64())})
		}
		got, want := worstExcess(spans, 2, 3), worstExcessByDefinition(spans, 2, 3)
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("excess %g, want %g for %v", got, want, spans)
		}
	}
}

func worstExcessByDefinition(spans []span, rate, burst float64) float64 {
	worst := -burst
	for _, a := range spans {
		for _, b := range spans {
			if b.ended.Before(a.sent) {
				continue
			}
			n := 0
			for _, s := range spans {
				if !s.sent.Before(a.sent) && !s.ended.After(b.ended) {
					n++
				}
			}
			worst = max(worst, float64(n)-burst-rate*b.ended.Sub(a.sent).Seconds())
		}
	}
	return worst
}

// Guards against requests above the rate that count as within it.
func TestRateLimitAllow(t *testing.T) {
	l := newRateLimit(2, 3)
	want := []struct {
		at      float64
		allowed bool
	}{{0, true}, {0, true}, {0, true}, {0, false}, {0.25, false}, {0.5, true}, {0.5, false}, {100, true}}
	for i, w := range want {
		if got := l.allow(at(w.at)); got != w.allowed {
			t.Errorf("request %d at %g s: allowed %v, want %v", i, w.at, got, w.allowed)
		}
	}
}
