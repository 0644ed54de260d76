package sqlback_test

import (
	"testing"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Guards against statements that are counted although a server refused them or they were
// not sent, and against statements that are not counted because their answer is lost.
func TestStatementsAreCountedWhereTheyRun(t *testing.T) {
	for code, want := range map[statement.Code]int64{
		statement.OK: 1, statement.Failed: 1, statement.Lost: 1, statement.Busy: 0, statement.Lagging: 0, statement.ReadOnly: 0,
	} {
		s := &scriptedServer{answer: func(statement.Command) statement.Answer { return statement.Answer{Code: code} }}
		withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
			run(statement.RemoteStatement{Command: statement.Command{ID: "1", Verb: statement.Read}})
		})
		if got := s.counted.Load(); got != want {
			t.Errorf("code %s: counted %d times, want %d", code, got, want)
		}
	}
	s := &scriptedServer{}
	s.down.Store(true)
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		run(statement.RemoteStatement{Command: statement.Command{ID: "1", Verb: statement.Read}})
	})
	if got := s.counted.Load(); got != 0 {
		t.Errorf("a statement that was not sent is counted %d times", got)
	}
}
