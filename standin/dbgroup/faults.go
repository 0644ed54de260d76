package dbgroup

import (
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Moment is when a fault breaks a client connection.
type Moment int

// Moments.
const (
	BeforeCommit Moment = iota + 1 // the transaction is rolled back
	AfterCommit                    // the transaction is committed, and nothing of the answer is sent
	MidAnswer                      // half of the bytes of the answer are sent
)

// Break is an order to break client connections. Without a Match, BeforeCommit
// and AfterCommit apply to commits of transactions that wrote, and MidAnswer to
// statements that read or change data.
type Break struct {
	Moment Moment
	Match  string // part of the statement; empty matches all
	Count  int    // connections to break; zero means 1
}

// answerFault is what happens to the answer to a statement.
type answerFault struct {
	delay time.Duration
	half  bool
}

// faultTable holds the faults that a test has ordered, and counts statements.
type faultTable struct {
	mu         lockrank.Mutex // guards the fields below
	breaks     []Break
	late       []time.Duration
	statements uint64
	reads      Reads
}

// Reads are the reads of data that a server executed outside of explicit
// transactions, by its role at the time.
type Reads struct {
	Primary uint64
	Replica uint64
}

func newFaultTable() *faultTable { return &faultTable{mu: lockrank.New(rankFaults)} }

func (t *faultTable) order(b Break) {
	b.Count = max(b.Count, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = append(t.breaks, b)
}

func (t *faultTable) delayNext(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, d)
}

func (t *faultTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks, t.late = nil, nil
}

// executed counts a statement and returns what happens to its answer.
func (t *faultTable) executed(text string, usesData bool) answerFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !usesData {
		return answerFault{half: t.take(MidAnswer, text, true)}
	}
	t.statements++
	var f answerFault
	if len(t.late) > 0 {
		f.delay, t.late = t.late[0], t.late[1:]
	}
	f.half = t.take(MidAnswer, text, false)
	return f
}

// committing reports whether the connection breaks at the given moment of a
// commit.
func (t *faultTable) committing(m Moment, text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.take(m, text, false)
}

// take uses up one break that applies. The caller holds t.mu.
func (t *faultTable) take(m Moment, text string, onlyMatched bool) bool {
	for i := range t.breaks {
		b := &t.breaks[i]
		if b.Moment != m || onlyMatched && b.Match == "" || !strings.Contains(text, b.Match) {
			continue
		}
		b.Count--
		if b.Count == 0 {
			t.breaks = append(t.breaks[:i], t.breaks[i+1:]...)
		}
		return true
	}
	return false
}

func (t *faultTable) count() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statements
}

func (t *faultTable) read(asPrimary bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asPrimary {
		t.reads.Primary++
		return
	}
	t.reads.Replica++
}

func (t *faultTable) readCounts() Reads {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}
