package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder collects the lines of record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.4f  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// errSetup says that the case could not run.
var errSetup = errors.New("the case could not run")

// vm is a process of the system.
type vm struct {
	name, zone, ip string
	cmd            *exec.Cmd
	log            *os.File
}

// testbed holds the stand-ins and the processes of a case.
type testbed struct {
	rec     *recorder
	trouble bool
	folder  string
	program string // the command of the deploy file, without its argument
	store   *store
	cloud   *cloud
	groups  []*group
	vms     []*vm

	frontPort, readyPort, controlPort, linkPort int
	storeAddress, cloudAddress                  string
}

const zones = 3

// freePort returns a port that is free on all the addresses.
func freePort(ips []string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		all := true
		for _, ip := range ips[1:] {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				all = false
				break
			}
			other.Close()
		}
		l.Close()
		if all {
			return port, nil
		}
	}
	return 0, errSetup
}

func newTestbed(rec *recorder, trouble bool, program string, vmsPerZone int) (*testbed, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	t := &testbed{rec: rec, trouble: trouble, folder: folder, program: program, store: newStore()}
	base := 20 + os.Getpid()%200
	var ips []string
	for z := range zones {
		for i := range vmsPerZone {
			ip := fmt.Sprintf("127.%d.%d.%d", base, z+1, i+1)
			ips = append(ips, ip)
			t.vms = append(t.vms, &vm{name: fmt.Sprintf("front-z%d-%d", z, i), zone: fmt.Sprintf("z%d", z), ip: ip})
		}
	}
	for _, p := range []*int{&t.frontPort, &t.readyPort, &t.controlPort, &t.linkPort} {
		if *p, err = freePort(ips); err != nil {
			return nil, err
		}
	}
	t.cloud = &cloud{t: t}
	if t.storeAddress, err = t.serveHTTP(t.store); err != nil {
		return nil, err
	}
	if t.cloudAddress, err = t.serveHTTP(t.cloud); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *testbed) serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h)
	return l.Addr().String(), nil
}

// addGroups adds database groups with a server in each data centre.
func (t *testbed) addGroups(n, syncReplicas, maxConns int) error {
	for i := range n {
		g := newGroup(fmt.Sprintf("ledger%d", i), syncReplicas, maxConns, t.rec)
		var seed []*entry
		for k := range 5 {
			seed = append(seed, &entry{id: fmt.Sprintf("seed%d", k), term: 3})
		}
		for z := range zones {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			address := l.Addr().String()
			l.Close()
			s := g.add(fmt.Sprintf("i-%d-%c", i, 'a'+z), fmt.Sprintf("z%d", z), address, z == i%zones, t.store)
			s.log = append(s.log, seed...)
			if err := s.start(); err != nil {
				return err
			}
		}
		t.groups = append(t.groups, g)
	}
	return nil
}

// putConfig writes a version of the configuration: a route of kind primary and one of kind
// read_own_writes for each group, and a tenant with the key "key1".
func (t *testbed) putConfig(version int) {
	type tenant struct {
		Name, Key string
		Rate      int
	}
	type service struct {
		Name           string
		MaxConns, Sync int
	}
	var services []service
	for _, g := range t.groups {
		services = append(services, service{g.name, g.maxConns, g.sync})
	}
	t.store.put("config", "main", message("config.tmpl", map[string]any{"Version": version, "Groups": services, "Tenants": []tenant{{"tenant1", "key1", 2000}}}))
}

