package bench

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against a refusal that is taken for an unknown outcome, or the other
// way round.
func TestOutcomeOf(t *testing.T) {
	pg := func(code, detail, hint, severity string) error {
		return &pgconn.PgError{Code: code, Detail: detail, Hint: hint, Severity: severity}
	}
	tests := []struct {
		name string
		err  error
		want outcome
	}{
		{"none", nil, outcome{verdict: answered}},
		{"rate", pg("53400", notRunDetail, "Retry after 12 ms.", "ERROR"),
			outcome{verdict: refused, code: "53400", retryAfter: 12 * time.Millisecond}},
		{"shutdown", pg("57P01", notRunDetail, "", "FATAL"), outcome{verdict: refused, code: "57P01", fatal: true}},
		{"unknown", pg("08007", "The outcome of the request is unknown.", "", "ERROR"), outcome{verdict: unknown, code: "08007"}},
		{"backend", pg("23505", "", "", "ERROR"), outcome{verdict: failed, code: "23505"}},
		{"cut", errors.New("unexpected EOF"), outcome{verdict: cut, fatal: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := outcomeOf(tt.err)
			got.err = nil
			if got != tt.want {
				t.Errorf("outcome %+v, want %+v", got, tt.want)
			}
		})
	}
}

// Guards against planned moves that interrupt requests unnoticed.
func TestInterrupted(t *testing.T) {
	tests := []struct {
		o    outcome
		want bool
	}{
		{outcome{verdict: answered}, false},
		{outcome{verdict: refused, code: "57P01"}, false},
		{outcome{verdict: refused, code: codeClosed}, false},
		{outcome{verdict: failed, code: "23505"}, false},
		{outcome{verdict: failed, code: "08006"}, true},
		{outcome{verdict: failed, code: "40001"}, true},
		{outcome{verdict: unknown, code: "08007"}, true},
		{outcome{verdict: cut}, true},
		{outcome{verdict: abandoned}, true},
	}
	for _, tt := range tests {
		if got := tt.o.interrupted(); got != tt.want {
			t.Errorf("%+v interrupted: %v, want %v", tt.o, got, tt.want)
		}
	}
}

// Guards against lost, doubled and wrongly refused writes that go unnoticed.
func TestLedgerCheck(t *testing.T) {
	tests := []struct {
		name string
		fate fate
		all  int // commits
		kept int // commits that survive
		want writeFaults
	}{
		{"acknowledged and kept", fateAcknowledged, 1, 1, writeFaults{}},
		{"acknowledged and dropped", fateAcknowledged, 1, 0, writeFaults{Lost: 1}},
		{"acknowledged and never committed", fateAcknowledged, 0, 0, writeFaults{Lost: 1}},
		{"acknowledged and run twice", fateAcknowledged, 2, 2, writeFaults{Doubled: 1}},
		{"unknown and committed", fateUnknown, 1, 1, writeFaults{}},
		{"unknown and not committed", fateUnknown, 0, 0, writeFaults{}},
		{"unknown and run twice", fateUnknown, 2, 1, writeFaults{Doubled: 1}},
		{"refused and not run", fateNotRun, 0, 0, writeFaults{}},
		{"refused and run", fateNotRun, 1, 0, writeFaults{NotRun: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger()
			l.record(write{group: "g", value: "v", fate: tt.fate}, "k", at(0), at(1))
			c := commits{all: map[string]int{"v": tt.all}, surviving: map[string]int{"v": tt.kept}}
			got := l.check(c)
			got.First = ""
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a gap that counts a write which was sent before the fault.
func TestFailoverGap(t *testing.T) {
	l := newLedger()
	for _, a := range []ack{{at(0), at(5)}, {at(2), at(4)}, {at(3), at(3.5)}, {at(10), at(10.2)}} {
		l.record(write{group: "g", fate: fateAcknowledged}, "", a.sent, a.at)
	}
	g := failoverGaps{faults: []fault{{"g", "stop", at(1)}, {"g", "pause", at(9)}, {"g", "stop", at(20)}}}
	got := g.measure(l)
	want := &FailoverGap{
		Failovers: 3, Unended: 1,
		P50: 1200 * time.Millisecond, P99: 2500 * time.Millisecond, Worst: 2500 * time.Millisecond,
		ByKind: map[string]time.Duration{"stop": 2500 * time.Millisecond, "pause": 1200 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("gap (-want +got):\n%s", diff)
	}
}

// Guards against a customer with bad service that is hidden by the others.
func TestWorstServed(t *testing.T) {
	got := worstServed([]CustomerResult{
		{Name: "a", Goodput: 1, P99: 5},
		{Name: "b", Goodput: 0.2, P99: 4},
		{Name: "c", Goodput: 0.9, P99: 70},
	})
	want := WorstServed{Customer: "b", Goodput: 0.2, MedianGoodput: 0.9, P99Customer: "c", P99: 70, MedianP99: 5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("worst (-want +got):\n%s", diff)
	}
}

// Guards against a customer that sends more than its rate and is taken for the
// worst-served one.
func TestGoodput(t *testing.T) {
	tests := []struct {
		name string
		c    counts
		want float64 // with 100 jobs inside the rate
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

// Guards against jobs that are counted for the wrong phase or as in time after
// their deadline.
func TestCollectorPhases(t *testing.T) {
	c := newCollector([]string{"a"})
	c.startPhase("one", at(0))
	c.startPhase("two", at(10))
	c.job("a", job{kind: enquiry, arrived: at(9)}, at(11), 3*time.Second, outcome{}, true)
	c.job("a", job{kind: enquiry, arrived: at(10)}, at(14), 3*time.Second, outcome{}, true)
	c.job("a", job{kind: enquiry, arrived: at(11)}, at(14), 3*time.Second, outcome{}, false)
	one, two := c.phases[0].counts, c.phases[1].counts
	if want := (counts{Offered: 1, InTime: 1, Answered: 1}); one != want {
		t.Errorf("first phase %+v, want %+v", one, want)
	}
	if want := (counts{Offered: 2, Answered: 1, Unserved: 1}); two != want {
		t.Errorf("second phase %+v, want %+v", two, want)
	}
}

// Guards against requests with a revoked key that go unnoticed.
func TestRevokedKey(t *testing.T) {
	c := newCollector([]string{"a", "b"})
	c.revoke("a", at(0))
	c.ran("a", at(4.9))
	c.ran("b", at(6))
	if n := c.violations.Revoked; n != 0 {
		t.Errorf("%d violations within the grace, want 0", n)
	}
	c.ran("a", at(5.1))
	if n := c.violations.Revoked; n != 1 {
		t.Errorf("%d violations, want 1", n)
	}
}

// Guards against slopes that mix up the axes.
func TestSlopes(t *testing.T) {
	var points []Scale
	for _, vms := range []int{2, 4} {
		for _, groups := range []int{3, 6} {
			points = append(points, Scale{VMs: vms, Groups: groups, Status: Traffic{Messages: float64(10*vms + groups)}})
		}
	}
	got := make(map[string]float64)
	for _, s := range slopes(points) {
		if s.Measure == "status queries/s" {
			got[s.Axis] = s.PerUnit
		}
	}
	if diff := cmp.Diff(map[string]float64{"VMs": 10, "groups": 1}, got); diff != "" {
		t.Errorf("slopes (-want +got):\n%s", diff)
	}
}
