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

// Secret is the secret with which the VMs of a fleet authenticate to each other.
const Secret = "secret-of-the-fleet"

// Credentials of the VMs at backend servers.
const (
	backendUser     = "proxy"
	backendPassword = "password-of-the-proxy"
)

// BackendLogin returns the VMs' credentials at backend servers, also for clients that
// connect to a server without a proxy.
func BackendLogin() pgbackend.Credentials {
	return pgbackend.Credentials{User: backendUser, Password: backendPassword}
}

// Options set how a fleet runs.
type Options struct {
	// TCP runs the fleet on loopback addresses of the machine, without the profile's
	// delays. The default is an in-memory network with these delays.
	TCP  bool
	Seed uint64 // of the in-memory network
	// NoVMs starts no VMs, although the configuration lists them.
	NoVMs bool
	// Adjust, if not nil, changes the options of each VM before it starts.
	Adjust func(o *chestnutdyke.Options)
	Logger log.Interface
	Scope  tally.Scope
}

// Fleet is a running fleet. VMs are identified by their number in the profile, from
// zero.
type Fleet struct {
	Profile Profile
	Net     *memnet.Network           // nil with TCP
	Groups  map[string]*dbgroup.Group // by name
	Store   *store.Store

	options     Options
	storeServer *store.Server

	mu      sync.Mutex // guards the fields below
	config  *state.Config
	vms     map[int]*vmProcess // the running ones, by number
	started bool               // Start has started all VMs of the profile
}

// vmProcess is a running VM.
type vmProcess struct {
	vm     *chestnutdyke.VM
	cancel context.CancelFunc
	done   chan error // receives the result of Run
}

// Start starts the database groups, the store and, unless NoVMs is set, all VMs of the
// profile. It does not wait until the VMs are ready; see WaitReady. The caller must
// call Close.
func Start(p Profile, o Options) (*Fleet, error) {
	f := &Fleet{Profile: p, options: o, Groups: make(map[string]*dbgroup.Group), vms: make(map[int]*vmProcess)}
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

// Host returns the network as seen by a host in a zone: a data centre, the clients'
// zone or the platform's.
func (f *Fleet) Host(host, zone string) network.Network {
	if f.Net == nil {
		return network.TCP{}
	}
	return f.Net.Host(host, zone)
}

// startGroup starts the database group with the given number.
func (f *Fleet) startGroup(i int, name string) error {
	p := f.Profile
	login := BackendLogin()
	o := dbgroup.Options{Name: name, User: login.User, Password: login.Password}
	for s := range p.ServersPerGroup {
		dc, host := p.serverDataCentre(i, s), serverHost(i, s)
		o.Servers = append(o.Servers, dbgroup.ServerOptions{
			Name:              fmt.Sprintf("%s-%c", name, 'a'+s),
			DataCentre:        dc,
			Network:           f.Host(host, dc),
			Address:           address(host, postgresPort),
			ControlAddress:    address(host, controlPort),
			Slots:             p.Slots,
			Connections:       p.Connections,
			ConnectDelay:      p.ConnectCost,
			StatementDuration: p.StatementCost,
			ReplicationDelay:  p.ReplicationDelay,
		})
	}
	g, err := dbgroup.New(o)
	if err != nil {
		return eris.Wrapf(err, "start group %s", name)
	}
	f.Groups[name] = g
	return nil
}

// StartVM starts the VM with the given number, which must not be running.
func (f *Fleet) StartVM(i int) error {
	dc, host := f.Profile.DataCentreOf(i), vmHost(i)
	f.mu.Lock()
	first := !f.started
	f.mu.Unlock()
	o := chestnutdyke.Options{
		Name:          VMName(i),
		DataCentre:    dc,
		ClientAddress: address(host, postgresPort),
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
	r := &vmProcess{vm: vm, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- vm.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[i] = r
	return nil
}

// VM returns the VM with the given number, or nil if it is not running.
func (f *Fleet) VM(i int) *chestnutdyke.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.vms[i]; r != nil {
		return r.vm
	}
	return nil
}

// KillVM stops a VM without draining it, as if its host had failed, and waits until it
// has ended. It returns the error with which the VM ended, and does nothing if the VM
// is not running.
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

// StopVM drains a VM, so that no request is cut off, and then stops it. It fails if
// draining does, and the VM then keeps running.
func (f *Fleet) StopVM(ctx context.Context, i int) error {
	if vm := f.VM(i); vm != nil {
		if err := vm.Drain(ctx); err != nil {
			return err
		}
	}
	return f.KillVM(i)
}

// Isolation is a network partition around a data centre, which only clients can reach.
type Isolation struct {
	fleet     *Fleet
	dc        string
	partition *memnet.Partition
}

// Isolate cuts a data centre, and the replication of its servers, off from the other
// data centres and from the platform. Clients still reach it.
func (f *Fleet) Isolate(dc string) *Isolation {
	others := []string{storeZone}
	for _, name := range f.Profile.DataCentres {
		if name != dc {
			others = append(others, name)
		}
	}
	i := &Isolation{fleet: f, dc: dc, partition: f.Net.Partition(memnet.Zones(dc), memnet.Zones(others...))}
	i.isolateReplication(true)
	return i
}

// Heal ends the isolation.
func (i *Isolation) Heal() {
	i.partition.Heal()
	i.isolateReplication(false)
}

// isolateReplication stops or resumes the replication of the data centre's servers,
// which does not use the network and so ignores its partitions.
func (i *Isolation) isolateReplication(isolated bool) {
	for _, g := range i.fleet.Groups {
		for _, s := range g.Servers() {
			if s.DataCentre() == i.dc {
				s.IsolateReplication(isolated)
			}
		}
	}
}

// Close stops all VMs, the database groups, the store and the network.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes := f.vms
	f.vms = make(map[int]*vmProcess)
	f.mu.Unlock()
	for _, r := range processes {
		r.cancel()
	}
	for _, r := range processes {
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

// Connect connects a client of the customer to a route on a VM. The token is empty for
// a connection without a session, NewSession for a new session, or the token of an
// earlier connection.
func (f *Fleet) Connect(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error) {
	cfg, err := f.ClientConfig(customer, route, vm, token)
	if err != nil {
		return nil, err
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// ClientConfig returns the configuration that Connect uses.
func (f *Fleet) ClientConfig(customer, route string, vm int, token string) (*pgx.ConnConfig, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d sslmode=disable", vmHost(vm), postgresPort))
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

// DialVM opens a connection from the clients' host to the client address of a VM.
func (f *Fleet) DialVM(ctx context.Context, vm int) (net.Conn, error) {
	return f.Host(clientHost, clientZone).Dial(ctx, address(vmHost(vm), postgresPort))
}

// SessionParameter is the run-time parameter that holds the session token.
const SessionParameter = "chestnutdyke.session"

// NewSession is passed to Connect as the token of a session that has written nothing.
const NewSession = "new"

// Token returns the session token that the VM last reported on the connection.
func Token(c *pgx.Conn) string { return c.PgConn().ParameterStatus(SessionParameter) }
