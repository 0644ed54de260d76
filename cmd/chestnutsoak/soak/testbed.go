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
	zones     = 3
	groups    = 2
	customers = 4
	rate      = 400 // of each customer; the load stays below it
	maxConns  = 24
	lag       = 20 * time.Millisecond
)

// world is a deployment on loopback addresses.
type world struct {
	o      Options
	dir    string
	ctx    context.Context
	store  *managed.Store
	groups map[string]*managed.Group

	storeProxies map[string]*proxy // by VM
	fronts       map[string]*proxy // by VM: between its clients and it
	servers      map[string]*proxy // by server
	vms          []*vm

	mu     sync.Mutex // guards config
	config standin.Config
}

// vm is a process.
type vm struct {
	name     string
	settings string
	mu       sync.Mutex // guards the fields below
	process  *exec.Cmd
	ended    chan struct{}
}

// serverCodec is the line protocol from the servers' side.
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
func (serverCodec) EncodeReport(primary bool, p state.Point, connections int) string {
	role := "replica"
	if primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d.%d 0 0 0 %d", role, p.Term, p.Term, p.Position, connections)
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, 0o700); err != nil {
			return nil, eris.Wrap(err, "folder for the VMs' logs")
		}
	}
	dir, err := os.MkdirTemp("", "chestnutsoak")
	if err != nil {
		return nil, eris.Wrap(err, "folder for settings")
	}
	w := &world{
		o: o, dir: dir, ctx: ctx, store: managed.NewStore(), groups: make(map[string]*managed.Group),
		storeProxies: make(map[string]*proxy), fronts: make(map[string]*proxy), servers: make(map[string]*proxy),
	}
	for g := range groups {
		group := managed.NewGroup(managed.GroupName(g), maxConns, lag, serverCodec{})
		w.groups[group.Name] = group
		w.store.AddGroup(group)
		for z := range zones {
			if err := w.startServer(group, fmt.Sprintf("%s-s%d", group.Name, z), z, z == g); err != nil {
				return nil, err
			}
		}
	}
	w.declare()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for the store")
	}
	store := standin.NewStore(w.store, w.current, func(id string) string { return w.servers[id].address() })
	go func() {
		if err := store.Serve(ctx, listener); err != nil {
			panic(err)
		}
	}()
	for n := range o.VMs {
		if err := w.addVM(n, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) startServer(g *managed.Group, id string, z int, primary bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for a server")
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return eris.Wrap(err, "proxy of a server")
	}
	w.servers[id] = p
	s := g.Add(w.ctx, id, zoneName(z), l, primary)
	go managed.Report(w.ctx, w.store, s)
	return nil
}

func zoneName(z int) string { return fmt.Sprintf("zone-%d", z) }

func (w *world) current() *standin.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.config
	return &c
}

// declare writes the configuration, with a version of its own each time.
func (w *world) declare() {
	w.mu.Lock()
	c := standin.Config{Version: w.config.Version + 3, TxIdle: 3 * time.Second}
	for g := range groups {
		name := managed.GroupName(g)
		c.Groups = append(c.Groups, catalog.Group{Name: name, MaxConnections: maxConns})
		c.Routes = append(c.Routes,
			catalog.Route{Database: managed.Database(managed.Latest, g), Consistency: catalog.Latest},
			catalog.Route{Database: managed.Database(managed.Own, g), Consistency: catalog.ReadYourWrites, MaxStaleness: ownBound})
	}
	for i := range c.Routes {
		c.Routes[i].Name, c.Routes[i].Group = c.Routes[i].Database, managed.GroupName(i/2)
		c.Routes[i].Timeout, c.Routes[i].TargetLatency = time.Second, 200*time.Millisecond
	}
	for n := range customers {
		c.Customers = append(c.Customers, standin.Customer{Name: managed.CustomerName(n), Keys: []string{managed.Key(n)}, Rate: rate, Burst: rate})
	}
	w.config = c
	w.mu.Unlock()
	w.store.Put(directory.Configuration, directory.Entry{Name: "main", Config: &catalog.Config{Version: c.Version}})
}

const settingsFormat = `
nodeName: %q
zone: %q
ip: %q
listen: {front: "%[3]s:7001", ready: "%[3]s:7002", control: "%[3]s:7003"}
internalPorts: [7004]
seeds: []
limits: {cpuShare: 1, cores: 1, memoryMb: 256}
bounds: {graceS: 6}
platform: {address: %[4]q}
cloudApi: {address: %[4]q}
`

func (w *world) addVM(n int, store string) error {
	name := fmt.Sprintf("vm-%d", n)
	// Runs that go on at the same time have addresses of their own.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 1+n%250)
	p, err := newProxy(store)
	if err != nil {
		return eris.Wrap(err, "proxy of the store")
	}
	front, err := newProxy(ip + ":7001")
	if err != nil {
		return eris.Wrap(err, "proxy of a VM")
	}
	w.storeProxies[name], w.fronts[name] = p, front
	v := &vm{name: name, settings: filepath.Join(w.dir, name+".yaml")}
	text := fmt.Sprintf(settingsFormat, name, zoneName(n%zones), ip, p.address())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return eris.Wrap(err, "settings of a VM")
	}
	w.vms = append(w.vms, v)
	return w.start(v)
}

// start starts the VM's process.
func (w *world) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(w.o.Binary, "platform")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	if w.o.Logs != "" {
		f, err := os.OpenFile(filepath.Join(w.o.Logs, fmt.Sprintf("%d-%s.log", w.o.Seed, v.name)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return eris.Wrap(err, "log of a VM")
		}
		defer f.Close()
		c.Stdout, c.Stderr = f, f
	}
	if err := c.Start(); err != nil {
		return eris.Wrap(err, "start of a VM")
	}
	ended := make(chan struct{})
	v.process, v.ended = c, ended
	go func() {
		// The exit status of a process that was killed says nothing.
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the VM's process, which this program started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
	default:
		// The process may have ended since; then there is nothing to signal.
		_ = v.process.Process.Signal(s)
	}
}

// wait waits for the end of the VM's process, and kills it if it takes too long.
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

func (w *world) close() {
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.wait(time.Second)
	}
	for _, set := range []map[string]*proxy{w.storeProxies, w.fronts, w.servers} {
		for _, p := range set {
			p.close()
		}
	}
	os.RemoveAll(w.dir)
}
