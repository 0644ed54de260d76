// Package lifecycle carries out what a change of the configuration means for
// the VM's work: it drains the VM when it or its data centre leaves, takes work
// again on return, and warms connections to backend servers that come back.
package lifecycle

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/drain"
	"github.com/chestnutdyke/chestnutdyke/state"
)

const (
	// warmOver is the time over which connections are opened on return.
	warmOver = 2 * time.Second
	// warmInterval is the time between two steps of warming up.
	warmInterval = 100 * time.Millisecond
)

// Sessions take work or drain.
type Sessions interface {
	Drain() <-chan struct{}
	Resume()
}

// Backends open connections ahead of their use.
type Backends interface {
	Warm(server *state.BackendServer, conns int, now time.Time)
}

// Options are the parts that Lifecycle works with.
type Options struct {
	Tables   *state.Tables
	Sessions Sessions
	Backends Backends
	// Limit returns the number of connections that the VM may open to a server.
	Limit func(server *state.BackendServer) int
	// SetState tells the other VMs the state of this one.
	SetState func(s state.ServiceState)
	Logger   log.Interface
}

// Lifecycle follows the configuration.
type Lifecycle struct {
	Options
	previous *state.Config
	taking   bool
	warming  map[drain.Server]time.Time // since when
	spread   float64
}

// New returns a Lifecycle of a VM that takes work.
func New(o Options) *Lifecycle {
	h := fnv.New32a()
	h.Write([]byte(o.Tables.Self.Name))
	return &Lifecycle{
		Options: o,
		taking:  true,
		warming: make(map[drain.Server]time.Time),
		spread:  float64(h.Sum32()%1000) / 1000,
	}
}

// Run follows the configuration until ctx is done.
func (l *Lifecycle) Run(ctx context.Context) error {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		changed := l.Tables.Config.Changed()
		l.apply(l.Tables.Config.Current(), time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case now := <-ticker.C:
			l.warm(now)
		}
	}
}

func (l *Lifecycle) apply(c *state.Config, now time.Time) {
	if c == nil || c == l.previous {
		return
	}
	for _, s := range drain.Returned(l.previous, c) {
		l.Tables.Groups.With(s.Group, func(g *state.GroupState) { g.View(s.Name).ReturnsAt = now })
		l.warming[s] = now
	}
	l.previous = c
	own := drain.VMState(c, l.Tables.Self.Name, l.Tables.Self.DataCentre)
	l.SetState(own)
	takes := drain.TakesWork(own)
	switch {
	case l.taking && !takes:
		l.Logger.WithField("state", own).Info("session: draining.")
		l.Sessions.Drain()
	case !l.taking && takes:
		l.Logger.Info("session: taking work again.")
		l.Sessions.Resume()
		l.warmAll(c, now)
	}
	l.taking = takes
}

// warmAll warms connections to all servers in service, because a VM that was
// out of service has let them go.
func (l *Lifecycle) warmAll(c *state.Config, now time.Time) {
	for name, g := range c.Groups {
		for i := range g.Servers {
			if c.ServerState(&g.Servers[i]) == state.InService {
				l.warming[drain.Server{Group: name, Name: g.Servers[i].Name}] = now
			}
		}
	}
}

func (l *Lifecycle) warm(now time.Time) {
	for s, since := range l.warming {
		elapsed := now.Sub(since)
		if server := l.server(s); server != nil && l.taking {
			l.Backends.Warm(server, drain.WarmTarget(l.Limit(server), elapsed, warmOver, l.spread), now)
		}
		if elapsed >= warmOver {
			delete(l.warming, s)
		}
	}
}

func (l *Lifecycle) server(s drain.Server) *state.BackendServer {
	g := l.previous.Groups[s.Group]
	if g == nil {
		return nil
	}
	return g.Server(s.Name)
}
