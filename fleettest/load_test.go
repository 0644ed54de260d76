package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

// unknownSession makes a load present no token. Such a session may have written
// before, so it reads the latest.
const unknownSession = "unknown"

// connector connects a client of the customer to a VM and a route.
type connector func(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error)

// load sends the requests of one customer at a rate, without waiting for the
// answers of earlier ones.
type load struct {
	customer string
	route    string
	rate     float64               // requests a second
	vms      []int                 // taken in turn; none means all
	vm       func(n int) int       // chooses the VM of a request instead
	sql      func(n string) string // statement for a request number; the default is a read
	regular  bool                  // equal gaps; the default is random gaps (Poisson)
	token    string                // session token; the default is that of sessions that have written nothing

	follow  bool      // go to another VM if this one is leaving
	prefix  string    // of the request numbers
	connect connector // the default connects to a VM of the fleet

	world   *world
	random  *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex          // guards the fields below
	idle     map[int][]*pgx.Conn // sessions without a request, by VM
	requests []request
}

// request is a request that ended.
type request struct {
	id    string
	vm    int
	due   time.Time // when the customer wanted to send it
	sent  time.Time
	ended time.Time
	code  string // SQLSTATE; empty if answered, "connection" if it broke
	hint  string
	text  string // of the error

	resent int // times that it was sent again because its VM was leaving
}

// start begins to send.
func (w *world) start(l *load) *load {
	l.world = w
	l.stop = make(chan struct{})
	l.random = rand.New(rand.NewPCG(seed, uint64(len(l.customer))))
	if len(l.vms) == 0 {
		l.vms = w.allVMs()
	}
	if l.vm == nil {
		l.vm = func(n int) int { return l.vms[n%len(l.vms)] }
	}
	if l.route == "" {
		l.route = w.fleet.Profile.Groups[0]
	}
	if l.connect == nil {
		l.connect = w.fleet.Connect
	}
	if l.token == "" {
		l.token = fleet.NewSession
	}
	l.idle = make(map[int][]*pgx.Conn)
	l.running.Go(l.run)
	return l
}

// finish stops sending, waits for the answers and closes the sessions.
func (l *load) finish() []request {
	close(l.stop)
	l.running.Wait()
	for _, idle := range l.idle {
		for _, conn := range idle {
			_ = conn.Close(background)
		}
	}
	slices.SortFunc(l.requests, func(a, b request) int { return a.due.Compare(b.due) })
	return l.requests
}

func (l *load) run() {
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(l.gap())
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(due)):
		}
		at := due
		l.running.Go(func() { l.send(n, at) })
	}
}

func (l *load) gap() time.Duration {
	gap := float64(time.Second) / l.rate
	if !l.regular {
		gap *= l.random.ExpFloat64()
	}
	return time.Duration(gap)
}

func (l *load) send(n int, due time.Time) {
	r := request{id: fmt.Sprint(l.prefix, n), vm: l.vm(n), due: due}
	if l.follow {
		r.vm = l.world.ready.next(r.vm)
	}
	ctx, cancel := context.WithTimeout(background, 10*time.Second)
	defer cancel()
	sent := l.attempt(ctx, &r)
	for range l.vms {
		// A VM that is leaving refuses with 57P01, one that has gone accepts no
		// connection. The request was not run in both cases.
		if !l.follow || r.code != shuttingDown && (sent || r.code != broken) {
			break
		}
		if sent {
			r.resent++
		}
		r.vm = l.world.ready.next(r.vm + 1)
		sent = l.attempt(ctx, &r)
	}
	r.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// attempt sends the request through its VM, and returns whether it was sent.
func (l *load) attempt(ctx context.Context, r *request) (sent bool) {
	conn, code := l.connected(ctx, r.vm)
	if r.code = code; code != "" {
		return false
	}
	r.sent = time.Now()
	_, err := conn.Exec(ctx, l.statement(r.id), pgx.QueryExecModeSimpleProtocol)
	r.code, r.hint = sqlState(err)
	if err != nil {
		r.text = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[r.vm] = append(l.idle[r.vm], conn)
	return true
}

// connected returns a session without a request. As a client library does, it
// looks at the connection before it sends, and connects again if the VM closed
// it between requests.
func (l *load) connected(ctx context.Context, vm int) (conn *pgx.Conn, code string) {
	for conn = l.takeIdle(vm); conn != nil; conn = l.takeIdle(vm) {
		if !conn.IsClosed() && conn.PgConn().CheckConn() == nil {
			return conn, ""
		}
		_ = conn.Close(ctx)
	}
	token := l.token
	if token == unknownSession {
		token = ""
	}
	conn, err := l.connect(ctx, l.customer, l.route, vm, token)
	code, _ = sqlState(err)
	return conn, code
}

func (l *load) takeIdle(vm int) *pgx.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.idle[vm])
	if n == 0 {
		return nil
	}
	conn := l.idle[vm][n-1]
	l.idle[vm] = l.idle[vm][:n-1]
	return conn
}

func (l *load) statement(id string) string {
	if l.sql != nil {
		return l.sql(id)
	}
	return fmt.Sprintf("SELECT value FROM kv WHERE key = 'load/%s/%s'", l.customer, id)
}

// balancer is the platform's load balancer: it asks VMs whether they are ready,
// and its view is up to pollReady old.
type balancer struct {
	world *world

	mu      sync.Mutex // guards the fields below
	askedAt time.Time
	ready   map[int]bool
}

const pollReady = 500 * time.Millisecond

// next returns the first ready VM from the given one on.
func (b *balancer) next(vm int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.askedAt) >= pollReady {
		b.askedAt = time.Now()
		b.ready = make(map[int]bool)
		for _, i := range b.world.allVMs() {
			v := b.world.fleet.VM(i)
			b.ready[i] = v != nil && v.Ready()
		}
	}
	n := b.world.fleet.Profile.VMs
	for i := range n {
		if b.ready[(vm+i)%n] {
			return (vm + i) % n
		}
	}
	return vm % n
}

// tally counts requests by how they ended.
type tally struct {
	offered, answered int
	codes             map[string]int
	inside            int // offered inside the rate and burst
	insideRefused     int // of them refused
	p99               time.Duration
}

// count counts requests and compares them with a token bucket of the customer's
// rate and burst.
func count(requests []request, rate, burst float64) tally {
	c := tally{codes: make(map[string]int)}
	level, last := burst, time.Time{}
	var latencies []time.Duration
	for _, r := range requests {
		if !last.IsZero() {
			level = min(burst, level+rate*r.due.Sub(last).Seconds())
		}
		last = r.due
		inside := level >= 1
		if inside {
			level--
			c.inside++
		}
		c.offered++
		if r.code == "" {
			c.answered++
			latencies = append(latencies, r.ended.Sub(r.due))
			continue
		}
		c.codes[r.code]++
		if inside {
			c.insideRefused++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		c.p99 = latencies[len(latencies)*99/100]
	}
	return c
}

// refusedShare is the share of requests that were refused although inside the
// customer's rate and burst.
func (c tally) refusedShare() float64 {
	if c.inside == 0 {
		return 0
	}
	return float64(c.insideRefused) / float64(c.inside)
}

func (c tally) String() string {
	return fmt.Sprintf("offered %d, answered %d, refused although inside the rate %d of %d (%.2f %%), p99 %v, not answered by SQLSTATE %v",
		c.offered, c.answered, c.insideRefused, c.inside, 100*c.refusedShare(), c.p99.Round(100*time.Microsecond), c.codes)
}
