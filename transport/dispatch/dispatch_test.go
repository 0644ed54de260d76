package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Guards against a callback on the goroutine that runs a statement for a VM without a
// link: a caller that holds a lock which the callback takes would wait for itself.
func TestUnsentStatementFailsOnWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		workers := pool.New(1)
		running.Go(func() { _ = workers.Run(ctx) })
		logger := &log.Logger{Handler: discard.Default}
		links := fleetlink.New(ctx, memnet.New(1).Host("vm-1", "dc"), workers, fleetwire.Status{Name: "vm-1"}, logger)
		d := New(Options{Self: "vm-1", Pool: workers, Links: links, Logger: logger})
		results := make(chan statement.Result, 1)
		var mu sync.Mutex // the caller's
		mu.Lock()
		d.Run("vm-2", &statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}}, func(r statement.Result) {
			if !mu.TryLock() {
				t.Error("the callback runs while the caller holds its lock")
			} else {
				mu.Unlock()
			}
			results <- r
		})
		mu.Unlock()
		if r := <-results; r.Answer.Code != statement.Unreachable {
			t.Errorf("code %s, want unreachable", r.Answer.Code)
		}
		cancel()
		running.Wait()
	})
}

// Guards against pongs whose size grows with the number of groups, and against
// groups whose confirmations are never sent.
func TestPongsAreBounded(t *testing.T) {
	for _, groups := range []int{0, 1, maxConfirmationsPerPong, 20} {
		d := &Dispatcher{Options: Options{Leadership: leadership.NewTable()}}
		config := &catalog.Config{}
		for i := range groups {
			name := fmt.Sprintf("g%d", i)
			config.Groups = append(config.Groups, catalog.Group{Name: name})
			d.Leadership.With(name, func(g *leadership.Group) { g.RecordConfirmation("s", state.Point{Term: 1}, time.Minute) })
		}
		sent := make(map[string]bool)
		for range (groups + maxConfirmationsPerPong - 1) / maxConfirmationsPerPong {
			confirmations := d.latestConfirmations(config, time.Minute)
			if len(confirmations) > maxConfirmationsPerPong {
				t.Errorf("%d confirmations in one pong", len(confirmations))
			}
			for _, l := range confirmations {
				sent[l.Group] = true
			}
		}
		if len(sent) != groups {
			t.Errorf("confirmations of %d of %d groups were sent", len(sent), groups)
		}
	}
}
