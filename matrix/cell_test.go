package matrix

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke"
	"github.com/chestnutdyke/chestnutdyke/standin/dbgroup"
	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/history"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// Names in the cells' profile.
const (
	groupName = "ledger"
	route     = groupName
	customer  = "bindery"
	revoked   = "archive" // customer whose key some steps revoke
	vms       = 3
	focusVM   = 0 // in the data centre of the first primary
)

// Times of a cell, in virtual time.
const (
	readyLimit    = 20 * time.Second
	warmUp        = 700 * time.Millisecond // connections open and positions known
	triggerLimit  = 5 * time.Second        // for a step to be reached
	triggerPoll   = 200 * time.Microsecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
	// recoveryLimit is the longest time that a change of primary may take by
	// docs/design.md.
	recoveryLimit = 7 * time.Second
	// startLimit is the longest time until a process that replaces another takes
	// work: it waits 3 s, 2 % and 100 ms before it confirms itself, before it
	// spends, and once more if a ticket came while its predecessor failed, and for
	// an interval of the exchange.
	startLimit    = 10 * time.Second
	agreementPoll = 10 * time.Millisecond
	undisturbed   = 200 * time.Millisecond // work after the first writes
	leaveLimit    = 10 * time.Second       // for a VM to stop
	// revokeLimit is the longest time in which a configuration comes into effect
	// everywhere by docs/design.md.
	revokeLimit = 5 * time.Second
)

// background is the number of clients besides the focus client.
const background = 4

// profile is a small installation, so that cells are fast.
func profile() fleet.Profile {
	return fleet.Profile{
		Name:             "matrix",
		DataCentres:      []string{"north", "south", "west"},
		BetweenDCs:       time.Millisecond,
		ToClients:        time.Millisecond,
		InsideDC:         100 * time.Microsecond,
		Groups:           []string{groupName},
		ServersPerGroup:  3,
		Slots:            3,
		Connections:      20,
		ConnectCost:      5 * time.Millisecond,
		StatementCost:    time.Millisecond,
		ReplicationDelay: 3 * time.Millisecond,
		VMs:              vms,
		Customers:        []fleet.Customer{{Name: customer, Rate: 10000, Burst: 1000}, {Name: revoked, Rate: 1000, Burst: 100}},
		ViewStaleness:    500 * time.Millisecond,
		Deadline:         1500 * time.Millisecond,
	}
}

// plan says what a cell does.
type plan struct {
	name   string // step/fault or step/fault+fault
	step   step
	faults []fault
	seed   uint64
	adjust func(o *chestnutdyke.Options) // of VMs; may be nil
}

// cell is a run of a plan.
type cell struct {
	plan
	t        *testing.T
	rng      *rand.Rand
	fleet    *fleet.Fleet
	group    *dbgroup.Group
	recorder *history.Recorder
	log      *logBook
	focus    *client
	clients  []*client // with the focus client
	working  sync.WaitGroup
	done     atomic.Bool
	warming  [vms]atomic.Bool

	term     uint64          // when the step was prepared
	heals    []func()        // end the faults, in this order
	isolated map[string]bool // data centres
	leaving  bool            // the focus client's VM is being stopped

	afterwards []func() // checks after the heal

	mu       sync.Mutex // guards problems
	problems []string
	gap      time.Duration // from the heal to the last VM's first acknowledged write
}

// run runs the plan in the current bubble and returns the verdicts.
func (p plan) run(t *testing.T) *result {
	c := &cell{
		plan: p, t: t, recorder: history.NewRecorder(), log: newLogBook(),
		rng: rand.New(rand.NewPCG(p.seed, 1)), isolated: make(map[string]bool),
	}
	c.start()
	defer c.fleet.Close()
	c.startClients()
	time.Sleep(warmUp)
	c.causeFaults()
	c.heal()
	c.recover()
	c.finish()
	return c.judge()
}

// newRand returns random numbers for a client.
func (c *cell) newRand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return rand.New(rand.NewPCG(c.seed, h.Sum64()))
}

func (c *cell) must(err error) {
	if err != nil {
		c.problem("%v", err)
	}
}

func (c *cell) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

func (c *cell) onHeal(f func()) { c.heals = append(c.heals, f) }

func (c *cell) ending() bool { return c.done.Load() }

func (c *cell) start() {
	f, err := fleet.Start(profile(), fleet.Options{Seed: c.seed, Logger: c.log.logger(), Adjust: c.adjust})
	if err != nil {
		c.t.Fatal(err)
	}
	c.fleet, c.group = f, f.Groups[groupName]
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	c.must(f.WaitReady(ctx))
	c.term = c.group.Primary().Status().AdoptedTerm
}

// setServer changes the service state of a backend server by a ticket.
func (c *cell) setServer(name string, s state.ServiceState) {
	c.must(c.fleet.Change(func(cfg *state.Config) { cfg.Groups[groupName].Server(name).State = s }))
}

// startVM starts a VM unless it runs.
func (c *cell) startVM(vm int) {
	if c.fleet.VM(vm) == nil {
		c.warming[vm].Store(true)
		c.must(c.fleet.StartVM(vm))
	}
}

