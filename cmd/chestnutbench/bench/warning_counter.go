package bench

import (
	"sync"

	"github.com/apex/log"
)

// warningCounter is a log handler that counts the warnings and errors of VMs by
// message.
type warningCounter struct {
	forward log.Handler // also receives the entries; nil if none

	mu     sync.Mutex // guards counts; no other lock is taken under it
	counts map[string]int
}

func newWarningCounter() *warningCounter { return &warningCounter{counts: make(map[string]int)} }

// HandleLog implements log.Handler. It is safe for concurrent use if forward is.
func (w *warningCounter) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	w.counts[e.Message]++
	w.mu.Unlock()
	if w.forward == nil {
		return nil
	}
	return w.forward.HandleLog(e)
}

func (w *warningCounter) snapshot() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.counts))
	for m, n := range w.counts {
		counts[m] = n
	}
	return counts
}
