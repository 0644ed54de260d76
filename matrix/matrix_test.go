package matrix

import (
	"flag"
	"fmt"
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
	oneSeed  = flag.Uint64("seed", 1, "seed of the cells")
	locks    = flag.Bool("lockrank", false, "check the lock order too, which takes about ten times as long")
	allSeeds = flag.Int("seeds", 0, "run all cells with this many seeds, from -seed on; 0 runs CI's share with one")
)

// logTail is the number of log lines that a failing cell shows.
const logTail = 60

func TestMain(m *testing.M) {
	flag.Parse()
	if *locks {
		lockrank.EnableChecks()
	}
	os.Exit(m.Run())
}

// Guards against every broken promise that a fault, or two, at any step of a
// fleet's work can bring about.
func TestMatrix(t *testing.T) {
	total := newTotal()
	t.Cleanup(func() { t.Log(total) })
	for _, p := range plans() {
		runCell(t, p, total)
	}
}

// plans returns the cells to run.
func plans() []plan {
	var all []plan
	seeds := max(*allSeeds, 1)
	for seed := *oneSeed; seed < *oneSeed+uint64(seeds); seed++ {
		all = append(all, singles(seed)...)
	}
	return all
}

// singles returns a cell for each fault at each step.
func singles(seed uint64) []plan {
	var all []plan
	for _, s := range steps {
		for _, f := range faults {
			all = append(all, plan{name: s.name + "/" + f.name, step: s, faults: []fault{f}, seed: seed})
		}
	}
	return all
}

// runCell runs a cell in a bubble of its own, in parallel with others.
func runCell(t *testing.T, p plan, total *total) {
	t.Run(fmt.Sprintf("%s/seed-%d", p.name, p.seed), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			r := p.run(t)
			total.add(r)
			if !r.ok() {
				t.Errorf("%s\nrepeat with: %s\n%s", r, repeat(p), r.log.tail(logTail))
			}
		})
	})
}

// repeat returns the command that runs a cell again.
func repeat(p plan) string {
	pattern := "^" + strings.ReplaceAll(strings.ReplaceAll(p.name, "+", `\+`), "/", "$/^") + "$"
	return fmt.Sprintf("go test ./matrix -run 'Matrix/%s' -seed %d", pattern, p.seed)
}

// total counts what all cells found.
type total struct {
	began time.Time

	mu       sync.Mutex // guards the fields below
	cells    int
	failed   int
	broken   map[string]int
	outcomes map[history.Outcome]int
	codes    map[string]int // of requests that were not answered
	longest  time.Duration
}

func newTotal() *total {
	return &total{began: time.Now(), broken: make(map[string]int), outcomes: make(map[history.Outcome]int), codes: make(map[string]int)}
}

func (n *total) add(r *result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cells++
	if !r.ok() {
		n.failed++
	}
	for _, v := range r.verdicts {
		if !v.OK() {
			n.broken[v.Name]++
		} else {
			n.broken[v.Name] += 0
		}
	}
	if len(r.problems) > 0 {
		n.broken["recovery in time"]++
	}
	for i := range r.history.Requests {
		q := &r.history.Requests[i]
		n.outcomes[q.Outcome]++
		if q.Code != "" {
			n.codes[fmt.Sprintf("%s of a %s: %s", q.Outcome, q.Kind, q.Code)]++
		}
	}
	n.longest = max(n.longest, r.gap)
}

// String gives the counts by verdict.
func (n *total) String() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%d cells, %d failed, in %v\n", n.cells, n.failed, time.Since(n.began).Round(time.Second))
	for _, name := range sorted(n.broken) {
		fmt.Fprintf(&b, "  %-50s broken in %d cells\n", name, n.broken[name])
	}
	for o := history.Pending; o <= history.Unknown; o++ {
		fmt.Fprintf(&b, "  requests %-15s %d\n", o, n.outcomes[o])
	}
	for _, code := range sorted(n.codes) {
		fmt.Fprintf(&b, "    %6d %s\n", n.codes[code], code)
	}
	fmt.Fprintf(&b, "  longest time from the heal to an acknowledged write on all VMs: %v", n.longest)
	return b.String()
}

func sorted(m map[string]int) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
