package bench

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// jobKind is the kind of work of a job.
type jobKind int

const (
	jobReadOwn     jobKind = iota // reads a key that the session wrote
	jobReadAny                    // reads a key that any session wrote
	jobView                       // like jobReadAny, through a route with bounded staleness
	jobInsert                     // inserts a unique key: a reservation or an intake
	jobAppend                     // appends to a log: a care log entry
	jobUpdate                     // updates the session's own key
	jobTransaction                // a read and an insert in an explicit transaction
)

// jobKindNames are the names in reports.
var jobKindNames = map[jobKind]string{
	jobReadOwn:     "read own write",
	jobReadAny:     "enquiry",
	jobView:        "view",
	jobInsert:      "insert",
	jobAppend:      "append",
	jobUpdate:      "update",
	jobTransaction: "transaction",
}

// mixEntry is a kind of job and its share of all jobs.
type mixEntry struct {
	kind  jobKind
	share float64
}

// mix is the job mix of a profile. The shares add up to 1.
type mix []mixEntry

// fesMix is the job mix of the profile fes. Reservations are writes, some of them in
// transactions; stock enquiries are reads.
var fesMix = mix{
	{jobReadAny, 0.45}, {jobReadOwn, 0.15}, {jobInsert, 0.22}, {jobUpdate, 0.10}, {jobTransaction, 0.08},
}

// peachtreeMix is the job mix of the profile peachtree. Care log entries are appends
// and intakes are inserts; owners view their trees often.
var peachtreeMix = mix{
	{jobView, 0.58}, {jobReadAny, 0.08}, {jobReadOwn, 0.06}, {jobAppend, 0.18}, {jobInsert, 0.06}, {jobUpdate, 0.04},
}

// load defines the load that the clients generate.
type load struct {
	mix             mix
	moveShare       float64            // share of jobs after which a session moves to another VM
	utilisation     float64            // offered requests relative to each customer's rate
	overloadFactors map[string]float64 // used in place of utilisation for the customers in it
}

const (
	// steadyUtilisation is the steady load relative to the rate. It leaves room for
	// the bursts of random arrivals.
	steadyUtilisation = 0.6
	// steadyMoveShare is the share of jobs after which a session moves to another VM.
	steadyMoveShare = 0.01
	// requestsPerTransaction is the number of requests of a transaction that count
	// against the rate: the BEGIN and two statements, but not the COMMIT.
	requestsPerTransaction = 3
)

func steadyLoad(p fleet.Profile) load {
	l := load{mix: fesMix, moveShare: steadyMoveShare, utilisation: steadyUtilisation}
	if p.Name == "peachtree" {
		l.mix = peachtreeMix
	}
	return l
}

// requestsPerJob returns the mean number of requests of a job.
func (m mix) requestsPerJob() float64 {
	n := 1.0
	for _, s := range m {
		if s.kind == jobTransaction {
			n += s.share * (requestsPerTransaction - 1)
		}
	}
	return n
}

// sample returns the kind of job for a uniform random number in [0,1).
func (m mix) sample(u float64) jobKind {
	for _, s := range m {
		if u < s.share {
			return s.kind
		}
		u -= s.share
	}
	return m[len(m)-1].kind
}

// jobRate returns the jobs per second that a customer offers.
func (l load) jobRate(c fleet.Customer) float64 {
	utilisation := l.utilisation
	if f, ok := l.overloadFactors[c.Name]; ok {
		utilisation = f
	}
	return utilisation * c.Rate / l.mix.requestsPerJob()
}

// job is a unit of work of a client: a request or a transaction.
type job struct {
	kind    jobKind
	arrived time.Time
}

// arrivals generates the random arrivals of a customer, a Poisson process.
type arrivals struct {
	rng         *rand.Rand
	rate        float64 // jobs per second
	mix         mix
	nextArrival time.Time
}

func newArrivals(seed uint64, customer string, rate float64, m mix, start time.Time) *arrivals {
	a := &arrivals{rng: newRand(seed, "arrivals-"+customer), rate: rate, mix: m, nextArrival: start}
	a.advance()
	return a
}

func (a *arrivals) advance() {
	gap := a.rng.ExpFloat64() / a.rate
	a.nextArrival = a.nextArrival.Add(time.Duration(gap * float64(time.Second)))
}

// nextJob returns the next job with its arrival time.
func (a *arrivals) nextJob() job {
	j := job{kind: a.mix.sample(a.rng.Float64()), arrived: a.nextArrival}
	a.advance()
	return j
}

// newRand returns a random number generator for the named part of a run, so that
// each part is reproducible from the seed.
func newRand(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
