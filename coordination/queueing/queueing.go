// Package queueing decides who gets a backend connection: start-time fair
// queueing between customers, bounded by each request's deadline. All functions
// work on the connections of one backend server, under the backend table's lock.
package queueing

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// minRetryDelay and maxRetryDelay bound the time between attempts to connect
	// to a backend server that refuses connections.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// serviceWeight is the weight of a new sample in the average service time.
	serviceWeight = 0.1
)

// Reason says why a request got no connection.
type Reason int

// Reasons.
const (
	QueueFull   Reason = iota // too many requests wait
	TooLate                   // the deadline would pass before its turn
	Unreachable               // the backend server accepts no connection
)

// Effect is one of Grant, Refuse, Open and Close.
type Effect interface{ effect() }

// Grant gives a connection to a request.
type Grant struct {
	Waiter state.WaiterID
	Conn   state.ConnID
}

// Refuse tells a request that it gets no connection.
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

// Options choose between variants of the policy.
type Options struct {
	// FIFO serves requests in order of arrival. It is the baseline for
	// measurements of fair queueing.
	FIFO bool
	// MaxWaiters bounds the requests that wait for one backend server; zero means
	// DefaultMaxWaiters.
	MaxWaiters int
}

// DefaultMaxWaiters is the default of Options.MaxWaiters.
const DefaultMaxWaiters = 512

func (o Options) maxWaiters() int {
	if o.MaxWaiters > 0 {
		return o.MaxWaiters
	}
	return DefaultMaxWaiters
}

// Acquire asks for a connection for a request.
func Acquire(s *state.ServerConns, w state.ConnWaiter, now time.Time, o Options) []Effect {
	w.Start = startTime(s, w, o)
	if len(s.Idle) > 0 && len(s.Waiters) == 0 {
		conn := takeIdle(s, w.ID.Session)
		account(s, w)
		s.Virtual = w.Start
		return []Effect{grant(s, w, conn, now)}
	}
	if now.Add(expectedWait(s, w)).After(w.Deadline) {
		return []Effect{Refuse{w.ID, TooLate}}
	}
	var effects []Effect
	if len(s.Waiters) >= o.maxWaiters() {
		last := latest(s)
		if s.Waiters[last].Start <= w.Start {
			return []Effect{Refuse{w.ID, QueueFull}}
		}
		effects = append(effects, Refuse{s.Waiters[last].ID, QueueFull})
		s.Waiters = append(s.Waiters[:last], s.Waiters[last+1:]...)
	}
	account(s, w)
	s.Waiters = append(s.Waiters, w)
	return append(effects, open(s, now)...)
}

// Withdraw removes a request that no longer waits.
func Withdraw(s *state.ServerConns, id state.WaiterID) {
	for i := range s.Waiters {
		if s.Waiters[i].ID == id {
			s.Waiters = append(s.Waiters[:i], s.Waiters[i+1:]...)
			return
		}
	}
}

// Opened adds a new connection and gives it to the next request.
func Opened(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	s.Opening--
	s.Failures = 0
	return offer(s, conn, 0, now)
}

