package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedLines limits the lines that wait for a slow reader.
	maxBufferedLines = 512
	// maxBurstLines is the number of lines that may be written at once in
	// excess of the rate.
	maxBurstLines = 200
)

// RateLimitedWriter forwards lines to a writer and never blocks its callers.
// Lines that exceed the rate, or that the reader of a pipe does not consume in
// time, are dropped and counted. A line with their number is written later.
type RateLimitedWriter struct {
	out   io.Writer
	lines chan []byte

	mu         sync.Mutex // guards the fields below; no other lock is taken under it
	rate       float64    // lines per second
	tokens     float64
	refilledAt time.Time
	dropped    int
	reportedAt time.Time
}

// NewRateLimitedWriter returns a RateLimitedWriter that writes at most rate lines per
// second on average, and up to maxBurstLines at once.
func NewRateLimitedWriter(out io.Writer, rate float64) *RateLimitedWriter {
	b := &RateLimitedWriter{out: out, lines: make(chan []byte, maxBufferedLines), rate: rate, tokens: maxBurstLines, refilledAt: time.Now()}
	go b.writeLoop()
	return b
}

// Write implements io.Writer for a single line. It never fails.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), maxBurstLines)
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 && now.Sub(b.reportedAt) >= time.Second {
		note := fmt.Appendf(nil, `{"fields":{"lines":%d},"level":"warn","timestamp":%q,"message":"log: lines were dropped."}`+"\n",
			b.dropped, now.Format(time.RFC3339Nano))
		if b.enqueue(note) {
			b.dropped, b.reportedAt = 0, now
		}
	}
	if b.enqueue(append([]byte(nil), line...)) {
		b.tokens--
	} else {
		b.dropped++
	}
	return len(line), nil
}

func (b *RateLimitedWriter) enqueue(line []byte) bool {
	select {
	case b.lines <- line:
		return true
	default:
		return false
	}
}

func (b *RateLimitedWriter) writeLoop() {
	for line := range b.lines {
		// There is no other place to report a failure of the log.
		_, _ = b.out.Write(line)
	}
}
