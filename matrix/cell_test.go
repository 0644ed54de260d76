package matrix

import (
	"context"
	"fmt"
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
	agreementPoll = 10 * time.Millisecond
	afterwards    = 200 * time.Millisecond // of undisturbed work
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
		VMs:              3,
		Customers:        []fleet.Customer{{Name: customer, Rate: 10000, Burst: 1000}},
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

	term     uint64          // when the step was prepared
	heals    []func()        // end the faults, in this order
	isolated map[string]bool // data centres

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

func (c *cell) newRand() *rand.Rand { return rand.New(rand.NewPCG(c.seed, c.rng.Uint64())) }

func (c *cell) must(err error) {
	if err != nil {
		c.problem("%v", err)
	}
}

func (c *cell) problem(format string, args ...any) {
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
		c.must(c.fleet.StartVM(vm))
	}
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
	healed := time.Now()
	gaps := make([]time.Duration, c.fleet.Profile.VMs)
	var writers sync.WaitGroup
	for vm := range gaps {
		cl := newClient(c, "final"+fleet.VMName(vm), vm)
		writers.Go(func() {
			for !c.writeFinal(cl, vm) && time.Since(healed) <= recoveryLimit {
				time.Sleep(shortestPause)
			}
			gaps[vm] = time.Since(healed)
			cl.close()
		})
	}
	writers.Wait()
	for vm, gap := range gaps {
		if gap > recoveryLimit {
			c.problem("%s acknowledged no write within %v of the heal", fleet.VMName(vm), recoveryLimit)
		}
	}
	c.gap = slices.Max(gaps)
}

func (c *cell) writeFinal(cl *client, vm int) bool {
	cl.vm = vm
	return cl.connected() && cl.append()
}

// finish ends the workload, waits until the servers agree and lets each session
// read what it wrote.
func (c *cell) finish() {
	time.Sleep(afterwards)
	c.done.Store(true)
	c.working.Wait()
	c.awaitAgreement()
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
