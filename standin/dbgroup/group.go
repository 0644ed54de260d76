package dbgroup

import (
	"context"
	"fmt"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup/translog"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Group is a running database group.
type Group struct {
	options  Options
	pool     *pool.Pool
	stopPool context.CancelFunc
	running  sync.WaitGroup // goroutines of the group
	servers  []*Server
	byName   map[string]*Server
	history  *history
	progress *progress
}

// New starts a group whose servers hold nothing but the start of term 1.
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
		progress: newProgress(),
	}
	g.startPool()
	first := options.Servers[0].Name
	g.history.promoted(TermStart{Server: first, Term: initialTerm})
	for _, o := range options.Servers {
		g.addServer(o, first)
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
	g.running.Go(func() { _ = g.pool.Run(ctx) })
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
	g.running.Wait()
}

// Name returns the group's name.
func (g *Group) Name() string { return g.options.Name }

// Server returns the named server; nil if there is none.
func (g *Group) Server(name string) *Server { return g.byName[name] }

// Servers returns all servers in the order of the options.
func (g *Group) Servers() []*Server { return g.servers }

// Primary returns the server that accepts writes under the highest term, even
// if it is stopped, paused or isolated; nil if there is none.
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
// those whose records were dropped later.
func (g *Group) Commits() []Commit { return g.history.commitsSeen() }

// TermStarts returns all promotions in the order in which they happened, after
// the start of term 1. With Commits they give every log that a server ever held.
func (g *Group) TermStarts() []TermStart { return g.history.termsSeen() }

// Startups returns all startups in order, so that a test can search them for a
// client's key.
func (g *Group) Startups() []Startup { return g.history.startupsSeen() }

// Survivors returns the commits whose records the log of the given server still
// holds.
func (g *Group) Survivors(server string) []Commit {
	records := g.byName[server].Log()
	var kept []Commit
	for _, c := range g.Commits() {
		if c.Position <= uint64(len(records)) && holds(records[c.Position-1], c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func holds(r translog.Record, c Commit) bool { return r.Term == c.Term && !r.TermStart }

// poke lets the servers fetch what the primary has written.
func (g *Group) poke() {
	for _, s := range g.servers {
		s.queue.PostAlways(s.replicate)
	}
}
