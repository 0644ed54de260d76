package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	frontPort    = 8465
	readyPort    = 8460
	controlPort  = 8462
	linkPort     = 7560
	restartDelay = 500 * time.Millisecond
)

// testbed is a small deployment on loopback addresses.
type testbed struct {
	record *recorder
	dir    string // for settings and logs
	store  *store
	groups map[string]*group
	vms    []*vm

	startGap time.Duration // between the starts of the VMs

	storeAddress, cloudAddress string
}

// vm is a machine that runs target/chestnutdyke platform.
type vm struct {
	name, zone, ip string
	settings       string
	log            string
	process        *exec.Cmd
	ended          chan struct{}
}

func (v *vm) front() string { return net.JoinHostPort(v.ip, strconv.Itoa(frontPort)) }

func newTestbed(rec *recorder) (*testbed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	tb := &testbed{record: rec, dir: dir, store: newStore(), groups: make(map[string]*group)}
	if tb.storeAddress, err = serveHTTP(tb.store); err != nil {
		return nil, err
	}
	tb.cloudAddress, err = serveHTTP(http.HandlerFunc(tb.servePromotion))
	return tb, err
}

func serveHTTP(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		// Serve returns when the process ends.
		_ = http.Serve(l, h)
	}()
	return l.Addr().String(), nil
}

func (tb *testbed) servePromotion(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get(wire.Fence), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil || r.URL.Path != "/promotion" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := tb.groups[order.Service]
	accepted := g != nil && g.promote(order.ID, fence)
	tb.record.add("platform: order of %s with token %d to promote %s of %s, accepted: %v", r.Header.Get(wire.Holder), fence, order.ID, order.Service, accepted)
	if !accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (tb *testbed) addGroup(name string, lag time.Duration, maxConns int) *group {
	g := &group{name: name, record: tb.record, lag: lag, maxConns: maxConns, term: 3}
	tb.groups[name] = g
	return g
}

// addServer adds a server that registers itself.
func (tb *testbed) addServer(g *group, id, zone string, primary bool) (*server, error) {
	s, err := g.add(id, zone, primary)
	if err == nil {
		go s.report(tb.store)
	}
	return s, err
}

// addVMs writes the settings of VMs in the zones and starts them. Their ports are the
// same; each has a loopback address of its own.
func (tb *testbed) addVMs(zones ...string) error {
	pid := os.Getpid()
	seeds := ""
	perZone := make(map[string]int)
	for n, zone := range zones {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 10+n)
		for _, port := range []int{frontPort, readyPort, controlPort, linkPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return err
			}
			l.Close()
		}
		if n < 3 {
			if n > 0 {
				seeds += ", "
			}
			seeds += strconv.Quote(net.JoinHostPort(ip, strconv.Itoa(controlPort)))
		}
		perZone[zone]++
		name := fmt.Sprintf("front-%s-%d", zone, perZone[zone])
		tb.vms = append(tb.vms, &vm{name: name, zone: zone, ip: ip, settings: filepath.Join(tb.dir, name+".yaml"), log: filepath.Join(tb.dir, name+".log")})
	}
	for _, v := range tb.vms {
		text := render("settings.tmpl", vmSettings{Name: v.name, IP: v.ip, Zone: v.zone, Store: tb.storeAddress, Cloud: tb.cloudAddress, Seeds: seeds})
		if err := os.WriteFile(v.settings, text, 0o600); err != nil {
			return err
		}
		if err := tb.start(v); err != nil {
			return err
		}
		time.Sleep(tb.startGap)
	}
	return nil
}

// start starts the VM's process with the command of the deploy file.
func (tb *testbed) start(v *vm) error {
	c := exec.Command("target/chestnutdyke", "platform")
	c.Env = []string{"CHESTNUTDYKE_SETTINGS=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f, err := os.OpenFile(v.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.process, v.ended = c, ended
	tb.record.add("vm %s: started as process %d", v.name, c.Process.Pid)
	go func() {
		// The exit status of a killed process carries no information.
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the VM's process with SIGKILL and waits for its end.
func (tb *testbed) kill(v *vm) {
	tb.record.add("vm %s: SIGKILL", v.name)
	_ = v.process.Process.Kill()
	<-v.ended
}

func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// close ends all VMs.
func (tb *testbed) close() {
	for _, v := range tb.vms {
		if v.process != nil && !v.hasEnded() {
			_ = v.process.Process.Signal(syscall.SIGCONT)
			_ = v.process.Process.Kill()
			<-v.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(tb.dir)
	}
}

// awaitReady waits until all VMs report ready.
func (tb *testbed) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range tb.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(tb.vms) {
			tb.record.add("testbed: all VMs are ready")
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d VMs are ready", ready, len(tb.vms))
		}
	}
}

// isReady asks for readiness at the path that deploy/wire.toml chooses.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + net.JoinHostPort(v.ip, strconv.Itoa(readyPort)) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	// The body is not used; reading it lets the connection be reused.
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// configure writes a version of the operator's configuration.
func (tb *testbed) configure(version int, routes []route, tenants []tenant) {
	spec := configSpec{Version: version, Routes: routes, Tenants: tenants}
	for name, g := range tb.groups {
		s := service{Name: name, MaxConns: g.maxConns}
		if g.sync {
			s.SyncReplicas = 1
		}
		spec.Services = append(spec.Services, s)
	}
	tb.store.Put("config", "main", specOf("config.tmpl", spec))
}
