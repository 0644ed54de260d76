package promotion

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// commandLog records the commands that are sent to servers, and answers them with a report.
type commandLog struct {
	mu    sync.Mutex
	verbs []statement.Verb
}

// Run implements Runner.
func (l *commandLog) Run(_ string, w *statement.RemoteStatement, done func(statement.Result)) {
	l.mu.Lock()
	l.verbs = append(l.verbs, w.Command.Verb)
	l.mu.Unlock()
	done(statement.Result{Answer: statement.Answer{Rows: []string{""}}})
}

func (l *commandLog) sent(v statement.Verb) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.verbs, v)
}

// Guards against replicas that stay paused because the VM that paused them has lost the
// duty with an order out, and against a resume before its successor has superseded that.
func TestFormerCoordinatorResumesReplicasLater(t *testing.T) {
	for name, coordinatorAgain := range map[string]bool{"another VM is the coordinator": false, "this VM is the coordinator again": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, commands := newHolder("vm", &dutyRecord{era: 1}), &commandLog{}
				c.Runner, c.Reports = commands, emptyReports{}
				view := &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", Alive: true}}}
				c.View = func() *placement.View { return view }
				server := &catalog.Server{ID: "a", Group: "g", Born: 1}
				setGroup(c, server)
				paused := &groupState{paused: map[string]bool{"a": true}, orderUnconfirmed: true}
				c.groups["g"] = paused
				c.endPromotion(t.Context(), "g", paused)
				c.mu.Lock()
				c.abandonGroups()
				if coordinatorAgain {
					c.groups["g"] = &groupState{}
				}
				c.mu.Unlock()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				c.resumeAbandoned(ctx)
				time.Sleep(handoverDelay - time.Second)
				synctest.Wait()
				if commands.sent(statement.Resume) {
					t.Error("the replica was resumed at once")
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if sent := commands.sent(statement.Resume); sent == coordinatorAgain {
					t.Errorf("the replica was resumed: %v", sent)
				}
			})
		})
	}
}
