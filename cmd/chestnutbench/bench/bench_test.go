package bench

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	os.Exit(m.Run())
}

// testUtilisation is the load in tests relative to the customers' rates. It is low
// because the lock-order checks make each request expensive.
const testUtilisation = 0.1

// Guards against a run that fails, measures nothing, or reports violations in a
// healthy fleet.
func TestShortRun(t *testing.T) {
	for _, p := range []fleet.Profile{fleet.Fes(), fleet.Peachtree()} {
		t.Run(p.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, err := findScenario("steady")
				if err != nil {
					t.Fatal(err)
				}
				l := steadyLoad(p)
				l.moveShare, l.utilisation = roamMoveShare, testUtilisation
				res, err := newRun(s, p, l, 1, time.Second, io.Discard).execute(unmodified)
				if err != nil {
					t.Fatal(err)
				}
				checkShortRun(t, res)
				if err := (&Report{Profile: p.Name, Scenario: s.name, Results: []*Result{res}}).print(t.Output()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func checkShortRun(t *testing.T, res *Result) {
	t.Helper()
	if res.Offered == 0 || res.ReadsOnReplicas == 0 || res.Moves == 0 {
		t.Errorf("offered %d, reads on replicas %g, moves %d; want more than 0", res.Offered, res.ReadsOnReplicas, res.Moves)
	}
	if res.Worst.Goodput < 1 {
		t.Errorf("goodput of %s is %g, want 1", res.Worst.Customer, res.Worst.Goodput)
	}
	for _, c := range res.Checks {
		if c.NotChecked == "" && c.Breaks > 0 {
			t.Errorf("check %q: %d violations, for example %s", c.Name, c.Breaks, c.First)
		}
	}
}

// Guards against a failover gap that is not measured, and against lost or duplicated
// writes that go unnoticed because the check does not run.
func TestShortFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, err := findScenario("failover")
		if err != nil {
			t.Fatal(err)
		}
		p := fleet.Fes()
		l := steadyLoad(p)
		l.utilisation = testUtilisation
		res, err := newRun(s, p, l, 1, 2*faultInterval, io.Discard).execute(unmodified)
		if err != nil {
			t.Fatal(err)
		}
		if res.Failover == nil || res.Failover.Failovers != 2 || res.Failover.Unended != 0 {
			t.Fatalf("failovers: %+v, want 2, both followed by a write", res.Failover)
		}
		if res.Failover.P50 <= 0 {
			t.Errorf("median failover gap %v, want more than 0", res.Failover.P50)
		}
		if res.Broken() {
			t.Errorf("checks: %+v", res.Checks)
		}
	})
}
