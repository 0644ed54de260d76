package bench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// Result is what one run measured.
type Result struct {
	Variant         string
	Offered         int
	ReadsOnReplicas float64 // share of the reads outside of explicit transactions
	ReadsOnServer   map[string]uint64
	Failover        *FailoverGap `json:",omitempty"`
	Customers       []CustomerResult
	Kinds           []KindResult
	Worst           WorstServed
	RequestsInside  int            // requests sent inside their customer's rate
	RefusedInside   int            // of these, refused
	RefusedInsideBy map[string]int // by SQLSTATE
	Errors          map[string]int // all errors, by SQLSTATE
	Phases          []PhaseResult
	Moves           int // connections that sessions changed
	Warnings        map[string]int
	Checks          []Check
}

// CustomerResult is what one customer got. Latencies count from the arrival of
// a job to its answer.
type CustomerResult struct {
	Name    string
	Rate    float64
	Offered int
	InTime  float64 // share answered before the deadline
	Goodput float64 // jobs answered before the deadline, relative to those inside the rate
	P50     time.Duration
	P99     time.Duration
	Max     time.Duration
	Refused int
	Unknown int
	Other   int // errors of backend servers, cut, unserved
}

// KindResult is the latency of one kind of job, from its arrival to its answer.
type KindResult struct {
	Name     string
	Answered int64
	P50      time.Duration
	P99      time.Duration
	Max      time.Duration
}

// WorstServed compares the customer with the lowest goodput, and the one with
// the highest p99, with the median customer.
type WorstServed struct {
	Customer      string
	Goodput       float64
	MedianGoodput float64
	P99Customer   string
	P99           time.Duration
	MedianP99     time.Duration
}

// PhaseResult is the service in a part of the run.
type PhaseResult struct {
	Name    string
	Offered int
	InTime  float64 // share answered before the deadline
}

// Check counts the breaks of a promise. It must be 0.
type Check struct {
	Name   string
	Breaks int
	First  string `json:",omitempty"` // an example
	// NotChecked says why the check does not apply to the run.
	NotChecked string `json:",omitempty"`
}

// Broken reports whether a check is broken.
func (r *Result) Broken() bool {
	return slices.ContainsFunc(r.Checks, func(c Check) bool { return c.NotChecked == "" && c.Breaks > 0 })
}

// result gathers what the run measured, after all clients have ended.
func (r *run) result(v variant) (*Result, error) {
	done, err := commitsOf(r.fleet.Groups)
	if err != nil {
		return nil, err
	}
	res := &Result{Variant: v.name, Warnings: r.warnings.all(), Failover: r.gaps.measure(r.ledger)}
	r.countReads(res)
	seen := r.collector.fill(res, r.profile.Customers, r.entitlement)
	res.Worst = worstServed(entitled(res.Customers, r.collector.revokedCustomers()))
	res.Checks = r.checks(seen, r.ledger.check(done))
	return res, nil
}

// fill copies what was collected into the result, and returns the violations.
func (c *collector) fill(res *Result, customers []fleet.Customer, entitlement func(fleet.Customer) float64) violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	res.RequestsInside = c.insideSent
	res.RefusedInsideBy = c.insideRefused
	res.RefusedInside = sum(c.insideRefused)
	res.Errors = c.codes
	res.Moves = c.moves
	for _, customer := range customers {
		s := c.customers[customer.Name]
		res.Offered += s.Offered
		res.Customers = append(res.Customers, customerResult(customer, s, entitlement(customer)))
	}
	for _, k := range slices.Sorted(maps.Keys(c.kinds)) {
		h := c.kinds[k]
		res.Kinds = append(res.Kinds, KindResult{
			kindNames[k], h.TotalCount(), quantileOf(h, 50), quantileOf(h, 99), quantileOf(h, 100),
		})
	}
	for _, p := range c.phases {
		res.Phases = append(res.Phases, PhaseResult{p.name, p.Offered, ratio(p.InTime, p.Offered)})
	}
	return c.violations
}

// entitlement returns the jobs that a customer may have answered inside its
// rate and burst.
func (r *run) entitlement(c fleet.Customer) float64 {
	return (c.Rate*r.duration.Seconds() + c.Burst) / r.load.mix.requestsPerJob()
}

