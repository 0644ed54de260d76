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

// Range of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3 // significant decimal digits
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// counts are the ends of the jobs of a customer or a phase. A job is a request
// or a transaction; a job whose refused request was repeated counts once.
type counts struct {
	Offered  int
	InTime   int // answered before the deadline
	Answered int
	Failed   int // an error of the backend server
	Refused  int
	Unknown  int
	Cut      int
	Unserved int // given up by the client: no free session or no connection in time
}

// customerStats are the results of one customer.
type customerStats struct {
	counts
	latency *hdrhistogram.Histogram // of answered jobs, from their arrival
}

// phase is a part of a run.
type phase struct {
	name  string
	start time.Time
	counts
}

// violations are broken promises that clients saw.
type violations struct {
	StaleReads int
	StaleViews int // older than the route's bound
	Doubled    int // an insert of a unique key found its key
	Cuts       int // requests and transactions that were cut short
	Revoked    int // requests that ran although their key had been revoked
	First      string
}

// collector gathers results.
type collector struct {
	offered, done atomic.Int64 // for the progress line

	mu            lockrank.Mutex // guards the fields below
	customers     map[string]*customerStats
	kinds         map[kind]*hdrhistogram.Histogram // of answered jobs, from their arrival
	phases        []*phase
	codes         map[string]int // errors by SQLSTATE, or "cut" and "timeout"
	insideRefused map[string]int // refusals of requests inside their rate, by SQLSTATE
	requests      int            // requests sent, repetitions included
	insideSent    int            // of these, inside the rate
	moves         int
	revoked       map[string]time.Time // when a customer's key was revoked
	violations    violations
}

func newCollector(customers []string) *collector {
	c := &collector{
		mu:            lockrank.New(rankCollector),
		customers:     make(map[string]*customerStats),
		kinds:         make(map[kind]*hdrhistogram.Histogram),
		codes:         make(map[string]int),
		insideRefused: make(map[string]int),
		revoked:       make(map[string]time.Time),
	}
	for _, name := range customers {
		c.customers[name] = &customerStats{latency: newHistogram()}
	}
	return c
}

// startPhase assigns the jobs that arrive from now on to a new phase.
func (c *collector) startPhase(name string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phases = append(c.phases, &phase{name: name, start: now})
}

// job records the end of a job.
func (c *collector) job(customer string, j job, ended time.Time, deadline time.Duration, o outcome, served bool) {
	c.done.Add(1)
	took := ended.Sub(j.arrived)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.customers[customer]
	s.add(o, served, took <= deadline)
	if p := c.phaseAt(j.arrived); p != nil {
		p.add(o, served, took <= deadline)
	}
	if o.verdict == answered {
		v := min(took.Microseconds(), highestLatency)
		_ = s.latency.RecordValue(v)
		_ = c.kind(j.kind).RecordValue(v)
	}
}

func (c *collector) kind(k kind) *hdrhistogram.Histogram {
	h := c.kinds[k]
	if h == nil {
		h = newHistogram()
		c.kinds[k] = h
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

func (c *counts) add(o outcome, served, inTime bool) {
	c.Offered++
	if !served {
		c.Unserved++
		return
	}
	switch o.verdict {
	case answered:
		c.Answered++
		if inTime {
			c.InTime++
		}
	case failed:
		c.Failed++
	case refused:
		c.Refused++
	case unknown, abandoned:
		c.Unknown++
	case cut:
		c.Cut++
	}
}

// request records the end of one request.
func (c *collector) request(o outcome, inside bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	if inside {
		c.insideSent++
	}
	if o.verdict == answered {
		return
	}
	c.codes[o.name()]++
	if inside && o.verdict == refused && o.code != codeClosed {
		c.insideRefused[o.code]++
	}
	if o.interrupted() {
		c.violations.Cuts++
		c.violations.note(fmt.Sprint("interrupted: ", o.err))
	}
}

// name returns the SQLSTATE, or what happened in place of one.
func (o outcome) name() string {
	switch {
	case o.code != "":
		return o.code
	case o.verdict == abandoned:
		return "timeout"
	}
	return "cut"
}

func (c *collector) moved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves++
}

// revoke notes that a customer's key was revoked.
func (c *collector) revoke(customer string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked[customer] = now
}

// ran notes that a request ran, which a revoked key must not achieve.
func (c *collector) ran(customer string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.revoked[customer]; ok && sent.Sub(at) > revokeGrace {
		c.violations.Revoked++
		c.violations.note(fmt.Sprintf("%s ran a request %v after its key was revoked", customer, sent.Sub(at)))
	}
}

// revokedCustomers returns the customers whose keys were revoked.
func (c *collector) revokedCustomers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.revoked))
}

// violated records a broken promise.
func (c *collector) violated(count func(v *violations), what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count(&c.violations)
	c.violations.note(what)
}

func (v *violations) note(what string) {
	if v.First == "" {
		v.First = what
	}
}
