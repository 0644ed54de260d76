// Package soak runs the chestnutdyke program as processes on one machine, injects
// faults from outside, and checks the consistency guarantees from what clients and
// backend servers observe. The order and targets of the faults depend on the seed;
// their lengths are random in every run.
package soak

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutdyke/chestnutdyke/platform"
	"github.com/chestnutdyke/chestnutdyke/platform/standin"
	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
)

// Options configure a run, which has one seed.
type Options struct {
	Binary string // path of the chestnutdyke program
	Logs   string // folder for the logs of the VMs; empty discards them
	Seed   uint64
	VMs    int
	Time   time.Duration // how long faults are injected
}

// enforcesFencing reports whether the platform of the run enforces fencing. Runs with odd
// seeds play one that does not.
func (o *Options) enforcesFencing() bool { return o.Seed%2 == 0 }

// Report contains what a run injected and observed.
type Report struct {
	Seed       uint64
	Faults     []string // names of the injected faults, in order
	Served     int64    // successful statements
	Refused    int64    // statements that failed with a known outcome
	Unknown    int64    // statements whose outcome the client does not know
	UsageCalls int      // calls to report usage that were carried out
	Violations []string // violated guarantees; empty if the run passed
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d served, %d refused, %d unknown, %d usage reports, %d violations; faults: %s\n%s",
		r.Seed, r.Served, r.Refused, r.Unknown, r.UsageCalls, len(r.Violations), strings.Join(r.Faults, ", "), strings.Join(r.Violations, "\n"))
}

const (
	readYourWritesStaleness = 2 * time.Second // staleness limit of read-your-writes routes
	startUpTime             = 3 * time.Second
	// maxRecoveryTime is the users' limit for the time from the end of the last fault
	// until a write succeeds.
	maxRecoveryTime = 12 * time.Second
	clientsPerVM    = 2
	clientInterval  = 25 * time.Millisecond
	killSeries      = 3
	// maxTxPause is the longest pause of a client inside a transaction. It is shorter
	// than the idle time after which VMs end transactions, and longer than the restart
	// of a VM.
	maxTxPause = 2500 * time.Millisecond
	// txShare is the share of clients' operations that are transactions.
	txShare = 0.1
	// callTimeout is longer than the time-out of every route.
	callTimeout = 4 * time.Second
)

// Run starts a deployment, injects faults in it for the time in the options, and
// returns what was observed. The error is about the set-up; violated guarantees are
// in the report.
func Run(o Options) (*Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tb, err := newTestbed(ctx, o)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	time.Sleep(startUpTime)
	w := &workload{testbed: tb, checker: managed.NewChecker()}
	var wg sync.WaitGroup
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for n := range tb.vms {
		for c := range clientsPerVM {
			wg.Go(func() { w.runClient(clients, n, n*clientsPerVM+c) })
		}
	}
	r := &Report{Seed: o.Seed}
	tb.injectFaults(r)
	if !w.awaitRecovery() {
		r.Violations = append(r.Violations, fmt.Sprintf("no write succeeded within %v after the last fault", maxRecoveryTime))
	}
	stop()
	wg.Wait()
	r.Served, r.Refused, r.Unknown = w.served.Load(), w.refused.Load(), w.unknown.Load()
	r.Violations = append(r.Violations, w.checker.Violations(tb.groups)...)
	r.Violations = append(r.Violations, tb.store.UsageViolations()...)
	r.UsageCalls = len(tb.store.UsageCalls())
	return r, nil
}

// fault is a failure to inject. start injects it and returns a function that ends it.
type fault struct {
	name  string
	start func(tb *testbed, rng *rand.Rand) func()
}

