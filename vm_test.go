package chestnutdyke_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

// testProfile returns a profile of three data centres with one VM each, and one
// database group whose first primary is in data centre north.
func testProfile() fleet.Profile {
	p := fleet.Fes()
	p.Name = "test"
	p.DataCentres = []string{"north", "south", "west"}
	p.Groups = []string{"ledger"}
	p.VMs = 3
	p.StatementCost = 0
	p.Deadline = 5 * time.Second
	p.Customers = []fleet.Customer{{Name: "bindery", Rate: 1000, Burst: 200}, {Name: "archive", Rate: 30, Burst: 12}}
	return p
}

// harness runs a small fleet in front of one database group.
type harness struct {
	t     *testing.T
	fleet *fleet.Fleet
	group *dbgroup.Group

	recorder *recorder // nil until startRecording is called
}

// withFleet runs a test on a fleet in virtual time, once all VMs are ready.
func withFleet(t *testing.T, test func(h *harness)) {
	t.Helper()
	withAdjustedFleet(t, func(*chestnutdyke.Options) {}, test)
}

// withAdjustedFleet is withFleet with a function that changes the options of the
// VMs.
func withAdjustedFleet(t *testing.T, adjust func(o *chestnutdyke.Options), test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t}
		f, err := fleet.Start(testProfile(), fleet.Options{
			Seed:   1,
			Logger: &log.Logger{Handler: discard.Default},
			Adjust: func(o *chestnutdyke.Options) {
				o.Network = harnessNetwork{Network: o.Network, h: h}
				adjust(o)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		h.fleet, h.group = f, f.Groups["ledger"]
		for i, s := range h.group.Servers() {
			// Different delays prevent simultaneous events of different servers, so
			// that recorded sessions are deterministic.
			s.SetReplicationDelay(3*time.Millisecond + time.Duration(i)*137*time.Microsecond)
		}
		ctx, cancel := context.WithTimeout(background, time.Minute)
		defer cancel()
		if err := f.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		test(h)
		f.Close()
		synctest.Wait()
	})
}

// harnessNetwork is the network of a VM. It records connections dialled after the
// call of startRecording.
type harnessNetwork struct {
	network.Network
	h *harness
}

func (n harnessNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.h.recordingNetwork(n.Network).Dial(ctx, address)
}

// startRecording records the connections dialled from now on.
func (h *harness) startRecording() { h.recorder = newRecorder() }

func (h *harness) recordingNetwork(n network.Network) network.Network {
	if h.recorder == nil {
		return n
	}
	names := make(map[string]string)
	for i := range h.fleet.Profile.VMs {
		if vm := h.fleet.VM(i); vm != nil {
			names[vm.Address()] = "client-" + fleet.VMName(i)
		}
	}
	for _, s := range h.group.Servers() {
		names[s.Address()] = "vm-" + s.Name()
	}
	return h.recorder.wrap(n, names)
}

// clientConfig returns the configuration of a client of the VM.
func (h *harness) clientConfig(vm int, token string) *pgx.ConnConfig {
	h.t.Helper()
	cfg, err := h.fleet.ClientConfig("bindery", "ledger", vm, token)
	if err != nil {
		h.t.Fatal(err)
	}
	dial := cfg.DialFunc
	cfg.DialFunc = func(ctx context.Context, networkName, address string) (net.Conn, error) {
		return h.recordingNetwork(dialNetwork{dial}).Dial(ctx, address)
	}
	return cfg
}

// dialNetwork adapts a client's dial function to network.Network.
type dialNetwork struct{ dial pgconn.DialFunc }

func (n dialNetwork) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (n dialNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, "tcp", address)
}

// connect opens a client connection to a VM with a session token, which may be
// empty.
func (h *harness) connect(vm int, token string) *pgx.Conn {
	h.t.Helper()
	conn, err := pgx.ConnectConfig(background, h.clientConfig(vm, token))
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

func (h *harness) exec(c *pgx.Conn, sql string, args ...any) {
	h.t.Helper()
	if _, err := c.Exec(background, sql, args...); err != nil {
		h.t.Fatalf("%s: %v", sql, err)
	}
}

func (h *harness) query(c *pgx.Conn, sql string, args ...any) string {
	h.t.Helper()
	var value string
	if err := c.QueryRow(background, sql, args...).Scan(&value); err != nil {
		h.t.Fatalf("%s: %v", sql, err)
	}
	return value
}

func (h *harness) close(c *pgx.Conn) {
	if err := c.Close(background); err != nil {
		h.t.Error(err)
	}
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Guards against stale reads by a session that continues on another VM.
func TestSessionReadsItsWriteThroughAnotherVM(t *testing.T) {
	withFleet(t, func(h *harness) {
		a := h.connect(0, "")
		h.exec(a, "INSERT INTO kv VALUES ('skin-1', 'reserved')")
		token := fleet.Token(a)
		h.close(a)
		b := h.connect(1, token)
		if got := h.query(b, "SELECT value FROM kv WHERE key = 'skin-1'"); got != "reserved" {
			t.Errorf("value %q, want reserved", got)
		}
		if got := h.query(b, "SELECT server()"); got != "ledger-b" {
			t.Errorf("read from %s, want the replica of the VM's data centre", got)
		}
		h.close(b)
	})
}
