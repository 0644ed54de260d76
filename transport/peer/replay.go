package peer

import (
	"sync"
	"time"
)

// timestampWindow is the maximum clock skew between two VMs plus the maximum
// network delay of a message.
const timestampWindow = 30 * time.Second

// sequenceWindow is how far a sequence number may be below the highest one
// received, since concurrent messages can arrive out of order. A relay that
// pushes a configuration uses about 50 numbers at once.
const sequenceWindow = 1024

// processID identifies one incarnation of a VM.
type processID struct {
	name        string
	incarnation uint64
}

// replayGuard detects replayed messages by their sequence numbers.
type replayGuard struct {
	mu        sync.Mutex // guards the fields below
	windows   map[processID]*replayWindow
	nextPurge time.Time
}

func newReplayGuard() *replayGuard { return &replayGuard{windows: make(map[processID]*replayWindow)} }

// accept reports whether the message is new and records it. Processes are removed
// once the timestamps of all their messages have expired.
func (g *replayGuard) accept(p processID, sequence uint64, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purge(now)
	w := g.windows[p]
	if w == nil {
		w = &replayWindow{}
		g.windows[p] = w
	}
	w.lastUsed = now
	return w.accept(sequence)
}

// purge removes the windows of processes that sent nothing for twice the
// timestamp window: a timestamp may be one window ahead of this VM's clock, and
// the message is refused one window after its timestamp.
func (g *replayGuard) purge(now time.Time) {
	if now.Before(g.nextPurge) {
		return
	}
	g.nextPurge = now.Add(timestampWindow)
	for p, w := range g.windows {
		if now.Sub(w.lastUsed) > 2*timestampWindow {
			delete(g.windows, p)
		}
	}
}

// replayWindow holds the highest sequence number received and a bitmap of the
// numbers before it.
type replayWindow struct {
	highest  uint64
	seen     [sequenceWindow / 64]uint64
	lastUsed time.Time
}

func (w *replayWindow) accept(sequence uint64) bool {
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

func (w *replayWindow) advance(sequence uint64) {
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

func (w *replayWindow) test(s uint64) bool { return w.seen[s%sequenceWindow/64]&(1<<(s%64)) != 0 }
func (w *replayWindow) set(s uint64)       { w.seen[s%sequenceWindow/64] |= 1 << (s % 64) }
func (w *replayWindow) reset(s uint64)     { w.seen[s%sequenceWindow/64] &^= 1 << (s % 64) }
