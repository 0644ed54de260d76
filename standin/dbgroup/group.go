package dbgroup

import (
	"context"
	"fmt"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Group is a running database group. Its methods may be called from any
// goroutine.
type Group struct {
	options    Options
	pool       *pool.Pool
	stopPool   context.CancelFunc
	goroutines sync.WaitGroup // all goroutines that the group started
	servers    []*Server
	byName     map[string]*Server
	history    *history
	notifier   *changeNotifier
}

// New starts a group whose first server is primary of term 1 and whose logs hold
// only the start of that term. It fails if there are no servers or an address
// cannot be listened on.
func New(options Options) (*Group, error) {
	if len(options.Servers) == 0 {
		return nil, fmt.Errorf("dbgroup: group %q has no servers", options.Name)
	}
	if options.Workers == 0 {
		options.Workers = defaultWorkers
	}
	g := &Group{
		options:  options,
		pool:     pool.New(options.Workers),
		byName:   make(map[string]*Server),
		history:  newHistory(),
		notifier: newChangeNotifier(),
	}
	g.startPool()
	primary := options.Servers[0].Name
	g.history.recordTermStart(TermStart{Server: primary, Term: initialTerm})
	for _, o := range options.Servers {
		g.addServer(o, primary)
	}
	for _, s := range g.servers {
		if err := s.Start(); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

func (g *Group) startPool() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stopPool = cancel
	g.goroutines.Go(func() { _ = g.pool.Run(ctx) })
}

func (g *Group) addServer(o ServerOptions, primary string) {
	o.setDefaults()
	s := newServer(g, o, primary)
	g.servers = append(g.servers, s)
	g.byName[o.Name] = s
}

// Close stops all servers and waits for the group's goroutines to end.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Stop()
	}
	g.stopPool()
	g.goroutines.Wait()
}

// Name returns the name of the group from its options.
func (g *Group) Name() string { return g.options.Name }

// Server returns the server with the given name, or nil if there is none.
func (g *Group) Server(name string) *Server { return g.byName[name] }

// Servers returns all servers, running or stopped, in the order of the options.
// The caller must not modify the slice.
func (g *Group) Servers() []*Server { return g.servers }

// Primary returns the primary of the highest term, even if it is stopped, paused
// or isolated. It returns nil if no server is primary.
func (g *Group) Primary() *Server {
	var primary *Server
	var highest uint64
	for _, s := range g.servers {
		if term, ok := s.node.primaryTerm(); ok && term > highest {
			primary, highest = s, term
		}
	}
	return primary
}

// Commits returns all commits in the order in which they happened, including
// those whose records were truncated later.
func (g *Group) Commits() []Commit { return g.history.copyCommits() }

// TermStarts returns the start of term 1 and all promotions, in the order in which
// they happened. Together with Commits it allows every log that a server ever
// held to be reconstructed.
func (g *Group) TermStarts() []TermStart { return g.history.copyTermStarts() }

// Startups returns what clients presented at each connection attempt, in order,
// so that a test can check that a customer's key never reaches a backend server.
func (g *Group) Startups() []Startup { return g.history.copyStartups() }

// SurvivingCommits returns the commits whose records are in the log of the given
// server, in the order in which they happened.
func (g *Group) SurvivingCommits(server string) []Commit {
	records := g.byName[server].Log()
	var survivors []Commit
	for _, c := range g.Commits() {
		if c.Position <= uint64(len(records)) && isRecordOf(records[c.Position-1], c) {
			survivors = append(survivors, c)
		}
	}
	return survivors
}

func isRecordOf(r translog.Record, c Commit) bool { return r.Term == c.Term && !r.TermStart }

// scheduleReplication makes all servers check their primary for new log records.
func (g *Group) scheduleReplication() {
	for _, s := range g.servers {
		s.queue.PostUnbounded(s.replicate)
	}
}
