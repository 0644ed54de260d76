package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/platform"
	"github.com/chestnutdyke/chestnutdyke/platform/standin"
	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

const (
	zoneCount      = 3 // data centres, which the platform calls zones
	groupCount     = 2
	syncGroup      = 1 // the group whose commits wait for a replica
	customerCount  = 4
	customerRate   = 400 // operations/s per customer; the workload stays below it
	maxServerConns = 24
	replicationLag = 20 * time.Millisecond
)

// testbed is a complete deployment on loopback addresses: the store, the database
// groups, and the VMs as processes behind proxies.
type testbed struct {
	options Options
	dir     string
	ctx     context.Context
	store   *managed.Store
	groups  map[string]*managed.Group

	storeProxies  map[string]*proxy // by VM; between the VM and the store
	clientProxies map[string]*proxy // by VM; between the clients and the VM
	serverProxies map[string]*proxy // by server; between the VMs and the server
	vms           []*vm

	mu      sync.Mutex // guards the fields below
	config  standin.Config
	configs map[uint64]standin.Config // by version
}

// vm is a VM that runs as a process.
type vm struct {
	name     string
	settings string
	mu       sync.Mutex // guards the fields below
	process  *exec.Cmd
	ended    chan struct{}
}

// serverCodec implements the server side of the platform's protocol between VMs and
// backend servers.
type serverCodec struct{}

func (serverCodec) ReadOpening(r *bufio.Reader) (group, customer, server string, err error) {
	return platform.ReadOpening(r)
}
func (serverCodec) ReadCommand(r *bufio.Reader) (statement.Command, error) {
	return platform.ReadCommand(r)
}
func (serverCodec) AppendOpened(dst []byte, a *statement.Answer) []byte {
	if a.Code != statement.OK {
		return platform.AppendError(dst, a)
	}
	return append(dst, "READY I -\r\n"...)
}
func (serverCodec) AppendAnswer(dst []byte, a *statement.Answer) []byte {
	return platform.AppendAnswer(dst, a)
}
func (serverCodec) EncodeReport(primary bool, p state.Point, pausedBy uint64, connections int) string {
	role := "replica"
	if primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d.%d %d 0 0 %d", role, p.Term, p.Term, p.Position, pausedBy, connections)
}

func newTestbed(ctx context.Context, o Options) (*testbed, error) {
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, 0o700); err != nil {
			return nil, eris.Wrap(err, "create folder for logs")
		}
	}
	dir, err := os.MkdirTemp("", "chestnutsoak")
	if err != nil {
		return nil, eris.Wrap(err, "create folder for settings")
	}
	tb := &testbed{
		options: o, dir: dir, ctx: ctx, store: managed.NewStore(), groups: make(map[string]*managed.Group), configs: make(map[uint64]standin.Config),
		storeProxies: make(map[string]*proxy), clientProxies: make(map[string]*proxy), serverProxies: make(map[string]*proxy),
	}
	for g := range groupCount {
		group := managed.NewGroup(managed.GroupName(g), maxServerConns, replicationLag, serverCodec{})
		group.Unfenced = !o.enforcesFencing()
		group.SetSyncReplicas(syncReplicas(g))
		tb.groups[group.Name] = group
		tb.store.AddGroup(group)
		for z := range zoneCount {
			if err := tb.startServer(group, fmt.Sprintf("%s-s%d", group.Name, z), z, z == g); err != nil {
				return nil, err
			}
		}
	}
	tb.publishConfig()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the store")
	}
	store := standin.NewStore(tb.store, tb.configVersion, func(id string) string { return tb.serverProxies[id].address() })
	go func() {
		if err := store.Serve(ctx, listener); err != nil {
			panic(err)
		}
	}()
	for n := range o.VMs {
		if err := tb.addVM(n, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

func (tb *testbed) startServer(g *managed.Group, id string, z int, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for a server")
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return eris.Wrap(err, "start proxy of a server")
	}
	tb.serverProxies[id] = p
	s := g.Add(tb.ctx, id, zoneName(z), l, primary)
	go managed.Report(tb.ctx, tb.store, s)
	return nil
}

// restartServer starts a server that has crashed, at the same address.
func (tb *testbed) restartServer(s *managed.Server) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return eris.Wrap(err, "listen for a server that starts again")
	}
	s.Restart(tb.ctx, l)
	return nil
}

