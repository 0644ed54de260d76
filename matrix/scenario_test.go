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

// Names in the profile of the scenarios.
const (
	groupName       = "ledger"
	route           = groupName
	customer        = "bindery"
	revokedCustomer = "archive" // customer whose key some steps revoke
	vms             = 3
	focusVM         = 0 // in the data centre of the first primary
)

// Limits and durations of a scenario, in virtual time.
const (
	readyTimeout     = 20 * time.Second
	warmUpTime       = 700 * time.Millisecond // opens connections and distributes log positions
	stepTimeout      = 5 * time.Second        // for the step to be reached
	stepPollInterval = 200 * time.Microsecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// maxRecoveryTime is the time in which a change of primary must be complete
	// (docs/design.md).
	maxRecoveryTime = 7 * time.Second
	// maxStartTime is the time after which a process that replaces another must be
	// ready. It waits 3 s plus 2 % plus 100 ms (lease.ExclusivePeriod) before it
	// confirms any lease, its own included, again before it uses its share of the
	// limits, and a third time if a ticket came while its predecessor failed; and
	// then for one exchange interval.
	maxStartTime     = 10 * time.Second
	pollInterval     = 10 * time.Millisecond
	postRecoveryTime = 200 * time.Millisecond // workload after each VM acknowledged a write
	stopTimeout      = 10 * time.Second       // for a VM to drain and stop
	// maxRevocationTime is the time in which a configuration must be in force on
	// all VMs (docs/design.md).
	maxRevocationTime = 5 * time.Second
)

// backgroundClients is the number of clients besides the focus client.
const backgroundClients = 4

// profile returns a small installation, which keeps scenarios fast.
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
		Customers:        []fleet.Customer{{Name: customer, Rate: 10000, Burst: 1000}, {Name: revokedCustomer, Rate: 1000, Burst: 100}},
		ViewStaleness:    500 * time.Millisecond,
		Deadline:         1500 * time.Millisecond,
	}
}

// scenario is a step of the fleet's work and the faults that are caused when it
// is reached.
type scenario struct {
	name   string // step/fault or step/fault+fault
	step   step
	faults []fault
	seed   uint64
	adjust func(o *chestnutdyke.Options) // changes the options of VMs; may be nil
}

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	scenario
	t        *testing.T
	rng      *rand.Rand
	fleet    *fleet.Fleet
	group    *dbgroup.Group
	recorder *history.Recorder
	log      *logBuffer
	focus    *client   // the client whose requests the steps refer to
	clients  []*client // including focus
	running  sync.WaitGroup
	done     atomic.Bool      // tells clients to end the workload
	starting [vms]atomic.Bool // started again by the scenario and not ready since

	term      uint64          // before the step was prepared
	healFuncs []func()        // end the faults; called in this order
	isolated  map[string]bool // by data centre
	stopping  bool            // the focus client's VM is being stopped

	finalChecks []func() // called when the workload has ended and replicas are in sync

	mu           sync.Mutex // guards problems
	problems     []string
	recoveryTime time.Duration // until each VM had acknowledged a write; see measureRecovery
}

// run runs the scenario in the current synctest bubble.
func (sc scenario) run(t *testing.T) *result {
	r := &scenarioRun{
		scenario: sc, t: t, recorder: history.NewRecorder(), log: newLogBuffer(),
		rng: rand.New(rand.NewPCG(sc.seed, 1)), isolated: make(map[string]bool),
	}
	r.start()
	defer r.fleet.Close()
	r.startClients()
	time.Sleep(warmUpTime)
	r.causeFaults()
	r.heal()
	r.checkRecovery()
	r.finish()
	return r.evaluate()
}

// newRand returns a random source that depends on the seed and the client's name.
func (r *scenarioRun) newRand(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return rand.New(rand.NewPCG(r.seed, h.Sum64()))
}

// recordError records an error, if there is one, as a problem.
func (r *scenarioRun) recordError(err error) {
	if err != nil {
		r.problemf("%v", err)
	}
}

// problemf records a problem, which fails the scenario. The run goes on.
func (r *scenarioRun) problemf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// onHeal registers a function that ends a fault.
func (r *scenarioRun) onHeal(f func()) { r.healFuncs = append(r.healFuncs, f) }

func (r *scenarioRun) workloadDone() bool { return r.done.Load() }

func (r *scenarioRun) start() {
	f, err := fleet.Start(profile(), fleet.Options{Seed: r.seed, Logger: r.log.logger(), Adjust: r.adjust})
	if err != nil {
		r.t.Fatal(err)
	}
	r.fleet, r.group = f, f.Groups[groupName]
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	r.recordError(f.WaitReady(ctx))
	r.term = r.group.Primary().Status().AdoptedTerm
}

// setServer applies a ticket that changes the service state of a backend server.
func (r *scenarioRun) setServer(name string, s state.ServiceState) {
	r.recordError(r.fleet.Change(func(cfg *state.Config) { cfg.Groups[groupName].Server(name).State = s }))
}

// startVM starts a VM unless it is running.
func (r *scenarioRun) startVM(vm int) {
	if r.fleet.VM(vm) == nil {
		r.starting[vm].Store(true)
		r.recordError(r.fleet.StartVM(vm))
	}
}

// isStarting reports whether a VM has not been ready since it was started again.
// The platform's load balancer sends no clients to such a VM.
func (r *scenarioRun) isStarting(vm int) bool {
	if v := r.fleet.VM(vm); v != nil && v.Ready() {
		r.starting[vm].Store(false)
	}
	return r.starting[vm].Load()
}

