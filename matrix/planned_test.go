package matrix

import (
	"testing"
	"testing/synctest"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

// shutdownCode is the SQLSTATE with which a VM that shuts down ends its sessions
// between two requests.
const shutdownCode = "57P01"

// Guards against planned operations that make a request fail: a switchover, a
// ticket and the shutdown of a VM, without any fault.
func TestPlannedOperations(t *testing.T) {
	for _, stepName := range []string{"switchover-drained", "ticket-applied", "vm-leaves"} {
		t.Run(stepName, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sc := newScenario(findStep(t, stepName), max(*singleSeed, ciSeed))
				r := sc.run(t)
				if !r.ok() {
					t.Errorf("%s", r)
				}
				for i := range r.history.Requests {
					if q := &r.history.Requests[i]; q.Outcome != history.Answered && q.Code != shutdownCode && q.Code != notSent {
						t.Errorf("%v", q)
					}
				}
			})
		})
	}
}

func findStep(t *testing.T, name string) step {
	t.Helper()
	for _, s := range steps {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("there is no step %s", name)
	return step{}
}
