// Package fleettest tests whole fleets in virtual time: rate and connection limits,
// keys, tickets, and VMs, backend servers and data centres that leave and return.
package fleettest

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/cmd/chestnutctl/ctl"
	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/protocol/ticketfile"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

const (
	// seed is the random seed of the network and the loads in every test.
	seed = 1
	// operatorHost is the host on which operators run chestnutctl. It is in the
	// platform's zone, so a data centre that is cut off cannot reach it.
	operatorHost = "127.103.0.1"
	platformZone = "platform"
	// inForceWithin is the time in which an accepted ticket must be in force on all
	// VMs.
	inForceWithin = 5 * time.Second
)

var baseContext = context.Background()

// lockOrder enables the assertion on the lock order. It takes a stack trace for
// each lock, which is five sixths of the running time of these tests.
var lockOrder = flag.Bool("lockorder", false, "check the order of locks; slow")

// limitParallel limits the number of fleets that run at the same time. The build
// with the race detector replaces it.
var limitParallel = func() error { return nil }

func TestMain(m *testing.M) {
	flag.Parse()
	if err := limitParallel(); err != nil {
		panic(err) // cannot happen: the testing package defines the flag
	}
	if *lockOrder {
		lockrank.EnableChecks()
	}
	os.Exit(m.Run())
}

// harness is a running fleet and what a test uses to observe and change it.
type harness struct {
	t        *testing.T
	fleet    *fleet.Fleet
	recorder *recorder
	balancer loadBalancer

	options map[string]chestnutdyke.Options // of the VMs, by VM name

	files   map[string]string // tickets of the test, by path
	tickets uint64            // number of the latest ticket
}

// runWithFleet runs a test on a fleet in virtual time, once all VMs are ready.
func runWithFleet(t *testing.T, p fleet.Profile, test func(h *harness)) {
	t.Helper()
	runWithOptions(t, p, func() fleet.Options { return fleet.Options{} }, test)
}

// runWithOptions is runWithFleet with options that are made in virtual time.
func runWithOptions(t *testing.T, p fleet.Profile, options func() fleet.Options, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := options()
		h := &harness{t: t, recorder: newRecorder(), files: make(map[string]string), tickets: 1, options: make(map[string]chestnutdyke.Options)}
		o.Seed = seed
		if o.Logger == nil {
			o.Logger = &log.Logger{Handler: discard.Default}
		}
		adjust := o.Adjust
		o.Adjust = func(v *chestnutdyke.Options) {
			h.options[v.Name] = *v
			v.Network = recordingNetwork{Network: v.Network, recorder: h.recorder, vm: v.Name}
			if adjust != nil {
				adjust(v)
			}
		}
		f, err := fleet.Start(p, o)
		if err != nil {
			t.Fatal(err)
		}
		h.fleet = f
		h.balancer.harness = h
		defer func() {
			f.Close()
			// A client whose request timed out closes its connection in the background,
			// which takes up to 15 s.
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		h.waitReady()
		test(h)
	})
}

// waitReady waits until all VMs are ready.
func (h *harness) waitReady() {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(baseContext, time.Minute)
	defer cancel()
	if err := h.fleet.WaitReady(ctx); err != nil {
		h.t.Fatal(err)
	}
}

// vmsOf returns the numbers of the VMs in a data centre.
func (h *harness) vmsOf(dc string) []int {
	var vms []int
	for i := range h.fleet.Profile.VMs {
		if h.fleet.Profile.DataCentreOf(i) == dc {
			vms = append(vms, i)
		}
	}
	return vms
}

// allVMs returns the numbers of all VMs.
func (h *harness) allVMs() []int {
	var vms []int
	for i := range h.fleet.Profile.VMs {
		vms = append(vms, i)
	}
	return vms
}

// cutOffVM cuts a VM off from everything except its clients.
func (h *harness) cutOffVM(i int) *memnet.Partition {
	h.t.Helper()
	host, _, err := net.SplitHostPort(h.fleet.VM(i).Address())
	if err != nil {
		h.t.Fatal(err)
	}
	zones := append([]string{platformZone}, h.fleet.Profile.DataCentres...)
	return h.fleet.Net.Partition(memnet.Hosts(host), memnet.Zones(zones...))
}

// waitUntil waits until the condition holds and returns how long that took. It
// fails the test when the limit has passed.
func (h *harness) waitUntil(limit time.Duration, what string, holds func() bool) time.Duration {
	h.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			h.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// stored returns the configuration that is in the store.
func (h *harness) stored() *state.Config {
	h.t.Helper()
	object, found := h.fleet.Store.Object(storeapi.ConfigObject)
	if !found {
		h.t.Fatal("no configuration in the store")
	}
	decoded, err := ticketfile.DecodeObject(object.Value)
	if err != nil {
		h.t.Fatal(err)
	}
	return decoded.Config
}

// inForce returns the number of the ticket that is in force on a VM. It is 0 if
// the VM has none or is not running.
func (h *harness) inForce(vm int) uint64 {
	v := h.fleet.VM(vm)
	if v == nil || v.Tables().Config.Current() == nil {
		return 0
	}
	return v.Tables().Config.Current().Ticket.Number
}

// waitInForce waits until the ticket is in force on the VMs.
func (h *harness) waitInForce(ticket uint64, vms []int) time.Duration {
	h.t.Helper()
	return h.waitUntil(inForceWithin, "ticket in force", func() bool {
		for _, vm := range vms {
			if h.inForce(vm) != ticket {
				return false
			}
		}
		return true
	})
}

// result is the output and the exit code of a command.
type result struct {
	code   int
	stdout string
	stderr string
}

// ctl runs a command line of chestnutctl against the fleet.
func (h *harness) ctl(args ...string) result {
	h.t.Helper()
	var stdout, stderr bytes.Buffer
	env := ctl.Env{
		Network: h.fleet.Host(operatorHost, platformZone),
		Stdout:  &stdout,
		Stderr:  &stderr,
		ReadFile: func(path string) ([]byte, error) {
			text, found := h.files[path]
			if !found {
				return nil, os.ErrNotExist
			}
			return []byte(text), nil
		},
		Random: strings.NewReader(strings.Repeat("a random text of 32 bytes for ke", 4)),
	}
	code := ctl.Run(baseContext, env, args)
	return result{code, stdout.String(), stderr.String()}
}

// mustCtl runs a command line, which must succeed, and returns its standard
// output.
func (h *harness) mustCtl(args ...string) string {
	h.t.Helper()
	r := h.ctl(args...)
	if r.code != ctl.ExitOK {
		h.t.Fatalf("chestnutctl %s: exit code %d\n%s%s", strings.Join(args, " "), r.code, r.stdout, r.stderr)
	}
	return r.stdout
}

// shuttingDown is the SQLSTATE with which a VM that is leaving refuses requests.
// connectionError is the code for errors without an SQLSTATE, all of which are
// errors of the connection.
const (
	shuttingDown    = "57P01"
	connectionError = "connection"
)

// sqlState returns the SQLSTATE and the hint of an error. Both are empty without an
// error; the code is connectionError if the error has no SQLSTATE.
func sqlState(err error) (code, hint string) {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return "", ""
	case errors.As(err, &pgErr):
		return pgErr.Code, pgErr.Hint
	}
	return connectionError, ""
}

// cutHosts cuts two sets of hosts off from each other.
func (h *harness) cutHosts(a, b []string) *memnet.Partition {
	return h.fleet.Net.Partition(memnet.Hosts(a...), memnet.Hosts(b...))
}
