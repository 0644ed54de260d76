// Package promotion performs failovers and switchovers of primaries. One VM of
// the fleet, the failover coordinator, monitors the groups and orders the
// platform to promote servers.
package promotion

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/succession"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

const (
	tickInterval = 100 * time.Millisecond
	// claimDelay is how long a VM must have been selected as the coordinator
	// before it claims the duty, so that short differences between the views of
	// VMs do not move the duty to another VM.
	claimDelay = 700 * time.Millisecond
	// queryTimeout limits queries to servers. A server that is up answers
	// within the duration of a few statements.
	queryTimeout = 400 * time.Millisecond
	// maxQueriesPerTick limits the groups that are queried per tick. Otherwise
	// all groups of a large deployment would be queried at once when the duty
	// moves to another VM.
	maxQueriesPerTick = 20
	// maxSupersedesPerTick limits the orders to stay to 20 per second, when a VM claims the
	// duty. Platforms accept some 50 orders per second.
	maxSupersedesPerTick = 2
	// orderTimeout limits a call to the platform, which takes milliseconds, or
	// some hundreds of them if the platform is slow.
	orderTimeout = 500 * time.Millisecond
	// maxOrders limits how often an order is repeated before the group is
	// evaluated again.
	maxOrders = 5
	// maxPromoteDelay is the longest time between the platform's answer to an order and
	// its effect. The platform decides only then whether the server already is the
	// primary.
	maxPromoteDelay = time.Second
	// catchUpTimeout is how long a switchover waits for a replica to receive the
	// remaining log. Most replicas need tens of milliseconds.
	catchUpTimeout = 1200 * time.Millisecond
	// pollInterval separates the queries that wait for a replica to catch up or
	// for a new primary to confirm its leadership.
	pollInterval = 25 * time.Millisecond
	storeTimeout = time.Second
	// tokensPerClaim is the number of fencing tokens that a claim reserves.
	// They allow the coordinator to order promotions while the store is
	// unavailable.
	tokensPerClaim = 1000
)

// Platform executes promotions.
type Platform interface {
	// Promote makes the server the primary of the group. If it fails with
	// ErrRefused, the platform refused the order; if it fails with ErrNotSent, the
	// platform did not receive it. After any other error the order may have been
	// executed, or may still be executed.
	Promote(ctx context.Context, group, server, holder string, token uint64) error
}

// ErrRefused states that the platform refused an order because a newer one was
// given or the server is not running.
var ErrRefused = eris.New("the platform refused the order")

// ErrNotSent states that the platform could not be reached.
var ErrNotSent = eris.New("the platform could not be reached")

// Fencer makes the other VMs stop using a former primary. Package fencing has the
// rules.
type Fencer interface {
	// Designate makes the VMs use no other server as the primary of the group, and
	// returns true once none does.
	Designate(ctx context.Context, d fencing.Designation, drain time.Duration) bool
	// AnnounceClaim returns true once no earlier coordinator can send an order.
	AnnounceClaim(ctx context.Context, token uint64, orderTimeout time.Duration) bool
	// Claim returns the first fencing token of the latest known coordinator.
	Claim() uint64
	// HasLease reports whether this VM has contact with a quorum of the VMs.
	HasLease() bool
}

// Runner runs statements on the VMs of the fleet.
type Runner interface {
	Run(vm string, w *statement.RemoteStatement, done func(statement.Result))
}

// Options holds the dependencies of a Coordinator.
type Options struct {
	Name       string
	Platform   Platform
	Duties     Duties
	Runner     Runner
	Reports    sqlback.Dialect // decodes the servers' reports of role and position
	Table      *catalog.Table
	Leadership *leadership.Table
	Fencer     Fencer // nil if the platform enforces fencing
	View       func() *placement.View
	StoreEra   func() uint64 // highest era of the store that this VM has learned of; nil if there are no eras
	Logger     log.Interface
	Scope      tally.Scope
}

// Coordinator monitors the groups while its VM is the failover coordinator. It must
// be created with New.
type Coordinator struct {
	Options
	started       time.Duration
	selectedSince time.Duration // zero while another VM is selected; used by Run only
	orderCount    tally.Counter
	steps         map[step]tally.Histogram
	background    sync.WaitGroup // writes of the record

	mu         lockrank.Mutex // guards the fields below
	firstToken uint64         // first of the reserved fencing tokens
	nextToken  uint64         // next unused fencing token of the reserved ones
	endToken   uint64         // end of the reserved fencing tokens, exclusive
	tokenEra   uint64         // era of the store in which they were reserved
	lostDuty   bool           // the store has a new era, and this VM has not claimed the duty in it
	unverified bool           // another VM may have claimed the duty, see verifyDuty
	verifyAt   time.Duration  // earliest time of the next attempt to verify it
	exclusive  bool           // no earlier coordinator can send an order
	groups     map[string]*groupState
	// record is what the duty record says about groups, as far as this VM knows.
	record        map[string]GroupRecord
	recordChanged bool          // groups has something that record lacks
	saving        bool          // the record is being written
	saveAt        time.Duration // earliest time of the next attempt to write it
}

