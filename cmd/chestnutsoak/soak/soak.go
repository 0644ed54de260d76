// Package soak runs the real program as processes on one machine, injects
// faults from outside in a random, seeded order, and checks the promises from
// what clients and backend servers see.
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
	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Options are the parameters of a run.
type Options struct {
	Binary string
	Logs   string // folder for the VMs' logs; empty keeps none
	Seed   uint64
	VMs    int
	Time   time.Duration // with faults
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Faults     []string
	Served     int64
	Refused    int64
	Unknown    int64
	Violations []string
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d served, %d refused, %d unknown, %d violations; faults: %s\n%s",
		r.Seed, r.Served, r.Refused, r.Unknown, len(r.Violations), strings.Join(r.Faults, ", "), strings.Join(r.Violations, "\n"))
}

const (
	ownBound = 2 * time.Second
	settle   = 3 * time.Second
	// recoverWithin is the users' bound for service after the machines are back.
	recoverWithin = 12 * time.Second
	clientsPerVM  = 2
	pace          = 25 * time.Millisecond
	// callTimeout is longer than the longest deadline of a statement.
	callTimeout = 4 * time.Second
)

// Run runs one seed.
func Run(o Options) (*Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	time.Sleep(settle)
	l := &load{w: w, checker: managed.NewChecker()}
	var wg sync.WaitGroup
	clients, stop := context.WithCancel(ctx)
	defer stop()
	for n := range w.vms {
		for c := range clientsPerVM {
			wg.Go(func() { l.client(clients, n, n*clientsPerVM+c) })
		}
	}
	r := &Report{Seed: o.Seed}
	w.injectFaults(r)
	if !l.recovers() {
		r.Violations = append(r.Violations, fmt.Sprintf("no write succeeded within %v after the last fault", recoverWithin))
	}
	stop()
	wg.Wait()
	r.Served, r.Refused, r.Unknown = l.served.Load(), l.refused.Load(), l.unknown.Load()
	r.Violations = append(r.Violations, l.checker.Finish(w.groups)...)
	return r, nil
}

// fault starts a fault and returns what ends it.
type fault struct {
	name  string
	start func(w *world, rng *rand.Rand) func()
}

