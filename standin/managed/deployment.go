package managed

import (
	"bufio"
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlfront"
)

// Ports of VMs and servers.
const (
	clientPort = 5000
	linkPort   = 5001
	readyPort  = 5002
	serverPort = 6000
)

// Key is the key of the customer of the given number.
func Key(customer int) string { return fmt.Sprintf("key-%d", customer) }

// CustomerName is the name of the customer of the given number.
func CustomerName(customer int) string { return fmt.Sprintf("customer-%d", customer) }

// Options describe a deployment.
type Options struct {
	Zones     int
	VMs       int // in each zone
	Groups    int
	Customers int
	Rate      float64 // of each customer
	Lag       time.Duration
	MaxConns  int
	Logger    log.Interface // nil discards
	Tracer    trace.Tracer  // nil discards
}

// Deployment is a fleet of VMs with their platform, in virtual time.
type Deployment struct {
	Options
	Net    *memnet.Network
	Store  *Store
	Groups map[string]*Group
	VMs    map[string]*VM // by name; use VM while others may start

	mu     sync.Mutex // guards VMs
	ctx    context.Context
	cancel context.CancelFunc
	config catalog.Config
}

// VM is a VM of the fleet.
type VM struct {
	Name, Zone string
	Node       *chestnutdyke.Node
	deployment *Deployment
	host       *memnet.Host
	cancel     context.CancelFunc
	ended      chan struct{}
}

// Databases of the routes to a group.
const (
	Latest  = "latest"  // every acknowledged commit
	Bounded = "bounded" // at most a second old
	Own     = "own"     // at most two seconds old, and the session's own commits
)

// Database returns the database name of a route to a group.
func Database(kind string, group int) string { return fmt.Sprintf("%s-%d", kind, group) }

// GroupName returns the name of a group.
func GroupName(group int) string { return fmt.Sprintf("group-%d", group) }

// Start starts a deployment. It must be called in a synctest bubble; Stop must
// be called at its end.
func Start(o Options) *Deployment {
	begin := time.Now().Add(-time.Hour)
	clock.SetSource(func() time.Duration { return time.Since(begin) })
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Options: o, Net: memnet.New(1), Store: newStore(), Groups: make(map[string]*Group), VMs: make(map[string]*VM),
		ctx: ctx, cancel: cancel,
	}
	if d.Logger == nil {
		d.Logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	if d.Tracer == nil {
		d.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d.Net.SetDefaultDelay(100*time.Microsecond, time.Millisecond)
	for g := range o.Groups {
		d.startGroup(GroupName(g), g)
	}
	d.declare()
	for z := range o.Zones {
		for v := range o.VMs {
			d.StartVM(fmt.Sprintf("vm-%d-%d", z, v), zone(z))
		}
	}
	time.Sleep(2 * time.Second)
	return d
}

// Stop ends the deployment.
func (d *Deployment) Stop() {
	d.cancel()
	for _, vm := range d.VMs {
		<-vm.ended
	}
	d.Net.Close()
	// What was started ends within a second of virtual time.
	time.Sleep(time.Second)
	clock.SetSource(nil)
}

func zone(z int) string { return fmt.Sprintf("zone-%d", z) }

func (d *Deployment) startGroup(name string, index int) {
	g := NewGroup(name, d.MaxConns, d.Lag, Backend{})
	d.Groups[name] = g
	d.Store.AddGroup(g)
	for z := range d.Zones {
		d.StartServer(g, fmt.Sprintf("%s-s%d", name, z), zone(z), z == index%d.Zones)
	}
}

// StartServer starts a server of the group. It registers itself.
func (d *Deployment) StartServer(g *Group, id, zone string, primary bool) *Server {
	host := d.Net.Host(id, zone)
	address := fmt.Sprintf("%s:%d", id, serverPort)
	l, err := host.Listen(address)
	if err != nil {
		panic(err)
	}
	s := g.Add(d.ctx, id, zone, l, primary)
	s.Address = address
	go Report(d.ctx, d.Store, s)
	return s
}

// Report registers the server in the store, and again when its role changes,
// until ctx is done.
func Report(ctx context.Context, store *Store, s *Server) {
	registered, last := false, false
	for ctx.Err() == nil {
		if now := s.isPrimary(); now != last || !registered {
			registered, last = true, now
			register(store, s)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Server) isPrimary() bool {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.primary
}

// register writes the server's registration.
func register(store *Store, s *Server) {
	s.group.mu.Lock()
	entry := catalog.Server{
		ID: s.ID, Group: s.group.Name, Address: s.Address, DataCentre: s.Zone, Primary: s.primary, Draining: s.draining, Born: 1,
	}
	s.group.mu.Unlock()
	store.Put(directory.Servers, directory.Entry{Name: s.ID, Server: &entry})
}

// Drain makes the server register as leaving. It goes on answering.
func Drain(store *Store, s *Server) { setDraining(store, s, true) }

// Undrain takes Drain back.
func Undrain(store *Store, s *Server) { setDraining(store, s, false) }

func setDraining(store *Store, s *Server, draining bool) {
	s.group.mu.Lock()
	s.draining = draining
	s.group.mu.Unlock()
	register(store, s)
}

// Primary returns the group's primary, or nil.
func (g *Group) Primary() *Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.primary && !s.down {
			return s
		}
	}
	return nil
}

// Crash stops the server without a word. Its connections break.
func (s *Server) Crash() {
	s.group.mu.Lock()
	s.held = s.received()
	s.down, s.primary = true, false
	conns := s.conns
	s.conns = make(map[net.Conn]bool)
	s.group.mu.Unlock()
	s.cancel()
	for c := range conns {
		c.Close()
	}
}

// LoseAnswers makes the server break the connection after its next n writes.
func (s *Server) LoseAnswers(n int) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.loseAnswers = n
}

