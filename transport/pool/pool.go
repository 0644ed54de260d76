// Package pool runs events on a fixed number of workers.
//
// Events are posted to queues. The events of one queue run in order and one at
// a time; different queues run in parallel. Queues are bounded, so that a slow
// decision or an overload slows the readers down instead of filling memory.
package pool

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Pool is a fixed set of workers over a list of queues that have events.
type Pool struct {
	mu      sync.Mutex // guards ready, closed and all fields of the queues
	work    *sync.Cond // signalled when ready grows or the pool closes
	ready   []*Queue
	head    int
	queues  map[*Queue]struct{}
	closed  bool
	workers int
}

// New returns a pool with the given number of workers. Run starts them.
func New(workers int) *Pool {
	p := &Pool{workers: max(workers, 1), queues: make(map[*Queue]struct{})}
	p.work = sync.NewCond(&p.mu)
	return p
}

// Queue is a bounded FIFO of events that run one at a time.
type Queue struct {
	pool      *Pool
	space     *sync.Cond // signalled when events shrink or the queue closes
	events    []func()
	limit     int
	scheduled bool
	closed    bool
}

// NewQueue returns a queue that holds at most limit events. Close it when its
// key goes away.
func (p *Pool) NewQueue(limit int) *Queue {
	q := &Queue{pool: p, space: sync.NewCond(&p.mu), limit: max(limit, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queues[q] = struct{}{}
	return q
}

// Post appends an event. It reports false, without blocking, if the queue is
// full or closed; the event will then not run.
func (q *Queue) Post(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.closed || q.pool.closed || len(q.events) >= q.limit {
		return false
	}
	q.append(event)
	return true
}

// PostWait appends an event and waits while the queue is full. It reports
// false if the queue or the pool is closed. Readers use it so that a full queue
// stops them from reading; workers must not call it.
func (q *Queue) PostWait(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	for !q.closed && !q.pool.closed && len(q.events) >= q.limit {
		q.space.Wait()
	}
	if q.closed || q.pool.closed {
		return false
	}
	q.append(event)
	return true
}

// PostAlways appends an event even if the queue is full. It is for events that
// must not be lost and whose number is bounded otherwise, such as the end of a
// connection or a timer. It reports false if the queue or the pool is closed.
func (q *Queue) PostAlways(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.closed || q.pool.closed {
		return false
	}
	q.append(event)
	return true
}

// Close refuses new events. Events that were posted before still run, so that
// what they hold can be given back.
func (q *Queue) Close() {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	q.closed = true
	delete(q.pool.queues, q)
	q.space.Broadcast()
}

func (q *Queue) append(event func()) {
	q.events = append(q.events, event)
	if !q.scheduled {
		q.scheduled = true
		q.pool.ready = append(q.pool.ready, q)
		q.pool.work.Signal()
	}
}

// Run works until ctx is done, then returns after the running events ended.
// Events that have not started are dropped.
func (p *Pool) Run(ctx context.Context) error {
	var g errgroup.Group
	for range p.workers {
		g.Go(func() error {
			p.worker()
			return nil
		})
	}
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	return g.Wait()
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.work.Broadcast()
	for q := range p.queues {
		q.space.Broadcast()
	}
}

func (p *Pool) worker() {
	for {
		q, event := p.next()
		if q == nil {
			return
		}
		event()
		p.done(q)
	}
}

// next waits for a queue with an event and takes the event. It returns nil when
// the pool is closed.
func (p *Pool) next() (*Queue, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.closed {
			return nil, nil
		}
		if p.head == len(p.ready) {
			p.work.Wait()
			continue
		}
		q := p.ready[p.head]
		p.ready[p.head] = nil
		p.head++
		p.compact()
		if len(q.events) == 0 {
			q.scheduled = false
			continue
		}
		event := q.events[0]
		q.events[0] = nil
		q.events = q.events[1:]
		q.space.Signal()
		return q, event
	}
}

// compact reuses the space in front of head, so that ready does not grow
// without bound while the pool is never idle.
func (p *Pool) compact() {
	switch {
	case p.head == len(p.ready):
		p.ready, p.head = p.ready[:0], 0
	case p.head > 1024 && p.head*2 > len(p.ready):
		n := copy(p.ready, p.ready[p.head:])
		clear(p.ready[n:])
		p.ready, p.head = p.ready[:n], 0
	}
}

func (p *Pool) done(q *Queue) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(q.events) == 0 {
		q.scheduled = false
		return
	}
	p.ready = append(p.ready, q)
	p.work.Signal()
}
