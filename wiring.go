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
		Index:           v.vmIndex,
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
	v.groupViews = groups.NewViewGossip()
	v.groups = groups.New(groups.Options{
		Pool:     v.pool,
		Tables:   v.tables,
		Control:  v.groupControl.Client,
		Resolve:  func(id state.WaiterID, r replication.Result) { v.sessions.Resolved(id, r) },
		Rank:     v.rank,
		Index:    v.vmIndex,
		Announce: v.groupViews.Announce,
		Logger:   o.Logger,
		Scope:    o.Scope,
		Tracer:   o.Tracer,
	})
	v.groupViews.SetDriver(v.groups)
}

func (v *VM) buildLimits() {
	o := v.options
	var leases limits.LeaseStore
	if o.Store != "" {
		v.store = store.New(store.Options{Network: o.Network, Address: o.Store, Log: o.Logger})
		leases = v.store
	}
	v.limits = limits.New(limits.Options{
		Pool:                 v.pool,
		Tables:               v.tables,
		DeliverDecision:      func(d share.Decision) { v.sessions.Admitted(d) },
		RequestExchange:      func(names ...string) { v.exchange.SendNow(names...) },
		LowerConnectionLimit: func(server string) { v.backends.ApplyLimit(server) },
		Store:                leases,
		Static:               o.StaticShares,
		FirstProcess:         o.FirstProcess,
		Logger:               o.Logger,
		Scope:                o.Scope,
	})
}

func (v *VM) buildBackends() {
	o := v.options
	v.backends = pgbackend.New(pgbackend.Options{
		Tables:           v.tables,
		Network:          o.Network,
		Credentials:      o.Backend,
		Waiters:          v.sessions,
		Queueing:         o.Queueing,
		Limit:            v.connectionLimit,
		OnDemand:         v.setConnectionsWanted,
		OnConnectFailure: v.suspectServer,
		Logger:           o.Logger,
		Scope:            o.Scope,
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
		Pool:       v.pool,
		Tables:     v.tables,
		Self:       v.tables.Self,
		Address:    o.Advertise,
		Listen:     o.PeerAddress,
		Network:    o.Network,
		Secret:     o.Secret,
		Seeds:      o.Seeds,
		Voters:     v.limits.Voters,
		Applied:    v.limits.Applied,
		Extensions: []exchange.Extension{v.limits, v.groupViews},
		Config:     config,
		Cancel:     func(id uint64, secret uint32) { v.sessions.CancelLocal(uint32(id), secret) },
		Logger:     o.Logger,
		Scope:      o.Scope,
		Tracer:     o.Tracer,
	})
	return err
}

// decodeStored decodes the configuration from the value of the store's object.
func decodeStored(value []byte) (*state.Config, error) {
	object, err := ticketfile.DecodeObject(value)
	if err != nil {
		return nil, err
	}
	return object.Config, nil
}

// configStore adapts the store's client to exchange.ConfigStore.
type configStore struct{ client *store.Client }

// Watch waits up to the given time for a version of the configuration object above
// after, and returns its value and version. The value is nil if there is no newer
// version; the version is 0 if the object does not exist.
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

// connectionLimit returns the number of connections that the VM may currently
// have open to a server.
func (v *VM) connectionLimit(s *state.BackendServer) int {
	return share.ConnectionLimit(v.tables, s.Name, time.Now()).Open
}

// setConnectionsWanted records how many connections to a server the VM could use,
// so that it can borrow some from other VMs.
func (v *VM) setConnectionsWanted(server string, conns int) {
	now := time.Now()
	if share.WantConnections(v.tables, server, conns, now) {
		v.limits.Advance(now)
	}
}

// vmIndex returns the VM's index in the configuration, which makes the terms that
// it starts and the IDs for cancel requests unique. It reports false if the VM is
// not in the configuration.
func (v *VM) vmIndex() (uint16, bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return 0, false
	}
	i, listed := cfg.VMIndex(v.options.Name)
	return uint16(i), listed
}

// forwardCancel forwards a cancel request to the VM with the index. The request is
// dropped if that VM cannot be reached; the protocol allows cancel requests to be
// lost.
func (v *VM) forwardCancel(index uint16, session, secret uint32) {
	cfg := v.tables.Config.Current()
	if cfg == nil {
		return
	}
	name, listed := cfg.VMAt(int(index))
	if !listed {
		return
	}
	v.forwardedCancels.Go(func() {
		if err := v.exchange.SendCancel(context.Background(), name, uint64(session), secret); err != nil {
			v.options.Logger.WithError(err).WithField("vm", name).Debug("session: cancel request was not forwarded.")
		}
	})
}

// suspectServer makes all groups of a failed server check it at once.
func (v *VM) suspectServer(server string) {
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
