// Package queueing decides which request gets a backend connection, by start-time
// fair queueing between customers with a deadline for each request. All functions
// work on the connections of one backend server; the caller holds the lock of the
// backend table.
package queueing

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the time between attempts to
	// connect to a backend server that refuses connections.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// serviceTimeWeight is the weight of a new sample in the moving average of
	// the service time.
	serviceTimeWeight = 0.1
)

// Reason says why a request was refused a connection.
type Reason int

// Reasons.
const (
	QueueFull        Reason = iota // too many requests are waiting
	DeadlineExceeded               // the deadline has passed or would pass in the queue
	Unreachable                    // connecting to the backend server failed
)

// Effect is an action that the caller carries out: Grant, Refuse, Open or Close.
type Effect interface{ effect() }

// Grant gives a connection to a request.
type Grant struct {
	Waiter state.WaiterID
	Conn   state.ConnID
}

// Refuse ends the wait of a request without a connection.
type Refuse struct {
	Waiter state.WaiterID
	Reason Reason
}

// Open asks for a new connection to the server.
type Open struct{ Server string }

// Close asks to close an idle connection.
type Close struct{ Conn state.ConnID }

func (Grant) effect()  {}
func (Refuse) effect() {}
func (Open) effect()   {}
func (Close) effect()  {}

// Options select variants of the queueing policy.
type Options struct {
	// FIFO serves requests in order of arrival. It is the baseline that fair
	// queueing is measured against.
	FIFO bool
	// MaxWaiters limits the number of requests that wait for one backend server.
	// Zero means DefaultMaxWaiters.
	MaxWaiters int
}

// DefaultMaxWaiters is the default value of Options.MaxWaiters.
const DefaultMaxWaiters = 512

func (o Options) maxWaiters() int {
	if o.MaxWaiters > 0 {
		return o.MaxWaiters
	}
	return DefaultMaxWaiters
}

// Acquire grants an idle connection to a request or queues the request. A request
// that would not be served before its deadline is refused at once. If the queue
// is full, the request with the latest virtual start time is refused.
func Acquire(s *state.ServerConns, w state.ConnWaiter, now time.Time, o Options) []Effect {
	w.Start = startTime(s, w, o)
	if len(s.Idle) > 0 && len(s.Waiters) == 0 {
		conn := takeIdle(s, w.ID.Session)
		advanceFinishTime(s, w)
		s.Virtual = w.Start
		return []Effect{grant(s, w, conn, now)}
	}
	if now.Add(expectedWait(s, w)).After(w.Deadline) {
		return []Effect{Refuse{w.ID, DeadlineExceeded}}
	}
	var effects []Effect
	if len(s.Waiters) >= o.maxWaiters() {
		last := lastWaiter(s)
		if s.Waiters[last].Start <= w.Start {
			return []Effect{Refuse{w.ID, QueueFull}}
		}
		effects = append(effects, Refuse{s.Waiters[last].ID, QueueFull})
		s.Waiters = append(s.Waiters[:last], s.Waiters[last+1:]...)
	}
	advanceFinishTime(s, w)
	s.Waiters = append(s.Waiters, w)
	return append(effects, openConns(s, now)...)
}

// RemoveWaiter removes a request from the queue.
func RemoveWaiter(s *state.ServerConns, id state.WaiterID) {
	for i := range s.Waiters {
		if s.Waiters[i].ID == id {
			s.Waiters = append(s.Waiters[:i], s.Waiters[i+1:]...)
			return
		}
	}
}

// Opened adds a new connection and assigns it to the next waiting request.
func Opened(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	s.Opening--
	s.Failures = 0
	return assignConn(s, conn, 0, now)
}

// OpenFailed records a failed attempt to connect. It refuses all waiting requests
// if the server has no connection left, open or being opened.
func OpenFailed(s *state.ServerConns, now time.Time) []Effect {
	s.Opening--
	s.Failures++
	delay := min(minReconnectDelay<<min(s.Failures-1, 10), maxReconnectDelay)
	s.RetryAt = now.Add(delay)
	if s.Open() > 0 {
		return nil
	}
	var effects []Effect
	for _, w := range s.Waiters {
		effects = append(effects, Refuse{w.ID, Unreachable})
	}
	s.Waiters = nil
	return effects
}

// Release takes back a connection that can serve another request.
func Release(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	if _, ok := s.Busy[conn]; !ok {
		return nil // closed in the meantime
	}
	session := s.Busy[conn].Holder.Session
	recordServiceTime(s, conn, now)
	return assignConn(s, conn, session, now)
}

// Closed removes a connection that was closed or lost.
func Closed(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	delete(s.Busy, conn)
	for i := range s.Idle {
		if s.Idle[i].ID == conn {
			s.Idle = append(s.Idle[:i], s.Idle[i+1:]...)
			break
		}
	}
	return openConns(s, now)
}

// SetLimit changes the maximum number of connections. Idle connections above it
// are closed at once, busy ones when they are released.
func SetLimit(s *state.ServerConns, limit int, now time.Time) []Effect {
	s.Limit = limit
	var effects []Effect
	for s.Open() > s.Limit && len(s.Idle) > 0 {
		effects = append(effects, Close{s.Idle[0].ID})
		s.Idle = s.Idle[1:]
	}
	return append(effects, openConns(s, now)...)
}

