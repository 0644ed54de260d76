package memnet

import (
	"io"
	"time"
)

// bufferLimit is the number of bytes, in transit or unread in one direction, at
// which Write blocks.
const bufferLimit = 1 << 20

// stream is one direction of a connection, guarded by pipe.mu. Segments are read
// in the order in which they were sent, so jitter never reorders data.
type stream struct {
	segments []segment
	size     int // bytes in segments
}

// segment is data of one Write, or the end of the stream.
type segment struct {
	data    []byte
	arrives time.Time
	held    bool // held back by a partition; arrives is not known yet
	end     bool
}

func (s *segment) arrived(now time.Time) bool { return !s.held && !s.arrives.After(now) }

func (s *stream) free() int { return max(bufferLimit-s.size, 0) }

func (s *stream) push(seg segment) {
	s.segments = append(s.segments, seg)
	s.size += len(seg.data)
}

// read copies arrived data into b, or returns io.EOF at the end of the stream.
// It reports false if nothing has arrived.
func (s *stream) read(b []byte, now time.Time) (n int, err error, ok bool) {
	for len(s.segments) > 0 && n < len(b) {
		seg := &s.segments[0]
		if !seg.arrived(now) {
			break
		}
		if seg.end {
			if n > 0 {
				break
			}
			return 0, io.EOF, true
		}
		copied := copy(b[n:], seg.data)
		n += copied
		s.size -= copied
		seg.data = seg.data[copied:]
		if len(seg.data) == 0 {
			s.segments = s.segments[1:]
		}
	}
	return n, nil, n > 0
}

// endArrived reports whether the end of the stream and all data before it have
// arrived.
func (s *stream) endArrived(now time.Time) bool {
	for i := range s.segments {
		if !s.segments[i].arrived(now) {
			return false
		}
	}
	return len(s.segments) > 0 && s.segments[len(s.segments)-1].end
}

// nextArrival returns the time at which the first segment arrives, or zero if
// there is none or it is held.
func (s *stream) nextArrival() time.Time {
	if len(s.segments) == 0 || s.segments[0].held {
		return time.Time{}
	}
	return s.segments[0].arrives
}

// hold holds back the segments that have not arrived.
func (s *stream) hold(now time.Time) {
	for i := range s.segments {
		if !s.segments[i].arrived(now) {
			s.segments[i].held = true
		}
	}
}

// release makes held segments arrive at the given time.
func (s *stream) release(arrives time.Time) {
	for i := range s.segments {
		if s.segments[i].held {
			s.segments[i].held = false
			s.segments[i].arrives = arrives
		}
	}
}

func (s *stream) discard() {
	s.segments = nil
	s.size = 0
}
