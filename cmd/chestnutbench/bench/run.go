package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

const (
	// sessionsPerRate is the number of sessions of a customer on each route, per
	// request a second of its rate.
	sessionsPerRate = 1.0 / 30
	minSessions     = 3
	// queuedJobs bounds the jobs that wait for a free session of a route. More
	// are counted as unserved.
	queuedJobs = 1 << 14
	// settleTime is left to replication before the logs are checked.
	settleTime = time.Second
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 30 * time.Second
	// progressInterval is the time between progress lines.
	progressInterval = time.Second
)

// run is one run of a scenario on one variant.
type run struct {
	scenario  *scenario
	profile   fleet.Profile
	load      load
	seed      uint64
	duration  time.Duration
	progress  io.Writer
	fleet     *fleet.Fleet
	ledger    *ledger
	collector *collector
	limits    map[string]*limit
	warnings  *warnings
	queues    map[queueKey]chan job
	gaps      failoverGaps

	outOfService *workWhileOut // nil unless a data centre left
}

// queueKey names the sessions of a customer on a route.
type queueKey struct{ customer, route string }

func newRun(s *scenario, p fleet.Profile, l load, seed uint64, duration time.Duration, progress io.Writer) *run {
	r := &run{
		scenario: s,
		profile:  p,
		load:     l,
		seed:     seed,
		duration: duration,
		progress: progress,
		ledger:   newLedger(),
		limits:   make(map[string]*limit),
		warnings: newWarnings(),
		queues:   make(map[queueKey]chan job),
	}
	var names []string
	for _, c := range p.Customers {
		names = append(names, c.Name)
		r.limits[c.Name] = newLimit(c.Rate, c.Burst)
	}
	r.collector = newCollector(names)
	return r
}

// execute runs the load and the scenario's events, and returns the results.
func (r *run) execute(v variant) (*Result, error) {
	f, err := fleet.Start(r.profile, fleet.Options{
		Seed:   r.seed,
		Logger: &log.Logger{Handler: r.warnings, Level: log.WarnLevel},
		Adjust: func(o *chestnutdyke.Options) {
			if v.adjust != nil {
				v.adjust(o)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	r.fleet = f
	defer f.Close()
	ready, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	r.startClients(&clients)
	err = r.drive()
	for _, q := range r.queues {
		close(q)
	}
	clients.Wait()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return r.result(v)
}

// drive lets jobs arrive for the duration while the scenario's events happen.
func (r *run) drive() error {
	start := time.Now()
	end := start.Add(r.duration)
	r.collector.startPhase(r.scenario.firstPhase(), start)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var arriving sync.WaitGroup
	for _, c := range r.profile.Customers {
		arriving.Go(func() { r.arrive(c, start, end) })
	}
	arriving.Go(func() { r.report(ctx, start) })
	var err error
	if r.scenario.events != nil {
		err = r.scenario.events(ctx, r)
	}
	arriving.Wait()
	return err
}

// arrive queues the jobs of a customer at their times.
func (r *run) arrive(c fleet.Customer, start, end time.Time) {
	a := newArrivals(r.seed, c.Name, r.load.jobRate(c), r.load.mix, start)
	groups := r.profile.Groups
	for {
		j := a.take()
		if j.arrived.After(end) {
			return
		}
		time.Sleep(time.Until(j.arrived))
		group := groups[a.rng.IntN(len(groups))]
		r.collector.offered.Add(1)
		select {
		case r.queues[queueKey{c.Name, routeOf(group, j.kind)}] <- j:
		default:
			r.collector.job(c.Name, j, time.Now(), r.profile.Deadline, outcome{}, false)
		}
	}
}

func routeOf(group string, k kind) string {
	if k == view {
		return "views-" + group
	}
	return group
}

// startClients starts the sessions of all customers.
func (r *run) startClients(running *sync.WaitGroup) {
	for _, c := range r.profile.Customers {
		sessions := max(minSessions, int(c.Rate*sessionsPerRate*max(1, r.load.overloaded[c.Name])))
		for _, group := range r.profile.Groups {
			r.startSessions(running, c, group, group, sessions)
			if r.load.mix.has(view) {
				r.startSessions(running, c, group, routeOf(group, view), sessions)
			}
		}
	}
}

func (r *run) startSessions(running *sync.WaitGroup, c fleet.Customer, group, route string, n int) {
	q := make(chan job, queuedJobs)
	r.queues[queueKey{c.Name, route}] = q
	for i := range n {
		name := fmt.Sprintf("%s/%s/%d", c.Name, route, i)
		cl := &client{
			run:      r,
			name:     name,
			customer: c.Name,
			route:    route,
			group:    group,
			limit:    r.limits[c.Name],
			rng:      newRand(r.seed, name),
		}
		running.Go(func() { cl.work(q) })
	}
}

func (m mix) has(k kind) bool {
	for _, s := range m {
		if s.kind == k {
			return true
		}
	}
	return false
}

// chooseVM returns a VM that takes work, as the platform's load balancer does
// with the VMs' health checks.
func (r *run) chooseVM(rng *rand.Rand) int {
	first := rng.IntN(r.profile.VMs)
	for i := range r.profile.VMs {
		n := (first + i) % r.profile.VMs
		if vm := r.fleet.VM(n); vm != nil && vm.Ready() {
			return n
		}
	}
	return first
}

// report prints the progress until ctx is done.
func (r *run) report(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c := r.collector
			fmt.Fprintf(r.progress, "  %3.0f s: %d offered, %d done\n", time.Since(start).Seconds(), c.offered.Load(), c.done.Load())
		}
	}
}
