// Package failover decides when a group needs a new primary and which server
// becomes it, tells servers to follow, and hands a primary over when its server
// or data centre leaves.
//
// Safety rests on the servers' promises alone: a term is established only after
// a majority has adopted it, each server adopts a term once, and the promoted
// server holds the highest log of a majority of the adopters. Which VM acts, and
// how many act at once, does not matter. The functions change the given state
// and return effects; they do no I/O.
package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Detection.
const (
	probeInterval = 500 * time.Millisecond
	// suspectInterval is the probe interval while the group is not healthy. It
	// lasts for suspectPeriod, so that a long outage costs no more than watching.
	suspectInterval = 100 * time.Millisecond
	suspectPeriod   = 10 * time.Second
	// A VM that does not watch the group asks again about a server that failed
	// after a quarter of the time since it fell silent, within these limits.
	minRecheck = 1 * time.Second
	maxRecheck = 30 * time.Second
	// answerWindow is how long an answer shows that a server is alive: two
	// probes and the time that a probe may take.
	answerWindow = 1500 * time.Millisecond
	// missedProbes and pressedSilence make a silent primary count as failed,
	// without and with requests that wait. Two queries must have failed in both
	// cases: a VM that was paused finds its own queries old, but not failed.
	missedProbes   = 3
	missedSilence  = (missedProbes - 1) * probeInterval
	pressedSilence = 400 * time.Millisecond
	pressedMissed  = 2
	// downSilence is enough if the host of the primary refuses connections: no
	// process listens there, so nothing can be on its way.
	downSilence = 150 * time.Millisecond
	// reportPeriod is how long another VM's report of a failure counts as
	// requests that wait.
	reportPeriod = 2 * time.Second
)

// Delays before this VM acts, so that others find the work done.
const (
	watcherStagger = 50 * time.Millisecond  // between the watchers of a group
	waiterStagger  = 250 * time.Millisecond // times rank + 1, for VMs that do not watch
	// promotionPatience is left to a promotion that another VM has begun. One
	// takes three calls to servers.
	promotionPatience = 250 * time.Millisecond
	// ticketPatience covers the time that a ticket takes to reach every VM.
	ticketPatience = 10 * time.Second
	// strayPatience is longer, because a working primary has to be promoted
	// again to get a stray server back.
	strayPatience = 2 * time.Second
	strayStagger  = 500 * time.Millisecond
	rejoinDelay   = 250 * time.Millisecond
	// switchoverStagger is left to the watcher in the successor's data centre.
	switchoverStagger = 1 * time.Second
	// resumePatience is left to a VM that has already seen a newer ticket.
	resumePatience = 5 * time.Second
)

// Time limits and retries.
const (
	orderTimeout      = 500 * time.Millisecond // adopt, promote, follow, resume
	switchoverTimeout = 2 * time.Second
	stepSlack         = 100 * time.Millisecond // for the end of a call to be noticed
	// adoptGrace is left to the remaining servers once a majority has adopted:
	// writes that only they hold are otherwise lost.
	adoptGrace     = 20 * time.Millisecond
	retryBase      = 50 * time.Millisecond // doubles with every failed attempt
	retryDoublings = 4
	followRetry    = 1 * time.Second
	plannedRetry   = 5 * time.Second
)

// Part is this VM's part in a group.
type Part struct {
	Watcher    bool
	Rank       int // among all VMs for this group
	Index      uint16
	HasIndex   bool // without an index the VM promotes nothing
	DataCentre string
}

// Input is what a decision is based on. Group is nil if it is not configured.
type Input struct {
	State  *state.GroupState
	Config *state.Config
	Group  *state.Group
	Part   Part
	Now    time.Time
}

// Order is an order to a backend server.
type Order string

// Orders.
const (
	Adopt      Order = "adopt"
	Promote    Order = "promote"
	Follow     Order = "follow"
	Switchover Order = "switchover"
	Resume     Order = "resume"
)

// Effect is an instruction to the driver.
type Effect interface{ effect() }

// Call gives an order to a server. The driver passes the same value to Answer.
type Call struct {
	Order   Order
	Server  string
	Term    uint64
	Peer    string // Follow: the primary; Switchover: the successor
	Sent    time.Time
	Timeout time.Duration
}

// Probe asks for a round of status queries now.
type Probe struct{}

// WakeAt asks for a call of Tick. It replaces the WakeAt of every earlier call
// for the group; a call that returns none cancels it.
type WakeAt struct{ At time.Time }

// Announce asks to pass the view of the group on to other VMs.
type Announce struct{}

// Step is an event of a failover that is worth a log line or a metric.
type Step string

