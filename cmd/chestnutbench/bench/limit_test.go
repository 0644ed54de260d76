package bench

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

// spansAt returns requests that run in no time.
func spansAt(seconds ...float64) []span {
	var all []span
	for _, s := range seconds {
		all = append(all, span{at(s), at(s)})
	}
	return all
}

// Guards against overspent limits that go unnoticed, and against false alarms
// for requests whose moment is not known exactly.
func TestWorstExcess(t *testing.T) {
	tests := []struct {
		name  string
		spans []span
		want  float64 // with 2 requests a second and a burst of 3
	}{
		{"none", nil, -3},
		{"the burst at once", spansAt(0, 0, 0), 0},
		{"one above the burst", spansAt(0, 0, 0, 0), 1},
		{"the burst, then the rate", spansAt(0, 0, 0, 0.5, 1, 1.5), 0},
		{"above the rate late in the run", spansAt(0, 100, 100, 100, 100.25, 100.5), 1},
		{"within a long run", spansAt(0, 10, 20, 30, 40), -2},
		{"one of four may have run earlier", append(spansAt(0, 0, 0), span{at(-5), at(0)}), 0},
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

// Guards against a fast algorithm that differs from the definition.
func TestWorstExcessMatchesDefinition(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var spans []span
		for range rng.IntN(30) + 1 {
			sent := rng.Float64() * 10
			spans = append(spans, span{at(sent), at(sent + rng.Float64())})
		}
		got, want := worstExcess(spans, 2, 3), excessByDefinition(spans, 2, 3)
		if math.Abs(got-want) > 1e-6 {
			t.Fatalf("excess %g, want %g for %v", got, want, spans)
		}
	}
}

func excessByDefinition(spans []span, rate, burst float64) float64 {
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

// Guards against requests that are taken for ones inside the rate.
func TestLimitTake(t *testing.T) {
	l := newLimit(2, 3)
	want := []struct {
		at     float64
		inside bool
	}{{0, true}, {0, true}, {0, true}, {0, false}, {0.25, false}, {0.5, true}, {0.5, false}, {100, true}}
	for i, w := range want {
		if got := l.take(at(w.at)); got != w.inside {
			t.Errorf("request %d at %g s: inside %v, want %v", i, w.at, got, w.inside)
		}
	}
}
