// Package promotion carries out the succession of primaries: the VM that is the
// fleet's steward watches the groups, and orders the platform to promote.
package promotion

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

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
	// claimAfter is how long a VM must be the fleet's choice before it claims
	// the duty, so that short disagreements move nothing.
	claimAfter = 700 * time.Millisecond
	// askTimeout bounds questions to servers; a server that is up answers
	// within a few statements' time.
	askTimeout = 400 * time.Millisecond
	// maxAsks is how many groups are asked at each tick. The groups of a large
	// deployment would otherwise be asked all at once when the duty moves.
	maxAsks = 20
	// orderTimeout bounds a call to the platform, which answers in milliseconds,
	// or in some hundreds of them when it is slow.
	orderTimeout = 500 * time.Millisecond
	// maxOrders bounds the repetitions of an order before the group is looked at
	// anew.
	maxOrders = 5
	// catchUp is how long a handover waits for a replica to receive the rest of
	// the log. Most replicas need tens of milliseconds.
	catchUp      = 1200 * time.Millisecond
	catchUpCheck = 25 * time.Millisecond
	storeTimeout = time.Second
	// tokenBlock is how many fencing tokens a claim reserves. They let the
	// steward order promotions while the store is down.
	tokenBlock = 1000
)

// Platform carries out promotions.
type Platform interface {
	// Promote makes the server the primary of the group. It fails with
	// ErrRefused if the platform refused the order, and otherwise if it is not
	// known whether the order was or will be carried out.
	Promote(ctx context.Context, group, server, holder string, token uint64) error
}

// ErrRefused says that a newer order was given or the server does not run.
var ErrRefused = eris.New("the platform refused the order")

// Duty is the store's record of who orders promotions.
type Duty struct {
	Holder   string
	NextFree uint64 // lowest fencing token that nobody has reserved
	Revision uint64 // of the record; zero if there is none yet
}

// Duties keeps the record.
type Duties interface {
	// ReadDuty returns the record as of now.
	ReadDuty(ctx context.Context) (Duty, error)
	// WriteDuty replaces the record if its revision is still d.Revision.
	WriteDuty(ctx context.Context, d Duty) error
}

// Runner runs statements on the fleet's VMs.
type Runner interface {
	Run(vm string, w *statement.Work, done func(statement.Result))
}

// Options are the parts that a Steward uses.
type Options struct {
	Name     string
	Platform Platform
	Duties   Duties
	Runner   Runner
	Reports  sqlback.Dialect
	Table    *catalog.Table
	Leads    *leadership.Table
	View     func() *placement.View
	Logger   log.Interface
	Scope    tally.Scope
}

// Steward watches the groups while its VM is the fleet's steward. Create it
// with New.
type Steward struct {
	Options
	started     time.Duration
	chosenSince time.Duration // zero while another VM is the choice; used by Run only
	orders      tally.Counter
	steps       map[step]tally.Histogram

	mu        lockrank.Mutex // guards the fields below
	nextToken uint64         // next reserved fencing token
	endToken  uint64         // end of the reserved tokens
	groups    map[string]*watch
}

// step is a step of the replacement of a primary.
type step string

const (
	stepDetect step = "detect" // from the latest proof of the lead to the decision
	stepOrder  step = "order"  // an order, whatever its outcome
	stepLead   step = "lead"   // from the order to the new primary's proof
)

// stepBuckets reach to the 7 s in which a change of primary must be over.
var stepBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 12)

func newSteps(scope tally.Scope) map[step]tally.Histogram {
	steps := make(map[step]tally.Histogram)
	for _, s := range []step{stepDetect, stepOrder, stepLead} {
		steps[s] = scope.Tagged(map[string]string{"step": string(s)}).Histogram("promotion_step", stepBuckets)
	}
	return steps
}

// watch is what the steward remembers of a group.
type watch struct {
	since    time.Duration
	failures int
	refusals int // of them, see succession.Facts
	askedAt  time.Duration
	asking   bool
	busy     bool // a promotion is under way
	// unanswered is set after an order whose outcome is not known: it may still
	// be carried out, until a newer order is.
	unanswered bool
}

// New returns a steward.
func New(o Options) *Steward {
	return &Steward{
		Options: o, started: clock.Now(), orders: o.Scope.Counter("promotions_ordered"), steps: newSteps(o.Scope),
		mu: lockrank.New(lockrank.Session), groups: make(map[string]*watch),
	}
}

// Run watches until ctx is done.
func (s *Steward) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case <-ticker.C:
		}
		if s.chosen() && s.hold(ctx) {
			s.check(ctx, g)
		}
	}
}