// Steps.
const (
	StepSuspected Step = "suspected"
	StepDetected  Step = "detected" // the attempt begins
	StepAdopted   Step = "adopted"  // by a majority
	StepPromoted  Step = "promoted"
	StepGivenUp   Step = "given up"
	StepSwitching Step = "switchover"
	StepDrained   Step = "drained" // the successor holds the whole log
	StepFollow    Step = "follow"
	StepResume    Step = "resume"
)

// Report describes a step, for logs and metrics.
type Report struct {
	Step   Step
	Server string
	Term   uint64
	After  time.Duration // since the previous step; for StepDetected since the primary fell silent
	Reason string
}

func (Call) effect()     {}
func (Probe) effect()    {}
func (WakeAt) effect()   {}
func (Announce) effect() {}
func (Report) effect()   {}

// Result says how a call ended.
type Result int

// Results of calls.
const (
	Done    Result = iota + 1
	Refused        // the server answered that it did not carry out the order
	Failed         // no answer; the order may still be carried out
)

// Outcome is the end of a call. Status is set unless the call failed.
type Outcome struct {
	Result Result
	Status state.ServerStatus
}

// Tick decides what is due. Call it after every change of the group's state.
func Tick(in Input) []Effect { return decide(in, func(*decision) {}) }

// Answer takes in the end of a call. Late and repeated answers are allowed.
func Answer(in Input, c Call, o Outcome) []Effect {
	return decide(in, func(d *decision) { d.answer(c, o) })
}

// Suspect takes in that a connection to the server broke or that the server did
// not answer in time. The servers are probed at once.
func Suspect(in Input, server string) []Effect {
	return decide(in, func(d *decision) {
		if d.Group.Server(server) == nil {
			return
		}
		d.State.ObserveFailure(server, d.Now)
		d.add(Probe{})
	})
}

// Merge takes in another VM's view of the group.
func Merge(in Input, term uint64, primary string, suspect bool) []Effect {
	return decide(in, func(d *decision) {
		d.State.Learn(term, primary)
		if suspect && term == d.State.Term && primary == d.State.Primary {
			d.f.ReportedAt = d.Now
		}
	})
}

// decision is one run of the decisions on a group.
type decision struct {
	Input
	f       *state.FailoverState
	effects []Effect
	wake    time.Time // zero if no wake-up is needed
}

func decide(in Input, event func(d *decision)) []Effect {
	if in.Group == nil || in.Config == nil {
		return nil
	}
	in.State.Configure(in.Group)
	d := &decision{Input: in, f: &in.State.Failover}
	event(d)
	d.assess()
	d.step()
	d.rejoin()
	d.probe()
	if !d.wake.IsZero() {
		d.add(WakeAt{d.wake})
	}
	return d.effects
}

func (d *decision) add(e Effect) { d.effects = append(d.effects, e) }

// wakeAt asks for a wake-up at the given time, if none is wanted earlier.
func (d *decision) wakeAt(at time.Time) {
	if d.wake.IsZero() || at.Before(d.wake) {
		d.wake = at
	}
}

// due reports whether the given time has come, and asks for a wake-up if not.
func (d *decision) due(at time.Time) bool {
	if d.Now.Before(at) {
		d.wakeAt(at)
		return false
	}
	return true
}

func (d *decision) call(o Order, server string, term uint64, peer string, timeout time.Duration) {
	d.add(Call{Order: o, Server: server, Term: term, Peer: peer, Sent: d.Now, Timeout: timeout})
}

func (d *decision) inService(server string) bool {
	s := d.Group.Server(server)
	return s != nil && d.Config.ServerState(s) == state.InService
}

// waiting reports whether requests of this VM wait for the group.
func (d *decision) waiting() bool { return len(d.State.Waiters) > 0 }

// acts reports whether this VM acts for the group at all.
func (d *decision) acts() bool { return d.Part.Watcher || d.waiting() }

// watcherOrder is the position of this VM among the watchers of the group: the
// order of their data centres among the servers that can take over.
func (d *decision) watcherOrder() int {
	order := 0
	seen := make(map[string]bool)
	for _, s := range d.Group.Servers {
		if s.Name == d.State.Primary || seen[s.DataCentre] {
			continue
		}
		if s.DataCentre == d.Part.DataCentre {
			return order
		}
		seen[s.DataCentre] = true
		order++
	}
	return order
}

// stagger is how long this VM leaves a task to others.
func (d *decision) stagger() time.Duration {
	if d.Part.Watcher {
		return time.Duration(d.watcherOrder()) * watcherStagger
	}
	return time.Duration(d.Part.Rank+1) * waiterStagger
}
