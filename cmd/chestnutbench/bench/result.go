package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// Result holds the measurements and checks of one run.
type Result struct {
	Variant         string
	Offered         int               // jobs
	ReadsOnReplicas float64           // share of the reads outside explicit transactions
	ReadsOnServer   map[string]uint64 // of these reads, the number by backend server
	Failover        *FailoverGap      `json:",omitempty"`
	Customers       []CustomerResult
	Kinds           []KindResult
	Worst           WorstServed
	RequestsInside  int            // requests sent within their customer's rate limit
	RefusedInside   int            // of these, refused
	RefusedInsideBy map[string]int // by SQLSTATE
	Errors          map[string]int // errors of requests and logins, by SQLSTATE or "cut" (connection lost), "timeout", "connect" or "closed"
	Phases          []PhaseResult
	Moves           int            // times that sessions moved to a new connection
	Warnings        map[string]int // warnings and errors that VMs logged, by message
	Checks          []Check
}

// CustomerResult holds the goodput, latency and job counts of one customer. Latencies
// are measured from the arrival of a job to its response.
type CustomerResult struct {
	Name    string
	Rate    float64 // requests per second over the whole fleet
	Offered int     // jobs
	InTime  float64 // share of jobs answered before the deadline
	Goodput float64 // jobs answered before the deadline, relative to the offered jobs within the rate limit
	P50     time.Duration
	P99     time.Duration
	Max     time.Duration
	Refused int
	Unknown int
	Other   int // other error, connection lost, or not sent
}

// KindResult holds the latency of one kind of job, from its arrival to its response.
type KindResult struct {
	Name     string
	Answered int64
	P50      time.Duration
	P99      time.Duration
	Max      time.Duration
}

// WorstServed holds the lowest goodput and the highest p99 latency of any customer,
// and the medians over the customers.
type WorstServed struct {
	Customer      string
	Goodput       float64
	MedianGoodput float64
	P99Customer   string
	P99           time.Duration
	MedianP99     time.Duration
}

// PhaseResult holds the share of jobs of all customers that were answered in time in
// a phase of the run.
type PhaseResult struct {
	Name    string
	Offered int
	InTime  float64 // share of jobs answered before the deadline
}

// Check holds the number of violations of one guarantee. Unless NotChecked is set,
// the run fails if it is above 0.
type Check struct {
	Name   string
	Breaks int // violations
	// First is the first violation of the run, possibly of another guarantee. For the
	// rate limit it is a customer, for a data centre out of service its name.
	First string `json:",omitempty"`
	// NotChecked is the reason why the check does not apply to the run, or empty.
	NotChecked string `json:",omitempty"`
}

// HasViolations reports whether a check that applies to the run found violations.
// The command then exits with status 1.
func (r *Result) HasViolations() bool {
	return slices.ContainsFunc(r.Checks, func(c Check) bool { return c.NotChecked == "" && c.Breaks > 0 })
}

// collectResult builds the result of the run after all clients have ended.
func (r *run) collectResult(v variant) (*Result, error) {
	commits, err := countCommits(r.fleet.Groups)
	if err != nil {
		return nil, err
	}
	res := &Result{Variant: v.name, Warnings: r.warnings.snapshot(), Failover: r.faultLog.failoverGap(r.writes)}
	r.countReads(res)
	observed := r.collector.fillResult(res, r.profile.Customers, r.jobsWithinRate)
	res.Worst = worstServed(withoutRevoked(res.Customers, r.collector.revokedCustomers()))
	res.Checks = r.checks(observed, r.writes.findViolations(commits))
	return res, nil
}

// fillResult copies the collected measurements into the result, and returns the
// violations. jobsWithinRate returns the number of jobs that the rate limit of a
// customer allows in the run.
func (c *collector) fillResult(res *Result, customers []fleet.Customer, jobsWithinRate func(fleet.Customer) float64) violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	res.RequestsInside = c.requestsWithinRate
	res.RefusedInsideBy = c.refusedWithinRate
	res.RefusedInside = sumCounts(c.refusedWithinRate)
	res.Errors = c.errorCodes
	res.Moves = c.moves
	for _, customer := range customers {
		s := c.customers[customer.Name]
		res.Offered += s.Offered
		res.Customers = append(res.Customers, customerResult(customer, s, jobsWithinRate(customer)))
	}
	for _, k := range slices.Sorted(maps.Keys(c.latencies)) {
		h := c.latencies[k]
		res.Kinds = append(res.Kinds, KindResult{
			jobKindNames[k], h.TotalCount(), percentileOf(h, 50), percentileOf(h, 99), percentileOf(h, 100),
		})
	}
	for _, p := range c.phases {
		res.Phases = append(res.Phases, PhaseResult{p.name, p.Offered, shareOf(p.InTime, p.Offered)})
	}
	return c.violations
}

// jobsWithinRate returns the number of jobs that a customer may run within its rate
// and burst during the run.
func (r *run) jobsWithinRate(c fleet.Customer) float64 {
	return (c.Rate*r.duration.Seconds() + c.Burst) / r.load.mix.requestsPerJob()
}