// syncReplicas returns the number of replicas that a commit of the group waits for.
func syncReplicas(group int) int {
	if group == syncGroup {
		return 1
	}
	return 0
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

// configVersion returns a version of the configuration. The store may go back to an
// earlier one.
func (tb *testbed) configVersion(version uint64) *standin.Config {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	c := tb.configs[version]
	return &c
}

// publishConfig writes the configuration with a new version. Versions need not be
// consecutive.
func (tb *testbed) publishConfig() {
	tb.mu.Lock()
	c := standin.Config{Version: tb.config.Version + 3, TxIdle: 3 * time.Second}
	for g := range groupCount {
		name := managed.GroupName(g)
		c.Groups = append(c.Groups, catalog.Group{Name: name, MaxConnections: maxServerConns, SyncReplicas: syncReplicas(g)})
		c.Routes = append(c.Routes,
			catalog.Route{Database: managed.Database(managed.Latest, g), Consistency: catalog.Latest},
			catalog.Route{Database: managed.Database(managed.Own, g), Consistency: catalog.ReadYourWrites, MaxStaleness: readYourWritesStaleness})
	}
	for i := range c.Routes {
		c.Routes[i].Name, c.Routes[i].Group = c.Routes[i].Database, managed.GroupName(i/2) // two routes per group
		c.Routes[i].Timeout, c.Routes[i].TargetLatency = time.Second, 200*time.Millisecond
	}
	for n := range customerCount {
		c.Customers = append(c.Customers, standin.Customer{Name: managed.CustomerName(n), Keys: []string{managed.Key(n)}, Rate: customerRate, Burst: customerRate})
	}
	tb.config, tb.configs[c.Version] = c, c
	tb.mu.Unlock()
	tb.store.Put(directory.Configuration, directory.Entry{Name: "main", Config: &catalog.Config{Version: c.Version}})
}

const settingsFormat = `
nodeName: %q
zone: %q
ip: %q
listen: {front: "%[3]s:7001", ready: "%[3]s:7002", control: "%[3]s:7003"}
internalPorts: [7004]
seeds: []
limits: {cpuShare: 1, cores: 1, memoryMb: 256}
bounds: {graceS: 6, requireFencing: %[5]v, reportWindowS: 2, usageDelayS: 10, leaseMs: 3000, dutyPerS: 10}
platform: {address: %[4]q}
cloudApi: {address: %[4]q, duties: [promotion, usage_report]}
`

func (tb *testbed) addVM(n int, store string) error {
	name := fmt.Sprintf("vm-%d", n)
	// The process ID keeps the addresses of concurrent runs apart.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+n%250)
	storeProxy, err := newProxy(store)
	if err != nil {
		return eris.Wrap(err, "start proxy of the store")
	}
	clientProxy, err := newProxy(ip + ":7001")
	if err != nil {
		return eris.Wrap(err, "start proxy of a VM")
	}
	tb.storeProxies[name], tb.clientProxies[name] = storeProxy, clientProxy
	v := &vm{name: name, settings: filepath.Join(tb.dir, name+".yaml")}
	text := fmt.Sprintf(settingsFormat, name, zoneName(n%zoneCount), ip, storeProxy.address(), tb.options.enforcesFencing())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "write settings of a VM")
	}
	tb.vms = append(tb.vms, v)
	return tb.start(v)
}

// start starts the VM's process unless it runs, because two faults may restart it at the
// same time. Its output goes to a file in Options.Logs if that is set.
func (tb *testbed) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		select {
		case <-v.ended:
		default:
			return nil
		}
	}
	c := exec.Command(tb.options.Binary, "platform")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	if tb.options.Logs != "" {
		f, err := os.OpenFile(filepath.Join(tb.options.Logs, fmt.Sprintf("%d-%s.log", tb.options.Seed, v.name)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "open log of a VM")
		}
		defer f.Close()
		c.Stdout, c.Stderr = f, f
	}
	if err := c.Start(); err != nil {
		return eris.Wrap(err, "start a VM")
	}
	ended := make(chan struct{})
	v.process, v.ended = c, ended
	go func() {
		// The exit status of a killed process carries no information.
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the VM's process unless it has ended.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
	default:
		// The process may have ended in the meantime; the error is then harmless.
		_ = v.process.Process.Signal(s)
	}
}

// wait waits for the end of the VM's process, and kills it after the limit.
func (v *vm) wait(limit time.Duration) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		v.signal(syscall.SIGKILL)
		<-ended
	}
}

func (tb *testbed) close() {
	for _, v := range tb.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.wait(time.Second)
	}
	for _, set := range []map[string]*proxy{tb.storeProxies, tb.clientProxies, tb.serverProxies} {
		for _, p := range set {
			p.close()
		}
	}
	os.RemoveAll(tb.dir)
}
