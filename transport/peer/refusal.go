package peer

import (
	"net/http"
	"sync"
	"time"
)

// refusalReason is the reason for refusing a message. The value is a metrics tag
// and is sent to the client.
type refusalReason string

// Reasons for refusing a message.
const (
	refusedBody       refusalReason = "body"       // too large or malformed
	refusedMAC        refusalReason = "code"       // the MAC does not match: forged, modified, or meant for another VM
	refusedTimestamp  refusalReason = "timestamp"  // too old, or the sender's clock is wrong
	refusedReplay     refusalReason = "replay"     // already received
	refusedResponse   refusalReason = "answer"     // the MAC of a response does not match
	refusedConnection refusalReason = "connection" // too many connections
	refusedPush       refusalReason = "push"       // too many concurrent configuration pushes
)

var refusalReasons = []refusalReason{
	refusedBody, refusedMAC, refusedTimestamp, refusedReplay, refusedResponse, refusedConnection, refusedPush,
}

// warningInterval limits the log lines that unauthenticated clients can cause.
const warningInterval = 10 * time.Second

// refuse responds with an error to a request that is not handled.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason refusalReason) {
	s.meter.refused[reason].Inc(1)
	if s.warningLimiter.allow(s.options.Now()) {
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

// rateLimiter allows one event per warningInterval.
type rateLimiter struct {
	mu   sync.Mutex // guards next
	next time.Time
}

func (t *rateLimiter) allow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(warningInterval)
	return true
}
