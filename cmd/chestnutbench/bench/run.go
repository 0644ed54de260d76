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
	// sessionsPerRate is the number of sessions that a customer has on each route
	// for each request per second of its rate.
	sessionsPerRate = 1.0 / 30
	minSessions     = 3
	// maxQueuedJobs limits the jobs that wait for a free session of a customer on
	// a route. Further jobs are counted as not sent.
	maxQueuedJobs = 1 << 14
	// replicationSettleTime lets replication finish before the logs are checked.
	replicationSettleTime = time.Second
	// readyTimeout limits how long the fleet may take to start.
	readyTimeout = 30 * time.Second
	// progressInterval is the interval between progress lines.
	progressInterval = time.Second
)

// run executes a scenario once on one variant of the fleet.
type run struct {
	scenario       *scenario
	profile        fleet.Profile
	load           load
	seed           uint64
	duration       time.Duration
	progressOutput io.Writer
	fleet          *fleet.Fleet
	writes         *writeHistory
	collector      *collector
	rateLimits     map[string]*rateLimit
	warnings       *warningCounter
	queues         map[queueKey]chan job
	faultLog       faultLog

	outOfServiceWork *outOfServiceWork // nil unless a data centre was out of service
}

// queueKey identifies the sessions of a customer on a route.
type queueKey struct{ customer, route string }

func newRun(s *scenario, p fleet.Profile, l load, seed uint64, duration time.Duration, progress io.Writer) *run {
	r := &run{
		scenario:       s,
		profile:        p,
		load:           l,
		seed:           seed,
		duration:       duration,
		progressOutput: progress,
		writes:         newWriteHistory(),
		rateLimits:     make(map[string]*rateLimit),
		warnings:       newWarningCounter(),
		queues:         make(map[queueKey]chan job),
	}
	var names []string
	for _, c := range p.Customers {
		names = append(names, c.Name)
		r.rateLimits[c.Name] = newRateLimit(c.Rate, c.Burst)
	}
	r.collector = newCollector(names)
	return r
}

// execute starts the fleet, runs the load and the scenario's events, and returns
// the results.
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
	err = r.generateLoad()
	for _, q := range r.queues {
		close(q)
	}
	clients.Wait()
	if err != nil {
		return nil, err
	}
	time.Sleep(replicationSettleTime)
	return r.collectResult(v)
}

// generateLoad generates arrivals for the duration of the run while the
// scenario's events take place.
func (r *run) generateLoad() error {
	start := time.Now()
	end := start.Add(r.duration)
	r.collector.startPhase(r.scenario.firstPhase(), start)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var arriving sync.WaitGroup
	for _, c := range r.profile.Customers {
		arriving.Go(func() { r.generateArrivals(c, start, end) })
	}
	arriving.Go(func() { r.reportProgress(ctx, start) })
	var err error
	if r.scenario.events != nil {
		err = r.scenario.events(ctx, r)
	}
	arriving.Wait()
	return err
}

// generateArrivals queues each job of a customer at its arrival time.
func (r *run) generateArrivals(c fleet.Customer, start, end time.Time) {
	a := newArrivals(r.seed, c.Name, r.load.jobRate(c), r.load.mix, start)
	groups := r.profile.Groups
	for {
		j := a.nextJob()
		if j.arrived.After(end) {
			return
		}
		time.Sleep(time.Until(j.arrived))
		group := groups[a.rng.IntN(len(groups))]
		r.collector.offered.Add(1)
		select {
		case r.queues[queueKey{c.Name, routeOf(group, j.kind)}] <- j:
		default:
			r.collector.recordJob(c.Name, j, time.Now(), r.profile.Deadline, outcome{}, false)
		}
	}
}

func routeOf(group string, k jobKind) string {
	if k == jobView {
		return "views-" + group
	}
	return group
}

// startClients starts the sessions of all customers on all routes.
func (r *run) startClients(running *sync.WaitGroup) {
	for _, c := range r.profile.Customers {
		sessions := max(minSessions, int(c.Rate*sessionsPerRate*max(1, r.load.overloadFactors[c.Name])))
		for _, group := range r.profile.Groups {
			r.startSessions(running, c, group, group, sessions)
			if r.load.mix.contains(jobView) {
				r.startSessions(running, c, group, routeOf(group, jobView), sessions)
			}
		}
	}
}

func (r *run) startSessions(running *sync.WaitGroup, c fleet.Customer, group, route string, n int) {
	q := make(chan job, maxQueuedJobs)
	r.queues[queueKey{c.Name, route}] = q
	for i := range n {
		name := fmt.Sprintf("%s/%s/%d", c.Name, route, i)
		cl := &client{
			run:       r,
			name:      name,
			customer:  c.Name,
			route:     route,
			group:     group,
			rateLimit: r.rateLimits[c.Name],
			rng:       newRand(r.seed, name),
		}
		running.Go(func() { cl.processJobs(q) })
	}
}

func (m mix) contains(k jobKind) bool {
	for _, s := range m {
		if s.kind == k {
			return true
		}
	}
	return false
}

// chooseVM returns a random ready VM, as the platform's load balancer does by
// means of health checks. If no VM is ready, it returns any VM.
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

// reportProgress prints progress lines until ctx is done.
func (r *run) reportProgress(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c := r.collector
			fmt.Fprintf(r.progressOutput, "  %3.0f s: %d offered, %d done\n", time.Since(start).Seconds(), c.offered.Load(), c.finished.Load())
		}
	}
}
