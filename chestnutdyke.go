// Package chestnutdyke is a database proxy that keeps sessions consistent when
// they move between VMs. A VM is one process of a fleet; see docs/design.md.
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

// Options configure a VM. Fields without a default are required.
type Options struct {
	Name       string // as in the tickets; unique among running VMs
	DataCentre string
	// ClientAddress, PeerAddress and AdminAddress are the host:port on which the
	// VM listens for clients, other VMs and operators. An empty AdminAddress
	// disables the admin interface.
	ClientAddress, PeerAddress, AdminAddress string
	// Advertise is the address at which other VMs reach PeerAddress; default
	// PeerAddress.
	Advertise string
	// Store is the host:port of the platform's store. If it is empty, the VM gets
	// its configuration from other VMs, so Seeds must lead to one that has it.
	Store string
	// Seeds are the VMs contacted before a configuration is known.
	Seeds []membership.Peer
	// Secret is shared by all VMs and signs session tokens and messages between VMs.
	Secret []byte
	// Backend holds the VM's credentials for backend servers.
	Backend pgbackend.Credentials
	// TLS configures client connections; nil rejects requests for TLS.
	TLS *tls.Config

	Workers         int           // default 8
	MaxSessions     int           // default 4096
	SessionQueue    int           // maximum queued events of one session; default 32
	DefaultDeadline time.Duration // for requests on routes without a deadline; default 5 s
	// FirstProcess states that no process with this name ran within the last 30 s,
	// so none can have connections on loan to other VMs. Leave it false unless that
	// is certain.
	FirstProcess bool

	// Network defaults to the operating system's TCP.
	Network network.Network
	Logger  log.Interface // default: the default logger of apex/log
	Scope   tally.Scope   // default: metrics are discarded
	Metrics http.Handler  // served by the admin interface; default: none
	Tracer  trace.Tracer  // default: spans are discarded

	// Session, Queueing and StaticShares select simpler algorithms, which serve as
	// baselines in benchmarks.
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

// VM is one process of the fleet, configured by tickets. See Node for a VM whose
// deployment is declared in a platform's store.
type VM struct {
	options          Options
	tables           *state.Tables
	pool             *pool.Pool
	sessions         *sessions.Sessions
	backends         *pgbackend.Backends
	groups           *groups.Driver
	groupViews       *groups.ViewGossip
	limits           *limits.Limits
	exchange         *exchange.Exchange
	lifecycle        *lifecycle.Lifecycle
	groupControl     *groupctl.HTTP
	store            *store.Client // nil without Options.Store
	aliveVMs         aliveVMCache
	forwardedCancels sync.WaitGroup // cancel requests being forwarded to other VMs
	clientListener   net.Listener
	adminListener    net.Listener // nil without Options.AdminAddress
}

// New creates a VM that listens for clients and operators. It serves, and listens
// for other VMs, once Run is called. New fails if it cannot listen for clients or
// operators, or if an option that the exchange with other VMs requires, such as
// Name or Secret, is missing.
func New(o Options) (*VM, error) {
	o.setDefaults()
	v := &VM{options: o, pool: pool.New(o.Workers), groupControl: groupctl.NewHTTP(o.Network)}
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
	v.sessions.SetDependencies(v.backends, v.groups, v.limits)
	v.buildLifecycle()
	if err := v.buildExchange(); err != nil {
		return nil, errors.Join(err, v.closeListeners())
	}
	return v, nil
}

func (v *VM) listen() error {
	var err error
	if v.clientListener, err = v.options.Network.Listen(v.options.ClientAddress); err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	if v.options.AdminAddress == "" {
		return nil
	}
	if v.adminListener, err = v.options.Network.Listen(v.options.AdminAddress); err != nil {
		return errors.Join(eris.Wrap(err, "listen for operators"), v.closeListeners())
	}
	return nil
}

func (v *VM) closeListeners() error {
	err := v.clientListener.Close()
	if v.adminListener != nil {
		err = errors.Join(err, v.adminListener.Close())
	}
	return err
}

// Tables returns the VM's shared state, which tests inspect.
func (v *VM) Tables() *state.Tables { return v.tables }

// Address returns the address at which clients connect.
func (v *VM) Address() string { return v.clientListener.Addr().String() }

// Run serves until ctx is done and then stops at once, which interrupts running
// requests. Call Drain first to let them finish.
func (v *VM) Run(ctx context.Context) error {
	poolCtx, stopPool := context.WithCancel(context.Background())
	defer stopPool()
	var workers errgroup.Group
	workers.Go(func() error { return v.pool.Run(poolCtx) })

	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, v.sessions.Close)
	defer stop()
	clients := &pgserver.Server{
		Listener: v.clientListener,
		TLS:      v.options.TLS,
		Sessions: v.sessions,
		Logger:   v.options.Logger,
	}
	g.Go(func() error { return clients.Run(ctx) })
	if v.adminListener != nil {
		g.Go(func() error { return v.adminServer().Run(ctx) })
	}
	g.Go(func() error { return v.limits.Run(ctx) })
	g.Go(func() error { return v.exchange.Run(ctx) })
	g.Go(func() error { return v.groups.Run(ctx) })
	g.Go(func() error { return v.backends.Run(ctx) })
	g.Go(func() error { return v.lifecycle.Run(ctx) })
	err := g.Wait()
	v.forwardedCancels.Wait()
	v.groupControl.Close()
	if v.store != nil {
		v.store.Close()
	}
	stopPool()
	return errors.Join(err, workers.Wait())
}

func (v *VM) adminServer() *admin.Server {
	return admin.New(admin.Options{
		Listener: v.adminListener,
		Status:   v.Status,
		Ready:    v.notReadyReason,
		Metrics:  v.options.Metrics,
		Logger:   v.options.Logger,
	})
}

// notReadyReason returns why the VM accepts no requests, or "" if it is ready.
func (v *VM) notReadyReason() string {
	self := v.tables.Self
	cfg := v.tables.Config.Current()
	switch {
	case cfg == nil:
		return "no configuration"
	case !drain.AcceptsWork(drain.VMState(cfg, self.Name, self.DataCentre)):
		return "leaving" // also for a VM that is out of service
	case !v.limits.Usable():
		return "not confirmed by its voters" // no valid lease, or shares not computed yet
	}
	return ""
}

// Ready reports whether the VM accepts requests: it has a configuration, is in
// service, holds a valid lease, which a majority of its voters confirms, and has
// computed its shares.
func (v *VM) Ready() bool { return v.notReadyReason() == "" }

// Drain refuses new sessions, closes each session once it has neither a running
// request nor an open transaction, and lends the shares that the VM does not use to
// other VMs. It returns once no session remains, or with an error if ctx ends first.
func (v *VM) Drain(ctx context.Context) error {
	v.exchange.SetState(state.Leaving)
	v.limits.StopBorrowing()
	select {
	case <-v.sessions.Drain():
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "drain")
	}
}
