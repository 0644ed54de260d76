package chestnutdyke_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// failoverTarget is the aim for the time from the isolation of a primary to the
// first acknowledged write.
const failoverTarget = time.Second

// appendUntilAcknowledged appends entries until one is acknowledged, and
// returns that entry. Every attempt uses an entry of its own, because one whose
// outcome is unknown must not be repeated.
func (w *world) appendUntilAcknowledged(c *pgx.Conn, name string) string {
	w.t.Helper()
	for n := range 100 {
		entry := fmt.Sprintf("%s-%d", name, n)
		_, err := c.Exec(background, "APPEND log '"+entry+"'")
		if err == nil {
			return entry
		}
		if got := sqlState(err); got != "08007" {
			w.t.Fatalf("%s: SQLSTATE %q, want 08007 (%v)", entry, got, err)
		}
	}
	w.t.Fatal("no write was acknowledged")
	return ""
}

// checkLog fails the test unless the log holds each acknowledged entry once and
// no entry twice.
func (w *world) checkLog(acknowledged ...string) {
	w.t.Helper()
	primary := w.group.Primary()
	log := primary.Entries()
	for _, a := range acknowledged {
		if !slices.Contains(log, a) {
			w.t.Errorf("acknowledged entry %q is missing from %s: %q", a, primary.Name(), log)
		}
	}
	sorted := slices.Clone(log)
	slices.Sort(sorted)
	if unique := slices.Compact(slices.Clone(sorted)); len(unique) != len(log) {
		w.t.Errorf("an entry is in the log twice: %q", log)
	}
}

// Guards against acknowledged writes that are lost, against acknowledgement by
// the old primary, and against a long gap, when a primary is cut off from
// everything but one VM.
func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(w *world) {
		north, south := w.connect(0, ""), w.connect(1, "")
		before := w.appendUntilAcknowledged(south, "before")
		cut := w.fleet.Isolate("north")
		isolated := time.Now()
		after := w.appendUntilAcknowledged(south, "after")
		gap := time.Since(isolated)
		t.Logf("first acknowledged write after %v", gap)
		if gap > failoverTarget {
			t.Errorf("first acknowledged write after %v, want at most %v", gap, failoverTarget)
		}
		if _, err := north.Exec(background, "APPEND log 'isolated'"); err == nil {
			t.Error("a write through the isolated primary was acknowledged")
		}
		cut.Heal()
		time.Sleep(5 * time.Second)
		healed := w.appendUntilAcknowledged(north, "healed")
		time.Sleep(time.Second)
		w.checkLog(before, after, healed)
		old := w.group.Server("ledger-a")
		if !slices.Equal(old.Entries(), w.group.Primary().Entries()) {
			t.Errorf("log of the old primary is %q", old.Entries())
		}
		w.close(north)
		w.close(south)
	})
}

// Guards against a failover that needs a failed server, and against requests
// that fail although a new primary is there before their deadline.
func TestStoppedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(1, "")
		before := w.appendUntilAcknowledged(c, "before")
		w.group.Server("ledger-a").Stop()
		stopped := time.Now()
		w.exec(c, "SELECT 1")
		after := w.appendUntilAcknowledged(c, "after")
		gap := time.Since(stopped)
		t.Logf("first acknowledged write after %v", gap)
		if gap > failoverTarget {
			t.Errorf("first acknowledged write after %v, want at most %v", gap, failoverTarget)
		}
		w.checkLog(before, after)
		w.close(c)
	})
}

// Guards against reads that wait for a replica which is cut off.
func TestReadLeavesIsolatedReplica(t *testing.T) {
	inWorld(t, func(w *world) {
		c := w.connect(1, "")
		w.exec(c, "APPEND log 'x'")
		time.Sleep(100 * time.Millisecond)
		if got := w.query(c, "SELECT server()"); got != "ledger-b" {
			t.Fatalf("read from %s, want ledger-b", got)
		}
		w.group.Server("ledger-b").Pause()
		start := time.Now()
		if got := w.query(c, "SELECT server()"); got == "ledger-b" {
			t.Errorf("read from the paused replica")
		}
		if d := time.Since(start); d > time.Second {
			t.Errorf("read took %v", d)
		}
		w.group.Server("ledger-b").Resume()
		w.close(c)
	})
}
