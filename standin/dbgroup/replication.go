package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// replicate fetches the log records that are due from the followed primary. It
// runs on the server's queue, and again when the next record is due.
func (s *Server) replicate() {
	source, ok := s.node.source()
	if !ok {
		return
	}
	primary := s.group.byName[source.primary].node
	if !source.aligned {
		extent, ok := primary.offer(source.term)
		if !ok || !s.node.align(source, extent) {
			return
		}
		source.position = s.node.status().Position
	}
	records, next, ok := primary.recordsAfter(source.term, source.position, time.Now().Add(-source.delay))
	if !ok {
		return
	}
	if len(records) > 0 && s.node.receive(source, records) {
		s.group.progress.notify()
	}
	if !next.IsZero() {
		s.replicateAt(next.Add(source.delay))
	}
}

// replicateAt arms the timer for the next record unless it is armed already.
func (s *Server) replicateAt(at time.Time) {
	now := time.Now()
	if s.replicateTimer.After(now) && !s.replicateTimer.After(at) {
		return
	}
	s.replicateTimer = at
	time.AfterFunc(at.Sub(now), func() { s.queue.PostAlways(s.replicate) })
}

// source is what a replica fetches from, and the place in its log.
type source struct {
	primary  string
	term     uint64
	position uint64
	aligned  bool
	delay    time.Duration
}

// source returns where the server gets its log records; it reports false if it
// receives none.
func (n *node) source() (source, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.receives() || n.following == "" {
		return source{}, false
	}
	return source{
		primary:  n.following,
		term:     n.term,
		position: n.log.Position(),
		aligned:  n.aligned,
		delay:    n.delay,
	}, true
}

// receives reports whether log records can reach the server. It refuses those
// of a primary whose term is below the adopted one. The caller holds n.mu.
func (n *node) receives() bool {
	return n.up && !n.paused && !n.isolated && !n.held && n.role == state.Replica && n.term == n.adopted
}

// sends reports whether the server sends log records as primary of the term.
// The caller holds n.mu.
func (n *node) sends(term uint64) bool {
	return n.up && !n.paused && !n.isolated && n.role == state.Primary && n.term == term
}

// offer returns the extent of the log of a primary.
func (n *node) offer(term uint64) (translog.Extent, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.sends(term) {
		return translog.Extent{}, false
	}
	return n.log.Extent(), true
}

func (n *node) recordsAfter(term, position uint64, committedBy time.Time) (due []translog.Record, next time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.sends(term) {
		return nil, time.Time{}, false
	}
	due, next = n.log.DueAfter(position, committedBy)
	return due, next, true
}

// align drops the log tail that the followed primary does not have.
func (n *node) align(from source, primary translog.Extent) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stillFrom(from) {
		return false
	}
	n.log.Truncate(translog.CommonPosition(n.log.Extent(), primary))
	n.aligned = true
	return true
}

// receive appends records that were fetched from the followed primary.
func (n *node) receive(from source, records []translog.Record) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stillFrom(from) || n.log.Position() != from.position {
		return false
	}
	for _, r := range records {
		n.log.Append(r)
	}
	return true
}

// stillFrom reports whether the server still follows what it followed when it
// asked. The caller holds n.mu.
func (n *node) stillFrom(from source) bool {
	return n.receives() && n.following == from.primary && n.term == from.term
}
