package chestnutdyke_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

const clientKey = "key-of-bindery"

// world is a small fleet in front of one database group.
type world struct {
	t     *testing.T
	net   *memnet.Network
	group *dbgroup.Group
	vms   []*chestnutdyke.VM
	cfg   *state.Config

	recorder *recorder // nil unless the test records
}

func inWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, net: memnet.New(1)}
		w.net.SetDefaultDelay(100*time.Microsecond, time.Millisecond)
		w.startGroup()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		for _, dc := range []string{"north", "south"} {
			vm := w.startVM(dc)
			go func() { done <- vm.Run(ctx) }()
		}
		test(w)
		cancel()
		for range w.vms {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		w.group.Close()
		w.net.Close()
		synctest.Wait()
	})
}

func (w *world) startGroup() {
	o := dbgroup.Options{Name: "ledger", User: "proxy", Password: "proxy-password"}
	group := &state.Group{Name: "ledger"}
	for i, dc := range []string{"north", "south", "west"} {
		ip := "10.0." + string(rune('1'+i)) + ".1"
		o.Servers = append(o.Servers, dbgroup.ServerOptions{
			Name: "ledger-" + dc, DataCentre: dc,
			Network: w.net.Host(ip, dc), Address: ":5432", ControlAddress: ":8432",
			// Different delays keep events of different servers apart in time, so
			// that recorded sessions are the same every time.
			ReplicationDelay: 3*time.Millisecond + time.Duration(i)*137*time.Microsecond,
			ConnectCost:      10 * time.Millisecond,
		})
		group.Servers = append(group.Servers, state.BackendServer{
			Name: "ledger-" + dc, DataCentre: dc, Address: ip + ":5432", ControlAddress: ip + ":8432",
			Connections: 20, Slots: 3, State: state.InService,
		})
	}
	g, err := dbgroup.New(o)
	if err != nil {
		w.t.Fatal(err)
	}
	w.group = g
	w.cfg = &state.Config{
		Ticket: state.TicketID{Number: 1},
		Groups: map[string]*state.Group{"ledger": group},
		DataCentres: map[string]*state.DataCentre{
			"north": {Name: "north", State: state.InService, VMs: []state.VM{{Name: "vm-north", State: state.InService}}},
			"south": {Name: "south", State: state.InService, VMs: []state.VM{{Name: "vm-south", State: state.InService}}},
			"west":  {Name: "west", State: state.InService},
		},
		Routes: map[string]*state.Route{"stock": {Name: "stock", Group: "ledger", Access: state.ReadWrite}},
		Customers: map[string]*state.Customer{"bindery": {
			Name: "bindery", Rate: 1000, Burst: 100, CutOff: state.CutOffPolicy{Always: true},
			Keys: []state.Key{{ID: "1", Hash: sha256.Sum256([]byte(clientKey))}},
		}},
	}
}

func (w *world) startVM(dc string) *chestnutdyke.VM {
	ip := "10.1." + string(rune('1'+len(w.vms))) + ".1"
	vm, err := chestnutdyke.New(chestnutdyke.Options{
		Name: "vm-" + dc, DataCentre: dc, ClientAddress: ip + ":5432",
		Secret:  []byte("fleet"),
		Backend: pgbackend.Credentials{User: "proxy", Password: "proxy-password"},
		Network: worldNetwork{Network: w.net.Host(ip, dc), w: w},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	vm.Tables().Config.Advance(w.cfg)
	w.vms = append(w.vms, vm)
	return vm
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
	for i, vm := range w.vms {
		names[vm.Address()] = "client-vm" + string(rune('0'+i))
	}
	for _, s := range w.group.Servers() {
		names[s.Address()] = "vm-" + s.Name()
	}
	return w.recorder.network(n, names)
}

// clientConfig returns the configuration of a client of the VM.
func (w *world) clientConfig(vm int) *pgx.ConnConfig {
	w.t.Helper()
	cfg, err := pgx.ParseConfig("host=10.1.1.1 sslmode=disable user=bindery database=stock password=" + clientKey)
	if err != nil {
		w.t.Fatal(err)
	}
	client := w.net.Host("10.9.1.1", "clients")
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.recorded(client).Dial(ctx, w.vms[vm].Address())
	}
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return cfg
}

// connect opens a client connection to a VM with a session token.
func (w *world) connect(vm int, token string) *pgx.Conn {
	w.t.Helper()
	cfg := w.clientConfig(vm)
	if token != "" {
		cfg.RuntimeParams["chestnutdyke.session"] = token
	}
	conn, err := pgx.ConnectConfig(context.Background(), cfg)
	if err != nil {
		w.t.Fatal(err)
	}
	return conn
}

func (w *world) exec(c *pgx.Conn, sql string, args ...any) {
	w.t.Helper()
	if _, err := c.Exec(context.Background(), sql, args...); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
}

func (w *world) query(c *pgx.Conn, sql string, args ...any) string {
	w.t.Helper()
	var value string
	if err := c.QueryRow(context.Background(), sql, args...).Scan(&value); err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
	return value
}

func (w *world) close(c *pgx.Conn) {
	if err := c.Close(context.Background()); err != nil {
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
		token := a.PgConn().ParameterStatus("chestnutdyke.session")
		w.close(a)
		b := w.connect(1, token)
		if got := w.query(b, "SELECT value FROM kv WHERE key = 'skin-1'"); got != "reserved" {
			t.Errorf("value %q, want reserved", got)
		}
		if got := w.query(b, "SELECT server()"); got != "ledger-south" {
			t.Errorf("read from %s, want the replica of the VM's data centre", got)
		}
		w.close(b)
	})
}
