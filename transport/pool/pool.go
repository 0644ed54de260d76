// Package pool runs events on a fixed number of workers.
//
// Events are posted to queues. The events of one queue run in order and one at
// a time; different queues run in parallel. Queues are bounded, so that a slow
// decision or an overload applies back pressure to the connection readers
// instead of filling memory.
package pool

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"

	"golang.org/x/sync/errgroup"
)

// minConsumedEntries is the number of consumed entries of Pool.runnable that must
// be exceeded before the remaining ones are copied to the front.
const minConsumedEntries = 1024

// Pool is a fixed set of workers that serve the queues with pending events in
// FIFO order.
type Pool struct {
	mu            sync.Mutex // guards runnable, closed and all fields of the queues
	workAvailable *sync.Cond // signalled when a queue is added to runnable, and when the pool closes
	runnable      []*Queue   // queues with pending events; runnable[:head] is consumed
	head          int
	queues        map[*Queue]struct{} // open queues
	closed        bool
	workers       int
}

// New returns a pool with the given number of workers, at least one. Run starts
// them.
func New(workers int) *Pool {
	p := &Pool{workers: max(workers, 1), queues: make(map[*Queue]struct{})}
	p.workAvailable = sync.NewCond(&p.mu)
	return p
}

// Protect calls f. If f fails with a run-time error, such as the use of a nil pointer,
// Protect calls handle with the error and the stack, so that one malformed message
// ends only what it belongs to. All other panics are broken invariants and end the
// process.
func Protect(f func(), handle func(err error, stack []byte)) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case runtime.Error:
			handle(v, debug.Stack())
		default:
			panic(v)
		}
	}()
	f()
}

// Queue is a bounded FIFO queue of events that run one at a time.
type Queue struct {
	pool           *Pool
	spaceAvailable *sync.Cond // signalled when an event is removed, and when the queue or the pool closes
	events         []func()
	limit          int
	handlePanic    func(err error, stack []byte) // see HandlePanics
	scheduled      bool                          // the queue is in runnable, or a worker runs one of its events
	closed         bool
}

// NewQueue returns a queue that holds at most limit events, at least one. The
// caller closes it when it is no longer needed.
func (p *Pool) NewQueue(limit int) *Queue {
	q := &Queue{pool: p, spaceAvailable: sync.NewCond(&p.mu), limit: max(limit, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queues[q] = struct{}{}
	return q
}

// HandlePanics makes the queue call handle if one of its events fails with a run-time
// error, as described at Protect. It must be called before the first event is posted.
// Without it, a run-time error ends the process.
func (q *Queue) HandlePanics(handle func(err error, stack []byte)) { q.handlePanic = handle }

// Post appends an event. It returns false without blocking if the queue is full
// or if the queue or the pool is closed; the event is then dropped.
func (q *Queue) Post(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.closed || q.pool.closed || len(q.events) >= q.limit {
		return false
	}
	q.enqueue(event)
	return true
}

// PostBlocking appends an event and blocks while the queue is full. It returns
// false if the queue or the pool is closed. Connection readers use it for back
// pressure. Workers must not call it, because it would block them.
func (q *Queue) PostBlocking(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	for !q.closed && !q.pool.closed && len(q.events) >= q.limit {
		q.spaceAvailable.Wait()
	}
	if q.closed || q.pool.closed {
		return false
	}
	q.enqueue(event)
	return true
}

// PostUnbounded appends an event even if the queue is full. It is for events that
// must not be lost and whose number is bounded by other means, such as the end
// of a connection or a timer. It returns false if the queue or the pool is
// closed.
func (q *Queue) PostUnbounded(event func()) bool {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	if q.closed || q.pool.closed {
		return false
	}
	q.enqueue(event)
	return true
}

// Close rejects new events. Events that are already queued still run, so that
// they can release the resources that they hold.
func (q *Queue) Close() {
	q.pool.mu.Lock()
	defer q.pool.mu.Unlock()
	q.closed = true
	delete(q.pool.queues, q)
	q.spaceAvailable.Broadcast()
}

func (q *Queue) enqueue(event func()) {
	q.events = append(q.events, event)
	if !q.scheduled {
		q.scheduled = true
		q.pool.runnable = append(q.pool.runnable, q)
		q.pool.workAvailable.Signal()
	}
}

// Run starts the workers and blocks until ctx is done and the running events
// have returned. Events that have not started are dropped. The error is always
// nil.
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
	p.workAvailable.Broadcast()
	for q := range p.queues {
		q.spaceAvailable.Broadcast()
	}
}

func (p *Pool) worker() {
	for {
		q, event := p.dequeue()
		if q == nil {
			return
		}
		if q.handlePanic != nil {
			Protect(event, q.handlePanic)
		} else {
			event()
		}
		p.finish(q)
	}
}

// dequeue blocks until a queue has an event, and removes the event from it. It
// returns nil when the pool is closed.
func (p *Pool) dequeue() (*Queue, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.closed {
			return nil, nil
		}
		if p.head == len(p.runnable) {
			p.workAvailable.Wait()
			continue
		}
		q := p.runnable[p.head]
		p.runnable[p.head] = nil
		p.head++
		p.compact()
		if len(q.events) == 0 {
			q.scheduled = false
			continue
		}
		event := q.events[0]
		q.events[0] = nil
		q.events = q.events[1:]
		q.spaceAvailable.Signal()
		return q, event
	}
}

// compact removes the consumed entries of runnable. Without it, the slice would
// grow without bound as long as the pool is never idle.
func (p *Pool) compact() {
	switch {
	case p.head == len(p.runnable):
		p.runnable, p.head = p.runnable[:0], 0
	case p.head > minConsumedEntries && p.head*2 > len(p.runnable):
		n := copy(p.runnable, p.runnable[p.head:])
		clear(p.runnable[n:])
		p.runnable, p.head = p.runnable[:n], 0
	}
}

// finish makes the queue runnable again after one of its events has returned, if
// more events are pending.
func (p *Pool) finish(q *Queue) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(q.events) == 0 {
		q.scheduled = false
		return
	}
	p.runnable = append(p.runnable, q)
	p.workAvailable.Signal()
}
