package managed

import "time"

// SetExtraWork makes the server slower: each statement takes extra in addition to the
// work of its group.
func (s *Server) SetExtraWork(extra time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.extraWork = extra
}

// extra returns the time set by SetExtraWork.
func (s *Server) extra() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.extraWork
}
