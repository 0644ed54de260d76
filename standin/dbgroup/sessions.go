package dbgroup

import (
	"bytes"
	"encoding/binary"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// sessionTable holds the client sessions of a server.
type sessionTable struct {
	mu        lockrank.Mutex // guards the fields below
	accepting bool
	paused    bool
	resumed   chan struct{} // closed unless the server is paused
	limit     int
	sessions  map[*session]struct{} // every accepted connection
	admitted  map[uint32]*session   // connections that count towards the limit, by process ID
	lastPID   uint32
	peak      int // highest number of admitted connections at the same time
	refusals  int // startups refused by the limit
}

func newSessionTable(limit int) *sessionTable {
	resumed := make(chan struct{})
	close(resumed)
	return &sessionTable{
		mu:       lockrank.New(rankSessions),
		limit:    limit,
		resumed:  resumed,
		sessions: make(map[*session]struct{}),
		admitted: make(map[uint32]*session),
	}
}

// add registers an accepted connection. It reports false if the server is
// stopped.
func (t *sessionTable) add(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.accepting {
		return false
	}
	t.sessions[s] = struct{}{}
	return true
}

// admit counts a connection towards the limit and assigns its process ID and
// cancel secret. It reports false if the limit is reached. The secret only has to
// differ between sessions, so it is a multiplicative hash of the process ID
// (2654435761 is Knuth's multiplier).
func (t *sessionTable) admit(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.admitted) >= t.limit {
		t.refusals++
		return false
	}
	t.lastPID++
	s.pid = t.lastPID
	s.secret = binary.BigEndian.AppendUint32(nil, t.lastPID*2654435761)
	t.admitted[s.pid] = s
	t.peak = max(t.peak, len(t.admitted))
	return true
}

func (t *sessionTable) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	if t.admitted[s.pid] == s {
		delete(t.admitted, s.pid)
	}
}

// find returns the session that a cancel request refers to, or nil if there is
// none or the secret is wrong.
func (t *sessionTable) find(pid uint32, secret []byte) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.admitted[pid]
	if s == nil || !bytes.Equal(s.secret, secret) {
		return nil
	}
	return s
}

func (t *sessionTable) open() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting = true
}

// close refuses further connections and returns the current sessions.
func (t *sessionTable) close() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting = false
	return t.sessionList()
}

// sessionList returns all sessions. The caller holds t.mu.
func (t *sessionTable) sessionList() []*session {
	list := make([]*session, 0, len(t.sessions))
	for s := range t.sessions {
		list = append(list, s)
	}
	return list
}

// setPaused pauses or resumes all sessions and returns them.
func (t *sessionTable) setPaused(paused bool) []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case paused && !t.paused:
		t.resumed = make(chan struct{})
	case !paused && t.paused:
		close(t.resumed)
	}
	t.paused = paused
	return t.sessionList()
}

func (t *sessionTable) isPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paused
}

// untilResumed returns a channel that is closed once the server is not paused.
func (t *sessionTable) untilResumed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resumed
}

func (t *sessionTable) counts() (current, highest, refusals int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.admitted), t.peak, t.refusals
}
