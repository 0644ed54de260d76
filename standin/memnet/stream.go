package memnet

import (
	"io"
	"time"
)

// bufferLimit is the number of bytes in transit and unread in one direction
// beyond which Write blocks.
const bufferLimit = 1 << 20

// stream is one direction of a connection. Its link's lock guards it. Segments
// are taken in the order in which they were put, so one that arrives early waits
// for those before it.
type stream struct {
	segments []segment
	size     int // bytes in segments
}

// segment is the data of one Write, or the end of the stream.
type segment struct {
	data    []byte
	arrives time.Time
	held    bool // by a partition; arrives is then not yet known
	end     bool
}

func (s *segment) arrived(now time.Time) bool { return !s.held && !s.arrives.After(now) }

func (s *stream) room() int { return max(bufferLimit-s.size, 0) }

func (s *stream) put(g segment) {
	s.segments = append(s.segments, g)
	s.size += len(g.data)
}

// take copies arrived data into b. It reports false if none has arrived.
func (s *stream) take(b []byte, now time.Time) (n int, err error, ok bool) {
	for len(s.segments) > 0 && n < len(b) {
		g := &s.segments[0]
		if !g.arrived(now) {
			break
		}
		if g.end {
			if n > 0 {
				break
			}
			return 0, io.EOF, true
		}
		copied := copy(b[n:], g.data)
		n += copied
		s.size -= copied
		g.data = g.data[copied:]
		if len(g.data) == 0 {
			s.segments = s.segments[1:]
		}
	}
	return n, nil, n > 0
}

// ended reports whether the end of the stream and all data before it have
// arrived.
func (s *stream) ended(now time.Time) bool {
	for i := range s.segments {
		if !s.segments[i].arrived(now) {
			return false
		}
	}
	return len(s.segments) > 0 && s.segments[len(s.segments)-1].end
}

// next returns when the next segment arrives; zero if that is not known.
func (s *stream) next() time.Time {
	if len(s.segments) == 0 || s.segments[0].held {
		return time.Time{}
	}
	return s.segments[0].arrives
}

// hold holds back what has not arrived.
func (s *stream) hold(now time.Time) {
	for i := range s.segments {
		if !s.segments[i].arrived(now) {
			s.segments[i].held = true
		}
	}
}

// release lets held segments arrive at the given time.
func (s *stream) release(arrives time.Time) {
	for i := range s.segments {
		if s.segments[i].held {
			s.segments[i].held = false
			s.segments[i].arrives = arrives
		}
	}
}

func (s *stream) drop() {
	s.segments = nil
	s.size = 0
}
