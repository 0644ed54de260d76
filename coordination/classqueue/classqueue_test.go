package classqueue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

func class(route int) statement.Class { return statement.Class{Route: route} }

// Guards against statements that are served in the order of arrival, and against lower
// classes that never get a turn.
func TestQueueOrder(t *testing.T) {
	var q classqueue.Queue[string]
	q.Push("c1", class(2), 1)
	q.Push("b1", class(1), 2)
	q.Push("a-late", class(0), 30)
	q.Push("a-soon", class(0), 10)
	q.Push("a-soon2", class(0), 10)
	q.Push("customer", statement.Class{Route: 0, Customer: 1}, 1)
	for _, name := range []string{"a3", "a4", "a5"} {
		q.Push(name, class(0), 40)
	}
	if got := []int{q.Ahead(class(0)), q.Ahead(class(1)), q.Ahead(class(2))}; !slices.Equal(got, []int{6, 8, 9}) {
		t.Errorf("statements ahead by class: %v", got)
	}
	var order []string
	for q.Len() > 0 {
		next, _ := q.Pop()
		order = append(order, next)
	}
	want := []string{"a-soon", "a-soon2", "a-late", "a3", "c1", "a4", "a5", "customer", "b1"}
	if !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

// Guards against a full queue that refuses an urgent statement in favour of a less
// urgent one, and against statements that run after they were refused.
func TestQueueDisplace(t *testing.T) {
	var q classqueue.Queue[string]
	q.Push("a", class(0), 1)
	q.Push("b1", class(1), 1)
	q.Push("b2", class(1), 2)
	if _, ok := q.Displace(class(1)); ok {
		t.Error("a statement of the same class is displaced")
	}
	if got, ok := q.Displace(class(0)); !ok || got != "b2" {
		t.Errorf("displaced %q", got)
	}
	if !q.Remove("a") || q.Remove("a") || q.Len() != 1 {
		t.Errorf("%d statements are left", q.Len())
	}
}

// observe plays statements of two classes for some seconds, of which the higher one has
// an objective of 200 ms, with the given delay at the server.
func observe(p *classqueue.Pressure, classes []int, from, until, delay time.Duration) (changes []classqueue.Change) {
	for now := from; now < until; now += 20 * ms {
		for _, c := range classes {
			p.Arrived(class(c), time.Duration(200+400*c)*ms, now)
		}
		p.Answered(classqueue.Kind{}, 10*ms+delay, now)
		if c := p.Advance(now); c != classqueue.Unchanged {
			changes = append(changes, c)
		}
	}
	return changes
}

// Guards against holding back the highest class or the only one, lower classes without a
// share, pressure that never ends, and a log line for each statement.
func TestPressure(t *testing.T) {
	p := classqueue.NewPressure(0)
	observe(p, []int{0, 1}, 0, time.Second, 0)
	changes := observe(p, []int{0, 1}, time.Second, 4*time.Second, 100*ms)
	if got := p.HoldProbability(class(0)); got != 0 {
		t.Errorf("the highest class is held back with probability %v", got)
	}
	if got := p.HoldProbability(class(1)); got < 0.85 || got > 0.9 {
		t.Errorf("the lower class is held back with probability %v", got)
	}
	changes = append(changes, observe(p, []int{0, 1}, 4*time.Second, 12*time.Second, 0)...)
	if got := p.HoldProbability(class(1)); got != 0 || !slices.Equal(changes, []classqueue.Change{classqueue.Began, classqueue.Ended}) {
		t.Errorf("after the pressure: probability %v, changes %v", got, changes)
	}
	only := classqueue.NewPressure(0)
	observe(only, []int{1}, 0, time.Second, 0)
	observe(only, []int{1}, time.Second, 4*time.Second, 300*ms)
	if got := only.HoldProbability(class(1)); got != 0 {
		t.Errorf("the only class is held back with probability %v", got)
	}
}

// Guards against lower classes that stay held back after the higher one is gone, and
// against a server that is avoided for ever because of an old observation.
func TestPressureForgets(t *testing.T) {
	p := classqueue.NewPressure(0)
	observe(p, []int{0, 1}, 0, time.Second, 0)
	observe(p, []int{0, 1}, time.Second, 4*time.Second, 100*ms)
	observe(p, []int{1}, 4*time.Second, 10*time.Second, 100*ms)
	if got := p.HoldProbability(class(1)); got != 0 {
		t.Errorf("held back with probability %v though no higher class is present", got)
	}
	if got := p.Delay(20 * time.Second); got > ms {
		t.Errorf("a delay of %v is assumed after 10 s without a statement", got)
	}
}

// Guards against a statement that waits although it cannot be answered in time, and
// against a caller that is told to retry after its deadline.
func TestCheckDeadline(t *testing.T) {
	p := classqueue.NewPressure(0)
	observe(p, []int{0}, 0, time.Second, 0)
	r := classqueue.Request{Timeout: 150 * ms, Wait: 100 * ms}
	if v := p.CheckDeadline(r, classqueue.Place{Ahead: 5, Serving: 1}, time.Second, 0.5); v.Refuse {
		t.Errorf("refused after %v with a wait of 50 ms", v.RetryAfter)
	}
	v := p.CheckDeadline(r, classqueue.Place{Ahead: 15, Serving: 1}, time.Second, 0.5)
	if !v.Refuse || v.Reason != classqueue.TooLate || v.RetryAfter <= 0 || v.RetryAfter > r.Timeout/2 {
		t.Errorf("with a wait of 150 ms: %+v", v)
	}
	if v := p.CheckDeadline(r, classqueue.Place{Ahead: 15}, time.Second, 0.5); v.Refuse {
		t.Errorf("refused though the wait is not known: %+v", v)
	}
	observe(p, []int{0}, time.Second, 3*time.Second, 200*ms)
	if v := p.CheckDeadline(r, classqueue.Place{}, 3*time.Second, 0.5); !v.Refuse {
		t.Error("waits though the delay at the server exceeds its time-out")
	}
}
