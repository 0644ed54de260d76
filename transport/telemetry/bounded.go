package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBuffer is how many lines may wait for a reader that is slow.
	logBuffer = 512
	// logBurst is how many lines may be written at once, besides the rate.
	logBurst = 200
)

// Bounded passes lines on to a writer without ever blocking its callers. Lines
// beyond a rate, or beyond what the reader of a pipe takes, are dropped and
// counted; a line that says how many is written in their place.
type Bounded struct {
	out   io.Writer
	lines chan []byte

	mu       sync.Mutex // guards the fields below; no other lock is taken under it
	rate     float64    // lines a second
	tokens   float64
	at       time.Time
	dropped  int
	reported time.Time
}

// NewBounded returns a writer of at most rate lines a second.
func NewBounded(out io.Writer, rate float64) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, logBuffer), rate: rate, tokens: logBurst, at: time.Now()}
	go b.write()
	return b
}

// Write implements io.Writer for one line. It always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), logBurst)
	b.at = now
	if b.tokens < 1 {
		b.dropped++
		return len(line), nil
	}
	if b.dropped > 0 && now.Sub(b.reported) >= time.Second {
		note := fmt.Appendf(nil, `{"fields":{"lines":%d},"level":"warn","timestamp":%q,"message":"log: lines were dropped."}`+"\n",
			b.dropped, now.Format(time.RFC3339Nano))
		if b.queue(note) {
			b.dropped, b.reported = 0, now
		}
	}
	if b.queue(append([]byte(nil), line...)) {
		b.tokens--
	} else {
		b.dropped++
	}
	return len(line), nil
}

func (b *Bounded) queue(line []byte) bool {
	select {
	case b.lines <- line:
		return true
	default:
		return false
	}
}

func (b *Bounded) write() {
	for line := range b.lines {
		// A log that cannot be written has nowhere to say so.
		_, _ = b.out.Write(line)
	}
}
