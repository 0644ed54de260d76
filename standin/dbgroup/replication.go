package dbgroup

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// replicate appends the log records of the followed primary that are due by the
// replication delay, and schedules itself for the next one. It runs on the queue
// of the server.
func (s *Server) replicate() {
	source, ok := s.node.replicationSource()
	if !ok {
		return
	}
	primary := s.group.byName[source.primary].node
	if !source.aligned {
		extent, ok := primary.logExtent(source.term)
		if !ok || !s.node.align(source, extent) {
			return
		}
		source.position = s.node.status().Position
	}
	records, next, ok := primary.dueRecords(source.term, source.position, time.Now().Add(-source.delay))
	if !ok {
		return
	}
	if len(records) > 0 && s.node.appendRecords(source, records) {
		s.group.notifier.notify()
	}
	if !next.IsZero() {
		s.replicateAt(next.Add(source.delay))
	}
}

// replicateAt schedules replicate for the given time, unless it is already
// scheduled for that time or earlier.
func (s *Server) replicateAt(at time.Time) {
	now := time.Now()
	if s.nextReplication.After(now) && !s.nextReplication.After(at) {
		return
	}
	s.nextReplication = at
	time.AfterFunc(at.Sub(now), func() { s.queue.PostUnbounded(s.replicate) })
}

// replicationSource is the primary that a replica replicates from, with the state
// of the replica at the time of the request.
type replicationSource struct {
	primary  string
	term     uint64
	position uint64
	aligned  bool
	delay    time.Duration
}

// replicationSource returns the source of the server's log records. It reports
// false if the server cannot receive any.
func (n *node) replicationSource() (replicationSource, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.canReceive() || n.followedPrimary == "" {
		return replicationSource{}, false
	}
	return replicationSource{
		primary:  n.followedPrimary,
		term:     n.term,
		position: n.log.Position(),
		aligned:  n.aligned,
		delay:    n.replicationDelay,
	}, true
}

// canReceive reports whether the server accepts log records. It does not accept
// those of a primary whose term is below the adopted one. The caller holds n.mu.
func (n *node) canReceive() bool {
	return n.running && !n.paused && !n.isolated && !n.receiveHeld && n.role == state.Replica && n.term == n.adoptedTerm
}

// canSend reports whether the server sends log records as primary of the term.
// The caller holds n.mu.
func (n *node) canSend(term uint64) bool {
	return n.running && !n.paused && !n.isolated && n.role == state.Primary && n.term == term
}

// logExtent returns the extent of the log. It reports false if the server cannot
// send log records as primary of the term.
func (n *node) logExtent(term uint64) (translog.Extent, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.canSend(term) {
		return translog.Extent{}, false
	}
	return n.log.Extent(), true
}

// dueRecords returns the records after the position that were committed by the
// given time, and the commit time of the next one, or zero if there is none. It
// reports false if the server cannot send log records as primary of the term.
func (n *node) dueRecords(term, position uint64, committedBy time.Time) (due []translog.Record, next time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.canSend(term) {
		return nil, time.Time{}, false
	}
	due, next = n.log.DueAfter(position, committedBy)
	return due, next, true
}

// align truncates the log tail that the followed primary does not have. It reports
// false if the source has changed.
func (n *node) align(from replicationSource, primary translog.Extent) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stillFollows(from) {
		return false
	}
	n.log.Truncate(translog.CommonPosition(n.log.Extent(), primary))
	n.aligned = true
	return true
}

// appendRecords appends records of the followed primary. It reports false if the
// source or the end of the log has changed.
func (n *node) appendRecords(from replicationSource, records []translog.Record) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stillFollows(from) || n.log.Position() != from.position {
		return false
	}
	for _, r := range records {
		n.log.Append(r)
	}
	return true
}

// stillFollows reports whether the server still replicates from the given source.
// The caller holds n.mu.
func (n *node) stillFollows(from replicationSource) bool {
	return n.canReceive() && n.followedPrimary == from.primary && n.term == from.term
}
