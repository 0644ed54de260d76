package sqlback_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// virtualClock makes clock.Now follow the virtual time of the test.
func virtualClock(t *testing.T) {
	t.Helper()
	epoch := time.Now().Add(-time.Hour)
	clock.SetForTest(func() time.Duration { return time.Since(epoch) })
	t.Cleanup(func() { clock.SetForTest(nil) })
}

func withClass(route int, objective time.Duration, id string) statement.RemoteStatement {
	return statement.RemoteStatement{
		Command:   statement.Command{ID: id, Verb: statement.Read, Payload: id},
		Admission: &statement.Admission{Class: statement.Class{Route: route}, Kind: uint16(route), Objective: objective}, Wait: objective,
	}
}

// Guards against urgent statements that wait for a connection behind less urgent ones,
// and against a change of the order of statements without a class.
func TestWaitingStatementsByClass(t *testing.T) {
	for _, classes := range []bool{true, false} {
		var order []string
		s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
			order = append(order, c.ID)
			time.Sleep(20 * time.Millisecond)
			return statement.Answer{}
		}}
		withConnectionLimit(t, s, 1, func(run func(statement.RemoteStatement) statement.Result) {
			virtualClock(t)
			var clients sync.WaitGroup
			for _, w := range []statement.RemoteStatement{
				withClass(0, 500*time.Millisecond, "first"), withClass(2, 500*time.Millisecond, "ranking"), withClass(1, 500*time.Millisecond, "save-late"),
				withClass(1, 300*time.Millisecond, "save-soon"), withClass(0, 200*time.Millisecond, "trade"),
			} {
				if !classes {
					w.Admission = nil
				}
				clients.Go(func() {
					if r := run(w); r.Answer.Code != statement.OK {
						t.Errorf("%s: %s %s", w.Command.ID, r.Answer.Code, r.Answer.Text)
					}
				})
				time.Sleep(time.Millisecond)
			}
			clients.Wait()
		})
		want := []string{"first", "trade", "save-soon", "save-late", "ranking"}
		if !classes {
			want = []string{"first", "ranking", "save-late", "save-soon", "trade"}
		}
		if !slices.Equal(order, want) {
			t.Errorf("classes %v: order %v, want %v", classes, order, want)
		}
	}
}

// Guards against lower classes that are sent to a server under pressure, against
// refusals of statements in open transactions and of the highest class, and against a
// time to retry for VMs that do not decode it.
func TestPressureAtServer(t *testing.T) {
	work := 5 * time.Millisecond
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
		time.Sleep(work)
		if c.ID == "" || c.ID == "commit" {
			return statement.Answer{}
		}
		return answerInTx(c)
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		virtualClock(t)
		read := func(route int, objective time.Duration) statement.Result {
			return run(withClass(route, objective, ""))
		}
		trade := func() statement.Result { return read(0, 200*time.Millisecond) }
		ranking := func() statement.Result { return read(2, 100*time.Millisecond) }
		for range 20 {
			trade()
			if r := ranking(); r.Answer.Code != statement.OK {
				t.Fatalf("refused without pressure: %+v", r)
			}
		}
		begin := withClass(2, time.Second, "begin")
		begin.Command.Verb, begin.BeginsTx = statement.Write, true
		tx := run(begin).Tx
		if tx == 0 {
			t.Fatal("no transaction is open")
		}
		commit := statement.RemoteStatement{Tx: tx, Command: statement.Command{ID: "commit", Verb: statement.Commit}}
		work = 150 * time.Millisecond
		inTx := statement.RemoteStatement{Tx: tx, Command: statement.Command{ID: "in-tx", Verb: statement.Write}}
		if r := run(inTx); r.Answer.Code != statement.OK {
			t.Errorf("statement in an open transaction: %+v", r)
		}
		if r := run(commit); r.Answer.Code != statement.OK {
			t.Errorf("commit: %+v", r)
		}
		refused := 0
		for range 40 {
			if r := trade(); r.Answer.Code != statement.OK {
				t.Errorf("the highest class is refused: %+v", r)
			}
			started := time.Now()
			r := ranking()
			if r.Answer.Code != statement.Busy {
				continue
			}
			refused++
			if r.RetryAfter < time.Millisecond || time.Since(started) > 100*time.Millisecond {
				t.Errorf("refused after %v with a time to retry of %v", time.Since(started), r.RetryAfter)
			}
		}
		if refused < 20 {
			t.Errorf("%d of 40 statements of the lower class are refused under pressure", refused)
		}
		plain := statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}}
		if r := run(plain); r.Answer.Code != statement.OK || r.RetryAfter != 0 {
			t.Errorf("statement of a VM of an earlier build: %+v", r)
		}
	})
}
