package chestnutdyke

import (
	"context"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/exchange"
	"github.com/chestnutdyke/chestnutdyke/transport/groups"
	"github.com/chestnutdyke/chestnutdyke/transport/lifecycle"
	"github.com/chestnutdyke/chestnutdyke/transport/limits"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/sessions"
	"github.com/chestnutdyke/chestnutdyke/transport/store"
)

func (v *VM) buildSessions() {
	o := v.options
	v.sessions = sessions.New(sessions.Options{
		Pool:            v.pool,
		Tables:          v.tables,
		Decider:         &session.Decider{Tables: v.tables, Options: o.Session},
		Secret:          o.Secret,
		Index:           v.index,
		ForwardCancel:   v.forwardCancel,
		MaxSessions:     o.MaxSessions,
		QueueLimit:      o.SessionQueue,
		DefaultDeadline: o.DefaultDeadline,
		Logger:          o.Logger,
		Scope:           o.Scope,
		Tracer:          o.Tracer,
	})
}

func (v *VM) buildGroups() {
	o := v.options
	v.views = groups.NewViews()
	v.groups = groups.New(groups.Options{
		Pool:     v.pool,
		Tables:   v.tables,
		Control:  v.control.Client,
		Resolve:  func(id state.WaiterID, r replication.Result) { v.sessions.Resolved(id, r) },
		Rank:     v.rank,
		Index:    v.index,
		Announce: v.views.Announce,
		Logger:   o.Logger,
		Scope:    o.Scope,
		Tracer:   o.Tracer,
	})
	v.views.SetDriver(v.groups)
}

func (v *VM) buildLimits() {
	o := v.options
	var leases limits.LeaseStore
	if o.Store != "" {
		v.store = store.New(store.Options{Network: o.Network, Address: o.Store, Log: o.Logger})
		leases = v.store
	}
	v.limits = limits.New(limits.Options{
		Pool:         v.pool,
		Tables:       v.tables,
		Decide:       func(d share.Decision) { v.sessions.Admitted(d) },
		Send:         func(names ...string) { v.exchange.Send(names...) },
		Lower:        func(server string) { v.backends.Lower(server) },
		Store:        leases,
		Static:       o.StaticShares,
		FirstProcess: o.FirstProcess,
		Logger:       o.Logger,
		Scope:        o.Scope,
	})
}

func (v *VM) buildBackends() {
	o := v.options
	v.backends = pgbackend.New(pgbackend.Options{
		Tables:      v.tables,
		Network:     o.Network,
		Credentials: o.Backend,
		Waiters:     v.sessions,
		Queueing:    o.Queueing,
		Limit:       v.connectionLimit,
		Wanted:      v.wanted,
		Failed:      v.serverFailed,
		Logger:      o.Logger,
		Scope:       o.Scope,
	})
}

func (v *VM) buildLifecycle() {
	v.lifecycle = lifecycle.New(lifecycle.Options{
		Tables:   v.tables,
		Sessions: v.sessions,
		Backends: v.backends,
		Limit:    v.connectionLimit,
		SetState: func(s state.ServiceState) { v.exchange.SetState(s) },
		Logger:   v.options.Logger,
	})
}

func (v *VM) buildExchange() error {
	o := v.options
	config := exchange.ConfigOptions{
		Encode:       ticketfile.EncodeConfig,
		Decode:       ticketfile.DecodeConfig,
		DecodeStored: decodeStored,
	}
	if v.store != nil {
		config.Store = configStore{v.store}
	}
	var err error
	v.exchange, err = exchange.New(exchange.Options{
		Pool:    v.pool,
		Tables:  v.tables,
		Self:    v.tables.Self,
		Address: o.Advertise,
		Listen:  o.PeerAddress,
		Network: o.Network,
		Secret:  o.Secret,
		Seeds:   o.Seeds,
		Voters:  v.limits.Voters,
		Applied: v.limits.Applied,
		Parts:   []exchange.Part{v.limits, v.views},
		Config:  config,
		Cancel:  func(id uint64, secret uint32) { v.sessions.CancelOwn(uint32(id), secret) },
		Logger:  o.Logger,
		Scope:   o.Scope,
		Tracer:  o.Tracer,
	})
	return err
}

// decodeStored returns the configuration in the store's object.
func decodeStored(value []byte) (*state.Config, error) {
	object, err := ticketfile.DecodeObject(value)
	if err != nil {
		return nil, err
	}
	return object.Config, nil
}

// configStore watches the store's object that holds the configuration.
type configStore struct{ client *store.Client }

// Watch implements exchange.ConfigStore.
func (s configStore) Watch(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, error) {
	change, err := s.client.Watch(ctx, storeapi.ConfigObject, after, wait)
	switch {
	case err != nil:
		return nil, 0, err
	case !change.Found:
		return nil, 0, nil
	case !change.Changed:
		return nil, after, nil
	}
	return change.Object.Value, change.Object.Version, nil
}

// connectionLimit returns the number of connections that the VM may open to a
// server now.
func (v *VM) connectionLimit(s *state.BackendServer) int {
	return share.ConnectionLimit(v.tables, s.Name, time.Now()).Open
}

// wanted passes on how many connections to a server the VM has a use for.
func (v *VM) wanted(server string, conns int) {
	now := time.Now()
	if share.WantConnections(v.tables, server, conns, now) {
		v.limits.Advance(now)
	}
}

// index returns the number that makes the VM's terms unique.
func (v *VM) index() (uint16, bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return 0, false
	}
	i, listed := cfg.VMIndex(v.options.Name)
	return uint16(i), listed
}

// forwardCancel passes a cancel request on. It is lost if the VM cannot be
// reached, as cancel requests may be.
func (v *VM) forwardCancel(index uint16, session, secret uint32) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return
	}
	name, listed := cfg.VMAt(int(index))
	if !listed {
		return
	}
	v.tasks.Go(func() {
		if err := v.exchange.SendCancel(context.Background(), name, uint64(session), secret); err != nil {
			v.options.Logger.WithError(err).WithField("vm", name).Debug("session: cancel request was not passed on.")
		}
	})
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
