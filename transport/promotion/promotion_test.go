package promotion

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// unlinkedRunner fails each statement before Run returns.
type unlinkedRunner struct{ calls int }

// Run implements Runner.
func (r *unlinkedRunner) Run(_ string, _ *statement.RemoteStatement, done func(statement.Result)) {
	r.calls++
	done(statement.Result{Answer: statement.Refusal(statement.Unreachable, "the VM is not linked")})
}

// Guards against a coordinator that waits for itself because a query fails at once, as it
// does when the link to the VM has just been lost.
func TestQueryThatFailsAtOnce(t *testing.T) {
	config := &catalog.Config{Routes: []catalog.Route{{Name: "r", Group: "g"}}, Groups: []catalog.Group{{Name: "g"}}}
	config.Index()
	table := catalog.NewTable()
	table.Update(func(d catalog.Deployment) catalog.Deployment {
		d.Config = config
		d.Servers = map[string]*catalog.Server{"s": {ID: "s", Group: "g", Primary: true}}
		return d
	})
	runner := &unlinkedRunner{}
	c := New(Options{
		Name: "vm", Runner: runner, Table: table, Leadership: leadership.NewTable(), Scope: tally.NoopScope,
		View: func() *placement.View {
			return &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", Alive: true}}}
		},
		Logger: &log.Logger{Handler: discard.Default},
	})
	c.started -= time.Minute // the primary has been unconfirmed for long
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		var g errgroup.Group
		for range minChecks {
			c.checkGroups(context.Background(), &g)
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	select {
	case <-checked:
	case <-time.After(10 * time.Second):
		t.Fatal("the coordinator waits for itself")
	}
	if runner.calls < minChecks {
		t.Errorf("%d queries in %d checks", runner.calls, minChecks)
	}
}

// minChecks is the number of checks after which the coordinator would replace the
// primary if this VM were exclusive.
const minChecks = 2
