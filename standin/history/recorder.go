package history

import (
	"slices"
	"sync"
	"time"
)

// Recorder records a history. Its methods may be called concurrently.
type Recorder struct {
	mu      sync.Mutex // guards history
	history History
}

// NewRecorder returns a recorder with an empty history.
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

// Invoke records that a request begins. It sets and returns the request's ID.
func (r *Recorder) Invoke(request Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	request.ID = len(r.history.Requests) + 1
	request.Invoked = time.Now()
	request.Result = Result{}
	r.history.Requests = append(r.history.Requests, request)
	return request.ID
}

// End records the result of the request that Invoke returned the ID of.
func (r *Recorder) End(id int, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result.Ended = time.Now()
	r.history.Requests[id-1].Result = result
}

// History returns a copy of what has been recorded so far.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Requests: slices.Clone(r.history.Requests),
		Moves:    slices.Clone(r.history.Moves),
	}
}
