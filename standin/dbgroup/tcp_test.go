package dbgroup

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Guards against a group that works on the in-memory network only, and against
// result formats that pgx does not decode.
func TestClientOverTCP(t *testing.T) {
	g, err := New(Options{
		Servers: []ServerOptions{{
			Name:           "a",
			Network:        network.TCP{},
			Address:        "127.0.0.1:0",
			ControlAddress: "127.0.0.1:0",
		}},
		User:     "proxy",
		Password: "secret",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, "postgres://proxy:secret@"+g.Server("a").Address()+"/db?sslmode=prefer")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "INSERT INTO kv VALUES ($1, $2)", "k", "v"); err != nil {
		t.Fatal(err)
	}
	var count int
	var value string
	if err := c.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&count); err != nil || count != 1 {
		t.Fatalf("count %d, %v", count, err)
	}
	if err := c.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "k").Scan(&value); err != nil || value != "v" {
		t.Fatalf("value %q, %v", value, err)
	}
}