// OpenFailed records that an attempt to connect failed. Requests are refused if
// there is no other connection that could serve them.
func OpenFailed(s *state.ServerConns, now time.Time) []Effect {
	s.Opening--
	s.Failures++
	delay := min(minRetryDelay<<min(s.Failures-1, 10), maxRetryDelay)
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

// Release takes back a connection that is ready for another request.
func Release(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	if _, ok := s.Busy[conn]; !ok {
		return nil // it failed in the meantime
	}
	session := s.Busy[conn].Holder.Session
	recordService(s, conn, now)
	return offer(s, conn, session, now)
}

// Closed forgets a connection that was closed or lost.
func Closed(s *state.ServerConns, conn state.ConnID, now time.Time) []Effect {
	delete(s.Busy, conn)
	for i := range s.Idle {
		if s.Idle[i].ID == conn {
			s.Idle = append(s.Idle[:i], s.Idle[i+1:]...)
			break
		}
	}
	return open(s, now)
}

// SetLimit changes the number of connections that may be open. Idle connections
// above it are closed, busy ones when they are released.
func SetLimit(s *state.ServerConns, limit int, now time.Time) []Effect {
	s.Limit = limit
	var effects []Effect
	for s.Open() > s.Limit && len(s.Idle) > 0 {
		effects = append(effects, Close{s.Idle[0].ID})
		s.Idle = s.Idle[1:]
	}
	return append(effects, open(s, now)...)
}

// Expire refuses requests whose deadline has passed and retries connecting.
func Expire(s *state.ServerConns, now time.Time) []Effect {
	var effects []Effect
	kept := s.Waiters[:0]
	for _, w := range s.Waiters {
		if now.After(w.Deadline) {
			effects = append(effects, Refuse{w.ID, TooLate})
			continue
		}
		kept = append(kept, w)
	}
	s.Waiters = kept
	return append(effects, open(s, now)...)
}

// Warm opens connections until the given number is open, within the limit.
func Warm(s *state.ServerConns, conns int, now time.Time) []Effect {
	var effects []Effect
	for s.Open() < min(conns, s.Limit) && !now.Before(s.RetryAt) {
		s.Opening++
		effects = append(effects, Open{s.Server})
	}
	return effects
}

// takeIdle removes and returns the idle connection that the session used last,
// because another one must first discard the state of another session. Without
// one it takes the least recently used, which its last session is the least
// likely to ask for.
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

// offer gives a connection to the next request, or keeps it idle. session used
// it last; zero if none has.
func offer(s *state.ServerConns, conn state.ConnID, session uint64, now time.Time) []Effect {
	if s.Open()+1 > s.Limit {
		return []Effect{Close{conn}}
	}
	if len(s.Waiters) == 0 {
		s.Idle = append(s.Idle, state.IdleConn{ID: conn, Since: now, Session: session})
		return nil
	}
	return []Effect{grant(s, next(s), conn, now)}
}

func grant(s *state.ServerConns, w state.ConnWaiter, conn state.ConnID, now time.Time) Grant {
	s.Busy[conn] = state.BusyConn{Holder: w.ID, Since: now}
	return Grant{Waiter: w.ID, Conn: conn}
}

// open asks for connections as long as more requests wait than connections are
// being opened.
func open(s *state.ServerConns, now time.Time) []Effect {
	var effects []Effect
	for s.Opening < len(s.Waiters) && s.Open() < s.Limit && !now.Before(s.RetryAt) {
		s.Opening++
		effects = append(effects, Open{s.Server})
	}
	return effects
}

// startTime returns the virtual time at which the waiter would start.
func startTime(s *state.ServerConns, w state.ConnWaiter, o Options) float64 {
	if o.FIFO {
		return s.Virtual + float64(len(s.Waiters)) + 1
	}
	return max(s.Virtual, s.Finish[w.Customer])
}

// account advances the virtual finish time of the waiter's customer.
func account(s *state.ServerConns, w state.ConnWaiter) {
	s.Finish[w.Customer] = w.Start + 1/max(w.Weight, 1e-6)
}

// latest returns the index of the waiter with the greatest virtual start time,
// which belongs to the customer that uses most of the queue for its weight.
func latest(s *state.ServerConns) int {
	last := 0
	for i := range s.Waiters {
		if s.Waiters[i].Start >= s.Waiters[last].Start {
			last = i
		}
	}
	return last
}

// next removes and returns the waiter with the least virtual start time. The
// earliest of equals wins.
func next(s *state.ServerConns) state.ConnWaiter {
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

func recordService(s *state.ServerConns, conn state.ConnID, now time.Time) {
	sample := now.Sub(s.Busy[conn].Since)
	delete(s.Busy, conn)
	if s.Service == 0 {
		s.Service = sample
		return
	}
	s.Service += time.Duration(serviceWeight * float64(sample-s.Service))
}

// expectedWait estimates the time until the waiter gets a connection, from the
// waiters that come before it.
func expectedWait(s *state.ServerConns, w state.ConnWaiter) time.Duration {
	ahead := 0
	for i := range s.Waiters {
		if s.Waiters[i].Start <= w.Start {
			ahead++
		}
	}
	return s.Service * time.Duration(ahead) / time.Duration(max(s.Limit, 1))
}
