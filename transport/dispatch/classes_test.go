package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/standin/memnet"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// recordingHandler answers statements with their text and records their admission.
type recordingHandler struct {
	fleetlink.Handler
	received chan *statement.Admission
}

func (h recordingHandler) Execute(_ string, w *statement.RemoteStatement, reply func(statement.Result)) {
	h.received <- w.Admission
	reply(statement.Result{})
}
func (recordingHandler) LinkClosed(string)                                               {}
func (recordingHandler) VMLost(string)                                                   {}
func (recordingHandler) PingBody() []byte                                                { return fleetwire.AppendPartitions(nil, nil) }
func (recordingHandler) HandlePong(string, fleetwire.Pong, time.Duration)                {}
func (recordingHandler) HandleStatus(*fleetwire.Status)                                  {}
func (recordingHandler) HandlePing(*fleetwire.Status, string, []byte) (p fleetwire.Pong) { return p }

// Guards against a class that is sent to a VM of an earlier build, which could not decode
// the statement.
func TestClassOnlyToVMsThatDecodeIt(t *testing.T) {
	for _, decodes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now().Add(-time.Hour)
			clock.SetForTest(func() time.Duration { return time.Since(begin) })
			defer clock.SetForTest(nil)
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			workers := pool.New(2)
			running.Go(func() { _ = workers.Run(ctx) })
			logger := &log.Logger{Handler: discard.Default}
			n := memnet.New(1)
			received := make(chan *statement.Admission, 1)
			members := []placement.Member{{Name: "vm-1", Address: "vm-1:7000", DataCentre: "dc"}, {Name: "vm-2", Address: "vm-2:7000", DataCentre: "dc"}}
			var d *Dispatcher
			for i, m := range members {
				status := fleetwire.Status{Name: m.Name, Address: m.Address, DataCentre: "dc", Incarnation: 1, Classes: i == 0 || decodes}
				links := fleetlink.New(ctx, n.Host(m.Name, "dc"), workers, status, logger)
				if i == 0 {
					d = New(Options{Self: m.Name, Pool: workers, Links: links, Logger: logger})
				}
				links.SetHandler(recordingHandler{received: received})
				running.Go(func() { _ = links.Run(ctx) })
				links.SetMembers(members)
			}
			time.Sleep(2 * time.Second)
			w := &statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}, Admission: &statement.Admission{Kind: 7}}
			done := make(chan statement.Result, 1)
			d.Run("vm-2", w, func(r statement.Result) { done <- r })
			if r := <-done; r.Answer.Code != statement.OK {
				t.Fatalf("code %s", r.Answer.Code)
			}
			if got := <-received; (got != nil) != decodes || w.Admission == nil {
				t.Errorf("the VM decodes classes: %v, it received %+v", decodes, got)
			}
			cancel()
			n.Close()
			running.Wait()
			time.Sleep(time.Minute)
		})
	}
}
