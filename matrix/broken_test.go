package matrix

import (
	"testing"
	"testing/synctest"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

// noticeSeeds is how many seeds a broken rule gets to show itself.
const noticeSeeds = 6

// cellOf returns the plan of a cell by its parts.
func cellOf(t *testing.T, stepName, faultName string, seed uint64) plan {
	t.Helper()
	for _, s := range steps {
		for _, f := range faults {
			if s.name == stepName && f.name == faultName {
				return newPlan(s, seed, f)
			}
		}
	}
	t.Fatalf("there is no cell %s/%s", stepName, faultName)
	return plan{}
}

// mustBreak requires that a fleet with a broken rule fails the named check in
// the cell, with one seed at least.
func mustBreak(t *testing.T, check, stepName, faultName string, breakRule func(o *chestnutdyke.Options)) {
	t.Helper()
	for seed := range uint64(noticeSeeds) {
		p := cellOf(t, stepName, faultName, seed+1)
		p.adjust = breakRule
		found := false
		synctest.Test(t, func(t *testing.T) {
			r := p.run(t)
			found = r.broken(check)
		})
		if found {
			t.Logf("%s/%s: broken with seed %d", stepName, faultName, seed+1)
			return
		}
	}
	t.Errorf("%s/%s: %q held with all %d seeds although the rule is broken", stepName, faultName, check, noticeSeeds)
}

// Guards against a matrix that does not notice lost writes.
func TestCheckerNoticesAckOnCommit(t *testing.T) {
	for _, stepName := range []string{"write-sent", "write-committed", "tx-committed"} {
		for _, faultName := range []string{"isolate-primary", "flapping-partition"} {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				t.Parallel()
				mustBreak(t, history.LostWrite, stepName, faultName, func(o *chestnutdyke.Options) {
					o.Session.AckOnCommit = true
				})
			})
		}
	}
}

// Guards against a matrix that does not notice writes that ran twice.
func TestCheckerNoticesRepeatedWrites(t *testing.T) {
	for _, stepName := range []string{"write-sent", "write-committed"} {
		for _, faultName := range []string{"break-after-commit", "break-answer", "isolate-primary"} {
			t.Run(stepName+"/"+faultName, func(t *testing.T) {
				t.Parallel()
				mustBreak(t, history.RanTwice, stepName, faultName, func(o *chestnutdyke.Options) {
					o.Session.RetryAnything = true
				})
			})
		}
	}
}
