package chestnutdyke_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenSessions compares whole sessions, message by message and with their
// time, with files under testdata/golden. It guards against any change of what
// clients and backend servers see that nobody meant.
func TestGoldenSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func(w *world)
	}{
		{"plain", goldenPlain},
		{"move", goldenMove},
		{"bounded-staleness", goldenBoundedStaleness},
		{"cancel", goldenCancel},
		{"late-answer", goldenLateAnswer},
		{"lost-before-commit", goldenLost(dbgroup.BeforeCommit)},
		{"lost-after-commit", goldenLost(dbgroup.AfterCommit)},
		{"lost-in-answer", goldenLost(dbgroup.MidAnswer)},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			var got string
			inWorld(t, func(w *world) {
				w.record()
				s.run(w)
				got = w.recorder.transcript()
			})
			compareGolden(t, s.name, got)
		})
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("session differs from %s (-want +got):\n%s", path, diff)
	}
}

func goldenPlain(w *world) {
	c := w.connect(0, "")
	w.exec(c, "INSERT INTO kv VALUES ('skin-1', 'free')")
	w.query(c, "SELECT value FROM kv WHERE key = $1", "skin-1")
	tx, err := c.Begin(background)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := tx.Exec(background, "UPDATE kv SET value = 'reserved' WHERE key = 'skin-1'"); err != nil {
		w.t.Fatal(err)
	}
	if err := tx.Commit(background); err != nil {
		w.t.Fatal(err)
	}
	w.close(c)
}

func goldenMove(w *world) {
	a := w.connect(0, "")
	w.exec(a, "INSERT INTO kv VALUES ('skin-1', 'reserved')")
	token := fleet.Token(a)
	w.close(a)
	b := w.connect(1, token)
	w.query(b, "SELECT value FROM kv WHERE key = 'skin-1'")
	w.close(b)
}

func goldenBoundedStaleness(w *world) {
	c := w.connect(1, "")
	w.query(c, "SELECT server()")
	w.exec(c, "SET chestnutdyke.max_staleness = '500ms'")
	w.query(c, "SELECT server()")
	w.close(c)
}

func goldenCancel(w *world) {
	c := w.connect(0, "")
	go func() {
		time.Sleep(50 * time.Millisecond)
		if err := c.PgConn().CancelRequest(background); err != nil {
			w.t.Error(err)
		}
	}()
	if _, err := c.Exec(background, "SELECT pg_sleep(3)"); err == nil {
		w.t.Error("cancelled request succeeded")
	}
	w.query(c, "SELECT server()")
	w.close(c)
}

// goldenLateAnswer has an answer that comes after the deadline of its request,
// followed by another request.
func goldenLateAnswer(w *world) {
	c := w.connect(0, "")
	w.exec(c, "INSERT INTO kv VALUES ('skin-1', 'free')")
	w.group.Server("ledger-a").DelayNextAnswer(8 * time.Second)
	if _, err := c.Exec(background, "UPDATE kv SET value = 'late' WHERE key = 'skin-1'"); sqlState(err) != "08007" {
		w.t.Errorf("late answer: %v", err)
	}
	w.query(c, "SELECT server()")
	w.close(c)
}

func goldenLost(m dbgroup.Moment) func(w *world) {
	return func(w *world) {
		c := w.connect(0, "")
		w.group.Server("ledger-a").BreakConnections(dbgroup.Break{Moment: m})
		if _, err := c.Exec(background, "INSERT INTO kv VALUES ('skin-1', 'free')", pgx.QueryExecModeSimpleProtocol); sqlState(err) != "08007" {
			w.t.Errorf("lost connection: %v", err)
		}
		w.query(c, "SELECT count(*) FROM kv")
		w.close(c)
	}
}