// countReads asks the stand-ins which servers executed the reads.
func (r *run) countReads(res *Result) {
	res.ReadsOnServer = make(map[string]uint64)
	var replica, all uint64
	for _, g := range r.fleet.Groups {
		for _, s := range g.Servers() {
			reads := s.Reads()
			res.ReadsOnServer[s.Name()] = reads.Primary + reads.Replica
			replica += reads.Replica
			all += reads.Primary + reads.Replica
		}
	}
	if all > 0 {
		res.ReadsOnReplicas = float64(replica) / float64(all)
	}
}

func customerResult(c fleet.Customer, s *customerStats, entitled float64) CustomerResult {
	return CustomerResult{
		Name:    c.Name,
		Rate:    c.Rate,
		Offered: s.Offered,
		InTime:  ratio(s.InTime, s.Offered),
		Goodput: goodput(s.counts, entitled),
		P50:     quantileOf(s.latency, 50),
		P99:     quantileOf(s.latency, 99),
		Max:     quantileOf(s.latency, 100),
		Refused: s.Refused,
		Unknown: s.Unknown,
		Other:   s.Failed + s.Cut + s.Unserved,
	}
}

// goodput is relative to what the customer offered inside its rate. Jobs that
// are answered after the last arrival could raise it above 1.
func goodput(c counts, entitled float64) float64 {
	due := min(float64(c.Offered), entitled)
	if due <= 0 {
		return 1
	}
	return min(1, float64(c.InTime)/due)
}

func quantileOf(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(percent)) * time.Microsecond
}

// entitled leaves out the customers whose keys were revoked.
func entitled(all []CustomerResult, revoked []string) []CustomerResult {
	return slices.DeleteFunc(slices.Clone(all), func(c CustomerResult) bool { return slices.Contains(revoked, c.Name) })
}

func worstServed(all []CustomerResult) WorstServed {
	if len(all) == 0 {
		return WorstServed{}
	}
	byGoodput := slices.Clone(all)
	slices.SortStableFunc(byGoodput, func(a, b CustomerResult) int {
		switch {
		case a.Goodput < b.Goodput:
			return -1
		case a.Goodput > b.Goodput:
			return 1
		}
		return 0
	})
	byLatency := slices.Clone(all)
	slices.SortStableFunc(byLatency, func(a, b CustomerResult) int { return int(b.P99 - a.P99) })
	return WorstServed{
		Customer:      byGoodput[0].Name,
		Goodput:       byGoodput[0].Goodput,
		MedianGoodput: byGoodput[len(all)/2].Goodput,
		P99Customer:   byLatency[0].Name,
		P99:           byLatency[0].P99,
		MedianP99:     byLatency[len(all)/2].P99,
	}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// checks lists the promises that the run checked.
func (r *run) checks(v violations, w writeFaults) []Check {
	return []Check{
		{Name: "stale reads", Breaks: v.StaleReads, First: v.First},
		{Name: "views older than their bound", Breaks: v.StaleViews, First: v.First},
		{Name: "acknowledged writes lost", Breaks: w.Lost, First: w.First},
		{Name: "writes doubled", Breaks: w.Doubled + v.Doubled, First: w.First},
		{Name: "writes run though refused", Breaks: w.NotRun, First: w.First},
		r.cutCheck(v),
		r.limitCheck(),
		r.keyCheck(v),
		r.leaveCheck(),
	}
}

// limitCheck counts the requests by which customers exceeded their limits, in
// the worst interval of each.
func (r *run) limitCheck() Check {
	c := Check{Name: "limits overspent"}
	for name, l := range r.limits {
		if excess := l.overspent(); excess > 0 {
			c.Breaks += int(excess) + 1
			c.First = name
		}
	}
	return c
}

// cutCheck applies to planned moves: a server that fails cuts transactions.
func (r *run) cutCheck(v violations) Check {
	c := Check{Name: "requests cut", Breaks: v.Cuts, First: v.First}
	if r.scenario.unplanned {
		c.NotChecked = fmt.Sprintf("servers fail in this scenario; %d cut", v.Cuts)
	}
	return c
}

func (r *run) keyCheck(v violations) Check {
	c := Check{Name: "requests after a revoked key", Breaks: v.Revoked, First: v.First}
	if len(r.collector.revokedCustomers()) == 0 {
		c.NotChecked = "no key was revoked"
	}
	return c
}

func (r *run) leaveCheck() Check {
	c := Check{Name: "work in a data centre that left", NotChecked: "no data centre left"}
	if out := r.outOfService; out != nil {
		c.NotChecked, c.Breaks, c.First = "", int(out.statements), out.dataCentre
	}
	return c
}
