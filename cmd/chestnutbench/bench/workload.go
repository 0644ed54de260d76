package bench

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// kind is what a job does.
type kind int

const (
	readOwn      kind = iota // reads what the session wrote last
	enquiry                  // reads a key that any session wrote
	view                     // the same through a route that accepts stale data
	insertUnique             // a reservation or an intake
	appendLog                // a care log
	updateOwn                // changes the session's own key
	transaction              // reads, inserts and commits
)

// kindNames are used in reports.
var kindNames = map[kind]string{
	readOwn:      "read own write",
	enquiry:      "enquiry",
	view:         "view",
	insertUnique: "insert",
	appendLog:    "append",
	updateOwn:    "update",
	transaction:  "transaction",
}

// share is the share of a kind of job in the load.
type share struct {
	kind kind
	part float64
}

// mix is the load of a profile. The parts add up to 1.
type mix []share

// Reservations are writes, some of them in transactions; stock enquiries read.
var fesMix = mix{
	{enquiry, 0.45}, {readOwn, 0.15}, {insertUnique, 0.22}, {updateOwn, 0.10}, {transaction, 0.08},
}

// Care logs are appends, intakes inserts; owners look at their trees often.
var peachtreeMix = mix{
	{view, 0.58}, {enquiry, 0.08}, {readOwn, 0.06}, {appendLog, 0.18}, {insertUnique, 0.06}, {updateOwn, 0.04},
}

// load says how much the clients do.
type load struct {
	mix        mix
	moveShare  float64            // of jobs after which a session moves to another VM
	utilise    float64            // offered requests relative to each customer's rate
	overloaded map[string]float64 // customers that offer more, with their own factor
}

const (
	// steadyUse leaves room for the bursts of random arrivals.
	steadyUse = 0.6
	// steadyMoves is the share of jobs after which a session moves.
	steadyMoves = 0.01
	// requestsPerTransaction are counted against the rate: the begin and two
	// statements. The commit is not.
	requestsPerTransaction = 3
)

func loadOf(p fleet.Profile) load {
	l := load{mix: fesMix, moveShare: steadyMoves, utilise: steadyUse}
	if p.Name == "peachtree" {
		l.mix = peachtreeMix
	}
	return l
}

// requestsPerJob returns the mean number of requests of a job.
func (m mix) requestsPerJob() float64 {
	n := 1.0
	for _, s := range m {
		if s.kind == transaction {
			n += s.part * (requestsPerTransaction - 1)
		}
	}
	return n
}

// draw returns the kind for a number in [0,1).
func (m mix) draw(u float64) kind {
	for _, s := range m {
		if u < s.part {
			return s.kind
		}
		u -= s.part
	}
	return m[len(m)-1].kind
}

// jobRate returns the jobs a second that a customer offers.
func (l load) jobRate(c fleet.Customer) float64 {
	use := l.utilise
	if f, ok := l.overloaded[c.Name]; ok {
		use = f
	}
	return use * c.Rate / l.mix.requestsPerJob()
}

// job is one arrival.
type job struct {
	kind    kind
	arrived time.Time
}

// arrivals draws the arrivals of a customer.
type arrivals struct {
	rng  *rand.Rand
	rate float64 // jobs a second
	mix  mix
	next time.Time
}

func newArrivals(seed uint64, customer string, rate float64, m mix, start time.Time) *arrivals {
	a := &arrivals{rng: newRand(seed, "arrivals-"+customer), rate: rate, mix: m, next: start}
	a.advance()
	return a
}

func (a *arrivals) advance() {
	gap := a.rng.ExpFloat64() / a.rate
	a.next = a.next.Add(time.Duration(gap * float64(time.Second)))
}

// take returns the next job.
func (a *arrivals) take() job {
	j := job{kind: a.mix.draw(a.rng.Float64()), arrived: a.next}
	a.advance()
	return j
}

// newRand returns the random numbers of one part of a run.
func newRand(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
