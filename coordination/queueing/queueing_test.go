package queueing

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chestnutdyke/chestnutdyke/state"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newServer(limit int) *state.ServerConns {
	return &state.ServerConns{
		Server: "s1",
		Limit:  limit,
		Busy:   make(map[state.ConnID]state.BusyConn),
		Finish: make(map[string]float64),
	}
}

func waiter(customer string, n uint64, weight float64) state.ConnWaiter {
	return state.ConnWaiter{
		ID:       state.WaiterID{Session: n, Request: 1},
		Customer: customer,
		Weight:   weight,
		Joined:   start,
		Deadline: start.Add(time.Minute),
	}
}

// serve releases the connection n times and returns the customers that got it, in
// order.
func serve(s *state.ServerConns, conn state.ConnID, n int, customers map[uint64]string) []string {
	var order []string
	for range n {
		for _, e := range Release(s, conn, start) {
			if g, ok := e.(Grant); ok {
				order = append(order, customers[g.Waiter.Session])
			}
		}
	}
	return order
}

// Guards against a customer with many queued requests that delays the others.
func TestCustomersShareByWeight(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		weights map[string]float64
		want    map[string]int // among the first 8 served
	}{
		{"equal weights", Options{}, map[string]float64{"large": 1, "small": 1}, map[string]int{"large": 4, "small": 4}},
		{"weights 3 to 1", Options{}, map[string]float64{"large": 3, "small": 1}, map[string]int{"large": 6, "small": 2}},
		{"first in first out", Options{FIFO: true}, map[string]float64{"large": 1, "small": 1}, map[string]int{"large": 8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(1)
			s.Busy[1] = state.BusyConn{Since: start}
			customers := make(map[uint64]string)
			n := uint64(0)
			add := func(customer string, count int) {
				for range count {
					n++
					customers[n] = customer
					Acquire(s, waiter(customer, n, tt.weights[customer]), start, tt.options)
				}
			}
			add("large", 40)
			add("small", 8)
			got := make(map[string]int)
			for _, c := range serve(s, 1, 8, customers) {
				got[c]++
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("served (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against queueing requests that cannot be served before their deadline.
func TestRefusesEarlyWhenDeadlineCannotBeMet(t *testing.T) {
	s := newServer(1)
	s.Service = 100 * time.Millisecond
	s.Busy[1] = state.BusyConn{Since: start}
	for n := range uint64(4) {
		Acquire(s, waiter("a", n, 1), start, Options{})
	}
	late := waiter("a", 9, 1)
	late.Deadline = start.Add(300 * time.Millisecond)
	want := []Effect{Refuse{late.ID, DeadlineExceeded}}
	if diff := cmp.Diff(want, Acquire(s, late, start, Options{})); diff != "" {
		t.Error(diff)
	}
	other := waiter("b", 10, 1)
	other.Deadline = late.Deadline
	if got := Acquire(s, other, start, Options{}); len(got) != 0 {
		t.Errorf("a customer with nothing queued got %v", got)
	}
}

// Guards against opening more connections than the limit when it is lowered while
// connections are busy and some of them are lost.
func TestOpenNeverExceedsLimit(t *testing.T) {
	s := newServer(3)
	next := state.ConnID(0)
	opens := 0
	run := func(effects []Effect) {
		for _, e := range effects {
			if _, ok := e.(Open); ok {
				opens++
			}
		}
	}
	for n := range uint64(10) {
		run(Acquire(s, waiter("a", n, 1), start, Options{}))
	}
	if opens != 3 {
		t.Fatalf("%d connections opened, want 3", opens)
	}
	for range 3 {
		next++
		run(Opened(s, next, start))
	}
	run(SetLimit(s, 2, start))
	run(Release(s, 1, start))
	run(Closed(s, 1, start))
	run(Closed(s, 2, start))
	if s.Open() > s.Limit {
		t.Errorf("%d connections open, limit %d", s.Open(), s.Limit)
	}
}

// Guards against reusing a connection that was closed before it was released.
func TestReleaseAfterCloseIsIgnored(t *testing.T) {
	s := newServer(1)
	s.Busy[1] = state.BusyConn{Since: start}
	Closed(s, 1, start)
	if got := Release(s, 1, start); len(got) != 0 || len(s.Idle) != 0 {
		t.Errorf("effects %v, idle %v, want none", got, s.Idle)
	}
}

// Guards against requests that keep waiting for a server that refuses connections,
// and against connecting to it again without a delay.
func TestUnreachableServerRefusesWaiters(t *testing.T) {
	s := newServer(2)
	w := waiter("a", 1, 1)
	if got := fmt.Sprint(Acquire(s, w, start, Options{})); got != "[{s1}]" {
		t.Fatalf("effects %s", got)
	}
	want := []Effect{Refuse{w.ID, Unreachable}}
	if diff := cmp.Diff(want, OpenFailed(s, start)); diff != "" {
		t.Error(diff)
	}
	if got := Acquire(s, waiter("a", 2, 1), start, Options{}); len(got) != 0 {
		t.Errorf("reconnected without a delay: %v", got)
	}
	if got := Expire(s, start.Add(minReconnectDelay)); len(got) != 1 {
		t.Errorf("effects after the delay: %v, want one attempt", got)
	}
}

// Guards against a retry storm after a failover.
func TestRetryBudget(t *testing.T) {
	b := &state.RetryBudget{}
	allowed := 0
	for range 1000 {
		EarnRetries(b, start)
		if TakeRetry(b, start) {
			allowed++
		}
	}
	if limit := retriesPerSecond + 1000*retriesPerRequest; float64(allowed) > limit {
		t.Errorf("%d retries of 1000 requests, want at most %g", allowed, limit)
	}
}

// Guards against connections that alternate between sessions although each session
// could keep its own, which costs a DISCARD ALL per request.
func TestSessionGetsItsConnectionBack(t *testing.T) {
	s := newServer(3)
	s.Idle = []state.IdleConn{{ID: 1, Session: 7}, {ID: 2, Session: 8}, {ID: 3, Session: 9}}
	tests := []struct {
		session uint64
		want    state.ConnID
	}{{8, 2}, {9, 3}, {7, 1}, {10, 2}, {9, 3}, {7, 1}}
	for i, tt := range tests {
		effects := Acquire(s, waiter("a", tt.session, 1), start, Options{})
		want := []Effect{Grant{Waiter: state.WaiterID{Session: tt.session, Request: 1}, Conn: tt.want}}
		if diff := cmp.Diff(want, effects); diff != "" {
			t.Fatalf("request %d (-want +got):\n%s", i, diff)
		}
		Release(s, tt.want, start)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	s := newServer(3)
	s.Idle = []state.IdleConn{{ID: 1}, {ID: 2}, {ID: 3}}
	w := waiter("a", 1, 1)
	b.ReportAllocs()
	for b.Loop() {
		for _, e := range Acquire(s, w, start, Options{}) {
			Release(s, e.(Grant).Conn, start)
		}
	}
}
