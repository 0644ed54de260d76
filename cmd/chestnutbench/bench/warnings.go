package bench

import (
	"sync"

	"github.com/apex/log"
)

// warnings counts the VMs' warnings and errors by message.
type warnings struct {
	show log.Handler // also gets them; nil if none

	mu     sync.Mutex // guards counts; no other lock is taken under it
	counts map[string]int
}

func newWarnings() *warnings { return &warnings{counts: make(map[string]int)} }

// HandleLog implements log.Handler.
func (w *warnings) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	w.counts[e.Message]++
	w.mu.Unlock()
	if w.show == nil {
		return nil
	}
	return w.show.HandleLog(e)
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
