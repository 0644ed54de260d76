package dbgroup

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
)

// Guards against connections broken at the wrong point: whether the transaction
// is committed depends on the break point.
func TestBrokenConnections(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		a := env.group.Server("a")
		for _, f := range []struct {
			moment    BreakPoint
			committed bool
		}{
			{BeforeCommit, false},
			{AfterCommit, true},
			{MidResponse, true},
		} {
			c := env.mustConnect("a")
			before := len(env.group.Commits())
			a.BreakConnections(ConnectionFault{Point: f.moment, Match: "APPEND"})
			env.mustExec(c, "UPSERT kv ('k', 'v')")
			if _, err := exec(c, "APPEND log 'x'"); err == nil {
				t.Fatalf("moment %d: the statement was answered", f.moment)
			}
			if got := len(env.group.Commits()) - before - 1; (got == 1) != f.committed {
				t.Fatalf("moment %d: %d commits", f.moment, got)
			}
		}
		env.mustExec(env.mustConnect("a"), "APPEND log 'y'")
	})
}

// Guards against a delay of the response that also delays the commit, or that
// applies to more than one statement.
func TestDelayedResponse(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		c := env.mustConnect("a")
		env.group.Server("a").DelayNextResponse(time.Second)
		start := time.Now()
		env.mustExec(c, "APPEND log '1'")
		if took := time.Since(start); took < time.Second {
			t.Fatalf("response after %v", took)
		}
		if at := env.group.Commits()[0].At.Sub(start); at > 10*time.Millisecond {
			t.Fatalf("committed after %v", at)
		}
		start = time.Now()
		env.mustExec(c, "APPEND log '2'")
		if took := time.Since(start); took > 10*time.Millisecond {
			t.Fatalf("the next response took %v", took)
		}
	})
}

// Guards against a paused server that responds to orders or commits, and against
// the loss of statements that it received during the pause.
func TestPause(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		a := env.group.Server("a")
		c := env.mustConnect("a")
		a.Pause()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := env.order(ctx, "a", groupapi.PathStatus, groupapi.Order{}); err == nil {
			t.Fatal("a paused server answered")
		}
		result := make(chan error)
		go func() {
			_, err := exec(c, "APPEND log '1'")
			result <- err
		}()
		time.Sleep(time.Second)
		if len(env.group.Commits()) != 0 {
			t.Fatal("a paused server committed")
		}
		a.Resume()
		if err := <-result; err != nil {
			t.Fatal(err)
		}
		env.waitReplication()
		env.wantEntries("b", "1")
	})
}

// Guards against a restart that loses the log or the terms or keeps connections
// or open transactions, and against an empty response to an order that is pending
// when the server stops.
func TestStopAndStart(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, env *testEnv) {
		b := env.group.Server("b")
		env.mustOrder("b", groupapi.PathAdopt, groupapi.Order{Term: 9})
		c := env.mustConnect("a")
		env.mustExec(c, "APPEND log '1'")
		env.mustExec(c, "BEGIN; APPEND log '2'")
		b.Pause()
		orderErr := make(chan error)
		go func() {
			_, err := env.order(context.Background(), "b", groupapi.PathStatus, groupapi.Order{})
			orderErr <- err
		}()
		time.Sleep(time.Second)
		for _, s := range []string{"a", "b"} {
			env.group.Server(s).Stop()
		}
		if err := <-orderErr; err == nil {
			t.Fatal("a stopped server answered an order")
		}
		if _, err := exec(c, "COMMIT"); err == nil {
			t.Fatal("committed on a stopped server")
		}
		if _, err := env.connect("a"); err == nil {
			t.Fatal("connected to a stopped server")
		}
		for _, s := range []string{"a", "b"} {
			if err := env.group.Server(s).Start(); err != nil {
				t.Fatal(err)
			}
		}
		env.wantRows(env.mustExec(env.mustConnect("a"), "SELECT entry FROM log"), "1")
		if b.Status().AdoptedTerm != 9 {
			t.Fatal("the adopted term was forgotten")
		}
	})
}
