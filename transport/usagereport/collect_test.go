package usagereport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// directLinks are links to one other VM, whose Reporter handles calls at once.
type directLinks struct {
	view  placement.View
	name  string // of the other VM; empty if it is not linked
	other *Reporter
	calls int
}

func (l *directLinks) View() *placement.View { return &l.view }

func (l *directLinks) Peers() []fleetwire.Status {
	if l.name == "" {
		return nil
	}
	return []fleetwire.Status{{Name: l.name, Usage: true}}
}

func (l *directLinks) Call(_ string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool {
	l.calls++
	if err := l.other.Handle(kind, body, func(kind fleetwire.Kind, body []byte) { done(fleetwire.Frame{Kind: kind, Body: body}, true) }); err != nil {
		done(fleetwire.Frame{}, false)
	}
	return true
}

// Guards against operations of an edge, to which the coordinator has no link, that are not
// collected, and against edges that send messages although they ran nothing.
func TestEdgePushesItsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := time.Now().Add(-time.Hour)
		clock.SetForTest(func() time.Duration { return time.Since(epoch) })
		defer clock.SetForTest(nil)
		settings := usage.Settings{Window: 5 * time.Second, Delay: 10 * time.Second, Lease: 3 * time.Second}
		vms := []placement.VM{{Name: "core", Alive: true, Incarnation: 1}, {Name: "edge", Alive: true, Edge: true}}
		toNobody := &directLinks{view: placement.View{Self: "core", VMs: vms, Members: 1}}
		toCore := &directLinks{view: placement.View{Self: "edge", VMs: vms, Members: 1}, name: "core"}
		reporter := func(name string, links *directLinks) *Reporter {
			return New(Options{Name: name, Incarnation: 1, Settings: settings, Links: links, Logger: &log.Logger{Handler: discard.Default}, Scope: tally.NoopScope})
		}
		core, edge := reporter("core", toNobody), reporter("edge", toCore)
		toCore.other = core
		core.counter.RecordToken(7)
		core.heldToken.Store(7) // the core holds the duty
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = core.runCollect(ctx)
		}()
		edgeDone := make(chan struct{})
		go func() {
			defer close(edgeDone)
			_ = edge.runCollect(ctx)
		}()
		time.Sleep(3 * time.Second)
		if toCore.calls != 0 {
			t.Errorf("%d messages of an edge without operations", toCore.calls)
		}
		window := settings.WindowAt(usage.Time(time.Now().UnixNano()))
		edge.CountOperation("a", clock.Now(), 3)
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		<-edgeDone
		if got := core.collection.Total(window); got["a"] != 3 {
			t.Errorf("collected %v, want 3 operations", got)
		}
		if toCore.calls > 3 {
			t.Errorf("%d messages for one change", toCore.calls)
		}
	})
}
