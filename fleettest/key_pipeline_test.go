package fleettest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// outcomesUntilEnd reads until the connection ends. It returns, for each request, "ok" or
// the SQLSTATE of its error, and after them the SQLSTATE of an error without a request.
func outcomesUntilEnd(frontend *pgproto3.Frontend) []string {
	var all []string
	code := ""
	for {
		m, err := frontend.Receive()
		if err != nil {
			if code != "" {
				all = append(all, "end "+code)
			}
			return all
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			if code == "" {
				code = "ok"
			}
			all = append(all, fmt.Sprintf("%s %c", code, m.TxStatus))
			code = ""
		}
	}
}

// Guards against a session that ends because its key was revoked, while requests that have
// been read get no answer.
func TestRevokedKeyAnswersPipelinedRequests(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		first  string // runs while the key is revoked
		others []string
		want   []string
		inTx   bool
	}{
		{
			name: "single requests", first: "SELECT pg_sleep(2)", others: []string{"APPEND log 'a'", "SELECT 1", "APPEND log 'b'"},
			want: []string{"ok I", "28P01 I", "28P01 I", "28P01 I", "end 28P01"},
		},
		{
			name: "transaction", inTx: true, first: "SELECT pg_sleep(2)", others: []string{"APPEND log 'a'", "COMMIT", "APPEND log 'b'"},
			want: []string{"ok T", "28P01 I", "28P01 I", "28P01 I", "end 28P01"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := fleet.Fes()
			runWithFleet(t, p, func(h *harness) {
				c, g := largeCustomer(p).Name, h.fleet.Groups[p.Groups[0]]
				cfg, err := h.fleet.ClientConfig(c, p.Groups[0], 0, fleet.NewSession)
				if err != nil {
					t.Fatal(err)
				}
				conn, err := pgconn.ConnectConfig(baseContext, &cfg.Config)
				if err != nil {
					t.Fatal(err)
				}
				if tt.inTx {
					if _, err := conn.Exec(baseContext, "BEGIN").ReadAll(); err != nil {
						t.Fatal(err)
					}
				}
				raw, err := conn.Hijack()
				if err != nil {
					t.Fatal(err)
				}
				for _, sql := range append([]string{tt.first}, tt.others...) {
					raw.Frontend.Send(&pgproto3.Query{String: sql})
				}
				if err := raw.Frontend.Flush(); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
				h.apply("The key is revoked.", setKeys(c, "-"+fleet.Key(c), "second-key"))
				if err := raw.Conn.SetReadDeadline(time.Now().Add(longDeadline)); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(tt.want, outcomesUntilEnd(raw.Frontend)); diff != "" {
					t.Errorf("answers: %s", diff)
				}
				raw.Conn.Close()
				if n := len(g.Commits()); n > 0 {
					t.Errorf("%d writes were committed", n)
				}
			})
		})
	}
}

// Guards against a COMMIT that is interrupted, or whose outcome is not told, since its key
// is revoked while the write is not acknowledged yet.
func TestCommitIsAnsweredAfterKeyIsRevoked(t *testing.T) {
	t.Parallel()
	p := fleet.Fes()
	runWithFleet(t, p, func(h *harness) {
		c, g := largeCustomer(p).Name, h.fleet.Groups[p.Groups[0]]
		conn, err := h.connectWithKey(c, fleet.Key(c), p.Groups[0], 0)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(baseContext, longDeadline)
		defer cancel()
		tx, err := conn.Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "APPEND log 'a'"); err != nil {
			t.Fatal(err)
		}
		for _, s := range g.Servers() {
			s.SetReplicationDelay(2 * time.Second)
		}
		committed := make(chan error, 1)
		go func() { committed <- tx.Commit(ctx) }()
		time.Sleep(100 * time.Millisecond)
		h.apply("The key is revoked.", setKeys(c, "-"+fleet.Key(c), "second-key"))
		h.waitInForce(h.tickets, h.allVMs())
		select {
		case <-committed:
			t.Fatal("COMMIT ended before the ticket was in force")
		default:
		}
		if err := <-committed; err != nil {
			t.Errorf("COMMIT: %v", err)
		}
		if n := len(g.Commits()); n != 1 {
			t.Errorf("%d commits, want 1", n)
		}
		_, err = conn.Exec(ctx, "SELECT 1")
		if code, _ := sqlState(err); code != "28P01" {
			t.Errorf("the next request: %v, want 28P01", err)
		}
		_ = conn.Close(ctx)
	})
}
