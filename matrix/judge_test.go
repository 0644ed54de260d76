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

// result is what a cell found.
type result struct {
	verdicts []history.Verdict
	problems []string
	history  history.History
	gap      time.Duration
	log      *logBook
}

// judge compares what clients saw with what the servers did.
func (c *cell) judge() *result {
	h := c.recorder.History()
	return &result{
		verdicts: history.Check(h, truthOf(c.group, c.primary())),
		problems: c.problems,
		history:  h,
		gap:      c.gap,
		log:      c.log,
	}
}

func (r *result) ok() bool { return len(r.problems) == 0 && len(history.Broken(r.verdicts)) == 0 }

// String explains a failure.
func (r *result) String() string {
	lines := append([]string(nil), r.problems...)
	for _, v := range history.Broken(r.verdicts) {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// broken reports whether the named check failed.
func (r *result) broken(check string) bool {
	for _, v := range history.Broken(r.verdicts) {
		if v.Name == check {
			return true
		}
	}
	return false
}

// truthOf returns what the servers did, with the given final primary.
func truthOf(g *dbgroup.Group, primary *server) history.Truth {
	st := primary.Status()
	t := history.Truth{Final: history.Point{Term: st.LogTerm, Position: st.Position}}
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

// logBook keeps the fleet's log for the report of a failure.
type logBook struct {
	start time.Time

	mu    sync.Mutex // guards lines
	lines []string
}

func newLogBook() *logBook { return &logBook{start: time.Now()} }

func (b *logBook) logger() log.Interface {
	return &log.Logger{Handler: log.HandlerFunc(b.handle), Level: log.DebugLevel}
}

func (b *logBook) handle(e *log.Entry) error {
	var fields []string
	for name, value := range e.Fields {
		fields = append(fields, fmt.Sprintf("%s=%v", name, value))
	}
	sort.Strings(fields)
	b.note(e.Message, strings.Join(fields, " "))
	return nil
}

func (b *logBook) note(message, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, fmt.Sprintf("%9.3fms %s %s", float64(time.Since(b.start).Microseconds())/1000, message, detail))
}

// tail returns the last lines.
func (b *logBook) tail(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines[max(len(b.lines)-n, 0):], "\n")
}
