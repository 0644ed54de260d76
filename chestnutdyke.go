// Package chestnutdyke is a database proxy with session consistency. A VM is
// one process of a fleet; see docs/design.md.
package chestnutdyke

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
	"github.com/chestnutdyke/chestnutdyke/transport/groups"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/pgserver"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/sessions"
)

// Options describe a VM. Fields without a default are required.
type Options struct {
	Name       string // unique among the VMs that run at a time
	DataCentre string
	// ClientAddress is where clients connect, host:port.
	ClientAddress string
	// Secret is shared by all VMs. It signs session tokens and messages.
	Secret []byte
	// Backend is the login of the VM at backend servers.
	Backend pgbackend.Credentials
	// TLS is for clients; nil refuses encryption.
	TLS *tls.Config

	Workers         int           // default 8
	MaxSessions     int           // default 4096
	DefaultDeadline time.Duration // of requests on routes that state none; default 5 s

	// Network defaults to the operating system's TCP.
	Network network.Network
	Logger  log.Interface // default: the log package's
	Scope   tally.Scope   // default: none
	Tracer  trace.Tracer  // default: none

	// Session and Queueing choose baselines for measurements.
	Session  session.Options
	Queueing queueing.Options
}

func (o *Options) setDefaults() {
	if o.Workers == 0 {
		o.Workers = 8
	}
	if o.MaxSessions == 0 {
		o.MaxSessions = 4096
	}
	if o.DefaultDeadline == 0 {
		o.DefaultDeadline = 5 * time.Second
	}
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
}

// VM is one process of the fleet.
type VM struct {
	options  Options
	tables   *state.Tables
	pool     *pool.Pool
	sessions *sessions.Sessions
	backends *pgbackend.Backends
	groups   *groups.Driver
	control  *groupctl.HTTP
	listener net.Listener
}

// New returns a VM that listens but does not serve yet.
func New(o Options) (*VM, error) {
	o.setDefaults()
	listener, err := o.Network.Listen(o.ClientAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen for clients")
	}
	v := &VM{options: o, listener: listener, pool: pool.New(o.Workers), control: groupctl.NewHTTP(o.Network)}
	v.tables = state.NewTables(state.Self{
		Name:        o.Name,
		DataCentre:  o.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
	})
	v.sessions = sessions.New(sessions.Options{
		Pool:   v.pool,
		Tables: v.tables,
		Decider: &session.Decider{
			Tables:  v.tables,
			Limiter: unlimited{},
			Options: o.Session,
		},
		Secret:          o.Secret,
		MaxSessions:     o.MaxSessions,
		DefaultDeadline: o.DefaultDeadline,
		Logger:          o.Logger,
		Scope:           o.Scope,
		Tracer:          o.Tracer,
	})
	v.groups = groups.New(groups.Options{
		Pool:    v.pool,
		Tables:  v.tables,
		Control: v.control.Client,
		Resolve: func(id state.WaiterID, r replication.Result) { v.sessions.Resolved(id, r) },
		Rank:    func(string) (int, bool) { return 0, true },
		Index:   v.index,
		Logger:  o.Logger,
		Scope:   o.Scope,
		Tracer:  o.Tracer,
	})
	v.backends = pgbackend.New(pgbackend.Options{
		Tables:      v.tables,
		Network:     o.Network,
		Credentials: o.Backend,
		Waiters:     v.sessions,
		Queueing:    o.Queueing,
		Limit:       func(s *state.BackendServer) int { return s.Connections },
		Failed:      v.serverFailed,
		Logger:      o.Logger,
		Scope:       o.Scope,
	})
	v.sessions.Connect(v.backends, v.groups)
	return v, nil
}

// unlimited admits every request.
type unlimited struct{}

func (unlimited) Take(string, time.Time, time.Time, bool) session.Admission {
	return session.Admission{}
}

// Tables returns the VM's tables.
func (v *VM) Tables() *state.Tables { return v.tables }

// Address returns the address at which clients connect.
func (v *VM) Address() string { return v.listener.Addr().String() }

// index returns the number that makes the VM's terms unique.
func (v *VM) index() (uint16, bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return 0, false
	}
	i, listed := cfg.VMIndex(v.options.Name)
	return uint16(i), listed
}

func (v *VM) serverFailed(server string) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return
	}
	for name, g := range cfg.Groups {
		if g.Server(server) != nil {
			v.groups.Suspect(name, server)
		}
	}
}

// Run serves until ctx is done. Then it stops at once; call Drain before to
// stop without cutting requests.
func (v *VM) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	server := &pgserver.Server{
		Listener: v.listener,
		TLS:      v.options.TLS,
		Sessions: v.sessions,
		Logger:   v.options.Logger,
	}
	poolCtx, stopPool := context.WithCancel(context.Background())
	defer stopPool()
	var workers errgroup.Group
	workers.Go(func() error { return v.pool.Run(poolCtx) })
	stop := context.AfterFunc(ctx, v.sessions.Close)
	defer stop()
	g.Go(func() error { return server.Run(ctx) })
	g.Go(func() error { return v.backends.Run(ctx) })
	g.Go(func() error { return v.groups.Run(ctx) })
	err := g.Wait()
	v.control.Close()
	stopPool()
	if poolErr := workers.Wait(); err == nil {
		err = poolErr
	}
	return err
}

// Drain refuses new sessions and waits until each session has ended its request
// and transaction, or ctx is done.
func (v *VM) Drain(ctx context.Context) error {
	select {
	case <-v.sessions.Drain():
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "drain")
	}
}
