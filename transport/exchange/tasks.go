package exchange

import "sync"

// tasks are goroutines outside the worker pool, bounded in number.
type tasks struct {
	mu      sync.Mutex // guards the fields below
	ended   *sync.Cond // signalled when running shrinks
	running int
	limit   int
	closed  bool
}

func newTasks(limit int) *tasks {
	t := &tasks{limit: limit}
	t.ended = sync.NewCond(&t.mu)
	return t
}

// start runs f in a goroutine. It reports false if there are too many already
// or the tasks are closed.
func (t *tasks) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.running >= t.limit {
		return false
	}
	t.running++
	go func() {
		defer t.end()
		f()
	}()
	return true
}

func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.ended.Broadcast()
}

// close refuses new tasks and waits for the running ones.
func (t *tasks) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for t.running > 0 {
		t.ended.Wait()
	}
}