// warmingUp reports whether a VM has not been ready since it was started again.
// The platform's load balancer sends no client there.
func (c *cell) warmingUp(vm int) bool {
	if v := c.fleet.VM(vm); v != nil && v.Ready() {
		c.warming[vm].Store(false)
	}
	return c.warming[vm].Load()
}

func (c *cell) startClients() {
	c.focus = newClient(c, "focus", focusVM)
	c.clients = append(c.clients, c.focus)
	c.working.Go(func() { c.focus.run(func() { c.step.focus(c.focus) }) })
	for i := range background {
		cl := newClient(c, fmt.Sprintf("client%d", i+1), i%c.fleet.Profile.VMs)
		c.clients = append(c.clients, cl)
		c.working.Go(func() { cl.run(cl.anything) })
	}
}

// causeFaults waits for the step and causes the faults, the second one somewhat
// later than the first.
func (c *cell) causeFaults() {
	if c.step.prepare != nil {
		c.step.prepare(c)
	}
	if !c.await() {
		c.problem("the step was not reached")
		return
	}
	for i, f := range c.faults {
		if i > 0 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(longestOutage))))
		}
		c.log.note("matrix: fault", f.name)
		f.cause(c)
	}
	time.Sleep(shortestFault + time.Duration(c.rng.Int64N(int64(longestFault-shortestFault))))
}

// await waits until the step is reached, and a little longer by chance.
func (c *cell) await() bool {
	for end := time.Now().Add(triggerLimit); !c.step.reached(c); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(triggerPoll)
	}
	time.Sleep(time.Duration(c.rng.Int64N(int64(2 * time.Millisecond))))
	return true
}

func (c *cell) heal() {
	c.log.note("matrix: heal", "")
	for _, f := range c.heals {
		f()
	}
}

// recover requires that every VM acknowledges a write in time.
func (c *cell) recover() {
	gaps := make([]time.Duration, c.fleet.Profile.VMs)
	var writers sync.WaitGroup
	for vm := range gaps {
		writers.Go(func() { gaps[vm] = c.recoverVM(vm) })
	}
	writers.Wait()
	for vm, gap := range gaps {
		if gap > recoveryLimit {
			c.problem("%s acknowledged no write within %v of the heal", fleet.VMName(vm), recoveryLimit)
		}
	}
	c.gap = slices.Max(gaps)
}

// recoverVM returns the time from the heal to the VM's first acknowledged write.
// A VM that was started again counts from when it takes work, which its lease
// delays.
func (c *cell) recoverVM(vm int) time.Duration {
	healed := time.Now()
	for c.warmingUp(vm) && time.Since(healed) <= startLimit {
		time.Sleep(agreementPoll)
	}
	if c.warmingUp(vm) {
		c.problem("%s is not ready within %v of its start", fleet.VMName(vm), startLimit)
	}
	began := time.Now()
	cl := newClient(c, "final"+fleet.VMName(vm), vm)
	defer cl.close()
	for !c.writeFinal(cl, vm) && time.Since(began) <= recoveryLimit {
		time.Sleep(shortestPause)
	}
	return time.Since(began)
}

func (c *cell) writeFinal(cl *client, vm int) bool {
	cl.vm = vm
	return cl.connected() && cl.append()
}

// finish ends the workload, waits until the servers agree and lets each session
// read what it wrote.
func (c *cell) finish() {
	time.Sleep(undisturbed)
	c.done.Store(true)
	c.working.Wait()
	c.awaitAgreement()
	for _, check := range c.afterwards {
		check()
	}
	for _, cl := range c.clients {
		cl.move()
		if !cl.connected() {
			c.problem("%s cannot connect after the heal", cl.name)
			continue
		}
		cl.checkReads()
		cl.close()
	}
}

func (c *cell) awaitAgreement() {
	for end := time.Now().Add(recoveryLimit); !c.agree(); time.Sleep(agreementPoll) {
		if time.Now().After(end) {
			c.problem("the servers do not agree within %v: %s", recoveryLimit, c.statuses())
			return
		}
	}
}

// agree reports whether the replicas follow the primary and hold its log.
func (c *cell) agree() bool {
	p := c.primary().Status()
	for _, s := range c.replicas() {
		st := s.Status()
		if st.Role != state.Replica || st.Primary != p.Server || st.LogTerm != p.LogTerm || st.Position != p.Position {
			return false
		}
	}
	return p.Role == state.Primary
}

func (c *cell) statuses() string {
	text := ""
	for _, s := range c.group.Servers() {
		st := s.Status()
		text += fmt.Sprintf("%s is %s, adopted %d, log (%d, %d), follows %q; ", st.Server, st.Role, st.AdoptedTerm, st.LogTerm, st.Position, st.Primary)
	}
	return text
}

// checkRevoked requires that every VM refuses the revoked key.
func (c *cell) checkRevoked() {
	time.Sleep(revokeLimit)
	for vm := range c.fleet.Profile.VMs {
		ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
		conn, err := c.fleet.Connect(ctx, revoked, route, vm, fleet.NewSession)
		if err == nil {
			_ = conn.Close(ctx) // the problem is that it could be opened
		}
		if code := codeOf(err); code != "28P01" {
			c.problem("%s answers the revoked key with %q", fleet.VMName(vm), code)
		}
		cancel()
	}
}
