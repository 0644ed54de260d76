package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/history"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

var (
	singleSeed     = flag.Uint64("seed", 0, "run all scenarios with this seed; 0 runs the selection for CI")
	seedCount      = flag.Uint64("seeds", 0, "run all scenarios with each of this many seeds, starting at 1")
	printTable     = flag.Bool("table", false, "print the results that clients saw, by fault, for scenarios with one fault")
	checkLockOrder = flag.Bool("lockrank", false, "check the lock order too; takes about ten times as long")
)

const (
	// CI runs one in ciSingleFaultStride of the scenarios with one fault. All of
	// them with the race detector take several times as long as CI may.
	ciSingleFaultStride = 6
	ciPairCount         = 15
	// pairsPerSeed is the number of fault pairs that each seed selects.
	pairsPerSeed = 120
	ciSeed       = 1
)

// logTailLines is the number of log lines that a failing scenario prints.
const logTailLines = 60

func TestMain(m *testing.M) {
	flag.Parse()
	if *checkLockOrder {
		lockrank.EnableChecks()
	}
	os.Exit(m.Run())
}

// Guards against violations of the guarantees in docs/design.md by one fault or
// two at any step of the fleet's work.
func TestMatrix(t *testing.T) {
	summary := newSummary()
	t.Cleanup(func() {
		t.Log(summary)
		if *printTable {
			t.Log(summary.table())
		}
	})
	for _, sc := range selectedScenarios() {
		runScenario(t, sc, summary)
	}
}

// selectedScenarios returns the scenarios that the flags select.
func selectedScenarios() []scenario {
	switch {
	case *singleSeed > 0:
		return append(singleFaultScenarios(*singleSeed, 1), faultPairScenarios(*singleSeed, pairsPerSeed)...)
	case *seedCount > 0:
		var all []scenario
		for seed := range *seedCount {
			all = append(all, singleFaultScenarios(seed+1, 1)...)
			all = append(all, faultPairScenarios(seed+1, pairsPerSeed)...)
		}
		return all
	default:
		return append(singleFaultScenarios(ciSeed, ciSingleFaultStride), faultPairScenarios(ciSeed, ciPairCount)...)
	}
}

// singleFaultScenarios returns one in stride of the scenarios with one fault,
// spread evenly over steps and faults. A stride of 1 returns all of them.
func singleFaultScenarios(seed uint64, stride int) []scenario {
	var all []scenario
	for i, s := range steps {
		for k, f := range faults {
			if (i+k)%stride == 0 {
				all = append(all, newScenario(s, seed, f))
			}
		}
	}
	return all
}

// faultPairScenarios returns n scenarios with two faults, selected by the seed. A
// larger n adds scenarios and leaves the others as they are.
func faultPairScenarios(seed uint64, n int) []scenario {
	rng := rand.New(rand.NewPCG(seed, 2))
	var all []scenario
	chosen := make(map[string]bool)
	for len(all) < n {
		a, b := rng.IntN(len(faults)), rng.IntN(len(faults))
		sc := newScenario(steps[rng.IntN(len(steps))], seed, faults[a], faults[b])
		if a != b && !chosen[sc.name] {
			chosen[sc.name] = true
			all = append(all, sc)
		}
	}
	return all
}

func newScenario(s step, seed uint64, faults ...fault) scenario {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return scenario{name: s.name + "/" + strings.Join(names, "+"), step: s, faults: faults, seed: seed}
}

// runScenario runs a scenario in a synctest bubble of its own, in parallel with
// others.
func runScenario(t *testing.T, sc scenario, summary *summary) {
	t.Run(fmt.Sprintf("%s/seed-%d", sc.name, sc.seed), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			r := sc.run(t)
			summary.add(sc, r)
			if !r.ok() {
				t.Errorf("%s\nrerun with: %s\n%s", r, rerunCommand(sc), r.log.tail(logTailLines))
			}
		})
	})
}

