package chestnutdyke_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// maxFailoverTime is the longest allowed time from the isolation of a primary to
// the first acknowledged write.
const maxFailoverTime = time.Second

// appendUntilAcknowledged appends entries until one is acknowledged, and
// returns that entry. Every attempt uses a different entry, because a write whose
// outcome is unknown must not be repeated.
func (h *harness) appendUntilAcknowledged(c *pgx.Conn, name string) string {
	h.t.Helper()
	for n := range 100 {
		entry := fmt.Sprintf("%s-%d", name, n)
		_, err := c.Exec(background, "APPEND log '"+entry+"'")
		if err == nil {
			return entry
		}
		if got := sqlState(err); got != "08007" {
			h.t.Fatalf("%s: SQLSTATE %q, want 08007 (%v)", entry, got, err)
		}
	}
	h.t.Fatal("no write was acknowledged")
	return ""
}

// checkLog fails the test if the primary's log lacks an acknowledged entry or holds
// an entry more than once.
func (h *harness) checkLog(acknowledged ...string) {
	h.t.Helper()
	primary := h.group.Primary()
	log := primary.Entries()
	for _, a := range acknowledged {
		if !slices.Contains(log, a) {
			h.t.Errorf("acknowledged entry %q is missing from %s: %q", a, primary.Name(), log)
		}
	}
	sorted := slices.Clone(log)
	slices.Sort(sorted)
	if unique := slices.Compact(slices.Clone(sorted)); len(unique) != len(log) {
		h.t.Errorf("an entry is in the log more than once: %q", log)
	}
}

// Guards against lost acknowledged writes, acknowledgements by the old primary and
// a long write outage, when a primary can be reached by only one VM.
func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	withFleet(t, func(h *harness) {
		north, south := h.connect(0, ""), h.connect(1, "")
		before := h.appendUntilAcknowledged(south, "before")
		partition := h.fleet.Isolate("north")
		isolated := time.Now()
		after := h.appendUntilAcknowledged(south, "after")
		gap := time.Since(isolated)
		t.Logf("first acknowledged write after %v", gap)
		if gap > maxFailoverTime {
			t.Errorf("first acknowledged write after %v, want at most %v", gap, maxFailoverTime)
		}
		if _, err := north.Exec(background, "APPEND log 'isolated'"); err == nil {
			t.Error("a write through the isolated primary was acknowledged")
		}
		partition.Heal()
		time.Sleep(5 * time.Second)
		healed := h.appendUntilAcknowledged(north, "healed")
		time.Sleep(time.Second)
		h.checkLog(before, after, healed)
		old := h.group.Server("ledger-a")
		if !slices.Equal(old.Entries(), h.group.Primary().Entries()) {
			t.Errorf("log of the old primary is %q", old.Entries())
		}
		h.close(north)
		h.close(south)
	})
}

// Guards against a failover that needs the failed server, and against requests
// that fail although a new primary is available before their deadline.
func TestStoppedPrimaryIsReplaced(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(1, "")
		before := h.appendUntilAcknowledged(c, "before")
		h.group.Server("ledger-a").Stop()
		stopped := time.Now()
		h.exec(c, "SELECT 1")
		after := h.appendUntilAcknowledged(c, "after")
		gap := time.Since(stopped)
		t.Logf("first acknowledged write after %v", gap)
		if gap > maxFailoverTime {
			t.Errorf("first acknowledged write after %v, want at most %v", gap, maxFailoverTime)
		}
		h.checkLog(before, after)
		h.close(c)
	})
}

// Guards against reads that keep waiting for a replica that does not respond.
func TestReadAvoidsUnresponsiveReplica(t *testing.T) {
	withFleet(t, func(h *harness) {
		c := h.connect(1, "")
		h.exec(c, "APPEND log 'x'")
		time.Sleep(100 * time.Millisecond)
		if got := h.query(c, "SELECT server()"); got != "ledger-b" {
			t.Fatalf("read from %s, want ledger-b", got)
		}
		h.group.Server("ledger-b").Pause()
		start := time.Now()
		if got := h.query(c, "SELECT server()"); got == "ledger-b" {
			t.Errorf("read from the paused replica")
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("read took %v", elapsed)
		}
		h.group.Server("ledger-b").Resume()
		h.close(c)
	})
}
