// Package soak runs the chestnutdyke program as processes on one machine, injects
// faults from outside, and checks the consistency guarantees from what clients and
// backend servers observe. The order and targets of the faults depend on the seed;
// their lengths are random in every run.
package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/managed"
)

// Options configure a run, which has one seed.
type Options struct {
	Binary string // path of the chestnutdyke program
	Logs   string // folder for the logs of the VMs; empty discards them
	Seed   uint64
	VMs    int
	Time   time.Duration // how long faults are injected
}

// enforcesFencing reports whether the platform of the run enforces fencing. Runs with odd
// seeds play one that does not.
func (o *Options) enforcesFencing() bool { return o.Seed%2 == 0 }

// Report contains what a run injected and observed.
type Report struct {
	Seed       uint64
	Faults     []string // names of the injected faults, in order
	Served     int64    // successful statements
	Refused    int64    // statements that failed with a known outcome
	Unknown    int64    // statements whose outcome the client does not know
	UsageCalls int      // calls to report usage that were carried out
	Violations []string // violated guarantees; empty if the run passed
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d served, %d refused, %d unknown, %d usage reports, %d violations; faults: %s\n%s",
		r.Seed, r.Served, r.Refused, r.Unknown, r.UsageCalls, len(r.Violations), strings.Join(r.Faults, ", "), strings.Join(r.Violations, "\n"))
}

const (
	readYourWritesStaleness = 2 * time.Second // staleness limit of read-your-writes routes
	startUpTime             = 3 * time.Second
	// maxRecoveryTime is the users' limit for the time from the end of the last fault
	// until a write succeeds.
	maxRecoveryTime = 12 * time.Second
	clientsPerVM    = 2
	clientInterval  = 25 * time.Millisecond
	killSeries      = 3
	// maxTxPause is the longest pause of a client inside a transaction. It is shorter
	// than the idle time after which VMs end transactions, and longer than the restart
	// of a VM.
	maxTxPause = 2500 * time.Millisecond
	// txShare is the share of clients' operations that are transactions.
	txShare = 0.1
	// callTimeout is longer than the time-out of every route.
	callTimeout = 4 * time.Second
)

// Run starts a deployment, injects faults in it for the time in the options, and
// returns what was observed. The error is about the set-up; violated guarantees are
// in the report.
func Run(o Options) (*Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tb, err := newTestbed(ctx, o)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	time.Sleep(startUpTime)
	w := &workload{testbed: tb, checker: managed.NewChecker()}
	var wg sync.WaitGroup
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for n := range tb.vms {
		for c := range clientsPerVM {
			wg.Go(func() { w.runClient(clients, n, n*clientsPerVM+c) })
		}
	}
	r := &Report{Seed: o.Seed}
	tb.injectFaults(r)
	if !w.awaitRecovery() {
		r.Violations = append(r.Violations, fmt.Sprintf("no write succeeded within %v after the last fault", maxRecoveryTime))
	}
	stop()
	wg.Wait()
	r.Served, r.Refused, r.Unknown = w.served.Load(), w.refused.Load(), w.unknown.Load()
	r.Violations = append(r.Violations, w.checker.Violations(tb.groups)...)
	r.Violations = append(r.Violations, tb.store.UsageViolations()...)
	r.UsageCalls = len(tb.store.UsageCalls())
	return r, nil
}
