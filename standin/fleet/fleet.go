package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/standin/store"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
)

// Secret is the fleet's secret.
const Secret = "secret-of-the-fleet"

// Login of the VMs at backend servers.
const (
	backendUser     = "proxy"
	backendPassword = "password-of-the-proxy"
)

// BackendLogin returns the login of the VMs at backend servers, for clients that
// go there directly.
func BackendLogin() pgbackend.Credentials {
	return pgbackend.Credentials{User: backendUser, Password: backendPassword}
}

// Options choose how a fleet runs.
type Options struct {
	// TCP uses loopback addresses of the machine, without the profile's delays.
	// The default is an in-memory network with them.
	TCP  bool
	Seed uint64
	// NoVMs starts no VM; the configuration lists them all the same.
	NoVMs bool
	// Adjust changes the options of each VM.
	Adjust func(o *chestnutdyke.Options)
	Logger log.Interface
	Scope  tally.Scope
}

// Fleet is a running fleet.
type Fleet struct {
	Profile Profile
	Net     *memnet.Network // nil with TCP
	Groups  map[string]*dbgroup.Group
	Store   *store.Store

	options     Options
	storeServer *store.Server

	mu      sync.Mutex // guards the fields below
	config  *state.Config
	vms     map[int]*running
	started bool // all VMs of the profile were started once
}

// running is a VM that runs.
type running struct {
	vm     *chestnutdyke.VM
	cancel context.CancelFunc
	done   chan error
}

