package dbgroup

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

// world is a group of three servers a, b and c and a client host, in a bubble.
type world struct {
	t      *testing.T
	net    *memnet.Network
	client *memnet.Host
	group  *Group
}

const replicationDelay = 5 * time.Millisecond

// inBubble runs a test on a group in a synctest bubble and closes everything;
// the bubble then fails the test if a goroutine is left.
func inBubble(t *testing.T, adjust func(*Options), test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		n.SetDefaultDelay(100*time.Microsecond, time.Millisecond)
		o := Options{Name: "g", Password: "proxy-password"}
		for i, name := range []string{"a", "b", "c"} {
			o.Servers = append(o.Servers, ServerOptions{
				Name:             name,
				Network:          n.Host("10.0."+string(rune('1'+i))+".1", "dc"+name),
				Address:          ":5432",
				ControlAddress:   ":8432",
				ReplicationDelay: replicationDelay,
			})
		}
		if adjust != nil {
			adjust(&o)
		}
		g, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		test(t, &world{t: t, net: n, client: n.Host("10.0.1.9", "dca"), group: g})
		g.Close()
		n.Close()
		synctest.Wait()
	})
}

func (w *world) connect(server string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("host=10.0.0.0 user=proxy password=proxy-password sslmode=disable")
	if err != nil {
		w.t.Fatal(err)
	}
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return w.client.Dial(ctx, w.group.Server(server).Address())
	}
	return pgconn.ConnectConfig(w.t.Context(), config)
}

func (w *world) mustConnect(server string) *pgconn.PgConn {
	w.t.Helper()
	c, err := w.connect(server)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// exec runs a simple query and returns the rows of its last statement.
func exec(c *pgconn.PgConn, sql string) ([]string, error) {
	results, err := c.Exec(context.Background(), sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var rows []string
	for _, r := range results[len(results)-1].Rows {
		rows = append(rows, string(r[0]))
	}
	return rows, nil
}

func (w *world) mustExec(c *pgconn.PgConn, sql string) []string {
	w.t.Helper()
	rows, err := exec(c, sql)
	if err != nil {
		w.t.Fatalf("%s: %v", sql, err)
	}
	return rows
}

func (w *world) wantCode(err error, code string) {
	w.t.Helper()
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != code {
		w.t.Fatalf("got error %v, want SQLSTATE %s", err, code)
	}
}

func (w *world) wantRows(got []string, want ...string) {
	w.t.Helper()
	if len(got) != len(want) {
		w.t.Fatalf("got rows %q, want %q", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			w.t.Fatalf("got rows %q, want %q", got, want)
		}
	}
}