// SetDeaf makes a replica receive nothing, or go on receiving.
func (s *Server) SetDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.received()
	s.deaf = deaf
}

// Replicas returns the servers that follow, ordered by id.
func (g *Group) Replicas() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*Server
	for _, s := range g.servers {
		if !s.primary && !s.down {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// LostCommits returns how many commits promotions have dropped.
func (g *Group) LostCommits() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lostCommits
}

// Commits returns how often statements of the id are in the log.
func (g *Group) Commits(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.log {
		if c.id == id {
			n++
		}
	}
	return n
}

// CommitsOf returns the times of a customer's commits.
func (g *Group) CommitsOf(customer string) []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var times []time.Time
	for _, c := range g.log {
		if c.customer == customer {
			times = append(times, c.at)
		}
	}
	return times
}

// Connections returns the number of connections to the server.
func (s *Server) Connections() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.conns)
}

// declare writes the configuration for the options.
func (d *Deployment) declare() {
	d.Configure(func(c *catalog.Config) {
		c.TxIdle = 3 * time.Second
		for g := range d.Options.Groups {
			group := GroupName(g)
			c.Groups = append(c.Groups, catalog.Group{Name: group, MaxConnections: d.MaxConns})
			for _, r := range []catalog.Route{
				{Database: Database(Latest, g), Consistency: catalog.Latest},
				{Database: Database(Bounded, g), Consistency: catalog.BoundedStale, MaxStaleness: time.Second},
				{Database: Database(Own, g), Consistency: catalog.ReadYourWrites, MaxStaleness: 2 * time.Second},
			} {
				r.Name, r.Group, r.Timeout, r.TargetLatency = r.Database, group, time.Second, 200*time.Millisecond
				c.Routes = append(c.Routes, r)
			}
		}
		for n := range d.Customers {
			c.Customers = append(c.Customers, catalog.Customer{
				Name: CustomerName(n), Rate: d.Rate, Burst: d.Rate, Keys: []state.KeyHash{sha256.Sum256([]byte(Key(n)))},
			})
		}
	})
}

