package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a pipe that is not read until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a log that blocks requests when nobody reads it, and against
// lines that are dropped without being counted.
func TestRateLimitedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		b := NewRateLimitedWriter(out, 10)
		for range 10 * maxBufferedLines {
			if _, err := b.Write([]byte("x\n")); err != nil {
				t.Fatal(err)
			}
		}
		close(out.release)
		time.Sleep(2 * time.Second)
		b.Write([]byte("last\n"))
		synctest.Wait()
		close(b.lines)
		text := out.text.String()
		if n := strings.Count(text, "x\n"); n != maxBurstLines {
			t.Errorf("%d lines were written, want %d", n, maxBurstLines)
		}
		if !strings.Contains(text, `"lines":4920`) || !strings.HasSuffix(text, "last\n") {
			t.Errorf("the dropped lines are not counted: %q", text[len(text)-200:])
		}
	})
}
