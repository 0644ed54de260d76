// Package fleettest checks the behaviour of whole fleets in virtual time:
// limits, connections, keys, tickets, and leaving and returning.
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
	// seed is the seed of the network and of the load of every test.
	seed = 1
	// operatorHost is the host on which operators run their commands. It is in the
	// platform's zone, so that a data centre that is cut off is out of its reach.
	operatorHost = "127.103.0.1"
	platformZone = "platform"
	// inForceWithin is the time in which an accepted ticket must be in force.
	inForceWithin = 5 * time.Second
)

var background = context.Background()

// lockOrder switches the assertion on the lock order on. It takes a stack trace
// per lock, which is five sixths of the time of these tests.
var lockOrder = flag.Bool("lockorder", false, "check the order of locks; slow")

// limitParallel limits the number of fleets that run at once.
var limitParallel = func() error { return nil }

func TestMain(m *testing.M) {
	flag.Parse()
	if err := limitParallel(); err != nil {
		panic(err) // the testing package has the flag
	}
	if *lockOrder {
		lockrank.EnableChecks()
	}
	os.Exit(m.Run())
}

// world is a running fleet and what the test observes of it.
type world struct {
	t     *testing.T
	fleet *fleet.Fleet
	tap   *tap
	ready balancer

	options map[string]chestnutdyke.Options // of the VMs, by name

	files   map[string]string // tickets, by path
	tickets uint64            // number of the latest ticket
}

// inWorld runs a test on a fleet in virtual time, once all VMs take work and the
// loads have found out what they may spend.
func inWorld(t *testing.T, p fleet.Profile, test func(w *world)) {
	t.Helper()
	inWorldOptions(t, p, func() fleet.Options { return fleet.Options{} }, test)
}

// inWorldOptions is inWorld with options that are made in virtual time.
func inWorldOptions(t *testing.T, p fleet.Profile, options func() fleet.Options, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o := options()
		w := &world{t: t, tap: newTap(), files: make(map[string]string), tickets: 1, options: make(map[string]chestnutdyke.Options)}
		o.Seed = seed
		if o.Logger == nil {
			o.Logger = &log.Logger{Handler: discard.Default}
		}
		adjust := o.Adjust
		o.Adjust = func(v *chestnutdyke.Options) {
			w.options[v.Name] = *v
			v.Network = tappedNetwork{Network: v.Network, tap: w.tap, vm: v.Name}
			if adjust != nil {
				adjust(v)
			}
		}
		f, err := fleet.Start(p, o)
		if err != nil {
			t.Fatal(err)
		}
		w.fleet = f
		w.ready.world = w
		defer func() {
			f.Close()
			// A client whose request ran out of time closes its connection in the
			// background, for at most 15 s.
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		w.waitReady()
		test(w)
	})
}

func (w *world) waitReady() {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(background, time.Minute)
	defer cancel()
	if err := w.fleet.WaitReady(ctx); err != nil {
		w.t.Fatal(err)
	}
}

// vmsOf returns the numbers of the VMs in a data centre.
func (w *world) vmsOf(dc string) []int {
	var vms []int
	for i := range w.fleet.Profile.VMs {
		if w.fleet.Profile.DataCentreOf(i) == dc {
			vms = append(vms, i)
		}
	}
	return vms
}

// allVMs returns the numbers of all VMs.
func (w *world) allVMs() []int {
	var vms []int
	for i := range w.fleet.Profile.VMs {
		vms = append(vms, i)
	}
	return vms
}

// cutOffVM cuts a VM off from everything but its clients.
func (w *world) cutOffVM(i int) *memnet.Cut {
	w.t.Helper()
	host, _, err := net.SplitHostPort(w.fleet.VM(i).Address())
	if err != nil {
		w.t.Fatal(err)
	}
	zones := append([]string{platformZone}, w.fleet.Profile.DataCentres...)
	return w.fleet.Net.Partition(memnet.Hosts(host), memnet.Zones(zones...))
}

// waitUntil waits until the condition holds and returns how long that took. It
// fails the test after the limit.
func (w *world) waitUntil(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			w.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// stored returns the configuration in the store.
func (w *world) stored() *state.Config {
	w.t.Helper()
	object, found := w.fleet.Store.Object(storeapi.ConfigObject)
	if !found {
		w.t.Fatal("no configuration in the store")
	}
	decoded, err := ticketfile.DecodeObject(object.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return decoded.Config
}

// inForce returns the ticket that a VM has in force; 0 if the VM has none or
// does not run.
func (w *world) inForce(vm int) uint64 {
	v := w.fleet.VM(vm)
	if v == nil || v.Tables().Config.Current() == nil {
		return 0
	}
	return v.Tables().Config.Current().Ticket.Number
}

// waitInForce waits until the VMs have the ticket in force.
func (w *world) waitInForce(ticket uint64, vms []int) time.Duration {
	w.t.Helper()
	return w.waitUntil(inForceWithin, "ticket in force", func() bool {
		for _, vm := range vms {
			if w.inForce(vm) != ticket {
				return false
			}
		}
		return true
	})
}

// result is what a command printed and its exit code.
type result struct {
	code   int
	stdout string
	stderr string
}

// ctl runs a command line of chestnutctl against the fleet.
func (w *world) ctl(args ...string) result {
	w.t.Helper()
	var stdout, stderr bytes.Buffer
	env := ctl.Env{
		Network: w.fleet.Host(operatorHost, platformZone),
		Stdout:  &stdout,
		Stderr:  &stderr,
		ReadFile: func(path string) ([]byte, error) {
			text, found := w.files[path]
			if !found {
				return nil, os.ErrNotExist
			}
			return []byte(text), nil
		},
		Random: strings.NewReader(strings.Repeat("a random text of 32 bytes for ke", 4)),
	}
	code := ctl.Run(background, env, args)
	return result{code, stdout.String(), stderr.String()}
}

// mustCtl runs a command that must end with 0.
func (w *world) mustCtl(args ...string) string {
	w.t.Helper()
	r := w.ctl(args...)
	if r.code != ctl.ExitOK {
		w.t.Fatalf("chestnutctl %s: exit code %d\n%s%s", strings.Join(args, " "), r.code, r.stdout, r.stderr)
	}
	return r.stdout
}

// shuttingDown is the SQLSTATE of a VM that is leaving; broken stands for errors
// without an SQLSTATE, which are those of the connection.
const (
	shuttingDown = "57P01"
	broken       = "connection"
)

// sqlState returns the SQLSTATE of an error and its hint.
func sqlState(err error) (code, hint string) {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return "", ""
	case errors.As(err, &pgErr):
		return pgErr.Code, pgErr.Hint
	}
	return broken, ""
}

// cutHosts cuts two sets of hosts off from each other.
func (w *world) cutHosts(a, b []string) *memnet.Cut {
	return w.fleet.Net.Partition(memnet.Hosts(a...), memnet.Hosts(b...))
}
