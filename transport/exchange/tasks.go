package exchange

import "sync"

// taskGroup runs a bounded number of goroutines outside of the worker pool.
type taskGroup struct {
	mu        sync.Mutex // guards the fields below
	taskEnded *sync.Cond // signalled when running shrinks
	running   int
	limit     int
	closed    bool
}

func newTaskGroup(limit int) *taskGroup {
	t := &taskGroup{limit: limit}
	t.taskEnded = sync.NewCond(&t.mu)
	return t
}

// start runs f in a goroutine. It reports false, without running f, if the limit
// is reached or the group is closed.
func (t *taskGroup) start(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.running >= t.limit {
		return false
	}
	t.running++
	go func() {
		defer t.taskDone()
		f()
	}()
	return true
}

func (t *taskGroup) taskDone() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.taskEnded.Broadcast()
}

// close rejects new tasks and waits for the running ones.
func (t *taskGroup) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for t.running > 0 {
		t.taskEnded.Wait()
	}
}