var faults = []fault{
	{"kill", func(tb *testbed, rng *rand.Rand) func() { return tb.stopVM(rng, syscall.SIGKILL) }},
	{"terminate", func(tb *testbed, rng *rand.Rand) func() { return tb.stopVM(rng, syscall.SIGTERM) }},
	// A VM is killed and restarted at once, several times, while clients have transactions
	// open whose connections it held.
	{"kill-series", func(tb *testbed, rng *rand.Rand) func() { return tb.killRepeatedly(rng) }},
	{"pause", func(tb *testbed, rng *rand.Rand) func() {
		v := tb.randomVM(rng)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"reload", func(tb *testbed, rng *rand.Rand) func() { tb.randomVM(rng).signal(syscall.SIGHUP); return func() {} }},
	{"store-silent", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, stall, false) }},
	{"store-one-way", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, stallReplies, false) }},
	{"store-slow", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.storeProxies, rng, delay, true) }},
	{"server-silent", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, stall, false) }},
	{"server-one-way", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, stallReplies, false) }},
	{"server-reset", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.serverProxies, rng, forward, true) }},
	{"client-reset", func(tb *testbed, rng *rand.Rand) func() { return impair(tb.clientProxies, rng, forward, true) }},
	{"lost-answers", func(tb *testbed, rng *rand.Rand) func() {
		if p := tb.randomGroup(rng).Primary(); p != nil {
			p.LoseAnswers(3)
		}
		return func() {}
	}},
	// The store executes the next two orders 2 s late and does not answer them.
	{"late-orders", func(tb *testbed, _ *rand.Rand) func() { tb.store.LoseOrders(2, 2*time.Second); return func() {} }},
	// The replicas of a group receive no updates.
	{"deaf-replicas", func(tb *testbed, rng *rand.Rand) func() {
		replicas := tb.randomGroup(rng).Replicas()
		for _, s := range replicas {
			s.SetReplicationPaused(true)
		}
		return func() {
			for _, s := range replicas {
				s.SetReplicationPaused(false)
			}
		}
	}},
	{"step-down", func(tb *testbed, rng *rand.Rand) func() {
		if p := tb.randomGroup(rng).Primary(); p != nil {
			managed.Drain(tb.store, p)
			return func() { managed.Undrain(tb.store, p) }
		}
		return func() {}
	}},
	{"odd-entry", func(tb *testbed, rng *rand.Rand) func() {
		tb.store.Put(directory.Servers, directory.Entry{Name: "odd", Invalid: standin.OddRegistrations[rng.IntN(len(standin.OddRegistrations))]})
		return func() { tb.store.Put(directory.Servers, directory.Entry{Name: "odd", Deleted: true}) }
	}},
	{"configuration", func(tb *testbed, _ *rand.Rand) func() { tb.publishConfig(); return func() {} }},
	// The store drops its history of changes, so VMs must read all objects again.
	{"lost-history", func(tb *testbed, _ *rand.Rand) func() { tb.store.CompactHistory(); return func() {} }},
}

// restoreFault makes the store come back from a copy that is up to maxCopyAge old. The
// operator writes the configuration again when the fault ends.
var restoreFault = fault{"store-restored", func(tb *testbed, rng *rand.Rand) func() {
	tb.store.Restore(time.Duration(rng.Int64N(int64(maxCopyAge))))
	return tb.publishConfig
}}

// crashFault crashes the primary of the group whose commits wait for a replica, while one
// replica receives nothing, and sometimes the other replica too, until their registrations
// have expired. The servers start again with their logs. An order that follows may be
// carried out late.
var crashFault = fault{"deaf-crash", func(tb *testbed, rng *rand.Rand) func() {
	g := tb.groups[managed.GroupName(syncGroup)]
	primary, replicas := g.Primary(), g.Replicas()
	if primary == nil || len(replicas) < zoneCount-1 {
		return func() {} // another fault has crashed a server
	}
	deaf := rng.IntN(len(replicas))
	crashed, outage := []*managed.Server{primary}, time.Duration(0)
	if rng.Float64() < pairCrashShare {
		crashed, outage = append(crashed, replicas[1-deaf]), expiryTime
	}
	if rng.Float64() < lateOrderShare {
		tb.store.LoseOrders(1, lateOrderDelay)
	}
	replicas[deaf].SetReplicationPaused(true)
	time.Sleep(replicationLag)
	for _, s := range crashed {
		s.Crash()
	}
	return func() {
		time.Sleep(outage)
		for _, s := range crashed {
			if err := tb.restartServer(s); err != nil {
				panic(err)
			}
		}
		replicas[deaf].SetReplicationPaused(false)
	}
}}

const (
	// crashShare is the share of faults beside which crashFault is injected.
	crashShare     = 0.15
	pairCrashShare = 0.3
	lateOrderShare = 0.4
	lateOrderDelay = 4 * time.Second
	// expiryTime exceeds the time after which VMs drop a server that has crashed.
	expiryTime = 7 * time.Second
	maxCopyAge = 8 * time.Second
	// restoreShare is the share of faults beside which the store is restored.
	restoreShare = 0.1
)

