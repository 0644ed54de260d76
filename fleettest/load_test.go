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

// noToken as the token of a load makes its sessions present none. Such a session
// may have written before, so its reads need the latest data. The value only has to
// differ from "", which stands for the default, and from all session tokens.
const noToken = "unknown"

// connectFunc opens a session of the customer on a route through a VM.
type connectFunc func(ctx context.Context, customer, route string, vm int, token string) (*pgx.Conn, error)

// load sends requests of one customer at a given rate, without waiting for the
// answers to earlier requests.
type load struct {
	customer     string
	route        string
	rate         float64               // requests per second
	vms          []int                 // used in turn; the default is all VMs
	chooseVM     func(n int) int       // selects the VM of request n; the default uses vms in turn
	sql          func(n string) string // statement for a request ID; the default is a read
	evenlySpaced bool                  // constant intervals; the default is a Poisson process
	token        string                // session token; the default is the one of sessions that have written nothing

	retryOtherVM bool        // send a request again through another VM if its VM is leaving
	idPrefix     string      // of the request IDs
	connect      connectFunc // the default connects to a VM of the fleet

	harness *harness
	random  *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex          // guards the fields below
	idle     map[int][]*pgx.Conn // sessions without a running request, by VM
	requests []request
}

// request is a request that has ended.
type request struct {
	id      string
	vm      int
	due     time.Time // when the load was to send it
	sent    time.Time
	ended   time.Time
	code    string // SQLSTATE; empty if answered, connectionError if the connection failed
	hint    string
	errText string // of the error

	resent int // number of times that it was sent again because its VM was leaving
}

// startLoad sets the defaults of a load and starts to send its requests.
func (h *harness) startLoad(l *load) *load {
	l.harness = h
	l.stop = make(chan struct{})
	l.random = rand.New(rand.NewPCG(seed, uint64(len(l.customer))))
	if len(l.vms) == 0 {
		l.vms = h.allVMs()
	}
	if l.chooseVM == nil {
		l.chooseVM = func(n int) int { return l.vms[n%len(l.vms)] }
	}
	if l.route == "" {
		l.route = h.fleet.Profile.Groups[0]
	}
	if l.connect == nil {
		l.connect = h.fleet.Connect
	}
	if l.token == "" {
		l.token = fleet.NewSession
	}
	l.idle = make(map[int][]*pgx.Conn)
	l.running.Go(l.run)
	return l
}

// finish stops the load, waits for outstanding answers, closes the sessions and
// returns the requests in the order in which they were due.
func (l *load) finish() []request {
	close(l.stop)
	l.running.Wait()
	for _, idle := range l.idle {
		for _, conn := range idle {
			_ = conn.Close(baseContext)
		}
	}
	slices.SortFunc(l.requests, func(a, b request) int { return a.due.Compare(b.due) })
	return l.requests
}

func (l *load) run() {
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(l.nextInterval())
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(due)):
		}
		at := due
		l.running.Go(func() { l.send(n, at) })
	}
}

func (l *load) nextInterval() time.Duration {
	interval := float64(time.Second) / l.rate
	if !l.evenlySpaced {
		interval *= l.random.ExpFloat64()
	}
	return time.Duration(interval)
}

