// Package failover decides when a group needs a new primary, selects and promotes
// it, reattaches replicas, and performs planned switchovers when the primary's
// server or data centre is leaving.
//
// Safety depends only on the terms that servers adopt: a server is promoted only
// after a majority of the group has adopted the term, each server adopts a term
// once, and the promoted server has the most advanced log of such a majority. It
// does not depend on which VMs act, or on how many act at once. The functions
// change the given state and return effects; they do no I/O.
package failover

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Detection of failed servers.
const (
	probeInterval = 500 * time.Millisecond
	// suspectInterval is the probe interval during the first suspectPeriod of an
	// unhealthy condition. The limit keeps long outages from costing more than
	// normal probing.
	suspectInterval = 100 * time.Millisecond
	suspectPeriod   = 10 * time.Second
	// A VM that does not watch the group queries a failed server again after a
	// quarter of the time for which it has been silent, within these limits.
	minRecheck = 1 * time.Second
	maxRecheck = 30 * time.Second
	// answerWindow is how long a server counts as responsive after a query that it
	// answered was sent: two probe intervals and the duration of a probe.
	answerWindow = 1500 * time.Millisecond
	// A silent primary counts as failed after silenceWithoutWaiters and
	// missedProbesWithoutWaiters failed queries if no request waits, and after
	// silenceWithWaiters if one does. In every case at least minMissedProbes queries
	// must have failed: after a pause of this VM its queries are old, but have not
	// failed.
	missedProbesWithoutWaiters = 3
	silenceWithoutWaiters      = (missedProbesWithoutWaiters - 1) * probeInterval
	silenceWithWaiters         = 400 * time.Millisecond
	minMissedProbes            = 2
	// refusedSilence is sufficient, together with minMissedProbes, if the primary's
	// host refuses connections: no process listens there, so no answer can be in
	// flight.
	refusedSilence = 150 * time.Millisecond
	// reportPeriod is how long a failure report of another VM has the same effect
	// as waiting requests.
	reportPeriod = 2 * time.Second
)

// Delays before this VM acts, so that one VM usually acts before the others.
const (
	watcherStagger = 50 * time.Millisecond  // between consecutive watchers of a group
	waiterStagger  = 250 * time.Millisecond // times rank + 1, for VMs that do not watch the group
	// promotionGrace is the time allowed for a promotion that another VM has
	// begun, which takes three calls to servers.
	promotionGrace = 250 * time.Millisecond
	// ticketPropagation exceeds the time in which a ticket reaches every VM.
	ticketPropagation = 10 * time.Second
	// divergedGrace is longer than promotionGrace, because recovering a server that
	// has adopted a later term requires promoting a working primary again.
	divergedGrace   = 2 * time.Second
	divergedStagger = 500 * time.Millisecond // between consecutive watchers of a group
	// rejoinDelay is how long a server must have been detached before a VM that did
	// not promote the primary orders it to follow. The VM that did sends its orders
	// at once.
	rejoinDelay = 250 * time.Millisecond
	// switchoverStagger gives precedence to the watcher in the successor's data
	// centre.
	switchoverStagger = 1 * time.Second
	// resumeGrace is how long the primary may refuse writes, without a switchover
	// that this VM's ticket requires, before this VM resumes it. A VM with a newer
	// ticket may be performing one.
	resumeGrace = 5 * time.Second
)

// Timeouts of orders, and delays between attempts.
const (
	orderTimeout      = 500 * time.Millisecond // adopt, promote, follow, resume
	switchoverTimeout = 2 * time.Second        // for the replica to receive the rest of the log
	stepSlack         = 100 * time.Millisecond // lets a call's own timeout be reported first
	// adoptGrace is how long to wait for the remaining servers once a majority has
	// adopted the term; writes that only they hold would otherwise be lost.
	adoptGrace     = 20 * time.Millisecond
	retryBase      = 50 * time.Millisecond // doubles with every failed attempt
	retryDoublings = 4
	followRetry    = 1 * time.Second // between follow orders to the same server
	plannedRetry   = 5 * time.Second // between switchovers of a group
)

// VMRole describes the role of this VM in a group.
type VMRole struct {
	// Watcher says that this VM probes the group permanently. Normally one VM per
	// data centre that holds a server of the group does so.
	Watcher    bool
	Rank       int    // of this VM among all VMs, for this group
	Index      uint16 // low-order bits of the terms that this VM creates
	HasIndex   bool   // a VM without an index cannot create terms and starts no attempts
	DataCentre string
}

// Input holds the state, configuration and time that a decision depends on. Group
// is nil if it is not configured.
type Input struct {
	State  *state.GroupState
	Config *state.Config
	Group  *state.Group
	Role   VMRole
	Now    time.Time
}

// Order is a control command to a backend server.
type Order string

// Values of Order.
const (
	Adopt      Order = "adopt"
	Promote    Order = "promote"
	Follow     Order = "follow"
	Switchover Order = "switchover"
	Resume     Order = "resume"
)

// Effect is an action that the driver must carry out.
type Effect interface{ effect() }

