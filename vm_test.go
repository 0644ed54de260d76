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

// testProfile has three data centres with one VM each, and one database group
// whose first primary is in the north.
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

// world is a small fleet in front of one database group.
type world struct {
	t     *testing.T
	fleet *fleet.Fleet
	group *dbgroup.Group

	recorder *recorder // nil unless the test records
}

// inWorld runs a test on a fleet in virtual time, once all VMs take work.
func inWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	inAdjustedWorld(t, func(*chestnutdyke.Options) {}, test)
}

// inAdjustedWorld is inWorld with other options of the VMs.
func inAdjustedWorld(t *testing.T, adjust func(o *chestnutdyke.Options), test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t}
		f, err := fleet.Start(testProfile(), fleet.Options{
			Seed:   1,
			Logger: &log.Logger{Handler: discard.Default},
			Adjust: func(o *chestnutdyke.Options) {
				o.Network = worldNetwork{Network: o.Network, w: w}
				adjust(o)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.fleet, w.group = f, f.Groups["ledger"]
		for i, s := range w.group.Servers() {
			// Different delays keep events of different servers apart in time, so
			// that recorded sessions are the same every time.
			s.SetReplicationDelay(3*time.Millisecond + time.Duration(i)*137*time.Microsecond)
		}
		ctx, cancel := context.WithTimeout(background, time.Minute)
		defer cancel()
		if err := f.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		test(w)
		f.Close()
		synctest.Wait()
	})
}

// worldNetwork is the network of a VM, which is recorded once the test asks for
// it.
type worldNetwork struct {
	network.Network
	w *world
}

func (n worldNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.w.recorded(n.Network).Dial(ctx, address)
}

// record starts to record the sessions of the test.
func (w *world) record() { w.recorder = newRecorder() }

func (w *world) recorded(n network.Network) network.Network {
	if w.recorder == nil {
		return n
	}
	names := make(map[string]string)
	for i := range w.fleet.Profile.VMs {
		if vm := w.fleet.VM(i); vm != nil {
			names[vm.Address()] = "client-" + fleet.VMName(i)
		}
	}
	for _, s := range w.group.Servers() {
		names[s.Address()] = "vm-" + s.Name()
	}
	return w.recorder.network(n, names)
}

// clientConfig returns the configuration of a client of the VM.
func (w *world) clientConfig(vm int, token string) *pgx.ConnConfig {
	w.t.Helper()
	cfg, err := w.fleet.ClientConfig("bindery", "ledger", vm, token)
	if err != nil {
		w.t.Fatal(err)
	}
	dial := cfg.DialFunc
	cfg.DialFunc = func(ctx context.Context, netw, address string) (net.Conn, error) {
		return w.recorded(dialer{dial}).Dial(ctx, address)
	}
	return cfg
}

// dialer makes a network of a client's dial function.
type dialer struct{ dial pgconn.DialFunc }

func (d dialer) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (d dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.dial(ctx, "tcp", address)
}

// connect opens a client connection to a VM with a session token.
func (w *world) connect(vm int, token string) *pgx.Conn {
	w.t.Helper()
	conn, err := pgx.ConnectConfig(background, w.clientConfig(vm, token))
	if err != nil {
		w.t.Fatal(err)
	}
	return conn
}

func (w *world) exec(c *pgx.Conn, sql string, args ...any) {
	w.t.Helper()
	if _, err := c.Exec(background, sql, args...); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
}

func (w *world) query(c *pgx.Conn, sql string, args ...any) string {
	w.t.Helper()
	var value string
	if err := c.QueryRow(background, sql, args...).Scan(&value); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
	return value
}

func (w *world) close(c *pgx.Conn) {
	if err := c.Close(background); err != nil {
		w.t.Error(err)
	}
}

func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Guards against a stale read by a session that moved to another VM.
func TestSessionReadsItsWriteThroughAnotherVM(t *testing.T) {
	inWorld(t, func(w *world) {
		a := w.connect(0, "")
		w.exec(a, "INSERT INTO kv VALUES ('skin-1', 'reserved')")
		token := fleet.Token(a)
		w.close(a)
		b := w.connect(1, token)
		if got := w.query(b, "SELECT value FROM kv WHERE key = 'skin-1'"); got != "reserved" {
			t.Errorf("value %q, want reserved", got)
		}
		if got := w.query(b, "SELECT server()"); got != "ledger-b" {
			t.Errorf("read from %s, want the replica of the VM's data centre", got)
		}
		w.close(b)
	})
}
