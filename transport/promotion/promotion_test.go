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
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
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
		Name: "vm", Duties: &dutyRecord{}, Runner: runner, Table: table, Leadership: leadership.NewTable(), Scope: tally.NoopScope,
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

// reportingRunner answers queries for reports. All other statements fail.
type reportingRunner struct{}

// Run implements Runner.
func (reportingRunner) Run(_ string, w *statement.RemoteStatement, done func(statement.Result)) {
	if w.Command.Verb == statement.Status {
		done(statement.Result{Answer: statement.Answer{Rows: []string{""}}})
		return
	}
	done(statement.Result{Answer: statement.Refusal(statement.Unreachable, "no path")})
}

// emptyReports decodes every report as that of a replica with an empty log.
type emptyReports struct{ sqlback.Dialect }

// DecodeReport implements sqlback.Dialect.
func (emptyReports) DecodeReport(string) (sqlback.Report, error) { return sqlback.Report{}, nil }

// orderedServers records the servers that the platform is ordered to promote.
type orderedServers struct{ ids chan string }

// Promote implements Platform.
func (o orderedServers) Promote(_ context.Context, _, server, _ string, _ uint64) error {
	o.ids <- server
	return ErrNotSent
}

// leavingPrimary returns a deployment with one group, whose registered primary "former" is in
// a data centre out of service. The other server is "new".
func leavingPrimary() *catalog.Table {
	config := &catalog.Config{Routes: []catalog.Route{{Name: "r", Group: "g"}}, Groups: []catalog.Group{{Name: "g"}}}
	config.Index()
	table := catalog.NewTable()
	table.Update(func(d catalog.Deployment) catalog.Deployment {
		d.Config, d.Out = config, map[string]bool{"out": true}
		d.Servers = map[string]*catalog.Server{
			"former": {ID: "former", Group: "g", DataCentre: "out", Primary: true},
			"new":    {ID: "new", Group: "g", DataCentre: "in"},
		}
		return d
	})
	return table
}

// Guards against an order for a former primary that has not noticed its replacement.
func TestFormerPrimaryIsNotPromotedByItsSwitchover(t *testing.T) {
	table := leavingPrimary()
	leaders := leadership.NewTable()
	leaders.With("g", func(l *leadership.Group) {
		l.RecordConfirmation("former", state.Point{Term: 1, Position: 1}, clock.Now())
		l.RecordConfirmation("new", state.Point{Term: 2, Position: 1}, clock.Now())
		l.Suspect("new", clock.Now()) // a connection to it failed
	})
	platform := orderedServers{ids: make(chan string, 10)}
	for name, unconfirmed := range map[string]bool{"switchover": false, "order without an answer": true} {
		c := New(Options{
			Name: "vm", Duties: &dutyRecord{}, Platform: platform, Runner: reportingRunner{}, Reports: emptyReports{}, Table: table, Leadership: leaders, Scope: tally.NoopScope,
			View: func() *placement.View {
				return &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", Alive: true}}}
			},
			Logger: &log.Logger{Handler: discard.Default},
		})
		c.exclusive, c.nextToken, c.endToken = true, 1, 100
		if unconfirmed {
			c.groups["g"] = &groupState{orderUnconfirmed: true}
		}
		var g errgroup.Group
		c.checkGroups(context.Background(), &g)
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		select {
		case id := <-platform.ids:
			t.Errorf("%s: an order to promote %s", name, id)
		default:
		}
	}
}

// replacedServers answer queries for reports, and deny that they are the primary.
type replacedServers struct{ reportingRunner }

// Run implements Runner.
func (r replacedServers) Run(vm string, w *statement.RemoteStatement, done func(statement.Result)) {
	if w.BeginsTx {
		done(statement.Result{Answer: statement.Refusal(statement.ReadOnly, "")})
		return
	}
	r.reportingRunner.Run(vm, w, done)
}

// Guards against orders of a VM that does not know of a promotion by another coordinator:
// one to stay for a primary that was replaced, and any while it reaches no majority.
func TestNoOrderWithoutKnowledgeOfOthers(t *testing.T) {
	table := leavingPrimary()
	former := table.Current().Servers["former"]
	for _, alive := range []int{1, 3} {
		platform := orderedServers{ids: make(chan string, 10)}
		leaders := leadership.NewTable()
		leaders.With("g", func(l *leadership.Group) {
			l.RecordConfirmation("former", state.Point{Term: 1, Position: 1}, clock.Now())
		})
		view := &placement.View{Self: "vm-0", Members: 3}
		for i, name := range []string{"vm-0", "vm-1", "vm-2"} {
			view.VMs = append(view.VMs, placement.VM{Name: name, Alive: i < alive, Weight: 1, Incarnation: int64(i)})
		}
		c := New(Options{
			Name: "vm-0", Duties: &dutyRecord{}, Platform: platform, Runner: replacedServers{}, Reports: emptyReports{}, Table: table, Leadership: leaders, Scope: tally.NoopScope,
			View: func() *placement.View { return view }, Logger: &log.Logger{Handler: discard.Default},
		})
		c.exclusive, c.nextToken, c.endToken = true, 1, 100
		ctx := context.Background()
		c.switchOver(ctx, "g", former, &groupState{})
		c.supersedeOrder(ctx, "g", former, &groupState{orderUnconfirmed: true})
		if alive == 1 {
			if c.selected() {
				t.Error("a VM in a minority is the coordinator")
			}
			if c.giveOrder(ctx, "g", table.Current().Servers["new"], &groupState{}) == nil {
				t.Error("a VM in a minority gave an order")
			}
		}
		select {
		case id := <-platform.ids:
			t.Errorf("%d of 3 VMs alive: an order to promote %s", alive, id)
		default:
		}
	}
}