// step is a step of a change of primary.
type step string

const (
	stepDetect  step = "detect" // from the latest leadership confirmation to the decision
	stepFence   step = "fence"  // until the VMs have stopped using the former primary
	stepOrder   step = "order"  // an order, regardless of its outcome
	stepConfirm step = "lead"   // from the order to the new primary's confirmation
)

// stepBuckets cover the 7 s in which a change of primary must be complete.
var stepBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)

func newSteps(scope tally.Scope) map[step]tally.Histogram {
	steps := make(map[step]tally.Histogram)
	for _, s := range []step{stepDetect, stepFence, stepOrder, stepConfirm} {
		steps[s] = scope.Tagged(map[string]string{"step": string(s)}).Histogram("promotion_step", stepBuckets)
	}
	return steps
}

// groupState is what the coordinator records about a group.
type groupState struct {
	claim        uint64        // first token of the claim for which the state was prepared, see inherit
	watchedSince time.Duration // start of monitoring, or end of the last promotion
	failures     int
	refusals     int // failures that were refused connections, see succession.GroupStatus
	queriedAt    time.Duration
	queryPending bool
	promoting    bool // a promotion, an order to keep the primary, or the end of a pause is in progress
	// orderUnconfirmed is set after an order whose outcome is unknown, and when an earlier
	// coordinator may have given one. It may still be executed, until a newer order has
	// been.
	orderUnconfirmed bool
	ordering         bool          // an order is being sent
	supersedeAt      time.Duration // earliest time to supersede an earlier coordinator's orders
	switchoverAt     time.Duration // earliest time of the next switchover, after one that failed
	// ordersEndAt is when the latest accepted order has taken effect at the latest.
	ordersEndAt time.Duration
	paused      map[string]bool // servers that may be paused, by ID
	resumeAt    time.Duration   // earliest time of the next attempt to resume them
	// checkingPause and pauseCheckAt are for findPaused.
	checkingPause bool
	pauseCheckAt  time.Duration
	promotions    succession.Promotions
	members       succession.Members
	reviewing     bool          // members that are gone are being dropped
	reviewAt      time.Duration // earliest time of the next attempt to do so
}

// New returns a Coordinator that is not running yet.
func New(o Options) *Coordinator {
	return &Coordinator{
		Options: o, started: clock.Now(), orderCount: o.Scope.Counter("promotions_ordered"), steps: newSteps(o.Scope),
		mu: lockrank.New(lockrank.Session), groups: make(map[string]*groupState),
	}
}

// Run monitors the groups until ctx is done.
func (c *Coordinator) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.background.Wait()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		if c.selected() && c.claimDuty(ctx, g) {
			c.checkGroups(ctx, g)
			c.saveRecord(ctx)
		}
	}
}

// checkGroups evaluates each group that is used by a route.
func (c *Coordinator) checkGroups(ctx context.Context, g *errgroup.Group) {
	d := c.Table.Current()
	check := groupCheck{deployment: d, interval: succession.QueryInterval(len(d.Config.Groups)), queriesLeft: maxQueriesPerTick, supersedesLeft: maxSupersedesPerTick}
	seen := make(map[string]bool)
	for _, route := range d.Config.Routes {
		if seen[route.Group] || len(d.GroupServers(route.Group)) == 0 {
			continue
		}
		seen[route.Group] = true
		c.checkGroup(ctx, g, &check, route.Group)
	}
}

// groupCheck is one evaluation of all groups.
type groupCheck struct {
	deployment  *catalog.Deployment
	interval    time.Duration // see succession.QueryInterval
	queriesLeft int           // queries that may still be sent
	// supersedesLeft limits the orders that supersede earlier ones.
	supersedesLeft int
}

