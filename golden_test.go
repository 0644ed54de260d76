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

// TestGoldenSessions compares the messages of whole sessions and their times with
// files under testdata/golden. It guards against unintended changes of what
// clients and backend servers see.
func TestGoldenSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func(h *harness)
	}{
		{"plain", goldenReadWriteTransaction},
		{"move", goldenMoveToAnotherVM},
		{"bounded-staleness", goldenBoundedStaleness},
		{"cancel", goldenCancel},
		{"late-answer", goldenLateAnswer},
		{"lost-before-commit", goldenLost(dbgroup.BeforeCommit)},
		{"lost-after-commit", goldenLost(dbgroup.AfterCommit)},
		{"lost-in-answer", goldenLost(dbgroup.MidResponse)},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			var got string
			withFleet(t, func(h *harness) {
				h.startRecording()
				s.run(h)
				got = h.recorder.transcript()
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

func goldenReadWriteTransaction(h *harness) {
	c := h.connect(0, "")
	h.exec(c, "INSERT INTO kv VALUES ('skin-1', 'free')")
	h.query(c, "SELECT value FROM kv WHERE key = $1", "skin-1")
	tx, err := c.Begin(background)
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := tx.Exec(background, "UPDATE kv SET value = 'reserved' WHERE key = 'skin-1'"); err != nil {
		h.t.Fatal(err)
	}
	if err := tx.Commit(background); err != nil {
		h.t.Fatal(err)
	}
	h.close(c)
}

func goldenMoveToAnotherVM(h *harness) {
	a := h.connect(0, "")
	h.exec(a, "INSERT INTO kv VALUES ('skin-1', 'reserved')")
	token := fleet.Token(a)
	h.close(a)
	b := h.connect(1, token)
	h.query(b, "SELECT value FROM kv WHERE key = 'skin-1'")
	h.close(b)
}

func goldenBoundedStaleness(h *harness) {
	c := h.connect(1, "")
	h.query(c, "SELECT server()")
	h.exec(c, "SET chestnutdyke.max_staleness = '500ms'")
	h.query(c, "SELECT server()")
	h.close(c)
}

func goldenCancel(h *harness) {
	c := h.connect(0, "")
	go func() {
		time.Sleep(50 * time.Millisecond)
		if err := c.PgConn().CancelRequest(background); err != nil {
			h.t.Error(err)
		}
	}()
	if _, err := c.Exec(background, "SELECT pg_sleep(3)"); err == nil {
		h.t.Error("cancelled request succeeded")
	}
	h.query(c, "SELECT server()")
	h.close(c)
}

// goldenLateAnswer sends a request whose answer arrives after its deadline, and
// then another request.
func goldenLateAnswer(h *harness) {
	c := h.connect(0, "")
	h.exec(c, "INSERT INTO kv VALUES ('skin-1', 'free')")
	h.group.Server("ledger-a").DelayNextResponse(8 * time.Second)
	if _, err := c.Exec(background, "UPDATE kv SET value = 'late' WHERE key = 'skin-1'"); sqlState(err) != "08007" {
		h.t.Errorf("late answer: %v", err)
	}
	h.query(c, "SELECT server()")
	h.close(c)
}

func goldenLost(m dbgroup.BreakPoint) func(h *harness) {
	return func(h *harness) {
		c := h.connect(0, "")
		h.group.Server("ledger-a").BreakConnections(dbgroup.ConnectionFault{Point: m})
		if _, err := c.Exec(background, "INSERT INTO kv VALUES ('skin-1', 'free')", pgx.QueryExecModeSimpleProtocol); sqlState(err) != "08007" {
			h.t.Errorf("lost connection: %v", err)
		}
		h.query(c, "SELECT count(*) FROM kv")
		h.close(c)
	}
}