var faults = []fault{
	{"kill", func(w *world, rng *rand.Rand) func() { return w.stopVM(rng, syscall.SIGKILL) }},
	{"terminate", func(w *world, rng *rand.Rand) func() { return w.stopVM(rng, syscall.SIGTERM) }},
	{"pause", func(w *world, rng *rand.Rand) func() {
		v := w.anyVM(rng)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"reload", func(w *world, rng *rand.Rand) func() { w.anyVM(rng).signal(syscall.SIGHUP); return func() {} }},
	{"store-silent", func(w *world, rng *rand.Rand) func() { return disturb(w.storeProxies, rng, silence, false) }},
	{"store-one-way", func(w *world, rng *rand.Rand) func() { return disturb(w.storeProxies, rng, oneWay, false) }},
	{"store-slow", func(w *world, rng *rand.Rand) func() { return disturb(w.storeProxies, rng, delay, true) }},
	{"server-silent", func(w *world, rng *rand.Rand) func() { return disturb(w.servers, rng, silence, false) }},
	{"server-one-way", func(w *world, rng *rand.Rand) func() { return disturb(w.servers, rng, oneWay, false) }},
	{"server-reset", func(w *world, rng *rand.Rand) func() { return disturb(w.servers, rng, pass, true) }},
	{"client-reset", func(w *world, rng *rand.Rand) func() { return disturb(w.fronts, rng, pass, true) }},
	{"lost-answers", func(w *world, rng *rand.Rand) func() {
		if p := w.anyGroup(rng).Primary(); p != nil {
			p.LoseAnswers(3)
		}
		return func() {}
	}},
	{"late-orders", func(w *world, _ *rand.Rand) func() { w.store.LoseOrders(2, 2*time.Second); return func() {} }},
	{"deaf-replicas", func(w *world, rng *rand.Rand) func() {
		replicas := w.anyGroup(rng).Replicas()
		for _, s := range replicas {
			s.SetDeaf(true)
		}
		return func() {
			for _, s := range replicas {
				s.SetDeaf(false)
			}
		}
	}},
	{"step-down", func(w *world, rng *rand.Rand) func() {
		if p := w.anyGroup(rng).Primary(); p != nil {
			managed.Drain(w.store, p)
			return func() { managed.Undrain(w.store, p) }
		}
		return func() {}
	}},
	{"configuration", func(w *world, _ *rand.Rand) func() { w.declare(); return func() {} }},
	{"lost-history", func(w *world, _ *rand.Rand) func() { w.store.Forget(); return func() {} }},
}

// injectFaults starts faults in overlapping series until the time is over, and
// ends all of them.
func (w *world) injectFaults(r *Report) {
	rng := rand.New(rand.NewPCG(w.o.Seed, 1))
	end := time.Now().Add(w.o.Time)
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		f := faults[rng.IntN(len(faults))]
		r.Faults = append(r.Faults, f.name)
		stop := f.start(w, rng)
		length := 200*time.Millisecond + rand.N(3*time.Second)
		wg.Go(func() { time.Sleep(length); stop() })
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

func (w *world) anyVM(rng *rand.Rand) *vm { return w.vms[rng.IntN(len(w.vms))] }

func (w *world) anyGroup(rng *rand.Rand) *managed.Group {
	return w.groups[managed.GroupName(rng.IntN(groups))]
}

// stopVM ends a VM's process with the signal and returns what starts it again.
func (w *world) stopVM(rng *rand.Rand, s syscall.Signal) func() {
	v := w.anyVM(rng)
	v.signal(s)
	return func() {
		v.signal(syscall.SIGCONT)
		v.wait(7 * time.Second)
		if err := w.start(v); err != nil {
			panic(err)
		}
	}
}

// disturb changes what one of the proxies does, in the order of its name.
func disturb(proxies map[string]*proxy, rng *rand.Rand, m mode, reset bool) func() {
	p := proxies[slices.Sorted(maps.Keys(proxies))[rng.IntN(len(proxies))]]
	p.set(m)
	if reset {
		p.reset()
	}
	return func() { p.set(pass) }
}

// load is the clients and what they were told.
type load struct {
	w                        *world
	checker                  *managed.Checker
	served, refused, unknown atomic.Int64
	lastWrite                atomic.Int64 // Unix nanoseconds of the latest success
}

// recovers waits for a write that succeeds after now.
func (l *load) recovers() bool {
	from := time.Now()
	for time.Since(from) < recoverWithin {
		if l.lastWrite.Load() > from.Add(time.Second).UnixNano() {
			return true
		}
		time.Sleep(pace)
	}
	return false
}

// client writes and reads an item of its own until ctx is done, on any VM that
// takes it.
func (l *load) client(ctx context.Context, home, number int) {
	group := number % groups
	item := fmt.Sprintf("item-%d", number)
	value := 0
	for attempt := 0; ctx.Err() == nil; attempt++ {
		kind, bound := managed.Latest, time.Duration(0)
		if attempt%2 == 1 {
			kind, bound = managed.Own, ownBound
		}
		vm := l.w.vms[(home+attempt)%len(l.w.vms)].name
		c, err := l.connect(vm, managed.Database(kind, group), number%customers, fmt.Sprintf("%d-%d", number, attempt))
		if err != nil {
			time.Sleep(pace)
			continue
		}
		for ctx.Err() == nil && l.once(c, l.w.groups[managed.GroupName(group)], item, &value, bound) {
			time.Sleep(pace)
		}
		c.conn.Close()
	}
}

// once writes the next value and reads it back. It reports whether the session
// can go on.
func (l *load) once(c *client, g *managed.Group, item string, value *int, bound time.Duration) bool {
	*value++
	id, a := c.do(statement.Write, fmt.Sprintf("%s %d", item, *value))
	l.checker.Wrote(g, item, *value, id, a.Code)
	l.count(a.Code)
	if a.Code == statement.OK {
		l.lastWrite.Store(time.Now().UnixNano())
		bound = 0 // a session sees its own write at once
	}
	if a.Code == statement.Lost {
		return false
	}
	begun := time.Now()
	_, a = c.do(statement.Read, item)
	l.count(a.Code)
	if a.Code == statement.OK {
		l.checker.Read(g, item, bound, begun, a)
	}
	return a.Code != statement.Lost
}

func (l *load) count(code statement.Code) {
	switch code {
	case statement.OK:
		l.served.Add(1)
	case statement.Lost, statement.InDoubt, statement.Timeout:
		l.unknown.Add(1)
	default:
		l.refused.Add(1)
	}
}

// client is a session.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	name string
	last int
}

func (l *load) connect(vm, database string, customer int, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", l.w.fronts[vm].address(), time.Second)
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

// do runs a statement. A connection that breaks or stays silent answers Lost.
func (c *client) do(verb statement.Verb, payload string) (string, statement.Answer) {
	c.last++
	id := fmt.Sprintf("%s-%d", c.name, c.last)
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
