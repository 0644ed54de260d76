package dbgroup

import (
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// BreakPoint is the point of a statement or commit at which a client connection is
// broken.
type BreakPoint int

const (
	BeforeCommit BreakPoint = iota + 1 // the transaction is rolled back
	AfterCommit                        // the transaction is committed, but no response is sent
	MidResponse                        // the first half of the bytes of the response is sent
)

// ConnectionFault is a fault that closes client connections. BeforeCommit and
// AfterCommit apply to commits of transactions with changes. MidResponse applies
// to statements that read or change data and, with a Match, to any statement.
type ConnectionFault struct {
	Point BreakPoint
	Match string // substring of the statement text, or for a commit of the text of its latest write; empty matches all
	Count int    // number of connections to break; zero means 1
}

// responseFault is a fault of the response to a statement.
type responseFault struct {
	delay    time.Duration
	truncate bool // send only the first half of the bytes, then close the connection
}

// faultTable holds the pending faults that tests injected, and counts statements
// and reads.
type faultTable struct {
	mu         lockrank.Mutex // guards the fields below
	breaks     []ConnectionFault
	delays     []time.Duration
	statements uint64
	reads      Reads
}

// Reads counts the reads of data that a server executed outside explicit
// transactions, by its role at the time of the read.
type Reads struct {
	Primary uint64
	Replica uint64
}

func newFaultTable() *faultTable { return &faultTable{mu: lockrank.New(rankFaults)} }

func (t *faultTable) addBreak(b ConnectionFault) {
	b.Count = max(b.Count, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = append(t.breaks, b)
}

func (t *faultTable) addDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delays = append(t.delays, d)
}

func (t *faultTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks, t.delays = nil, nil
}

// recordStatement returns the fault of the response to an executed statement. It
// counts the statement if it uses data. To other statements only a ConnectionFault
// with a Match applies.
func (t *faultTable) recordStatement(text string, usesData bool) responseFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !usesData {
		return responseFault{truncate: t.takeBreak(MidResponse, text, true)}
	}
	t.statements++
	var f responseFault
	if len(t.delays) > 0 {
		f.delay, t.delays = t.delays[0], t.delays[1:]
	}
	f.truncate = t.takeBreak(MidResponse, text, false)
	return f
}

// takeCommitBreak reports whether the connection must be broken at the given point
// of a commit, and uses up the fault.
func (t *faultTable) takeCommitBreak(m BreakPoint, text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.takeBreak(m, text, false)
}

// takeBreak uses up one count of the first break that applies, and reports whether
// there was one. The caller holds t.mu.
func (t *faultTable) takeBreak(m BreakPoint, text string, requireMatch bool) bool {
	for i := range t.breaks {
		b := &t.breaks[i]
		if b.Point != m || requireMatch && b.Match == "" || !strings.Contains(text, b.Match) {
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

func (t *faultTable) statementCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statements
}

func (t *faultTable) countRead(asPrimary bool) {
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
