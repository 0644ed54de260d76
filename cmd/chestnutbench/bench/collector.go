package bench

import (
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(2 * time.Minute / time.Microsecond)
	latencyPrecision = 3 // significant decimal digits
)

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyPrecision)
}

// counts holds the jobs of a customer or a phase by result. A job is a request or
// a transaction. Retries of a refused request don't count as further jobs.
type counts struct {
	Offered        int
	InTime         int // answered before the deadline
	Answered       int
	Failed         int // error other than those counted below
	Refused        int
	Unknown        int // outcome unknown, or timed out
	ConnectionLost int
	NotSent        int // no free session or no connection in time
}

// customerStats holds the results of one customer.
type customerStats struct {
	counts
	latency *hdrhistogram.Histogram // of answered jobs, from their arrival, in microseconds
}

// phase is a named part of a run, for example the time with a data centre out of
// service.
type phase struct {
	name  string
	start time.Time
	counts
}

// violations counts the violations of guarantees that clients observed.
type violations struct {
	StaleReads         int
	StaleViews         int    // reads that missed a write acknowledged longer ago than the route's staleness bound
	Duplicated         int    // inserts that reported their own unique key as a duplicate
	Interrupted        int    // requests that the fleet interrupted (see outcome.interrupted), and connections closed within a transaction
	RunAfterRevocation int    // requests that ran after their API key was revoked
	Example            string // first violation of any kind
}

// collector holds the results of a run so far. Clients and the arrival generators
// add to it.
type collector struct {
	offered, finished atomic.Int64 // jobs, for the progress line

	mu                 lockrank.Mutex // guards the fields below
	customers          map[string]*customerStats
	latencies          map[jobKind]*hdrhistogram.Histogram // of answered jobs, from their arrival, in microseconds
	phases             []*phase
	errorCodes         map[string]int // errors of requests and logins, by outcome.errorName
	refusedWithinRate  map[string]int // refused requests within the rate limit, by SQLSTATE
	requests           int            // requests sent, including retries
	requestsWithinRate int            // of these, within the rate limit
	moves              int
	revoked            map[string]time.Time // time of the revocation, by customer
	violations         violations
}

func newCollector(customers []string) *collector {
	c := &collector{
		mu:                lockrank.New(rankCollector),
		customers:         make(map[string]*customerStats),
		latencies:         make(map[jobKind]*hdrhistogram.Histogram),
		errorCodes:        make(map[string]int),
		refusedWithinRate: make(map[string]int),
		revoked:           make(map[string]time.Time),
	}
	for _, name := range customers {
		c.customers[name] = &customerStats{latency: newLatencyHistogram()}
	}
	return c
}

// startPhase starts a phase. Jobs belong to the phase in which they arrive.
func (c *collector) startPhase(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phases = append(c.phases, &phase{name: name, start: now})
}

// recordJob records the result of a job. sent is false if the client had no
// session or no connection for it in time.
func (c *collector) recordJob(customer string, j job, ended time.Time, deadline time.Duration, o outcome, sent bool) {
	c.finished.Add(1)
	latency := ended.Sub(j.arrived)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.customers[customer]
	s.add(o, sent, latency <= deadline)
	if p := c.phaseAt(j.arrived); p != nil {
		p.add(o, sent, latency <= deadline)
	}
	if o.status == answered {
		v := min(latency.Microseconds(), maxLatencyMicros)
		_ = s.latency.RecordValue(v)
		_ = c.latencyOf(j.kind).RecordValue(v)
	}
}

func (c *collector) latencyOf(k jobKind) *hdrhistogram.Histogram {
	h := c.latencies[k]
	if h == nil {
		h = newLatencyHistogram()
		c.latencies[k] = h
	}
	return h
}

func (c *collector) phaseAt(t time.Time) *phase {
	for i := len(c.phases) - 1; i >= 0; i-- {
		if !t.Before(c.phases[i].start) {
			return c.phases[i]
		}
	}
	return nil
}

func (c *counts) add(o outcome, sent, inTime bool) {
	c.Offered++
	if !sent {
		c.NotSent++
		return
	}
	switch o.status {
	case answered:
		c.Answered++
		if inTime {
			c.InTime++
		}
	case failed:
		c.Failed++
	case refused:
		c.Refused++
	case unknown, timedOut:
		c.Unknown++
	case connectionLost:
		c.ConnectionLost++
	}
}

// recordRequest records the outcome of a request or of a failed login. withinRate is
// false for logins, COMMIT and ROLLBACK, which no rate limit applies to.
func (c *collector) recordRequest(o outcome, withinRate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if withinRate {
		c.requestsWithinRate++
	}
	if o.status == answered {
		return
	}
	c.errorCodes[o.errorName()]++
	if withinRate && o.status == refused && o.code != codeClosed {
		c.refusedWithinRate[o.code]++
	}
	if o.interrupted() {
		c.violations.Interrupted++
		c.violations.noteExample(fmt.Sprint("interrupted: ", o.err))
	}
}

// errorName returns the code, which is not always a SQLSTATE, or without one
// "timeout" or "cut" (connection lost). Reports use these names.
func (o outcome) errorName() string {
	switch {
	case o.code != "":
		return o.code
	case o.status == timedOut:
		return "timeout"
	}
	return "cut"
}

func (c *collector) recordMove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves++
}

// recordRevocation records when a customer's API key was revoked. Requests of the
// customer that are sent more than revokeGrace later and run are violations.
func (c *collector) recordRevocation(customer string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[customer] = now
}

// recordExecution records a request that was not refused. It is a violation if the
// customer's API key was revoked more than revokeGrace before the request was sent.
func (c *collector) recordExecution(customer string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.revoked[customer]; ok && sent.Sub(at) > revokeGrace {
		c.violations.RunAfterRevocation++
		c.violations.noteExample(fmt.Sprintf("%s ran a request %v after its API key was revoked", customer, sent.Sub(at)))
	}
}

// revokedCustomers returns the customers whose API key was revoked.
func (c *collector) revokedCustomers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.revoked))
}

// recordViolation increments a count of violations. Only the first example of the
// run is kept.
func (c *collector) recordViolation(increment func(v *violations), example string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(&c.violations)
	c.violations.noteExample(example)
}

func (v *violations) noteExample(example string) {
	if v.Example == "" {
		v.Example = example
	}
}