func (l *load) send(n int, due time.Time) {
	r := request{id: fmt.Sprint(l.idPrefix, n), vm: l.chooseVM(n), due: due}
	if l.retryOtherVM {
		r.vm = l.harness.balancer.next(r.vm)
	}
	ctx, cancel := context.WithTimeout(baseContext, 10*time.Second)
	defer cancel()
	sent := l.attempt(ctx, &r)
	for range l.vms {
		// A VM that is leaving refuses requests with 57P01; one that has stopped
		// accepts no connections. In both cases the request was not run.
		if !l.retryOtherVM || r.code != shuttingDown && (sent || r.code != connectionError) {
			break
		}
		if sent {
			r.resent++
		}
		r.vm = l.harness.balancer.next(r.vm + 1)
		sent = l.attempt(ctx, &r)
	}
	r.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// attempt sends the request through its VM and reports whether it was sent, as
// opposed to failing to connect.
func (l *load) attempt(ctx context.Context, r *request) (sent bool) {
	conn, code := l.session(ctx, r.vm)
	if r.code = code; code != "" {
		return false
	}
	r.sent = time.Now()
	_, err := conn.Exec(ctx, l.statement(r.id), pgx.QueryExecModeSimpleProtocol)
	r.code, r.hint = sqlState(err)
	if err != nil {
		r.errText = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[r.vm] = append(l.idle[r.vm], conn)
	return true
}

// session returns a session without a running request. Like a client library, it
// checks an idle connection before use, and connects again if the VM has closed it
// between requests.
func (l *load) session(ctx context.Context, vm int) (conn *pgx.Conn, code string) {
	for conn = l.takeIdle(vm); conn != nil; conn = l.takeIdle(vm) {
		//lint:ignore SA1019 Ping is a request, which uses a token of the customer's rate limit.
		if !conn.IsClosed() && conn.PgConn().CheckConn() == nil {
			return conn, ""
		}
		_ = conn.Close(ctx)
	}
	token := l.token
	if token == noToken {
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

// loadBalancer simulates the platform's load balancer. It polls the readiness of
// VMs, and its view is up to readinessInterval old.
type loadBalancer struct {
	harness *harness

	mu       sync.Mutex // guards the fields below
	polledAt time.Time
	ready    map[int]bool
}

const readinessInterval = 500 * time.Millisecond

// next returns the first ready VM, beginning at the given one. If none is ready, it
// returns the given one.
func (b *loadBalancer) next(vm int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.polledAt) >= readinessInterval {
		b.polledAt = time.Now()
		b.ready = make(map[int]bool)
		for _, i := range b.harness.allVMs() {
			v := b.harness.fleet.VM(i)
			b.ready[i] = v != nil && v.Ready()
		}
	}
	n := b.harness.fleet.Profile.VMs
	for i := range n {
		if b.ready[(vm+i)%n] {
			return (vm + i) % n
		}
	}
	return vm % n
}

// loadStats summarizes the requests of a load.
type loadStats struct {
	offered, answered     int
	codes                 map[string]int
	withinLimit           int // offered within the rate and burst
	unansweredWithinLimit int // of those within the rate and burst, the ones that were not answered
	p99                   time.Duration
}

// summarize counts requests by result, and uses a token bucket with the customer's
// rate and burst to decide which of them were within the limit. The latencies of
// the p99 count from when a request was due.
func summarize(requests []request, rate, burst float64) loadStats {
	s := loadStats{codes: make(map[string]int)}
	level, last := burst, time.Time{}
	var latencies []time.Duration
	for _, r := range requests {
		if !last.IsZero() {
			level = min(burst, level+rate*r.due.Sub(last).Seconds())
		}
		last = r.due
		withinLimit := level >= 1
		if withinLimit {
			level--
			s.withinLimit++
		}
		s.offered++
		if r.code == "" {
			s.answered++
			latencies = append(latencies, r.ended.Sub(r.due))
			continue
		}
		s.codes[r.code]++
		if withinLimit {
			s.unansweredWithinLimit++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		s.p99 = latencies[len(latencies)*99/100]
	}
	return s
}

// unansweredShare returns the share of requests within the customer's rate and burst
// that were not answered.
func (s loadStats) unansweredShare() float64 {
	if s.withinLimit == 0 {
		return 0
	}
	return float64(s.unansweredWithinLimit) / float64(s.withinLimit)
}

func (s loadStats) String() string {
	return fmt.Sprintf("offered %d, answered %d, not answered although within the rate and burst %d of %d (%.2f %%), p99 %v, not answered by SQLSTATE %v",
		s.offered, s.answered, s.unansweredWithinLimit, s.withinLimit, 100*s.unansweredShare(), s.p99.Round(100*time.Microsecond), s.codes)
}
