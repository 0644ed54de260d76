package history

import (
	"slices"
	"sync"
	"time"
)

// Recorder records a history. Sessions may use it at the same time.
type Recorder struct {
	mu      sync.Mutex // guards history
	history History
}

// NewRecorder returns a recorder without events.
func NewRecorder() *Recorder { return &Recorder{} }

// Moved records that a session connected to a proxy, with or without the token
// of its writes.
func (r *Recorder) Moved(session, proxy string, withToken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	after := 0
	for i := range r.history.Requests {
		if r.history.Requests[i].Session == session {
			after = r.history.Requests[i].ID
		}
	}
	r.history.Moves = append(r.history.Moves, Move{Session: session, Proxy: proxy, After: after, WithToken: withToken})
}

// Invoke records that a request begins, and returns its ID.
func (r *Recorder) Invoke(q Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.ID = len(r.history.Requests) + 1
	q.Invoked = time.Now()
	q.Result = Result{}
	r.history.Requests = append(r.history.Requests, q)
	return q.ID
}

// End records the result of a request.
func (r *Recorder) End(id int, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Ended = time.Now()
	r.history.Requests[id-1].Result = result
}

// History returns what has been recorded.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Requests: slices.Clone(r.history.Requests),
		Moves:    slices.Clone(r.history.Moves),
	}
}
