// Package lifecycle applies changes of the configuration to the work of the VM.
// It drains the VM when the VM or its data centre is taken out of service,
// resumes work when it returns, and opens connections in advance to backend
// servers that return.
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
	// warmUpPeriod is the period over which connections are opened after a
	// return.
	warmUpPeriod = 2 * time.Second
	// warmUpInterval is the interval between two steps of the warm-up.
	warmUpInterval = 100 * time.Millisecond
)

// Sessions drains or resumes client sessions.
type Sessions interface {
	Drain() <-chan struct{}
	Resume()
}

// Backends opens connections before they are needed.
type Backends interface {
	Warm(server *state.BackendServer, conns int, now time.Time)
}

// Options holds the dependencies of Lifecycle.
type Options struct {
	Tables   *state.Tables
	Sessions Sessions
	Backends Backends
	// Limit returns the number of connections that the VM may open to a server.
	Limit func(server *state.BackendServer) int
	// SetState reports the state of this VM to the other VMs.
	SetState func(s state.ServiceState)
	Logger   log.Interface
}

// Lifecycle follows the configuration.
type Lifecycle struct {
	Options
	appliedConfig *state.Config
	acceptsWork   bool
	warming       map[drain.Server]time.Time // servers being warmed up, with the start time
	spread        float64                    // in [0, 1), differs between VMs; see drain.WarmTarget
}

// New returns a Lifecycle for a VM that accepts work.
func New(o Options) *Lifecycle {
	h := fnv.New32a()
	h.Write([]byte(o.Tables.Self.Name))
	return &Lifecycle{
		Options:     o,
		acceptsWork: true,
		warming:     make(map[drain.Server]time.Time),
		spread:      float64(h.Sum32()%1000) / 1000,
	}
}

// Run follows the configuration until ctx is done.
func (l *Lifecycle) Run(ctx context.Context) error {
	ticker := time.NewTicker(warmUpInterval)
	defer ticker.Stop()
	for {
		changed := l.Tables.Config.Changed()
		l.apply(l.Tables.Config.Current(), time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case now := <-ticker.C:
			l.warmUp(now)
		}
	}
}

func (l *Lifecycle) apply(c *state.Config, now time.Time) {
	if c == nil || c == l.appliedConfig {
		return
	}
	for _, s := range drain.ReturnedServers(l.appliedConfig, c) {
		l.Tables.Groups.With(s.Group, func(g *state.GroupState) { g.View(s.Name).ReturnedAt = now })
		l.warming[s] = now
	}
	l.appliedConfig = c
	own := drain.VMState(c, l.Tables.Self.Name, l.Tables.Self.DataCentre)
	l.SetState(own)
	takes := drain.AcceptsWork(own)
	switch {
	case l.acceptsWork && !takes:
		l.Logger.WithField("state", own).Info("session: draining.")
		l.Sessions.Drain()
	case !l.acceptsWork && takes:
		l.Logger.Info("session: accepting new sessions again.")
		l.Sessions.Resume()
		l.warmUpAll(c, now)
	}
	l.acceptsWork = takes
}

// warmUpAll starts the warm-up of all servers in service, because a VM that was
// out of service has closed its connections.
func (l *Lifecycle) warmUpAll(c *state.Config, now time.Time) {
	for name, g := range c.Groups {
		for i := range g.Servers {
			if c.ServerState(&g.Servers[i]) == state.InService {
				l.warming[drain.Server{Group: name, Name: g.Servers[i].Name}] = now
			}
		}
	}
}

func (l *Lifecycle) warmUp(now time.Time) {
	for s, since := range l.warming {
		elapsed := now.Sub(since)
		if server := l.findServer(s); server != nil && l.acceptsWork {
			l.Backends.Warm(server, drain.WarmTarget(l.Limit(server), elapsed, warmUpPeriod, l.spread), now)
		}
		if elapsed >= warmUpPeriod {
			delete(l.warming, s)
		}
	}
}

func (l *Lifecycle) findServer(s drain.Server) *state.BackendServer {
	g := l.appliedConfig.Groups[s.Group]
	if g == nil {
		return nil
	}
	return g.Server(s.Name)
}
