package dbgroup

import (
	"bytes"
	"encoding/binary"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// sessionTable holds the client connections of a server.
type sessionTable struct {
	mu       lockrank.Mutex // guards the fields below
	up       bool
	paused   bool
	resumed  chan struct{} // closed when the server is not paused
	limit    int
	all      map[*session]struct{} // every accepted connection
	started  map[uint32]*session   // connections that count towards the limit, by process
	lastPID  uint32
	highest  int // greatest number of connections at once
	refusals int // startups refused because of the limit
}

func newSessionTable(limit int) *sessionTable {
	resumed := make(chan struct{})
	close(resumed)
	return &sessionTable{
		mu:      lockrank.New(rankSessions),
		limit:   limit,
		resumed: resumed,
		all:     make(map[*session]struct{}),
		started: make(map[uint32]*session),
	}
}

// add registers an accepted connection. It reports false if the server is down.
func (t *sessionTable) add(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return false
	}
	t.all[s] = struct{}{}
	return true
}

// admit counts a connection towards the limit and gives it a process number.
func (t *sessionTable) admit(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.started) >= t.limit {
		t.refusals++
		return false
	}
	t.lastPID++
	s.pid = t.lastPID
	s.secret = binary.BigEndian.AppendUint32(nil, t.lastPID*2654435761)
	t.started[s.pid] = s
	t.highest = max(t.highest, len(t.started))
	return true
}

func (t *sessionTable) remove(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, s)
	if t.started[s.pid] == s {
		delete(t.started, s.pid)
	}
}

// find returns the session that a cancel request names.
func (t *sessionTable) find(pid uint32, secret []byte) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.started[pid]
	if s == nil || !bytes.Equal(s.secret, secret) {
		return nil
	}
	return s
}

func (t *sessionTable) open() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up = true
}

// close refuses further connections and returns the present ones.
func (t *sessionTable) close() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up = false
	return t.list()
}

// list returns all sessions. The caller holds t.mu.
func (t *sessionTable) list() []*session {
	all := make([]*session, 0, len(t.all))
	for s := range t.all {
		all = append(all, s)
	}
	return all
}

// setPaused pauses or resumes the server and returns its sessions.
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
	return t.list()
}

func (t *sessionTable) isPaused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paused
}

// untilResumed returns a channel that is closed while the server is not paused.
func (t *sessionTable) untilResumed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resumed
}

func (t *sessionTable) counts() (current, highest, refusals int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.started), t.highest, t.refusals
}
