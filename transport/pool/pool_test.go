package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
)

func start(t *testing.T, workers int) (*Pool, func()) {
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

// Guards against two events of one session running at the same time or out of
// order.
func TestEventsOfOneQueueRunInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, 8)
		const events = 1000
		queues := make([]*Queue, 4)
		got := make([][]int, len(queues))
		var wg sync.WaitGroup
		for i := range queues {
			queues[i] = p.NewQueue(16)
			wg.Go(func() {
				for n := range events {
					queues[i].PostWait(func() { got[i] = append(got[i], n) })
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

// Guards against a reader that waits for room for ever after the pool stopped.
func TestStopWakesWaitingPosters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := start(t, 1)
		block := make(chan struct{})
		q := p.NewQueue(1)
		q.Post(func() { <-block })
		synctest.Wait()
		q.Post(func() {})
		if q.Post(func() {}) {
			t.Fatal("post on a full queue was accepted")
		}
		refused := make(chan bool)
		go func() { refused <- q.PostWait(func() {}) }()
		synctest.Wait()
		go stop()
		if <-refused {
			t.Fatal("post was accepted after stop")
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
			q.PostAlways(event)
			<-ran
		}
		q.Close()
	})
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
