package sqlsession_test

import (
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/sqlsession"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Guards against operations that are sent to one server after the other although there is
// too little room, and against reads that do not use the room of another replica.
func TestRefusalForLackOfRoom(t *testing.T) {
	for _, primary := range []bool{true, false} {
		o := &sqlsession.Operation{Request: statement.Request{Verb: statement.Read}, NeedsPrimary: primary}
		for attempt := range 2 {
			r := statement.Result{Answer: statement.Refusal(statement.Busy, ""), RetryAfter: 100 * time.Millisecond}
			want := sqlsession.Answer
			if !primary && attempt == 0 {
				want = sqlsession.Retry
			}
			if got := o.HandleResult(&r); got != want || r.Answer.Code != statement.Busy {
				t.Errorf("needs the primary: %v, attempt %d: verdict %v with code %s, want %v", primary, attempt, got, r.Answer.Code, want)
			}
		}
	}
}