// countReads counts the reads by backend server, as the stand-ins report them.
func (r *run) countReads(res *Result) {
	res.ReadsOnServer = make(map[string]uint64)
	var onReplicas, total uint64
	for _, g := range r.fleet.Groups {
		for _, s := range g.Servers() {
			reads := s.Reads()
			res.ReadsOnServer[s.Name()] = reads.Primary + reads.Replica
			onReplicas += reads.Replica
			total += reads.Primary + reads.Replica
		}
	}
	if total > 0 {
		res.ReadsOnReplicas = float64(onReplicas) / float64(total)
	}
}

func customerResult(c fleet.Customer, s *customerStats, jobsWithinRate float64) CustomerResult {
	return CustomerResult{
		Name:    c.Name,
		Rate:    c.Rate,
		Offered: s.Offered,
		InTime:  shareOf(s.InTime, s.Offered),
		Goodput: goodput(s.counts, jobsWithinRate),
		P50:     percentileOf(s.latency, 50),
		P99:     percentileOf(s.latency, 99),
		Max:     percentileOf(s.latency, 100),
		Refused: s.Refused,
		Unknown: s.Unknown,
		Other:   s.Failed + s.ConnectionLost + s.NotSent,
	}
}

// goodput returns the jobs answered in time, relative to the offered jobs within
// the rate limit. It is capped at 1, because jobs that are answered after the last
// arrival could raise it above 1.
func goodput(c counts, jobsWithinRate float64) float64 {
	expected := min(float64(c.Offered), jobsWithinRate)
	if expected <= 0 {
		return 1
	}
	return min(1, float64(c.InTime)/expected)
}

func percentileOf(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// withoutRevoked leaves out the customers whose API key was revoked.
func withoutRevoked(results []CustomerResult, revoked []string) []CustomerResult {
	return slices.DeleteFunc(slices.Clone(results), func(c CustomerResult) bool { return slices.Contains(revoked, c.Name) })
}

func worstServed(results []CustomerResult) WorstServed {
	if len(results) == 0 {
		return WorstServed{}
	}
	byGoodput := slices.Clone(results)
	slices.SortStableFunc(byGoodput, func(a, b CustomerResult) int {
		switch {
		case a.Goodput < b.Goodput:
			return -1
		case a.Goodput > b.Goodput:
			return 1
		}
		return 0
	})
	byLatency := slices.Clone(results)
	slices.SortStableFunc(byLatency, func(a, b CustomerResult) int { return int(b.P99 - a.P99) })
	return WorstServed{
		Customer:      byGoodput[0].Name,
		Goodput:       byGoodput[0].Goodput,
		MedianGoodput: byGoodput[len(results)/2].Goodput,
		P99Customer:   byLatency[0].Name,
		P99:           byLatency[0].P99,
		MedianP99:     byLatency[len(results)/2].P99,
	}
}

func shareOf(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// checks returns the checks of the run, from the violations that clients observed
// and those found in the logs of the backend servers.
func (r *run) checks(v violations, w writeViolations) []Check {
	return []Check{
		{Name: "stale reads", Breaks: v.StaleReads, First: v.Example},
		{Name: "views older than their bound", Breaks: v.StaleViews, First: v.Example},
		{Name: "acknowledged writes lost", Breaks: w.Lost, First: w.Example},
		{Name: "writes doubled", Breaks: w.Duplicated + v.Duplicated, First: w.Example},
		{Name: "writes run though refused", Breaks: w.CommittedThoughRefused, First: w.Example},
		r.interruptionCheck(v),
		r.rateLimitCheck(),
		r.revokedKeyCheck(v),
		r.outOfServiceCheck(),
	}
}

// rateLimitCheck counts the requests by which customers exceeded their rate limit,
// each in its worst interval.
func (r *run) rateLimitCheck() Check {
	c := Check{Name: "limits overspent"}
	for name, l := range r.rateLimits {
		if excess := l.excess(); excess > 0 {
			c.Breaks += int(excess) + 1
			c.First = name
		}
	}
	return c
}

// interruptionCheck applies only to planned changes: faults may interrupt requests
// and transactions.
func (r *run) interruptionCheck(v violations) Check {
	c := Check{Name: "requests cut", Breaks: v.Interrupted, First: v.Example}
	if r.scenario.unplanned {
		c.NotChecked = fmt.Sprintf("servers fail in this scenario; %d cut", v.Interrupted)
	}
	return c
}

func (r *run) revokedKeyCheck(v violations) Check {
	c := Check{Name: "requests after a revoked key", Breaks: v.RunAfterRevocation, First: v.Example}
	if len(r.collector.revokedCustomers()) == 0 {
		c.NotChecked = "no key was revoked"
	}
	return c
}

func (r *run) outOfServiceCheck() Check {
	c := Check{Name: "work in a data centre that left", NotChecked: "no data centre left"}
	if out := r.outOfServiceWork; out != nil {
		c.NotChecked, c.Breaks, c.First = "", int(out.statements), out.dataCentre
	}
	return c
}