// Start starts the database groups and all VMs of the profile.
func Start(p Profile, o Options) (*Fleet, error) {
	f := &Fleet{Profile: p, options: o, Groups: make(map[string]*dbgroup.Group), vms: make(map[int]*running)}
	if !o.TCP {
		f.Net = memnet.New(o.Seed)
		f.Net.SetDefaultDelay(p.InsideDC, p.BetweenDCs)
		for _, dc := range p.DataCentres {
			f.Net.SetDelay(dc, clientZone, p.ToClients)
		}
	}
	for i, name := range p.Groups {
		if err := f.startGroup(i, name); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.startStore(); err != nil {
		f.Close()
		return nil, err
	}
	for vm := range p.VMs {
		if o.NoVMs {
			break
		}
		if err := f.StartVM(vm); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.mu.Lock()
	f.started = true
	f.mu.Unlock()
	return f, nil
}

// Host returns the network of a host in a zone: a data centre, the clients' or
// the platform's.
func (f *Fleet) Host(host, zone string) network.Network {
	if f.Net == nil {
		return network.TCP{}
	}
	return f.Net.Host(host, zone)
}

func (f *Fleet) startGroup(i int, name string) error {
	p := f.Profile
	login := BackendLogin()
	o := dbgroup.Options{Name: name, User: login.User, Password: login.Password}
	for s := range p.ServersPerGroup {
		dc, host := p.serverDataCentre(i, s), serverHost(i, s)
		o.Servers = append(o.Servers, dbgroup.ServerOptions{
			Name:             fmt.Sprintf("%s-%c", name, 'a'+s),
			DataCentre:       dc,
			Network:          f.Host(host, dc),
			Address:          address(host, wirePort),
			ControlAddress:   address(host, controlPort),
			Slots:            p.Slots,
			Connections:      p.Connections,
			ConnectCost:      p.ConnectCost,
			StatementCost:    p.StatementCost,
			ReplicationDelay: p.ReplicationDelay,
		})
	}
	g, err := dbgroup.New(o)
	if err != nil {
		return eris.Wrapf(err, "start group %s", name)
	}
	f.Groups[name] = g
	return nil
}

// StartVM starts the VM with the given number, which must not run.
func (f *Fleet) StartVM(i int) error {
	dc, host := f.Profile.DataCentreOf(i), vmHost(i)
	f.mu.Lock()
	first := !f.started
	f.mu.Unlock()
	o := chestnutdyke.Options{
		Name:          VMName(i),
		DataCentre:    dc,
		ClientAddress: address(host, wirePort),
		PeerAddress:   address(host, peerPort),
		AdminAddress:  address(host, adminPort),
		Store:         StoreAddress(),
		Seeds:         f.seeds(),
		FirstProcess:  first,
		Secret:        []byte(Secret),
		Backend:       BackendLogin(),
		Network:       f.Host(host, dc),
		Logger:        f.options.Logger,
		Scope:         f.options.Scope,
	}
	if f.options.Adjust != nil {
		f.options.Adjust(&o)
	}
	vm, err := chestnutdyke.New(o)
	if err != nil {
		return eris.Wrapf(err, "start %s", o.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{vm: vm, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- vm.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[i] = r
	return nil
}

// VM returns the VM with the given number, or nil if it does not run.
func (f *Fleet) VM(i int) *chestnutdyke.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.vms[i]; r != nil {
		return r.vm
	}
	return nil
}

// KillVM ends a VM at once, as if its host failed.
func (f *Fleet) KillVM(i int) error {
	f.mu.Lock()
	r := f.vms[i]
	delete(f.vms, i)
	f.mu.Unlock()
	if r == nil {
		return nil
	}
	r.cancel()
	return <-r.done
}

// StopVM stops a VM without cutting requests.
func (f *Fleet) StopVM(ctx context.Context, i int) error {
	if vm := f.VM(i); vm != nil {
		if err := vm.Drain(ctx); err != nil {
			return err
		}
	}
	return f.KillVM(i)
}

// Isolation is a data centre that is cut off from everything but the clients.
type Isolation struct {
	fleet *Fleet
	dc    string
	cut   *memnet.Cut
}

// Isolate cuts a data centre off from the other data centres and from the
// platform, and its servers' replication with it. Clients reach it still.
func (f *Fleet) Isolate(dc string) *Isolation {
	others := []string{storeZone}
	for _, name := range f.Profile.DataCentres {
		if name != dc {
			others = append(others, name)
		}
	}
	i := &Isolation{fleet: f, dc: dc, cut: f.Net.Partition(memnet.Zones(dc), memnet.Zones(others...))}
	i.isolateReplication(true)
	return i
}

// Heal ends the isolation.
func (i *Isolation) Heal() {
	i.cut.Heal()
	i.isolateReplication(false)
}

// isolateReplication is needed because the groups' replication does not use the
// network.
func (i *Isolation) isolateReplication(isolated bool) {
	for _, g := range i.fleet.Groups {
		for _, s := range g.Servers() {
			if s.DataCentre() == i.dc {
				s.IsolateReplication(isolated)
			}
		}
	}
}

// Close stops everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	vms := f.vms
	f.vms = make(map[int]*running)
	f.mu.Unlock()
	for _, r := range vms {
		r.cancel()
	}
	for _, r := range vms {
		<-r.done
	}
	for _, g := range f.Groups {
		g.Close()
	}
	if f.storeServer != nil {
		f.storeServer.Close()
	}
	if f.Store != nil {
		f.Store.Close()
	}
	if f.Net != nil {
		f.Net.Close()
	}
}

// Connect connects a client of the customer to a VM and a route, with a session
// token; the text "new" is that of a session that has written nothing.
func (f *Fleet) Connect(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error) {
	cfg, err := f.ClientConfig(customer, route, vm, token)
	if err != nil {
		return nil, err
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// ClientConfig returns the configuration with which Connect connects.
func (f *Fleet) ClientConfig(customer, route string, vm int, token string) (*pgx.ConnConfig, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d sslmode=disable", vmHost(vm), wirePort))
	if err != nil {
		return nil, eris.Wrap(err, "client connection")
	}
	cfg.User, cfg.Password, cfg.Database = customer, Key(customer), route
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) { return f.DialVM(ctx, vm) }
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	switch token {
	case "":
	case NewSession:
		cfg.RuntimeParams[SessionParameter] = ""
	default:
		cfg.RuntimeParams[SessionParameter] = token
	}
	return cfg, nil
}

// DialVM opens a connection to the client address of a VM, from the clients'
// host.
func (f *Fleet) DialVM(ctx context.Context, vm int) (net.Conn, error) {
	return f.Host(clientHost, clientZone).Dial(ctx, address(vmHost(vm), wirePort))
}

// SessionParameter is the name of the session token among the parameters.
const SessionParameter = "chestnutdyke.session"

// NewSession stands for the token of a session that has written nothing.
const NewSession = "new"

// Token returns the session token that the VM last reported to the client.
func Token(c *pgx.Conn) string { return c.PgConn().ParameterStatus(SessionParameter) }