// rerunCommand returns the command that runs a scenario again.
func rerunCommand(sc scenario) string {
	pattern := "^" + strings.ReplaceAll(strings.ReplaceAll(sc.name, "+", `\+`), "/", "$/^") + "$"
	return fmt.Sprintf("go test ./matrix -run 'Matrix/%s' -seed %d", pattern, sc.seed)
}

// summary counts the results of all scenarios.
type summary struct {
	start time.Time

	mu              sync.Mutex // guards the fields below
	scenarios       int
	failed          int
	violations      map[string]int // number of scenarios, by check
	outcomes        map[history.Outcome]int
	codes           map[string]int // of requests that were not answered
	longestRecovery time.Duration

	// Scenarios with one fault only, by fault.
	codesByFault    map[string]map[string]int // then by outcome and code
	recoveryByFault map[string]time.Duration  // longest
}

func newSummary() *summary {
	return &summary{
		start:           time.Now(),
		violations:      make(map[string]int),
		outcomes:        make(map[history.Outcome]int),
		codes:           make(map[string]int),
		codesByFault:    make(map[string]map[string]int),
		recoveryByFault: make(map[string]time.Duration),
	}
}

// add counts the result of a scenario.
func (s *summary) add(sc scenario, r *result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scenarios++
	if !r.ok() {
		s.failed++
	}
	for _, v := range r.checkResults {
		if !v.OK() {
			s.violations[v.Name]++
		} else {
			s.violations[v.Name] += 0
		}
	}
	if len(r.problems) > 0 {
		s.violations["recovery within the limit"]++
	}
	for i := range r.history.Requests {
		q := &r.history.Requests[i]
		s.outcomes[q.Outcome]++
		if q.Code != "" {
			s.codes[fmt.Sprintf("%s of a %s: %s", q.Outcome, q.Kind, q.Code)]++
		}
	}
	s.longestRecovery = max(s.longestRecovery, r.recoveryTime)
	if len(sc.faults) == 1 {
		s.addByFault(sc.faults[0].name, r)
	}
}

// addByFault counts the results that clients saw under a fault that was the only
// one. The caller holds s.mu.
func (s *summary) addByFault(fault string, r *result) {
	if s.codesByFault[fault] == nil {
		s.codesByFault[fault] = make(map[string]int)
	}
	for i := range r.history.Requests {
		if q := &r.history.Requests[i]; q.Code != "" {
			s.codesByFault[fault][fmt.Sprintf("%s %.12s", q.Outcome, q.Code)]++
		}
	}
	s.recoveryByFault[fault] = max(s.recoveryByFault[fault], r.recoveryTime)
}

// table lists, by fault, the longest recovery and the outcomes and codes of
// requests that were not answered.
func (s *summary) table() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintf(&b, "\n%s: recovery %v", f.name, s.recoveryByFault[f.name].Round(time.Millisecond))
		for _, code := range sortedKeys(s.codesByFault[f.name]) {
			fmt.Fprintf(&b, ", %s x%d", code, s.codesByFault[f.name][code])
		}
	}
	return b.String()
}

// String lists the violations by check, the requests by outcome and code, and the
// longest recovery.
func (s *summary) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%d scenarios, %d failed, in %v\n", s.scenarios, s.failed, time.Since(s.start).Round(time.Second))
	for _, name := range sortedKeys(s.violations) {
		fmt.Fprintf(&b, "  %-50s violated in %d scenarios\n", name, s.violations[name])
	}
	for o := history.Pending; o <= history.Unknown; o++ {
		fmt.Fprintf(&b, "  requests %-15s %d\n", o, s.outcomes[o])
	}
	for _, code := range sortedKeys(s.codes) {
		fmt.Fprintf(&b, "    %6d %s\n", s.codes[code], code)
	}
	fmt.Fprintf(&b, "  longest recovery (from the heal, or the readiness of a restarted VM, to an acknowledged write): %v", s.longestRecovery)
	return b.String()
}

// sortedKeys returns the keys of a map in alphabetical order.
func sortedKeys(m map[string]int) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