// Call sends an order to a server. The driver passes the same value to
// HandleOutcome.
type Call struct {
	Order   Order
	Server  string
	Term    uint64
	Peer    string // Follow: the primary; Switchover: the successor
	Sent    time.Time
	Timeout time.Duration
}

// Probe requests an immediate round of status queries.
type Probe struct{}

// WakeAt requests a call of Tick at the given time. It replaces any earlier WakeAt
// of the group; a decision that returns no WakeAt cancels the earlier one.
type WakeAt struct{ At time.Time }

// Announce requests that the state of the group is sent to other VMs.
type Announce struct{}

// Step is an event of a failover that is logged and counted.
type Step string

// Values of Step.
const (
	StepSuspected Step = "suspected"
	StepDetected  Step = "detected" // an attempt begins
	StepAdopted   Step = "adopted"  // a majority has adopted the term
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
	After  time.Duration // since the previous step; for StepDetected since the primary became silent
	Reason string
}

func (Call) effect()     {}
func (Probe) effect()    {}
func (WakeAt) effect()   {}
func (Announce) effect() {}
func (Report) effect()   {}

// Result says whether a server executed an order.
type Result int

// Values of Result.
const (
	Done    Result = iota + 1
	Refused        // the server answered that it did not execute the order
	Failed         // no answer; the order may still be executed
)

// Outcome is the result of a call. Status is set unless the result is Failed.
type Outcome struct {
	Result Result
	Status state.ServerStatus
}

// Tick returns the effects that are due. It must be called after every change of
// the group's state.
func Tick(in Input) []Effect { return decide(in, func(*decision) {}) }

// HandleOutcome processes the outcome of a call. Late and repeated answers are
// allowed.
func HandleOutcome(in Input, c Call, o Outcome) []Effect {
	return decide(in, func(d *decision) { d.handleOutcome(c, o) })
}

// HandleConnectionFailure records that a connection to the server was lost or
// that the server did not answer in time, and requests an immediate probe.
func HandleConnectionFailure(in Input, server string) []Effect {
	return decide(in, func(d *decision) {
		if d.Group.Server(server) == nil {
			return
		}
		d.State.ObserveFailure(server, d.Now)
		d.emit(Probe{})
	})
}

// HandlePeerReport processes the state of the group as reported by another VM.
func HandlePeerReport(in Input, term uint64, primary string, suspect bool) []Effect {
	return decide(in, func(d *decision) {
		d.State.Learn(term, primary)
		if suspect && term == d.State.Term && primary == d.State.Primary {
			d.failover.ReportedAt = d.Now
		}
	})
}

// decision is a single evaluation of a group.
type decision struct {
	Input
	failover *state.FailoverState
	effects  []Effect
	wake     time.Time // zero if no wake-up is requested
}

func decide(in Input, event func(d *decision)) []Effect {
	if in.Group == nil || in.Config == nil {
		return nil
	}
	in.State.Configure(in.Group)
	d := &decision{Input: in, failover: &in.State.Failover}
	event(d)
	d.updateCondition()
	d.advance()
	d.rejoinReplicas()
	d.probeIfDue()
	if !d.wake.IsZero() {
		d.emit(WakeAt{d.wake})
	}
	return d.effects
}

func (d *decision) emit(e Effect) { d.effects = append(d.effects, e) }

// wakeAt requests a wake-up at the given time unless an earlier one is requested.
func (d *decision) wakeAt(at time.Time) {
	if d.wake.IsZero() || at.Before(d.wake) {
		d.wake = at
	}
}

// due reports whether the given time has been reached, and requests a wake-up if
// not.
func (d *decision) due(at time.Time) bool {
	if d.Now.Before(at) {
		d.wakeAt(at)
		return false
	}
	return true
}

func (d *decision) sendOrder(o Order, server string, term uint64, peer string, timeout time.Duration) {
	d.emit(Call{Order: o, Server: server, Term: term, Peer: peer, Sent: d.Now, Timeout: timeout})
}

func (d *decision) inService(server string) bool {
	s := d.Group.Server(server)
	return s != nil && d.Config.ServerState(s) == state.InService
}

// hasWaiters reports whether requests on this VM are waiting for the group.
func (d *decision) hasWaiters() bool { return len(d.State.Waiters) > 0 }

// mayAct reports whether this VM may act on the group at present.
func (d *decision) mayAct() bool { return d.Role.Watcher || d.hasWaiters() }

// watcherOrder returns the position of this VM among the watchers of the group.
// Watchers are ordered as their data centres first appear in the list of the
// servers other than the primary.
func (d *decision) watcherOrder() int {
	order := 0
	seen := make(map[string]bool)
	for _, s := range d.Group.Servers {
		if s.Name == d.State.Primary || seen[s.DataCentre] {
			continue
		}
		if s.DataCentre == d.Role.DataCentre {
			return order
		}
		seen[s.DataCentre] = true
		order++
	}
	return order
}

// stagger returns how long this VM waits for other VMs to act first.
func (d *decision) stagger() time.Duration {
	if d.Role.Watcher {
		return time.Duration(d.watcherOrder()) * watcherStagger
	}
	return time.Duration(d.Role.Rank+1) * waiterStagger
}
