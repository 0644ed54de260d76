package managed

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// Ports of VMs and backend servers.
const (
	clientPort = 5000 // of VMs, for clients
	linkPort   = 5001 // of VMs, for other VMs
	readyPort  = 5002 // of VMs, for HTTP readiness checks
	serverPort = 6000 // of backend servers, for VMs
)

// Key returns the access key of the customer with the given number.
func Key(customer int) string { return fmt.Sprintf("key-%d", customer) }

// CustomerName returns the name of the customer with the given number.
func CustomerName(customer int) string { return fmt.Sprintf("customer-%d", customer) }

// Options set the size and the timing of a deployment.
type Options struct {
	Zones     int // data centres
	VMs       int // in each zone
	Groups    int // each with a server in each zone
	Customers int
	Rate      float64       // limit of each customer in operations a second, also its burst
	Lag       time.Duration // replication lag of replicas
	MaxConns  int           // that each backend server accepts
	// SyncReplicas is the number of replicas that must have received a commit before
	// it is acknowledged.
	SyncReplicas int
	// Unfenced makes the platform execute orders regardless of their fencing tokens,
	// and a replaced primary go on until it is told to step down or can reach its
	// successor for a second.
	Unfenced bool
	Bounds   directory.Bounds // that VMs are given
	Usage    usage.Settings   // that VMs are given
	Capacity Capacity         // of each backend server
	// TimeOfDay returns the time of day of a VM; nil means the virtual time.
	TimeOfDay func(vm string) time.Time
	OnRequest func(id string) // called for each client request that a VM has read; nil for none
	Logger    log.Interface   // nil discards log entries
	Tracer    trace.Tracer    // nil discards spans
}

// Deployment is a fleet of VMs with its simulated platform, in virtual time.
type Deployment struct {
	Options
	Net    *memnet.Network
	Store  *Store
	Groups map[string]*Group
	VMs    map[string]*VM // by name; call VM instead while VMs may be started

	mu     sync.Mutex // guards VMs
	ctx    context.Context
	cancel context.CancelFunc
	config catalog.Config
}

// VM is a VM of a deployment. Node is its proxy.
type VM struct {
	Name, Zone string
	Node       *chestnutdyke.Node
	deployment *Deployment
	host       *memnet.Host
	cancel     context.CancelFunc
	done       chan struct{} // closed when the node has stopped
}

// Kinds of routes to a group, by the consistency of their reads.
const (
	Latest  = "latest"  // reads see every acknowledged commit
	Bounded = "bounded" // reads are at most one second stale
	Own     = "own"     // reads are at most two seconds stale and see the session's own commits
)

// Database returns the database name of the route of a kind to a group.
func Database(kind string, group int) string { return fmt.Sprintf("%s-%d", kind, group) }

// GroupName returns the name of the group with the given number.
func GroupName(group int) string { return fmt.Sprintf("group-%d", group) }

// Start starts a deployment and waits two seconds for its VMs to be ready. It must
// be called in a synctest bubble, and the caller must call Stop.
func Start(o Options) *Deployment {
	epoch := time.Now().Add(-time.Hour)
	clock.SetForTest(func() time.Duration { return time.Since(epoch) })
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
	d.publishInitialConfig()
	for z := range o.Zones {
		for v := range o.VMs {
			d.StartVM(fmt.Sprintf("vm-%d-%d", z, v), zoneName(z))
		}
	}
	time.Sleep(2 * time.Second)
	return d
}

// Stop stops all VMs, backend servers and the network.
func (d *Deployment) Stop() {
	d.cancel()
	for _, vm := range d.VMs {
		<-vm.done
	}
	d.Net.Close()
	// All goroutines that are left end within a second of virtual time.
	time.Sleep(time.Second)
	clock.SetForTest(nil)
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func (d *Deployment) startGroup(name string, index int) {
	g := NewGroup(name, d.MaxConns, d.Lag, Backend{})
	g.Unfenced, g.Capacity = d.Unfenced, d.Capacity
	g.SetSyncReplicas(d.SyncReplicas)
	d.Groups[name] = g
	d.Store.AddGroup(g)
	for z := range d.Zones {
		d.StartServer(g, fmt.Sprintf("%s-s%d", name, z), zoneName(z), z == index%d.Zones)
	}
}

// StartServer adds a server to the group and registers it in the store.
func (d *Deployment) StartServer(g *Group, id, zone string, primary bool) *Server {
	host := d.Net.Host(id, zone)
	address := fmt.Sprintf("%s:%d", id, serverPort)
	l, err := host.Listen(address)
	if err != nil {
		panic(err)
	}
	s := g.Add(d.ctx, id, zone, l, primary)
	s.Address = address
	s.reaches = func(address string) bool {
		ctx, cancel := context.WithTimeout(d.ctx, 20*time.Millisecond)
		defer cancel()
		conn, err := host.Dial(ctx, address)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	}
	go Report(d.ctx, d.Store, s)
	return s
}

// publishInitialConfig writes the configuration that the options describe.
func (d *Deployment) publishInitialConfig() {
	d.Configure(func(c *catalog.Config) {
		c.TxIdle = 3 * time.Second
		for g := range d.Options.Groups {
			group := GroupName(g)
			c.Groups = append(c.Groups, catalog.Group{Name: group, MaxConnections: d.MaxConns, SyncReplicas: d.SyncReplicas})
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

// Configure publishes a copy of the configuration, with the next version, to which
// change was applied.
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

// StartVM starts a VM, or starts it again after Kill or Terminate.
func (d *Deployment) StartVM(name, zone string) *VM {
	host := d.Net.Host(name, zone)
	ctx, cancel := context.WithCancel(d.ctx)
	c := client{Store: d.Store, vm: name}
	timeOfDay := time.Now
	if d.TimeOfDay != nil {
		timeOfDay = func() time.Time { return d.TimeOfDay(name) }
	}
	vm := &VM{Name: name, Zone: zone, deployment: d, host: host, cancel: cancel, done: make(chan struct{})}
	vm.Node = chestnutdyke.NewNode(ctx, chestnutdyke.NodeOptions{
		Name: name, DataCentre: zone, Weight: 1, Workers: 2, Grace: 6 * time.Second, Bounds: d.Bounds,
		ClientAddress: fmt.Sprintf("%s:%d", name, clientPort), LinkAddress: fmt.Sprintf("%s:%d", name, linkPort),
		ReadyAddress:            fmt.Sprintf("%s:%d", name, readyPort),
		PlatformEnforcesFencing: !d.Unfenced,
		Network:                 host, ClientDialect: Clients{onRequest: d.OnRequest}, ServerDialect: Servers{}, Source: c, Duties: c, Platform: c,
		Usage: d.Usage, UsageStore: c, UsagePlatform: c, TimeOfDay: timeOfDay,
		Logger: d.Logger.WithField("vm", name), Scope: tally.NoopScope, Tracer: d.Tracer,
	})
	d.mu.Lock()
	d.VMs[name] = vm
	d.mu.Unlock()
	go func() {
		defer close(vm.done)
		if err := vm.Node.Run(); err != nil {
			panic(err)
		}
	}()
	return vm
}

// VM returns the VM that was last started under the name. It may be called while
// VMs are started.
func (d *Deployment) VM(name string) *VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.VMs[name]
}

// Kill stops the VM without draining it and breaks its connections.
func (vm *VM) Kill() {
	vm.cancel()
	<-vm.done
	vm.deployment.Net.Break(memnet.Hosts(vm.Name), memnet.All())
}

// Terminate drains the VM and then stops it.
func (vm *VM) Terminate() {
	vm.Node.Drain()
	vm.Kill()
}
