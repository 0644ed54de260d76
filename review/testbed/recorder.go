package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what clients sent and got, and what servers ran.
type recorder struct {
	start time.Time
	mu    sync.Mutex // guards the fields below
	file  *os.File
	lines []runLine
	acked []string // IDs of the writes of acknowledged commits
	bad   int      // broken rules
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

// add writes a line.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), fmt.Sprintf(format, args...))
}

func (r *recorder) write(at time.Time, text string) {
	if _, err := fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), text); err != nil {
		panic(err)
	}
}

// ran records a statement that a server answered. Only those of clients are written.
func (r *recorder) ran(l runLine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
	if l.id != "-" || l.transacted != 0 && l.text == "BEGIN" && l.tenant != "" && l.answer == "" {
		r.write(l.at, fmt.Sprintf("server %s: connection %s of %s, transaction %d, ran %s %.200q: %s", l.server, l.conn, l.tenant, l.transacted, l.id, l.text, l.answer))
	}
}

// broken records that a rule was broken.
func (r *recorder) broken(format string, args ...any) {
	r.add("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad++
}

// allRun returns what the servers ran.
func (r *recorder) allRun() []runLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runLine(nil), r.lines...)
}

// acknowledge records writes whose commit a client was told of.
func (r *recorder) acknowledge(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ids...)
}

func (r *recorder) acknowledgedWrites() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.acked...)
}
