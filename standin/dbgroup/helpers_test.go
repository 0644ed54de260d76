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

// testEnv is a group of three servers a, b and c and a client host in a synctest
// bubble.
type testEnv struct {
	t      *testing.T
	net    *memnet.Network
	client *memnet.Host
	group  *Group
}

const replicationDelay = 5 * time.Millisecond

// inBubble runs a test on a group in a synctest bubble and then closes the group
// and the network. The bubble fails the test if a goroutine is left.
func inBubble(t *testing.T, adjust func(*Options), test func(t *testing.T, env *testEnv)) {
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
		test(t, &testEnv{t: t, net: n, client: n.Host("10.0.1.9", "dca"), group: g})
		g.Close()
		n.Close()
		synctest.Wait()
	})
}

func (env *testEnv) connect(server string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("host=10.0.0.0 user=proxy password=proxy-password sslmode=disable")
	if err != nil {
		env.t.Fatal(err)
	}
	config.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	config.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return env.client.Dial(ctx, env.group.Server(server).Address())
	}
	return pgconn.ConnectConfig(env.t.Context(), config)
}

func (env *testEnv) mustConnect(server string) *pgconn.PgConn {
	env.t.Helper()
	c, err := env.connect(server)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// exec executes a simple query and returns the first column of the rows of its
// last statement.
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

func (env *testEnv) mustExec(c *pgconn.PgConn, sql string) []string {
	env.t.Helper()
	rows, err := exec(c, sql)
	if err != nil {
		env.t.Fatalf("%s: %v", sql, err)
	}
	return rows
}

func (env *testEnv) wantCode(err error, code string) {
	env.t.Helper()
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != code {
		env.t.Fatalf("got error %v, want SQLSTATE %s", err, code)
	}
}

func (env *testEnv) wantRows(got []string, want ...string) {
	env.t.Helper()
	if len(got) != len(want) {
		env.t.Fatalf("got rows %q, want %q", got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			env.t.Fatalf("got rows %q, want %q", got, want)
		}
	}
}
