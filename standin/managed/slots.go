package managed

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Capacity limits the statements that a backend server runs at once. The zero value sets
// no limit.
type Capacity struct {
	Slots int
	Queue int // statements that wait for a slot in the order of arrival; others are refused with BUSY
	// Work returns the time that a statement takes; nil for Group.Work.
	Work func(payload string) time.Duration
}

// slots are those of one server.
type slots struct {
	mu      sync.Mutex // guards the fields below
	used    int
	waiting []chan struct{}
}

// work runs a statement, after a wait for a slot. It returns false if the queue is full.
func (s *Server) work(c *statement.Command) bool {
	capacity := s.group.Capacity
	took := s.group.Work
	if capacity.Work != nil {
		took = capacity.Work(c.Payload)
	}
	took += s.extra()
	if capacity.Slots == 0 {
		time.Sleep(took)
		return true
	}
	if !s.slots.acquire(capacity) {
		return false
	}
	time.Sleep(took)
	s.slots.release()
	return true
}

func (s *slots) acquire(c Capacity) bool {
	s.mu.Lock()
	if s.used < c.Slots {
		s.used++
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= c.Queue {
		s.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	<-turn
	return true
}

// release passes the slot on to the next waiting statement, if there is one.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.used--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// shed returns the refusal of a statement for which the queue is full.
func (sess *session) shed() statement.Answer {
	a := statement.Refusal(statement.Busy, "queue full")
	if sess.inTx {
		sess.failed = true
		a.State = statement.FailedTx
	}
	return a
}
