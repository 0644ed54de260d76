package dbgroup

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Commit is a transaction that wrote something and committed.
type Commit struct {
	Server   string
	Term     uint64
	Position uint64
	Process  uint32 // backend process that the client was told of
	User     string
	Ops      []translog.Op
	At       time.Time
}

// TermStart is a promotion: the record that starts the term follows the record
// at Base in the server's log.
type TermStart struct {
	Server string
	Term   uint64
	Base   state.Point // zero if the log was empty
}

// Startup is what a client presented when it connected.
type Startup struct {
	Server     string
	User       string
	Password   string
	Parameters map[string]string // all startup parameters, including user and database
	Accepted   bool
}

// history records what happened, for the checks of tests.
type history struct {
	mu       lockrank.Mutex // guards the fields below
	commits  []Commit
	terms    []TermStart
	startups []Startup
}

func newHistory() *history { return &history{mu: lockrank.New(rankHistory)} }

func (h *history) committed(c Commit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commits = append(h.commits, c)
}

func (h *history) promoted(t TermStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terms = append(h.terms, t)
}

func (h *history) started(s Startup) {
	s.Parameters = maps.Clone(s.Parameters)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startups = append(h.startups, s)
}

func (h *history) commitsSeen() []Commit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.commits)
}

func (h *history) termsSeen() []TermStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.terms)
}

func (h *history) startupsSeen() []Startup {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.startups)
}

// progress wakes goroutines that wait for a change of any server's log or term.
type progress struct {
	mu      lockrank.Mutex // guards changed
	changed chan struct{}
	waiting bool
}

func newProgress() *progress {
	return &progress{mu: lockrank.New(rankProgress), changed: make(chan struct{})}
}

// next returns a channel that is closed at the next change.
func (p *progress) next() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = true
	return p.changed
}

func (p *progress) notify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.waiting = false
}
