package peer

import (
	"net/http"
	"sync"
	"time"
)

// refusal says why a message was refused. The value is a metrics tag.
type refusal string

// Refusals.
const (
	refusedBody       refusal = "body"       // too long, or not a message
	refusedCode       refusal = "code"       // forged, changed, or meant for another VM
	refusedTimestamp  refusal = "timestamp"  // too old, or from a clock that is wrong
	refusedReplay     refusal = "replay"     // received before
	refusedAnswer     refusal = "answer"     // an answer with a wrong code
	refusedConnection refusal = "connection" // too many connections
	refusedPush       refusal = "push"       // too many configurations at once
)

var refusals = []refusal{
	refusedBody, refusedCode, refusedTimestamp, refusedReplay, refusedAnswer, refusedConnection, refusedPush,
}

// warningInterval bounds the log lines that strangers can cause.
const warningInterval = 10 * time.Second

// refuse answers a request that is not handled.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason refusal) {
	s.meter.refused[reason].Inc(1)
	if s.warnings.allow(s.options.Now()) {
		s.options.Logger.WithField("from", r.RemoteAddr).WithField("reason", string(reason)).Warn("peer: message refused")
	}
	status := http.StatusUnauthorized
	switch reason {
	case refusedBody:
		status = http.StatusBadRequest
	case refusedPush:
		status = http.StatusServiceUnavailable
	}
	http.Error(w, string(reason), status)
}

// throttle allows one event in each interval.
type throttle struct {
	mu   sync.Mutex // guards next
	next time.Time
}

func (t *throttle) allow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(warningInterval)
	return true
}
