package main

import (
	"bufio"
	"bytes"
	"context"
	_ "embed" // for the templates
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// testbed is a small deployment on loopback addresses: the store, the platform, the
// instances, and VMs as processes.
type testbed struct {
	store    *store
	services map[string]*service
	vms      []*vm
	dir      string
	config   map[string]any
	began    time.Time

	closed atomic.Bool

	mu     sync.Mutex // guards the fields below
	fences map[string]uint64
	record *os.File
}

type vm struct {
	name, ip, zone string
	ports          ports
	process        *exec.Cmd
	ended          chan struct{}
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal int }

func (b *testbed) since() time.Duration { return time.Since(b.began) }

// recordf writes a line to record.txt.
func (b *testbed) recordf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", b.since().Seconds(), fmt.Sprintf(format, args...))
}

func newTestbed(recordPath string) (*testbed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &testbed{store: newStore(), services: make(map[string]*service), dir: dir, began: time.Now(), fences: make(map[string]uint64), record: record}, nil
}

// start starts the store, a service with an instance in each zone, and a VM in each zone.
func (b *testbed) start(binary string, work time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/objects/", b.store)
	mux.HandleFunc("POST /promotion", b.servePromotion)
	go func() { _ = http.Serve(l, mux) }()
	s := &service{name: "ledger", bed: b, term: 1, instances: make(map[string]*instance), work: work}
	b.services[s.name] = s
	for n, zone := range zones {
		if err := s.addInstance(fmt.Sprintf("i-%d", n), zone, n == 0); err != nil {
			return err
		}
	}
	base := 20000 + rand.IntN(20000)
	net2 := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	p := ports{base, base + 1, base + 2, base + 3}
	for n, zone := range zones {
		v := &vm{name: "front-" + zone + "-1", ip: fmt.Sprintf("%s.%d", net2, 10+n), zone: zone, ports: p}
		b.vms = append(b.vms, v)
	}
	for _, v := range b.vms {
		if err := b.startVM(v, binary, l.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// settingsText is the settings file of a VM, a format for its names and addresses.
//
//go:embed settings.tmpl
var settingsText string

func (b *testbed) startVM(v *vm, binary, store string) error {
	var seeds []string
	for _, other := range b.vms {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, other.ports.control)))
	}
	p := v.ports
	text := fmt.Sprintf(settingsText, v.name, v.ip, v.zone, p.front, p.ready, p.control, p.internal, p.internal+15, strings.Join(seeds, ", "), store)
	path := filepath.Join(b.dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(b.dir, v.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(binary, "platform") // the command of deploy/system.toml
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "CHESTNUTDYKE_SETTINGS=" + path}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	v.process, v.ended = c, make(chan struct{})
	b.recordf("%s started at %s, process %d", v.name, v.ip, c.Process.Pid)
	go func() {
		_ = c.Wait()
		b.recordf("%s ended", v.name)
		close(v.ended)
	}()
	return nil
}

// awaitReady waits until all VMs report ready.
func (b *testbed) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range b.vms {
		for {
			if v.ready() {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

func (v *vm) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// GET /v1/readiness as deploy/wire.toml maps it
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", v.ip, v.ports.ready), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *testbed) close() {
	if b.closed.Swap(true) {
		return
	}
	for _, v := range b.vms {
		if v.process == nil {
			continue
		}
		_ = v.process.Process.Signal(syscall.SIGKILL)
		<-v.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(b.dir))
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// route is an entry of a configuration.
type route struct {
	Database, Kind string
	TimeoutMs      int
}

// tenant is an entry of a configuration.
type tenant struct {
	Name        string
	Rate, Burst float64
	Keys        []string
}

//go:embed config.tmpl
var configText string

var configTemplate = template.Must(template.New("config").Parse(configText))

// configure writes a version of the configuration.
func (b *testbed) configure(version int, routes []route, tenants []tenant) {
	b.store.put("config", "main", render(configTemplate, map[string]any{"Version": version, "Routes": routes, "Tenants": tenants}))
	b.recordf("operator: configuration %d acknowledged", version)
}

// render returns the JSON that a template yields.
func render(t *template.Template, data any) json.RawMessage {
	var text bytes.Buffer
	if err := t.Execute(&text, data); err != nil {
		panic(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text.Bytes()); err != nil {
		panic(err)
	}
	return compact.Bytes()
}

// answer is the answer to a request.
type answer struct {
	at    time.Duration
	code  string // COMPLETE or an error code
	text  string
	state string
}

// client is a session of a client.
type client struct {
	name string
	b    *testbed
	conn net.Conn
	r    *bufio.Reader
}

func (b *testbed) connect(name string, v *vm, database, key string) (*client, error) {
	conn, err := net.Dial("tcp", net.JoinHostPort(v.ip, strconv.Itoa(v.ports.front)))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, b: b, conn: conn, r: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	line, err := readMessage(c.r)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY") {
		return nil, fmt.Errorf("START answered with %q", line)
	}
	b.recordf("client %s: session with %s", name, v.name)
	return c, nil
}

// send sends queries in one write, each "ID TEXT".
func (c *client) send(queries ...string) {
	var text strings.Builder
	for _, q := range queries {
		c.b.recordf("client %s: sends %s", c.name, q)
		text.WriteString("QUERY " + q + "\r\n")
	}
	if _, err := c.conn.Write([]byte(text.String())); err != nil {
		c.b.recordf("client %s: %v", c.name, err)
	}
}

// receive reads one complete answer. It returns an error if the connection ends before.
func (c *client) receive(id string) (answer, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	var a answer
	for {
		line, err := readMessage(c.r)
		if err != nil {
			c.b.recordf("client %s: no answer to %s: %v", c.name, id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "COMPLETE":
			a.code = word
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			a.at = c.b.since()
			c.b.recordf("client %s: answer to %s is %s %s, state %s", c.name, id, a.code, a.text, a.state)
			return a, nil
		}
	}
}
