package matrix

import (
	"testing"
	"testing/synctest"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

// maxSeeds is the number of seeds of which at least one must show a violation.
const maxSeeds = 6

// findScenario returns the scenario of a step and a fault by their names.
func findScenario(t *testing.T, stepName, faultName string, seed uint64) scenario {
	t.Helper()
	for _, s := range steps {
		for _, f := range faults {
			if s.name == stepName && f.name == faultName {
				return newScenario(s, seed, f)
			}
		}
	}
	t.Fatalf("there is no scenario %s/%s", stepName, faultName)
	return scenario{}
}

// requireViolation fails the test unless the scenario, with VMs on which
// disableRule has switched a rule off, violates the named check with at least one
// seed.
func requireViolation(t *testing.T, check, stepName, faultName string, disableRule func(o *chestnutdyke.Options)) {
	t.Helper()
	for seed := range uint64(maxSeeds) {
		sc := findScenario(t, stepName, faultName, seed+1)
		sc.adjust = disableRule
		found := false
		synctest.Test(t, func(t *testing.T) {
			r := sc.run(t)
			found = r.violates(check)
		})
		if found {
			t.Logf("%s/%s: violated with seed %d", stepName, faultName, seed+1)
			return
		}
	}
	t.Errorf("%s/%s: %q was not violated with any of %d seeds although the rule is switched off", stepName, faultName, check, maxSeeds)
}

// Guards against checks that miss lost writes: VMs acknowledge a write as soon as
// the primary has committed it, before a replica holds it.
func TestCheckerNoticesAckOnCommit(t *testing.T) {
	for _, stepName := range []string{"write-sent", "write-committed", "tx-committed"} {
		for _, faultName := range []string{"isolate-primary", "flapping-partition"} {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				t.Parallel()
				requireViolation(t, history.LostWrite, stepName, faultName, func(o *chestnutdyke.Options) {
					o.Session.AckOnCommit = true
				})
			})
		}
	}
}

// Guards against checks that miss writes that ran twice: VMs repeat requests that
// may have run.
func TestCheckerNoticesRepeatedWrites(t *testing.T) {
	for _, stepName := range []string{"write-sent", "write-committed"} {
		for _, faultName := range []string{"break-after-commit", "break-answer", "isolate-primary"} {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				t.Parallel()
				requireViolation(t, history.RanTwice, stepName, faultName, func(o *chestnutdyke.Options) {
					o.Session.RetryNonIdempotent = true
				})
			})
		}
	}
}