// injectFaults starts random faults, which may overlap, for the time in the options.
// It returns when all of them have ended.
func (tb *testbed) injectFaults(r *Report) {
	rng := rand.New(rand.NewPCG(tb.options.Seed, 1))
	// Restores and crashes have random numbers of their own, so that seeds that once failed
	// still play the same other faults.
	restores := rand.New(rand.NewPCG(tb.options.Seed, 2))
	crashes := rand.New(rand.NewPCG(tb.options.Seed, 3))
	end := time.Now().Add(tb.options.Time)
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		tb.inject(faults[rng.IntN(len(faults))], rng, r, &wg)
		if restores.Float64() < restoreShare {
			tb.inject(restoreFault, restores, r, &wg)
		}
		if crashes.Float64() < crashShare {
			tb.inject(crashFault, crashes, r, &wg)
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

// inject starts the fault. It ends within a few seconds, which wg waits for.
func (tb *testbed) inject(f fault, rng *rand.Rand, r *Report, wg *sync.WaitGroup) {
	r.Faults = append(r.Faults, f.name)
	stop := f.start(tb, rng)
	length := 200*time.Millisecond + rand.N(3*time.Second)
	wg.Go(func() { time.Sleep(length); stop() })
}

func (tb *testbed) randomVM(rng *rand.Rand) *vm { return tb.vms[rng.IntN(len(tb.vms))] }

func (tb *testbed) randomGroup(rng *rand.Rand) *managed.Group {
	return tb.groups[managed.GroupName(rng.IntN(groupCount))]
}

// stopVM sends the signal to a random VM's process. The returned function waits for
// the end of the process and starts it again.
func (tb *testbed) stopVM(rng *rand.Rand, s syscall.Signal) func() {
	v := tb.randomVM(rng)
	v.signal(s)
	return func() {
		v.signal(syscall.SIGCONT) // another fault may have paused the process
		v.wait(7 * time.Second)   // longer than graceS in settingsFormat
		if err := tb.start(v); err != nil {
			panic(err)
		}
	}
}

// killRepeatedly kills a random VM's process and starts it again, killSeries times. The
// returned function waits for the end of the series.
func (tb *testbed) killRepeatedly(rng *rand.Rand) func() {
	v := tb.randomVM(rng)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range killSeries {
			v.signal(syscall.SIGKILL)
			v.wait(time.Second)
			if err := tb.start(v); err != nil {
				panic(err)
			}
			time.Sleep(500*time.Millisecond + rand.N(time.Second))
		}
	}()
	return func() { <-done }
}

// impair changes the mode of a random proxy, and resets its connections if reset is
// set. The proxies are sorted by name, so that the choice depends only on the seed.
func impair(proxies map[string]*proxy, rng *rand.Rand, m mode, reset bool) func() {
	p := proxies[slices.Sorted(maps.Keys(proxies))[rng.IntN(len(proxies))]]
	p.setMode(m)
	if reset {
		p.resetConnections()
	}
	return func() { p.setMode(forward) }
}

// workload holds the clients' counters and checks their answers.
type workload struct {
	testbed                  *testbed
	checker                  *managed.Checker
	served, refused, unknown atomic.Int64
	lastWriteAt              atomic.Int64 // Unix nanoseconds of the latest success
}

// awaitRecovery waits until a write succeeds at least 1 s after the call, and reports
// whether that happened within maxRecoveryTime.
func (w *workload) awaitRecovery() bool {
	from := time.Now()
	for time.Since(from) < maxRecoveryTime {
		if w.lastWriteAt.Load() > from.Add(time.Second).UnixNano() {
			return true
		}
		time.Sleep(clientInterval)
	}
	return false
}

// runClient writes and reads its own item until ctx is done. It starts at the VM
// with index home and goes to the next VM whenever its session fails.
func (w *workload) runClient(ctx context.Context, home, number int) {
	group := number % groupCount
	item := fmt.Sprintf("item-%d", number)
	value := 0
	for attempt := 0; ctx.Err() == nil; attempt++ {
		kind, bound := managed.Latest, time.Duration(0)
		if attempt%2 == 1 {
			kind, bound = managed.Own, readYourWritesStaleness
		}
		vm := w.testbed.vms[(home+attempt)%len(w.testbed.vms)].name
		name := fmt.Sprintf("%d-%d", number, attempt)
		w.checker.RecordSession(name, managed.CustomerName(number%customerCount), managed.GroupName(group))
		c, err := w.connect(vm, managed.Database(kind, group), number%customerCount, name)
		if err != nil {
			time.Sleep(clientInterval)
			continue
		}
		g := w.testbed.groups[managed.GroupName(group)]
		for usable := true; usable && ctx.Err() == nil; time.Sleep(clientInterval) {
			if rand.Float64() < txShare {
				usable = w.runTransaction(c, g, item, &value)
			} else {
				usable = w.writeAndRead(c, g, item, &value, bound)
			}
		}
		c.conn.Close()
	}
}

// writeAndRead writes the next value and reads it back. It reports whether the
// session is still usable.
func (w *workload) writeAndRead(c *client, g *managed.Group, item string, value *int, bound time.Duration) bool {
	*value++
	id, a := c.send(statement.Write, fmt.Sprintf("%s %d", item, *value))
	w.checker.RecordWrite(g, item, *value, id, a.Code)
	w.count(a.Code)
	if a.Code == statement.OK {
		w.lastWriteAt.Store(time.Now().UnixNano())
		bound = 0 // a session must see its own acknowledged write
	}
	if a.Code == statement.Lost {
		return false
	}
	start := time.Now()
	_, a = c.send(statement.Read, item)
	w.count(a.Code)
	if a.Code == statement.OK {
		w.checker.CheckRead(g, item, bound, start, a)
	}
	return a.Code != statement.Lost
}

// runTransaction writes the next two values in a transaction, with a pause between them.
// It reports whether the session is still usable.
func (w *workload) runTransaction(c *client, g *managed.Group, item string, value *int) bool {
	if _, a := c.send(statement.Begin, ""); a.Code != statement.OK {
		w.count(a.Code)
		return a.Code != statement.Lost
	}
	type write struct {
		id    string
		value int
	}
	var writes []write
	var a statement.Answer
	for range 2 {
		*value++
		var id string
		id, a = c.send(statement.Write, fmt.Sprintf("%s %d", item, *value))
		writes = append(writes, write{id, *value})
		w.count(a.Code)
		if a.Code != statement.OK {
			break
		}
		time.Sleep(rand.N(maxTxPause))
	}
	switch a.Code {
	case statement.Lost:
	case statement.OK:
		_, a = c.send(statement.Commit, "")
		w.count(a.Code)
	default:
		c.send(statement.Rollback, "")
	}
	for _, wr := range writes {
		w.checker.RecordWrite(g, item, wr.value, wr.id, a.Code)
	}
	return a.Code != statement.Lost
}

func (w *workload) count(code statement.Code) {
	switch code {
	case statement.OK:
		w.served.Add(1)
	case statement.Lost, statement.InDoubt, statement.Timeout:
		w.unknown.Add(1)
	default:
		w.refused.Add(1)
	}
}

// client is a client's connection to a VM.
type client struct {
	conn   net.Conn
	r      *bufio.Reader
	name   string
	lastID int
}

func (w *workload) connect(vm, database string, customer int, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", w.testbed.clientProxies[vm].address(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn), name: name}
	conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err = conn.Write(platform.Client{}.AppendStart(nil, database, managed.Key(customer))); err == nil {
		var a statement.Answer
		if a, err = (platform.Client{}).ReadStarted(c.r); err == nil && a.Code != statement.OK {
			err = fmt.Errorf("session refused: %s", a.Code)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// send executes a statement and returns its ID and answer. If the connection fails
// or callTimeout passes, the answer has the code Lost.
func (c *client) send(verb statement.Verb, payload string) (string, statement.Answer) {
	c.lastID++
	id := fmt.Sprintf("%s/%d", c.name, c.lastID)
	c.conn.SetDeadline(time.Now().Add(callTimeout))
	command := statement.Command{ID: id, Verb: verb, Payload: payload}
	if _, err := c.conn.Write(platform.Client{}.AppendCommand(nil, &command)); err != nil {
		return id, statement.Refusal(statement.Lost, err.Error())
	}
	a, err := platform.Client{}.ReadAnswer(c.r)
	if err != nil {
		return id, statement.Refusal(statement.Lost, err.Error())
	}
	return id, a
}
