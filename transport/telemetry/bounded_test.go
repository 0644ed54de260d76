package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a pipe that nobody reads until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// Guards against a log that blocks requests when nobody reads it, and against
// lines that are dropped without a word.
func TestBoundedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		b := NewBounded(out, 10)
		for range 10 * logBuffer {
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
		if n := strings.Count(text, "x\n"); n != logBurst {
			t.Errorf("%d lines were written, want %d", n, logBurst)
		}
		if !strings.Contains(text, `"lines":4920`) || !strings.HasSuffix(text, "last\n") {
			t.Errorf("the dropped lines are not counted: %q", text[len(text)-200:])
		}
	})
}
