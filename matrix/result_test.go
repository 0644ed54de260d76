package matrix

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

// result is the outcome of a scenario.
type result struct {
	checkResults []history.CheckResult
	problems     []string
	history      history.History
	recoveryTime time.Duration
	log          *logBuffer
}

// evaluate checks what clients saw against what the servers did.
func (r *scenarioRun) evaluate() *result {
	h := r.recorder.History()
	return &result{
		checkResults: history.Check(h, groundTruth(r.group, r.primary())),
		problems:     r.problems,
		history:      h,
		recoveryTime: r.recoveryTime,
		log:          r.log,
	}
}

func (r *result) ok() bool { return len(r.problems) == 0 && len(history.Violated(r.checkResults)) == 0 }

// String lists the problems and the violated checks.
func (r *result) String() string {
	lines := append([]string(nil), r.problems...)
	for _, v := range history.Violated(r.checkResults) {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// violates reports whether the named check failed.
func (r *result) violates(check string) bool {
	for _, v := range history.Violated(r.checkResults) {
		if v.Name == check {
			return true
		}
	}
	return false
}

// groundTruth returns what the servers did, with the given final primary.
func groundTruth(g *dbgroup.Group, primary *server) history.ServerRecord {
	st := primary.Status()
	t := history.ServerRecord{Final: history.Point{Term: st.LogTerm, Position: st.Position}}
	for _, s := range g.TermStarts() {
		base := history.Point{Term: s.Base.Term, Position: s.Base.Position}
		t.Terms = append(t.Terms, history.TermStart{Term: s.Term, Base: base})
	}
	for _, c := range g.Commits() {
		t.Commits = append(t.Commits, history.CommitRecord{
			Point:   history.Point{Term: c.Term, Position: c.Position},
			Server:  c.Server,
			Changes: changesOf(c.Ops),
		})
	}
	return t
}

func changesOf(ops []translog.Op) []history.Change {
	var changes []history.Change
	for _, op := range ops {
		changes = append(changes, history.Change{Key: op.Key, Value: op.Value})
	}
	return changes
}

// logBuffer keeps the fleet's log, which a failing scenario prints. Times in it are
// relative to the start of the run.
type logBuffer struct {
	start time.Time

	mu    sync.Mutex // guards lines
	lines []string
}

func newLogBuffer() *logBuffer { return &logBuffer{start: time.Now()} }

func (b *logBuffer) logger() log.Interface {
	return &log.Logger{Handler: log.HandlerFunc(b.handle), Level: log.DebugLevel}
}

func (b *logBuffer) handle(e *log.Entry) error {
	var fields []string
	for name, value := range e.Fields {
		fields = append(fields, fmt.Sprintf("%s=%v", name, value))
	}
	sort.Strings(fields)
	b.add(e.Message, strings.Join(fields, " "))
	return nil
}

func (b *logBuffer) add(message, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, fmt.Sprintf("%9.3fms %s %s", float64(time.Since(b.start).Microseconds())/1000, message, detail))
}

// tail returns the last n lines.
func (b *logBuffer) tail(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines[max(len(b.lines)-n, 0):], "\n")
}