// startVM starts a process of the system with the command of the deploy file.
func (t *testbed) startVM(v *vm, bootstrap bool) error {
	var seeds []string
	for i := 0; i < len(t.vms) && len(seeds) < 3; i += max(len(t.vms)/3, 1) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", t.vms[i].ip, t.controlPort))
	}
	settings := message("settings.tmpl", map[string]any{"Name": v.name, "IP": v.ip, "Zone": v.zone, "Front": t.frontPort, "Ready": t.readyPort, "Control": t.controlPort,
		"LinkLow": t.linkPort, "LinkHigh": t.linkPort + 15, "Seeds": seeds, "Bootstrap": bootstrap, "Store": t.storeAddress, "Cloud": t.cloudAddress})
	path := filepath.Join(t.folder, v.name+".yaml")
	if err := os.WriteFile(path, settings, 0o644); err != nil {
		return err
	}
	if v.log == nil {
		l, err := os.Create(filepath.Join(t.folder, v.name+".log"))
		if err != nil {
			return err
		}
		v.log = l
	}
	v.cmd = exec.Command(t.program, "platform")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CHESTNUTDYKE_SETTINGS=" + path}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	t.rec.add("process %s started", v.name)
	return nil
}

func (t *testbed) startAll() error {
	for _, v := range t.vms {
		if err := t.startVM(v, true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, v := range t.vms {
		for !t.ready(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s does not become ready", errSetup, v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.rec.add("all processes are ready")
	return nil
}

func (t *testbed) ready(v *vm) bool {
	c := &http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", v.ip, t.readyPort))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// stopVM kills the process and waits for its end.
func (t *testbed) stopVM(v *vm, sig syscall.Signal) {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	t.rec.add("process %s gets %v", v.name, sig)
	_ = v.cmd.Process.Signal(sig)
	_ = v.cmd.Wait()
	v.cmd = nil
}

// close ends all processes.
func (t *testbed) close() {
	for _, v := range t.vms {
		t.stopVM(v, syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(t.folder)
	} else {
		fmt.Println("kept:", t.folder)
	}
}

// cloud is the platform's API for promotions.
type cloud struct {
	t *testbed
	// arrived, if set, is called with each order. It returns false if the order gets no
	// answer and is not carried out yet; carryOut does that.
	arrived func(holder, service, id string, token uint64, carryOut func()) bool
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get(wire.Token), 10, 64)
	if r.URL.Path != "/promotion" || r.Method != http.MethodPost || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get(wire.Holder)
	var g *group
	for _, other := range c.t.groups {
		if other.name == body.Service {
			g = other
		}
	}
	if g == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	carryOut := func() int {
		status := g.order(body.ID, token)
		c.t.rec.add("platform: order of %s to promote %s with token %d is carried out with status %d", holder, body.ID, token, status)
		return status
	}
	c.t.rec.add("platform: order of %s to promote %s with token %d arrives", holder, body.ID, token)
	if c.arrived != nil && !c.arrived(holder, body.Service, body.ID, token, func() { carryOut() }) {
		<-r.Context().Done()
		return
	}
	w.WriteHeader(carryOut())
}

// client is a session with a VM.
type client struct {
	t    *testbed
	name string
	conn net.Conn
	r    *bufio.Reader
}

// result is the answer to a query.
type result struct {
	code      string // "OK" or the code of the error; "" if the connection broke
	signature string
	rows      []string
	state     string
	position  string
}

func (t *testbed) dial(name string, v *vm, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", v.ip, t.frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{t: t, name: name, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("START: %q %v", line, err)
	}
	return c, nil
}

// query sends a query with a new id and reads its answer.
func (c *client) query(ctx context.Context, id, text string, timeout time.Duration) result {
	c.t.rec.add("client %s sends %s %s", c.name, id, text)
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	x := c.read(fmt.Sprintf("QUERY %s %s\r\n", id, text))
	c.t.rec.add("client %s gets %s: %s %s %s %s", c.name, id, x.code, x.signature, x.state, x.position)
	return x
}

func (c *client) read(message string) (x result) {
	if _, err := c.conn.Write([]byte(message)); err != nil {
		return result{}
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return result{}
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			x.rows = append(x.rows, rest)
		case "COMPLETE":
			x.code, x.signature = "OK", rest
		case "ERROR":
			x.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			x.state, x.position, _ = strings.Cut(rest, " ")
			return x
		default:
			return result{}
		}
	}
}

func (c *client) close() { c.conn.Close() }