// Configure changes the operators' configuration.
func (d *Deployment) Configure(change func(*catalog.Config)) {
	next := catalog.Config{
		Version: d.config.Version + 1, Routes: slices.Clone(d.config.Routes), Customers: slices.Clone(d.config.Customers),
		Groups: slices.Clone(d.config.Groups), TxIdle: d.config.TxIdle,
	}
	change(&next)
	d.config = next
	published := next
	published.Index()
	d.Store.Put(directory.Configuration, directory.Entry{Name: "main", Config: &published})
}

// StartVM starts a VM.
func (d *Deployment) StartVM(name, zone string) *VM {
	host := d.Net.Host(name, zone)
	ctx, cancel := context.WithCancel(d.ctx)
	c := client{Store: d.Store, vm: name}
	vm := &VM{Name: name, Zone: zone, deployment: d, host: host, cancel: cancel, ended: make(chan struct{})}
	vm.Node = chestnutdyke.NewNode(ctx, chestnutdyke.NodeOptions{
		Name: name, DataCentre: zone, Weight: 1, Workers: 2, Grace: 6 * time.Second,
		ClientAddress: fmt.Sprintf("%s:%d", name, clientPort), LinkAddress: fmt.Sprintf("%s:%d", name, linkPort),
		ReadyAddress: fmt.Sprintf("%s:%d", name, readyPort),
		Network:      host, Clients: Clients{}, Servers: Servers{}, Source: c, Duties: c, Platform: c,
		Logger: d.Logger.WithField("vm", name), Scope: tally.NoopScope, Tracer: d.Tracer,
	})
	d.mu.Lock()
	d.VMs[name] = vm
	d.mu.Unlock()
	go func() {
		defer close(vm.ended)
		if err := vm.Node.Run(); err != nil {
			panic(err)
		}
	}()
	return vm
}

// VM returns the VM that was started last under the name.
func (d *Deployment) VM(name string) *VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.VMs[name]
}

// Kill ends the VM's process at once; its connections break.
func (vm *VM) Kill() {
	vm.cancel()
	<-vm.ended
	vm.deployment.Net.Break(memnet.Hosts(vm.Name), memnet.All())
}

// Terminate stops the VM as planned.
func (vm *VM) Terminate() {
	vm.Node.Drain()
	vm.Kill()
}

// Client is a client's session.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
	last int
	name string
}

// Connect opens a session on the VM for a customer. It returns the refusal, if
// there is one.
func (vm *VM) Connect(name, database string, customer int) (*Client, statement.Answer) {
	return vm.ConnectKey(name, database, Key(customer))
}

// ConnectKey is Connect with a key.
func (vm *VM) ConnectKey(name, database, key string) (*Client, statement.Answer) {
	host := vm.deployment.Net.Host("client-"+name, vm.Zone)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := host.Dial(ctx, fmt.Sprintf("%s:%d", vm.Name, clientPort))
	if err != nil {
		return nil, statement.Refusal(statement.Unreachable, err.Error())
	}
	c := &Client{conn: conn, r: bufio.NewReader(conn), name: name}
	if _, err := conn.Write(appendJSON(nil, sqlfront.Start{Database: database, Key: key})); err != nil {
		return nil, statement.Refusal(statement.Lost, err.Error())
	}
	var a statement.Answer
	if err := readJSON(c.r, &a); err != nil {
		return nil, statement.Refusal(statement.Lost, err.Error())
	}
	if a.Code != statement.OK {
		conn.Close()
		return nil, a
	}
	return c, a
}

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }

// Do sends a request and returns its id and answer. A connection that breaks
// answers Lost.
func (c *Client) Do(verb statement.Verb, payload string) (string, statement.Answer) {
	return c.Request(statement.Request{Verb: verb, Payload: payload})
}

// Request sends a request of which the id is set here.
func (c *Client) Request(r statement.Request) (string, statement.Answer) {
	c.last++
	r.ID = fmt.Sprintf("%s/%d", c.name, c.last)
	if _, err := c.conn.Write(appendJSON(nil, r)); err != nil {
		return r.ID, statement.Refusal(statement.Lost, err.Error())
	}
	var a statement.Answer
	if err := readJSON(c.r, &a); err != nil {
		return r.ID, statement.Refusal(statement.Lost, err.Error())
	}
	return r.ID, a
}