// Expire refuses requests whose deadline has passed, and opens connections if the
// delay after a failed attempt is over.
func Expire(s *state.ServerConns, now time.Time) []Effect {
	var effects []Effect
	kept := s.Waiters[:0]
	for _, w := range s.Waiters {
		if now.After(w.Deadline) {
			effects = append(effects, Refuse{w.ID, DeadlineExceeded})
			continue
		}
		kept = append(kept, w)
	}
	s.Waiters = kept
	return append(effects, openConns(s, now)...)
}

// Prewarm opens connections ahead of their use, up to the given number or the
// limit.
func Prewarm(s *state.ServerConns, conns int, now time.Time) []Effect {
	var effects []Effect
	for s.Open() < min(conns, s.Limit) && !now.Before(s.RetryAt) {
		s.Opening++
		effects = append(effects, Open{s.Server})
	}
	return effects
}

// takeIdle removes and returns the idle connection that the session used last,
// because any other one must first discard the state of another session. If there
// is none, it takes the least recently used connection, which its previous session
// is the least likely to need again.
func takeIdle(s *state.ServerConns, session uint64) state.ConnID {
	best := 0
	for i := range s.Idle {
		if s.Idle[i].Session == session {
			best = i
		}
	}
	conn := s.Idle[best].ID
	s.Idle = append(s.Idle[:best], s.Idle[best+1:]...)
	return conn
}

// assignConn gives a free connection to the next waiting request, or keeps it
// idle, or closes it if it exceeds the limit. session is the one that used it
// last, or zero.
func assignConn(s *state.ServerConns, conn state.ConnID, session uint64, now time.Time) []Effect {
	if s.Open()+1 > s.Limit {
		return []Effect{Close{conn}}
	}
	if len(s.Waiters) == 0 {
		s.Idle = append(s.Idle, state.IdleConn{ID: conn, Since: now, Session: session})
		return nil
	}
	return []Effect{grant(s, dequeue(s), conn, now)}
}

func grant(s *state.ServerConns, w state.ConnWaiter, conn state.ConnID, now time.Time) Grant {
	s.Busy[conn] = state.BusyConn{Holder: w.ID, Since: now}
	return Grant{Waiter: w.ID, Conn: conn}
}

// openConns requests connections until as many are being opened as requests are
// waiting, within the limit.
func openConns(s *state.ServerConns, now time.Time) []Effect {
	var effects []Effect
	for s.Opening < len(s.Waiters) && s.Open() < s.Limit && !now.Before(s.RetryAt) {
		s.Opening++
		effects = append(effects, Open{s.Server})
	}
	return effects
}

// startTime returns the virtual start time of a new waiter.
func startTime(s *state.ServerConns, w state.ConnWaiter, o Options) float64 {
	if o.FIFO {
		return s.Virtual + float64(len(s.Waiters)) + 1
	}
	return max(s.Virtual, s.Finish[w.Customer])
}

// advanceFinishTime advances the virtual finish time of the waiter's customer.
func advanceFinishTime(s *state.ServerConns, w state.ConnWaiter) {
	s.Finish[w.Customer] = w.Start + 1/max(w.Weight, 1e-6)
}

// lastWaiter returns the index of the waiter with the greatest virtual start time.
// It belongs to the customer that has queued the most relative to its weight.
func lastWaiter(s *state.ServerConns) int {
	last := 0
	for i := range s.Waiters {
		if s.Waiters[i].Start >= s.Waiters[last].Start {
			last = i
		}
	}
	return last
}

// dequeue removes and returns the waiter with the smallest virtual start time, the
// one that arrived first if several have the same.
func dequeue(s *state.ServerConns) state.ConnWaiter {
	best := 0
	for i := range s.Waiters {
		if s.Waiters[i].Start < s.Waiters[best].Start {
			best = i
		}
	}
	w := s.Waiters[best]
	s.Waiters = append(s.Waiters[:best], s.Waiters[best+1:]...)
	s.Virtual = max(s.Virtual, w.Start)
	return w
}

// recordServiceTime updates the average service time with the time for which the
// connection was busy, and removes it from the busy connections.
func recordServiceTime(s *state.ServerConns, conn state.ConnID, now time.Time) {
	sample := now.Sub(s.Busy[conn].Since)
	delete(s.Busy, conn)
	if s.Service == 0 {
		s.Service = sample
		return
	}
	s.Service += time.Duration(serviceTimeWeight * float64(sample-s.Service))
}

// expectedWait estimates the time until the waiter gets a connection, from the
// number of waiters that are served before it and the average service time.
func expectedWait(s *state.ServerConns, w state.ConnWaiter) time.Duration {
	ahead := 0
	for i := range s.Waiters {
		if s.Waiters[i].Start <= w.Start {
			ahead++
		}
	}
	return s.Service * time.Duration(ahead) / time.Duration(max(s.Limit, 1))
}
