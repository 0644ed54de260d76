package dbgroup

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Commit is a committed transaction that changed data.
type Commit struct {
	Server   string // primary that committed it
	Term     uint64
	Position uint64 // of its log record
	Process  uint32 // process ID of the session, as sent to the client in BackendKeyData
	User     string
	Ops      []translog.Op
	At       time.Time // time of the commit
}

// TermStart is the start of a term: term 1 starts with the group, each later one
// with the promotion of a server. The record that starts the term follows the
// record at Base in the log of the server.
type TermStart struct {
	Server string
	Term   uint64
	Base   state.Point // zero if the log was empty
}

// Startup holds the credentials and parameters of a connection attempt.
type Startup struct {
	Server     string
	User       string
	Password   string
	Parameters map[string]string // all startup parameters, including user and database
	// Accepted is false if the connection limit was reached or the credentials were
	// wrong. It is true even if the settings were then refused.
	Accepted bool
}

// history records commits, promotions and startups for tests to check.
type history struct {
	mu         lockrank.Mutex // guards the fields below
	commits    []Commit
	termStarts []TermStart
	startups   []Startup
}

func newHistory() *history { return &history{mu: lockrank.New(rankHistory)} }

func (h *history) recordCommit(c Commit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commits = append(h.commits, c)
}

func (h *history) recordTermStart(t TermStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.termStarts = append(h.termStarts, t)
}

func (h *history) recordStartup(s Startup) {
	s.Parameters = maps.Clone(s.Parameters)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startups = append(h.startups, s)
}

func (h *history) copyCommits() []Commit {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.commits)
}

func (h *history) copyTermStarts() []TermStart {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.termStarts)
}

func (h *history) copyStartups() []Startup {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.startups)
}
