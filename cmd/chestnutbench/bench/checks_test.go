package bench

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against a refused request that is classified as one with an unknown outcome,
// and the other way round.
func TestClassifyError(t *testing.T) {
	pg := func(code, detail, hint, severity string) error {
		return &pgconn.PgError{Code: code, Detail: detail, Hint: hint, Severity: severity}
	}
	tests := []struct {
		name string
		err  error
		want outcome
	}{
		{"none", nil, outcome{status: answered}},
		{"rate", pg("53400", notRunDetail, "Retry after 12 ms.", "ERROR"),
			outcome{status: refused, code: "53400", retryAfter: 12 * time.Millisecond}},
		{"shutdown", pg("57P01", notRunDetail, "", "FATAL"), outcome{status: refused, code: "57P01", fatal: true}},
		{"unknown", pg("08007", "The outcome of the request is unknown.", "", "ERROR"), outcome{status: unknown, code: "08007"}},
		{"backend", pg("23505", "", "", "ERROR"), outcome{status: failed, code: "23505"}},
		{"cut", errors.New("unexpected EOF"), outcome{status: connectionLost, fatal: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := classifyError(tt.err)
			got.err = nil
			if got != tt.want {
				t.Errorf("outcome %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against interruptions by planned changes that go unnoticed.
func TestInterrupted(t *testing.T) {
	tests := []struct {
		o    outcome
		want bool
	}{
		{outcome{status: answered}, false},
		{outcome{status: refused, code: "57P01"}, false},
		{outcome{status: refused, code: codeClosed}, false},
		{outcome{status: failed, code: "23505"}, false},
		{outcome{status: failed, code: "08006"}, true},
		{outcome{status: failed, code: "40001"}, true},
		{outcome{status: unknown, code: "08007"}, true},
		{outcome{status: connectionLost}, true},
		{outcome{status: timedOut}, true},
	}
	for _, tt := range tests {
		if got := tt.o.interrupted(); got != tt.want {
			t.Errorf("%+v interrupted: %v, want %v", tt.o, got, tt.want)
		}
	}
}

// Guards against writes that are lost, committed twice, or committed although they
// were refused, and go unnoticed.
func TestWriteHistoryViolations(t *testing.T) {
	tests := []struct {
		name      string
		outcome   writeOutcome
		all       int // commits on any server
		surviving int // commits in the primary's log
		want      writeViolations
	}{
		{"acknowledged and kept", writeAcknowledged, 1, 1, writeViolations{}},
		{"acknowledged and dropped", writeAcknowledged, 1, 0, writeViolations{Lost: 1}},
		{"acknowledged and never committed", writeAcknowledged, 0, 0, writeViolations{Lost: 1}},
		{"acknowledged and run twice", writeAcknowledged, 2, 2, writeViolations{Duplicated: 1}},
		{"unknown and committed", writeUnknown, 1, 1, writeViolations{}},
		{"unknown and not committed", writeUnknown, 0, 0, writeViolations{}},
		{"unknown and run twice", writeUnknown, 2, 1, writeViolations{Duplicated: 1}},
		{"refused and not run", writeNotRun, 0, 0, writeViolations{}},
		{"refused and run", writeNotRun, 1, 0, writeViolations{CommittedThoughRefused: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newWriteHistory()
			h.record(write{group: "g", value: "v", outcome: tt.outcome}, "k", at(0), at(1))
			c := commitCounts{all: map[string]int{"v": tt.all}, surviving: map[string]int{"v": tt.surviving}}
			got := h.findViolations(c)
			got.Example = ""
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a failover gap that ends with a write which was sent before the
// fault.
func TestFailoverGap(t *testing.T) {
	h := newWriteHistory()
	for _, a := range []acknowledgement{{at(0), at(5)}, {at(2), at(4)}, {at(3), at(3.5)}, {at(10), at(10.2)}} {
		h.record(write{group: "g", outcome: writeAcknowledged}, "", a.sent, a.received)
	}
	l := faultLog{faults: []fault{{"g", "stop", at(1)}, {"g", "pause", at(9)}, {"g", "stop", at(20)}}}
	got := l.failoverGap(h)
	want := &FailoverGap{
		Failovers: 3, Unended: 1,
		P50: 1200 * time.Millisecond, P99: 2500 * time.Millisecond, Worst: 2500 * time.Millisecond,
		ByKind: map[string]time.Duration{"stop": 2500 * time.Millisecond, "pause": 1200 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("failover gap (-want +got):\n%s", diff)
	}
}

// Guards against bad service of one customer that is hidden by the others.
func TestWorstServed(t *testing.T) {
	got := worstServed([]CustomerResult{
		{Name: "a", Goodput: 1, P99: 5},
		{Name: "b", Goodput: 0.2, P99: 4},
		{Name: "c", Goodput: 0.9, P99: 70},
	})
	want := WorstServed{Customer: "b", Goodput: 0.2, MedianGoodput: 0.9, P99Customer: "c", P99: 70, MedianP99: 5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("worst served (-want +got):\n%s", diff)
	}
}

// Guards against a customer that exceeds its rate and is reported as the worst
// served because its excess jobs are refused.
func TestGoodput(t *testing.T) {
	tests := []struct {
		name string
		c    counts
		want float64 // with 100 jobs within the rate limit
	}{
		{"inside the rate, all answered", counts{Offered: 50, InTime: 50}, 1},
		{"inside the rate, half answered", counts{Offered: 50, InTime: 25}, 0.5},
		{"above the rate, all that is due answered", counts{Offered: 500, InTime: 100}, 1},
		{"nothing offered", counts{}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := goodput(tt.c, 100); got != tt.want {
				t.Errorf("goodput %g, want %g", got, tt.want)
			}
		})
	}
}

// Guards against jobs that are counted in the wrong phase, and against jobs that
// count as in time although they ended after their deadline.
func TestCollectorPhases(t *testing.T) {
	c := newCollector([]string{"a"})
	c.startPhase("one", at(0))
	c.startPhase("two", at(10))
	c.recordJob("a", job{kind: jobReadAny, arrived: at(9)}, at(11), 3*time.Second, outcome{}, true)
	c.recordJob("a", job{kind: jobReadAny, arrived: at(10)}, at(14), 3*time.Second, outcome{}, true)
	c.recordJob("a", job{kind: jobReadAny, arrived: at(11)}, at(14), 3*time.Second, outcome{}, false)
	one, two := c.phases[0].counts, c.phases[1].counts
	if want := (counts{Offered: 1, InTime: 1, Answered: 1}); one != want {
		t.Errorf("first phase %+v, want %+v", one, want)
	}
	if want := (counts{Offered: 2, Answered: 1, NotSent: 1}); two != want {
		t.Errorf("second phase %+v, want %+v", two, want)
	}
}

// Guards against requests that run with a revoked API key and go unnoticed, and
// against violations reported within the grace period.
func TestRevokedKey(t *testing.T) {
	c := newCollector([]string{"a", "b"})
	c.recordRevocation("a", at(0))
	c.recordExecution("a", at(4.9))
	c.recordExecution("b", at(6))
	if n := c.violations.RunAfterRevocation; n != 0 {
		t.Errorf("%d violations within the grace period, want 0", n)
	}
	c.recordExecution("a", at(5.1))
	if n := c.violations.RunAfterRevocation; n != 1 {
		t.Errorf("%d violations, want 1", n)
	}
}

// Guards against slopes that are reported for the wrong axis.
func TestSlopes(t *testing.T) {
	var points []Scale
	for _, vms := range []int{2, 4} {
		for _, groups := range []int{3, 6} {
			points = append(points, Scale{VMs: vms, Groups: groups, Status: Traffic{Messages: float64(10*vms + groups)}})
		}
	}
	got := make(map[string]float64)
	for _, s := range fitSlopes(points) {
		if s.Measure == "status queries/s" {
			got[s.Axis] = s.PerUnit
		}
	}
	if diff := cmp.Diff(map[string]float64{"VMs": 10, "groups": 1}, got); diff != "" {
		t.Errorf("slopes (-want +got):\n%s", diff)
	}
}