// chosen reports whether this VM has been the fleet's choice for long enough.
// While no VM reaches the store, nobody can claim the duty, and its holder keeps
// it.
func (s *Steward) chosen() bool {
	view := s.View()
	if !view.StoreReached() {
		return s.held()
	}
	if view.Steward() != s.Name {
		if s.chosenSince != 0 {
			s.Logger.Info("promotion: another VM is the steward.")
		}
		s.chosenSince = 0
		s.mu.Lock()
		s.groups = make(map[string]*watch)
		s.nextToken, s.endToken = 0, 0
		s.mu.Unlock()
		return false
	}
	now := clock.Now()
	if s.chosenSince == 0 {
		s.chosenSince = now
	}
	return now-s.chosenSince >= claimAfter
}

// held reports whether this VM holds the duty.
func (s *Steward) held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nextToken < s.endToken
}

// hold claims the duty unless this VM holds it.
func (s *Steward) hold(ctx context.Context) bool {
	if s.held() {
		return true
	}
	if s.Table.Current().Config == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	duty, err := s.Duties.ReadDuty(ctx)
	if err == nil {
		duty.Holder = s.Name
		first := max(duty.NextFree, 1)
		duty.NextFree = first + tokenBlock
		if err = s.Duties.WriteDuty(ctx, duty); err == nil {
			s.mu.Lock()
			s.nextToken, s.endToken = first, duty.NextFree
			s.mu.Unlock()
			s.Logger.WithFields(log.Fields{"token": first}).Info("promotion: this VM is the steward.")
			return true
		}
	}
	s.Logger.WithError(err).Warn("promotion: the duty cannot be claimed.")
	// The answer may have been lost after the record was written; the tokens
	// that it reserved stay unused.
	s.chosenSince = clock.Now()
	return false
}

// token returns a fencing token that was never used.
func (s *Steward) token() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextToken >= s.endToken {
		return 0, false
	}
	s.nextToken++
	return s.nextToken - 1, true
}

// check decides about each group that a route uses.
func (s *Steward) check(ctx context.Context, g *errgroup.Group) {
	d := s.Table.Current()
	round := round{deployment: d, interval: succession.AskInterval(len(d.Config.Groups)), asks: maxAsks}
	seen := make(map[string]bool)
	for _, route := range d.Config.Routes {
		if seen[route.Group] || len(d.GroupServers(route.Group)) == 0 {
			continue
		}
		seen[route.Group] = true
		s.checkGroup(ctx, g, &round, route.Group)
	}
}

// round is one look at all groups.
type round struct {
	deployment *catalog.Deployment
	interval   time.Duration // see succession.AskInterval
	asks       int           // questions that are left
}

func (s *Steward) checkGroup(ctx context.Context, g *errgroup.Group, r *round, group string) {
	now, d := clock.Now(), r.deployment
	facts := succession.Facts{Now: now, Isolated: s.View().Isolated(), Interval: r.interval, RegisteredAt: d.RegisteredAt}
	s.Leads.With(group, func(l *leadership.Group) {
		facts.Primary = l.Primary(d.GroupServers(group), now)
		facts.ProvenAt = l.ProvenAt()
	})
	facts.Leaving = facts.Primary != nil && !d.Usable(facts.Primary)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.groups[group]
	if w == nil {
		// A VM that takes the duty over has heard of proofs before.
		w = &watch{since: s.started}
		s.groups[group] = w
	}
	if w.busy {
		return
	}
	if facts.ProvenAt >= w.askedAt {
		w.failures, w.refusals = 0, 0
	}
	facts.Failures, facts.Refusals, facts.Since = w.failures, w.refusals, w.since
	switch succession.Decide(facts) {
	case succession.Ask:
		if !w.asking && r.asks > 0 {
			r.asks--
			w.asking, w.askedAt = true, now
			s.ask(group, facts.Primary, w)
		}
	case succession.HandOver:
		w.busy = true
		g.Go(func() error { s.handOver(ctx, group, facts.Primary, w); return nil })
	case succession.Replace:
		w.busy = true
		s.steps[stepDetect].RecordDuration(now - facts.ProvenAt)
		s.Logger.WithFields(log.Fields{"group": group, "proof_age_ms": (now - facts.ProvenAt).Milliseconds(), "failures": w.failures, "refusals": w.refusals}).
			Warn("promotion: the primary is lost.")
		g.Go(func() error { s.replace(ctx, group, facts.Primary, w); return nil })
	default:
		if w.unanswered && facts.Primary != nil && facts.ProvenAt >= w.askedAt {
			w.busy = true
			g.Go(func() error { s.fence(ctx, group, facts.Primary, w); return nil })
		}
	}
}
