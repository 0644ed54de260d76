package managed

import "time"

// SetExtraWork makes the server slower: each statement takes extra in addition to
// Group.Work.
func (s *Server) SetExtraWork(extra time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.extraWork = extra
}

func (s *Server) work() time.Duration {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.Work + s.extraWork
}