// checkGroup starts what is due for the group. Calls to other components are made
// without mu, because their callbacks take it.
func (c *Coordinator) checkGroup(ctx context.Context, g *errgroup.Group, check *groupCheck, group string) {
	now, d := clock.Now(), check.deployment
	registered := d.GroupServers(group)
	status := succession.GroupStatus{Now: now, Isolated: c.View().InMinority(), Interval: check.interval, RegisteredAt: d.RegisteredAt}
	awaited := ""
	c.Leadership.With(group, func(l *leadership.Group) {
		status.Primary = l.Primary(registered, now)
		status.ConfirmedAt = l.ConfirmedAt()
		status.Confirmed = status.Primary != nil && status.Primary.ID == l.ConfirmedPrimary()
		awaited = l.AwaitsDesignated()
	})
	status.Leaving = status.Confirmed && !d.Usable(status.Primary)
	noLease := c.Fencer != nil && !c.Fencer.HasLease()
	gs, action := c.decide(group, &status, registered, noLease, check)
	switch action {
	case actionQuery:
		check.queriesLeft--
		c.queryPrimary(group, status.Primary, gs)
	case actionSwitchover:
		g.Go(func() error {
			if c.Fencer != nil {
				c.switchOverFenced(ctx, group, status.Primary, gs)
			} else {
				c.switchOver(ctx, group, status.Primary, gs)
			}
			return nil
		})
	case actionReplace:
		c.steps[stepDetect].RecordDuration(now - status.ConfirmedAt)
		c.Logger.WithFields(log.Fields{"group": group, "proof_age_ms": (now - status.ConfirmedAt).Milliseconds(), "failures": status.Failures, "refusals": status.Refusals}).
			Warn("promotion: the primary is lost.")
		g.Go(func() error {
			if c.Fencer != nil {
				c.replaceFenced(ctx, group, status.Primary, awaited, gs)
			} else {
				c.replacePrimary(ctx, group, status.Primary, gs)
			}
			return nil
		})
	case actionSupersede:
		g.Go(func() error { c.supersedeOrder(ctx, group, status.Primary, gs); return nil })
	case actionResume:
		g.Go(func() error { c.endPause(ctx, group, gs); return nil })
	case actionReview:
		check.queriesLeft -= len(registered)
		g.Go(func() error { c.reviewMembers(ctx, group, status.Primary, gs); return nil })
	case actionFindPaused:
		check.queriesLeft -= len(registered)
		g.Go(func() error { c.findPaused(ctx, group, gs); return nil })
	}
}

// action is what checkGroup starts for a group.
type action uint8

const (
	actionNone       action = iota
	actionQuery             // query the primary
	actionSwitchover        // replace a leaving primary
	actionReplace           // replace a lost primary
	actionSupersede         // supersede an order whose outcome is unknown
	actionResume            // resume replicas that may be paused
	actionReview            // drop members of the group that are gone
	actionFindPaused        // look for replicas that are paused
)

// decide completes the status with the coordinator's own records and returns the action
// that is due for the group, which is recorded as begun. noLease says that queries fail
// for lack of a lease; check limits what may be started.
func (c *Coordinator) decide(group string, status *succession.GroupStatus, registered []*catalog.Server, noLease bool, check *groupCheck) (*groupState, action) {
	mayQuery := check.queriesLeft > 0
	synchronous := c.syncReplicas(group) > 0
	c.mu.Lock()
	defer c.mu.Unlock()
	gs := c.groups[group]
	if gs == nil {
		// watchedSince is the start of this VM rather than of its duty, because a
		// VM that takes over the duty has already received confirmations: those
		// from its own data centre and, in a small fleet, from the others too.
		gs = &groupState{watchedSince: c.started}
		c.inherit(group, gs, registered)
		c.groups[group] = gs
	}
	if gs.claim != c.firstToken {
		c.inherit(group, gs, registered)
	}
	c.updateMembers(gs, registered, synchronous)
	if gs.promoting {
		return gs, actionNone
	}
	if noLease {
		// The failures say nothing about the primary.
		gs.watchedSince = status.Now
	}
	if status.ConfirmedAt >= gs.queriedAt {
		gs.failures, gs.refusals = 0, 0
	}
	status.Failures, status.Refusals, status.WatchedSince = gs.failures, gs.refusals, gs.watchedSince
	if gs.mayResume(status.Now) && status.Now >= gs.resumeAt {
		gs.promoting = true
		return gs, actionResume
	}
	switch succession.Decide(*status) {
	case succession.QueryPrimary:
		if gs.queryPending || !mayQuery {
			return gs, actionNone
		}
		gs.queryPending, gs.queriedAt = true, status.Now
		return gs, actionQuery
	case succession.Switchover:
		if c.exclusive && status.Now >= gs.switchoverAt {
			gs.promoting = true
			return gs, actionSwitchover
		}
	case succession.Replace:
		if !c.exclusive {
			return gs, actionNone
		}
		gs.promoting = true
		return gs, actionReplace
	}
	if c.Fencer == nil && check.supersedesLeft > 0 && gs.needsSupersede(status) {
		check.supersedesLeft--
		gs.promoting = true
		return gs, actionSupersede
	}
	if synchronous && mayQuery && gs.needsReview(status, registered) {
		gs.reviewing = true
		return gs, actionReview
	}
	if synchronous && c.Fencer == nil && mayQuery && gs.needsPauseCheck(status) {
		gs.checkingPause, gs.pauseCheckAt = true, status.Now+pauseCheckRatio*status.Interval
		return gs, actionFindPaused
	}
	return gs, actionNone
}
