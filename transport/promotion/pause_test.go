package promotion

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/rotisserie/eris"

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

// unreachableStore is a store that does not answer.
type unreachableStore struct{ Duties }

// ReadDuty implements Duties.
func (unreachableStore) ReadDuty(context.Context) (Duty, error) {
	return Duty{}, eris.New("the store does not answer")
}

// Guards against a VM that was suspended and ends the pause on which a promotion by its
// successor rests, and against a pause that lasts although nobody else can end it.
func TestOnlyTheHolderResumesReplicas(t *testing.T) {
	for name, tt := range map[string]struct {
		claimed, unreachable, othersReachStore, want bool
	}{
		"this VM holds the duty":                        {want: true},
		"another VM has claimed it":                     {claimed: true},
		"the store is unreachable for this VM":          {unreachable: true, othersReachStore: true},
		"the store is unreachable for all":              {unreachable: true, want: true},
		"it is unreachable, and was claimed by another": {claimed: true, unreachable: true, othersReachStore: true},
	} {
		record := &dutyRecord{era: 1}
		c, other, commands := newHolder("vm", record), newHolder("other", record), &commandLog{}
		c.Runner, c.Reports = commands, emptyReports{}
		c.View = func() *placement.View {
			return &placement.View{Self: "vm", VMs: []placement.VM{{Name: "vm", Alive: true, StoreCutOff: tt.unreachable}, {Name: "other", Alive: true, StoreCutOff: !tt.othersReachStore}}}
		}
		setGroup(c, &catalog.Server{ID: "a", Group: "g", Born: 1})
		mustClaim(t, c)
		if tt.claimed {
			mustClaim(t, other)
		}
		if tt.unreachable {
			c.Duties = unreachableStore{}
		}
		c.resumeReplicas(t.Context(), "g", &groupState{paused: map[string]bool{"a": true}})
		if sent := slices.Contains(commands.verbs, statement.Resume); sent != tt.want {
			t.Errorf("%s: resumed %v", name, sent)
		}
	}
}
