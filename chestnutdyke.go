// Package chestnutdyke is a database proxy with session consistency. A VM is
// one process of a fleet; see docs/design.md.
package chestnutdyke

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/drain"
	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/admin"
	"github.com/chestnutdyke/chestnutdyke/transport/exchange"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
	"github.com/chestnutdyke/chestnutdyke/transport/groups"
	"github.com/chestnutdyke/chestnutdyke/transport/lifecycle"
	"github.com/chestnutdyke/chestnutdyke/transport/limits"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/pgserver"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/sessions"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

// Options describe a VM. Fields without a default are required.
type Options struct {
	Name       string // as in the tickets; unique among the VMs that run at a time
	DataCentre string
	// ClientAddress, PeerAddress and AdminAddress are where the VM listens for
	// clients, other VMs and operators, host:port. Without an AdminAddress there
	// is no admin interface.
	ClientAddress, PeerAddress, AdminAddress string
	// Advertise is where other VMs reach PeerAddress; default PeerAddress.
	Advertise string
	// Store is the address of the platform's store, host:port; empty if there is
	// none, and then Seeds must lead to a VM that has a configuration.
	Store string
	// Seeds are VMs to contact before the configuration is known.
	Seeds []membership.Partner
	// Secret is shared by all VMs. It signs session tokens and messages.
	Secret []byte
	// Backend is the login of the VM at backend servers.
	Backend pgbackend.Credentials
	// TLS is for clients; nil refuses encryption.
	TLS *tls.Config

	Workers         int           // default 8
	MaxSessions     int           // default 4096
	SessionQueue    int           // events that may wait for one session; default 32
	DefaultDeadline time.Duration // of requests on routes that state none; default 5 s
	// FirstProcess says that no process of this name ran within the last 30 s, so
	// that none can have lent connections. Leave it false unless that is certain.
	FirstProcess bool

	// Network defaults to the operating system's TCP.
	Network network.Network
	Logger  log.Interface // default: the log package's
	Scope   tally.Scope   // default: none
	Metrics http.Handler  // shown by the admin interface; default: none
	Tracer  trace.Tracer  // default: none

	// Session, Queueing and StaticShares choose baselines for measurements.
	Session      session.Options
	Queueing     queueing.Options
	StaticShares bool
}

func (o *Options) setDefaults() {
	if o.Advertise == "" {
		o.Advertise = o.PeerAddress
	}
	if o.Workers == 0 {
		o.Workers = 8
	}
	if o.MaxSessions == 0 {
		o.MaxSessions = 4096
	}
	if o.SessionQueue == 0 {
		o.SessionQueue = 32
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
	options   Options
	tables    *state.Tables
	pool      *pool.Pool
	sessions  *sessions.Sessions
	backends  *pgbackend.Backends
	groups    *groups.Driver
	views     *groups.Views
	limits    *limits.Limits
	exchange  *exchange.Exchange
	lifecycle *lifecycle.Lifecycle
	control   *groupctl.HTTP
	store     *store.Client // nil if there is none
	roster    roster
	tasks     sync.WaitGroup // cancel requests that are being passed on
	clients   net.Listener
	admin     net.Listener // nil if there is none
}

// New returns a VM that listens but does not serve yet.
func New(o Options) (*VM, error) {
	o.setDefaults()
	v := &VM{options: o, pool: pool.New(o.Workers), control: groupctl.NewHTTP(o.Network)}
	v.tables = state.NewTables(state.Self{
		Name:        o.Name,
		DataCentre:  o.DataCentre,
		Incarnation: uint64(time.Now().UnixNano()),
	})
	if err := v.listen(); err != nil {
		return nil, err
	}
	v.buildSessions()
	v.buildGroups()
	v.buildLimits()
	v.buildBackends()
	v.sessions.Connect(v.backends, v.groups, v.limits)
	v.buildLifecycle()
	if err := v.buildExchange(); err != nil {
		return nil, errors.Join(err, v.closeListeners())
	}
	return v, nil
}

func (v *VM) listen() error {
	var err error
	if v.clients, err = v.options.Network.Listen(v.options.ClientAddress); err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	if v.options.AdminAddress == "" {
		return nil
	}
	if v.admin, err = v.options.Network.Listen(v.options.AdminAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for operators"), v.closeListeners())
	}
	return nil
}

func (v *VM) closeListeners() error {
	err := v.clients.Close()
	if v.admin != nil {
		err = errors.Join(err, v.admin.Close())
	}
	return err
}

// Tables returns the VM's tables.
func (v *VM) Tables() *state.Tables { return v.tables }

// Address returns the address at which clients connect.
func (v *VM) Address() string { return v.clients.Addr().String() }

// Run serves until ctx is done. Then it stops at once; call Drain before to
// stop without cutting requests.
func (v *VM) Run(ctx context.Context) error {
	poolCtx, stopPool := context.WithCancel(context.Background())
	defer stopPool()
	var workers errgroup.Group
	workers.Go(func() error { return v.pool.Run(poolCtx) })

	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, v.sessions.Close)
	defer stop()
	clients := &pgserver.Server{
		Listener: v.clients,
		TLS:      v.options.TLS,
		Sessions: v.sessions,
		Logger:   v.options.Logger,
	}
	g.Go(func() error { return clients.Run(ctx) })
	if v.admin != nil {
		g.Go(func() error { return v.adminServer().Run(ctx) })
	}
	g.Go(func() error { return v.limits.Run(ctx) })
	g.Go(func() error { return v.exchange.Run(ctx) })
	g.Go(func() error { return v.groups.Run(ctx) })
	g.Go(func() error { return v.backends.Run(ctx) })
	g.Go(func() error { return v.lifecycle.Run(ctx) })
	err := g.Wait()
	v.tasks.Wait()
	v.control.Close()
	if v.store != nil {
		v.store.Close()
	}
	stopPool()
	return errors.Join(err, workers.Wait())
}

func (v *VM) adminServer() *admin.Server {
	return admin.New(admin.Options{
		Listener: v.admin,
		Status:   v.Status,
		Ready:    v.notReady,
		Metrics:  v.options.Metrics,
		Logger:   v.options.Logger,
	})
}

// notReady returns why the VM takes no work, or an empty text if it does.
func (v *VM) notReady() string {
	self := v.tables.Self
	cfg := v.tables.Config.Current()
	switch {
	case cfg == nil:
		return "no configuration"
	case !drain.TakesWork(drain.VMState(cfg, self.Name, self.DataCentre)):
		return "leaving"
	case !v.limits.Usable():
		return "not confirmed by its voters"
	}
	return ""
}

// Ready reports whether the VM takes work: it has a configuration, is in
// service, and a majority of its voters confirms it.
func (v *VM) Ready() bool { return v.notReady() == "" }

// Drain refuses new sessions, lends the VM's shares to others, and waits until
// each session has ended its request and transaction, or ctx is done.
func (v *VM) Drain(ctx context.Context) error {
	v.exchange.SetState(state.Leaving)
	v.limits.Leave()
	select {
	case <-v.sessions.Drain():
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "drain")
	}
}