func (r *scenarioRun) startClients() {
	r.focus = newClient(r, "focus", focusVM)
	r.clients = append(r.clients, r.focus)
	r.running.Go(func() { r.focus.runWorkload(func() { r.step.focus(r.focus) }) })
	for i := range backgroundClients {
		cl := newClient(r, fmt.Sprintf("client%d", i+1), i%r.fleet.Profile.VMs)
		r.clients = append(r.clients, cl)
		r.running.Go(func() { cl.runWorkload(cl.randomRequest) })
	}
}

// causeFaults waits until the step is reached and causes the faults, with a
// random delay between the first and the second.
func (r *scenarioRun) causeFaults() {
	if r.step.prepare != nil {
		r.step.prepare(r)
	}
	if !r.awaitStep() {
		r.problemf("the step was not reached")
		return
	}
	for i, f := range r.faults {
		if i > 0 {
			time.Sleep(time.Duration(r.rng.Int64N(int64(maxOutage))))
		}
		r.log.add("matrix: fault", f.name)
		f.cause(r)
	}
	time.Sleep(minFaultDuration + time.Duration(r.rng.Int64N(int64(maxFaultDuration-minFaultDuration))))
}

// awaitStep waits until the step is reached, and up to 2 ms more at random. It
// returns false if the step is not reached in time.
func (r *scenarioRun) awaitStep() bool {
	for end := time.Now().Add(stepTimeout); !r.step.reached(r); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(stepPollInterval)
	}
	time.Sleep(time.Duration(r.rng.Int64N(int64(2 * time.Millisecond))))
	return true
}

func (r *scenarioRun) heal() {
	r.log.add("matrix: heal", "")
	for _, f := range r.healFuncs {
		f()
	}
}

// checkRecovery records a problem for each VM that does not acknowledge a write
// within the limit.
func (r *scenarioRun) checkRecovery() {
	recoveryTimes := make([]time.Duration, r.fleet.Profile.VMs)
	var writers sync.WaitGroup
	for vm := range recoveryTimes {
		writers.Go(func() { recoveryTimes[vm] = r.measureRecovery(vm) })
	}
	writers.Wait()
	for vm, recoveryTime := range recoveryTimes {
		if recoveryTime > maxRecoveryTime {
			r.problemf("%s acknowledged no write within %v of the heal", fleet.VMName(vm), maxRecoveryTime)
		}
	}
	r.recoveryTime = slices.Max(recoveryTimes)
}

// measureRecovery returns the time from the heal to the VM's first acknowledged
// write. For a VM that was started again, the time begins when it is ready: its
// lease delays that.
func (r *scenarioRun) measureRecovery(vm int) time.Duration {
	healedAt := time.Now()
	for r.isStarting(vm) && time.Since(healedAt) <= maxStartTime {
		time.Sleep(pollInterval)
	}
	if r.isStarting(vm) {
		r.problemf("%s is not ready within %v of its start", fleet.VMName(vm), maxStartTime)
	}
	readyAt := time.Now()
	cl := newClient(r, "final"+fleet.VMName(vm), vm)
	defer cl.close()
	for !r.tryFinalWrite(cl, vm) && time.Since(readyAt) <= maxRecoveryTime {
		time.Sleep(minRequestPause)
	}
	return time.Since(readyAt)
}

// tryFinalWrite connects to the VM if necessary, and reports whether it
// acknowledged a write.
func (r *scenarioRun) tryFinalWrite(cl *client, vm int) bool {
	cl.vm = vm
	return cl.ensureConnected() && cl.append()
}

// finish ends the workload, waits until the replicas are in sync, runs the final
// checks and has each session read what it wrote, through another VM.
func (r *scenarioRun) finish() {
	time.Sleep(postRecoveryTime)
	r.done.Store(true)
	r.running.Wait()
	r.awaitReplicasInSync()
	for _, check := range r.finalChecks {
		check()
	}
	for _, cl := range r.clients {
		cl.moveToOtherVM()
		if !cl.ensureConnected() {
			r.problemf("%s cannot connect after the faults were healed", cl.name)
			continue
		}
		cl.readOwnWrites()
		cl.close()
	}
}

func (r *scenarioRun) awaitReplicasInSync() {
	for end := time.Now().Add(maxRecoveryTime); !r.replicasInSync(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			r.problemf("the replicas are not in sync within %v: %s", maxRecoveryTime, r.serverStatuses())
			return
		}
	}
}

// replicasInSync reports whether all replicas follow the primary and hold its
// whole log.
func (r *scenarioRun) replicasInSync() bool {
	p := r.primary().Status()
	for _, s := range r.replicas() {
		st := s.Status()
		if st.Role != state.Replica || st.Primary != p.Server || st.LogTerm != p.LogTerm || st.Position != p.Position {
			return false
		}
	}
	return p.Role == state.Primary
}

func (r *scenarioRun) serverStatuses() string {
	text := ""
	for _, s := range r.group.Servers() {
		st := s.Status()
		text += fmt.Sprintf("%s is %s, adopted %d, log (%d, %d), follows %q; ", st.Server, st.Role, st.AdoptedTerm, st.LogTerm, st.Position, st.Primary)
	}
	return text
}

// checkKeyRevoked records a problem for each VM that accepts the revoked key.
func (r *scenarioRun) checkKeyRevoked() {
	time.Sleep(maxRevocationTime)
	for vm := range r.fleet.Profile.VMs {
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		conn, err := r.fleet.Connect(ctx, revokedCustomer, route, vm, fleet.NewSession)
		if err == nil {
			_ = conn.Close(ctx) // the key was accepted, which is reported below
		}
		if code := codeOf(err); code != "28P01" {
			r.problemf("%s: connecting with the revoked key gave code %q, want 28P01", fleet.VMName(vm), code)
		}
		cancel()
	}
}
