package dbgroup

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
)

// Guards against faults that hit another moment than the one ordered: what is
// committed must follow from the moment.
func TestBrokenConnections(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		a := w.group.Server("a")
		for _, f := range []struct {
			moment    Moment
			committed bool
		}{
			{BeforeCommit, false},
			{AfterCommit, true},
			{MidAnswer, true},
		} {
			c := w.mustConnect("a")
			before := len(w.group.Commits())
			a.BreakConnections(Break{Moment: f.moment, Match: "APPEND"})
			w.mustExec(c, "UPSERT kv ('k', 'v')")
			if _, err := exec(c, "APPEND log 'x'"); err == nil {
				t.Fatalf("moment %d: the statement was answered", f.moment)
			}
			if got := len(w.group.Commits()) - before - 1; (got == 1) != f.committed {
				t.Fatalf("moment %d: %d commits", f.moment, got)
			}
		}
		w.mustExec(w.mustConnect("a"), "APPEND log 'y'")
	})
}

// Guards against a late answer that also delays the effect, or hits more than
// one statement.
func TestLateAnswer(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		c := w.mustConnect("a")
		w.group.Server("a").DelayNextAnswer(time.Second)
		start := time.Now()
		w.mustExec(c, "APPEND log '1'")
		if took := time.Since(start); took < time.Second {
			t.Fatalf("answered after %v", took)
		}
		if at := w.group.Commits()[0].At.Sub(start); at > 10*time.Millisecond {
			t.Fatalf("committed after %v", at)
		}
		start = time.Now()
		w.mustExec(c, "APPEND log '2'")
		if took := time.Since(start); took > 10*time.Millisecond {
			t.Fatalf("the next answer took %v", took)
		}
	})
}

// Guards against a paused server that answers, executes or replicates, and
// against one that loses what it accepted during the pause.
func TestPause(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		a := w.group.Server("a")
		c := w.mustConnect("a")
		a.Pause()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := w.order(ctx, "a", groupapi.PathStatus, groupapi.Order{}); err == nil {
			t.Fatal("a paused server answered")
		}
		result := make(chan error)
		go func() {
			_, err := exec(c, "APPEND log '1'")
			result <- err
		}()
		time.Sleep(time.Second)
		if len(w.group.Commits()) != 0 {
			t.Fatal("a paused server committed")
		}
		a.Resume()
		if err := <-result; err != nil {
			t.Fatal(err)
		}
		w.replicate()
		w.wantEntries("b", "1")
	})
}

// Guards against a restart that loses the log or the terms, or keeps
// connections and open transactions, and against an empty answer to an order
// that waits when its server stops.
func TestStopAndStart(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, w *world) {
		b := w.group.Server("b")
		w.must("b", groupapi.PathAdopt, groupapi.Order{Term: 9})
		c := w.mustConnect("a")
		w.mustExec(c, "APPEND log '1'")
		w.mustExec(c, "BEGIN; APPEND log '2'")
		b.Pause()
		ordered := make(chan error)
		go func() {
			_, err := w.order(context.Background(), "b", groupapi.PathStatus, groupapi.Order{})
			ordered <- err
		}()
		time.Sleep(time.Second)
		for _, s := range []string{"a", "b"} {
			w.group.Server(s).Stop()
		}
		if err := <-ordered; err == nil {
			t.Fatal("a stopped server answered an order")
		}
		if _, err := exec(c, "COMMIT"); err == nil {
			t.Fatal("committed on a stopped server")
		}
		if _, err := w.connect("a"); err == nil {
			t.Fatal("connected to a stopped server")
		}
		for _, s := range []string{"a", "b"} {
			if err := w.group.Server(s).Start(); err != nil {
				t.Fatal(err)
			}
		}
		w.wantRows(w.mustExec(w.mustConnect("a"), "SELECT entry FROM log"), "1")
		if b.Status().AdoptedTerm != 9 {
			t.Fatal("the adopted term was forgotten")
		}
	})
}
