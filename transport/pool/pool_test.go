package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
)

func startPool(t *testing.T, workers int) (*Pool, func()) {
	t.Helper()
	p := New(workers)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := p.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	return p, func() {
		cancel()
		<-done
	}
}

// Guards against events of one queue that run concurrently or out of order, which
// would break the single-threaded use of a session's state.
func TestEventsOfOneQueueRunInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := startPool(t, 8)
		const events = 1000
		queues := make([]*Queue, 4)
		got := make([][]int, len(queues))
		var wg sync.WaitGroup
		for i := range queues {
			queues[i] = p.NewQueue(16)
			wg.Go(func() {
				for n := range events {
					queues[i].PostBlocking(func() { got[i] = append(got[i], n) })
				}
			})
		}
		wg.Wait()
		synctest.Wait()
		stop()
		for i := range queues {
			if len(got[i]) != events {
				t.Fatalf("queue %d ran %d events, want %d", i, len(got[i]), events)
			}
			for n, v := range got[i] {
				if v != n {
					t.Fatalf("queue %d event %d is %d", i, n, v)
				}
			}
		}
	})
}

// Guards against a PostBlocking call that blocks forever because the pool stopped
// while the queue was full.
func TestStopUnblocksPostBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := startPool(t, 1)
		block := make(chan struct{})
		q := p.NewQueue(1)
		q.Post(func() { <-block })
		synctest.Wait()
		q.Post(func() {})
		if q.Post(func() {}) {
			t.Fatal("Post on a full queue returned true")
		}
		accepted := make(chan bool)
		go func() { accepted <- q.PostBlocking(func() {}) }()
		synctest.Wait()
		go stop()
		if <-accepted {
			t.Fatal("PostBlocking returned true after the pool stopped")
		}
		close(block)
		synctest.Wait()
	})
}

func BenchmarkPost(b *testing.B) {
	p := New(8)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		q := p.NewQueue(64)
		ran := make(chan struct{})
		event := func() { ran <- struct{}{} }
		for pb.Next() {
			q.PostUnbounded(event)
			<-ran
		}
		q.Close()
	})
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

// Guards against a malformed message that ends the whole process, or that blocks the
// worker which handled it.
func TestRuntimeErrorEndsOneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := startPool(t, 1)
		q := p.NewQueue(4)
		var handled error
		q.HandlePanics(func(err error, stack []byte) {
			if len(stack) == 0 {
				t.Error("no stack")
			}
			handled = err
		})
		ran := false
		q.PostBlocking(func() { empty := []int{}; empty[len(empty)] = 1 })
		q.PostBlocking(func() { var pointer *int; *pointer = 1 })
		q.PostBlocking(func() { ran = true })
		synctest.Wait()
		stop()
		if handled == nil || !ran {
			t.Errorf("handled %v, next event ran: %v", handled, ran)
		}
	})
}

// Guards against a process that goes on after a broken invariant.
func TestBrokenInvariantIsNotHandled(t *testing.T) {
	defer func() {
		if recover() != "invariant" {
			t.Error("the panic did not end the caller")
		}
	}()
	Protect(func() { panic("invariant") }, func(error, []byte) { t.Error("a broken invariant was handled") })
}
