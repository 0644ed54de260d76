package peer

import (
	"sync"
	"time"
)

// timestampWindow is the greatest difference between the clocks of two VMs plus
// the time that a message may be on its way.
const timestampWindow = 30 * time.Second

// sequenceWindow is the number of sequence numbers below the highest one that
// are still accepted, since messages sent at the same time overtake each other.
// A relay that pushes a configuration uses about 50 numbers at once.
const sequenceWindow = 1024

// process is one incarnation of a VM.
type process struct {
	name        string
	incarnation uint64
}

// replayGuard remembers which messages were received.
type replayGuard struct {
	mu        sync.Mutex // guards the fields below
	windows   map[process]*window
	nextPurge time.Time
}

func newReplayGuard() *replayGuard { return &replayGuard{windows: make(map[process]*window)} }

// accept reports whether the message is new, and remembers it. A process that
// was not heard for so long that the timestamps of its messages have expired is
// forgotten.
func (g *replayGuard) accept(p process, sequence uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purge(now)
	w := g.windows[p]
	if w == nil {
		w = &window{}
		g.windows[p] = w
	}
	w.used = now
	return w.accept(sequence)
}

// purge drops windows after twice the timestamp window: a message may be
// stamped one window ahead of this VM's clock, and is refused one window after
// its stamp.
func (g *replayGuard) purge(now time.Time) {
	if now.Before(g.nextPurge) {
		return
	}
	g.nextPurge = now.Add(timestampWindow)
	for p, w := range g.windows {
		if now.Sub(w.used) > 2*timestampWindow {
			delete(g.windows, p)
		}
	}
}

// window is the highest sequence number received and a bit for each of the
// numbers before it.
type window struct {
	highest uint64
	seen    [sequenceWindow / 64]uint64
	used    time.Time
}

func (w *window) accept(sequence uint64) bool {
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	if w.highest-sequence >= sequenceWindow || w.test(sequence) {
		return false
	}
	w.set(sequence)
	return true
}

func (w *window) advance(sequence uint64) {
	if sequence-w.highest >= sequenceWindow {
		clear(w.seen[:])
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			w.reset(s)
		}
	}
	w.highest = sequence
	w.set(sequence)
}

func (w *window) test(s uint64) bool { return w.seen[s%sequenceWindow/64]&(1<<(s%64)) != 0 }
func (w *window) set(s uint64)       { w.seen[s%sequenceWindow/64] |= 1 << (s % 64) }
func (w *window) reset(s uint64)     { w.seen[s%sequenceWindow/64] &^= 1 << (s % 64) }
