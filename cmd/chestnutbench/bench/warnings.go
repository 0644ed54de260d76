package bench

import (
	"sync"

	"github.com/apex/log"
)

// warnings counts the VMs' warnings and errors by message.
type warnings struct {
	mu     sync.Mutex // guards counts; no other lock is taken under it
	counts map[string]int
}

func newWarnings() *warnings { return &warnings{counts: make(map[string]int)} }

// HandleLog implements log.Handler.
func (w *warnings) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[e.Message]++
	return nil
}

func (w *warnings) all() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]int, len(w.counts))
	for m, n := range w.counts {
		all[m] = n
	}
	return all
}
