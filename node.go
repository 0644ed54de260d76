package chestnutdyke

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/fencing"
	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/coordination/usage"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/admin"
	"github.com/chestnutdyke/chestnutdyke/transport/admission"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
	"github.com/chestnutdyke/chestnutdyke/transport/dispatch"
	"github.com/chestnutdyke/chestnutdyke/transport/fencer"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/loadstats"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/promotion"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlfront"
	"github.com/chestnutdyke/chestnutdyke/transport/usagereport"
)

// NodeOptions configure a VM whose deployment is declared in a platform's store.
// Network, ClientDialect, ServerDialect, Source, Duties and Platform are the parts that
// depend on the platform.
type NodeOptions struct {
	Name          string
	DataCentre    string
	Weight        float64 // relative CPU capacity; VMs hold backend connections in proportion to it
	ClientAddress string
	LinkAddress   string   // host:port at which other VMs reach this one
	ReadyAddress  string   // HTTP readiness endpoint for load balancers, which also serves metrics; empty for none
	AdminAddress  string   // HTTP metrics and readiness endpoint; empty for none
	Seeds         []string // link addresses of VMs that may be running
	Workers       int
	Grace         time.Duration    // from the call of Drain until the process must have exited
	Bounds        directory.Bounds // times that operators allow until changes are in force

	Network       network.Network
	ClientDialect sqlfront.Dialect
	ServerDialect sqlback.Dialect
	Source        directory.Source
	Duties        promotion.Duties
	Platform      promotion.Platform
	// PlatformEnforcesFencing says that a replaced primary stops at once and that
	// the platform refuses orders with outdated fencing tokens. Otherwise the VMs
	// stop using a primary before another server is promoted; see package fencing.
	PlatformEnforcesFencing bool
	// Usage says whether and how usage is reported. UsageStore and UsagePlatform are used
	// only if it is.
	Usage         usage.Settings
	UsageStore    usagereport.Store
	UsagePlatform usagereport.Platform
	TimeOfDay     func() time.Time // nil means time.Now

	Logger  log.Interface
	Scope   tally.Scope
	Metrics http.Handler
	Tracer  trace.Tracer
}

const (
	// warmUpTime is how long a new VM waits for links to other VMs before it
	// reports ready. Without links it would open backend connections itself
	// instead of using those of the other VMs.
	warmUpTime = 600 * time.Millisecond
	// maxConfirmationAge is how old the latest confirmation of a primary's leadership
	// may be for its group to count as reachable from this VM.
	maxConfirmationAge = 1500 * time.Millisecond
	// maxConfirmationAgeCutOff replaces maxConfirmationAge if this VM reaches no
	// other data centre. Primaries in the VM's own data centre keep confirming their
	// leadership until VMs elsewhere have replaced them.
	maxConfirmationAgeCutOff = 800 * time.Millisecond
	// pollInterval is the time between two checks for isolation and, during a drain,
	// for remaining sessions and transactions.
	pollInterval = 100 * time.Millisecond
	// deregistrationDelay is how long the platform keeps sending new sessions to a
	// VM that is not ready: it takes two failed checks, one second apart.
	deregistrationDelay = 2200 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 700 * time.Millisecond
)

// Node is a VM whose deployment is declared in a platform's store. It runs until
// the context passed to NewNode is done.
type Node struct {
	options             NodeOptions
	ctx                 context.Context
	pool                *pool.Pool
	catalog             *catalog.Table
	leaders             *leadership.Table
	quota               *quota.Table
	links               *fleetlink.Links
	dispatcher          *dispatch.Dispatcher
	executor            *sqlback.Executor
	admission           *admission.Controller
	frontend            *sqlfront.Server
	directory           *directory.Directory
	failoverCoordinator *promotion.Coordinator
	fencer              *fencer.Fencer        // nil if the platform enforces fencing
	usage               *usagereport.Reporter // nil if usage is not reported
	started             time.Duration

	warmedUp        atomic.Bool // warmUpTime has passed since the start
	configConfirmed atomic.Bool // see directory.ConfigConfirmed
	isolated        atomic.Bool // result of the latest call of isIsolated
	draining        atomic.Bool
	drainStartedAt  atomic.Int64 // clock reading in ns when Drain was called; zero before
}

// NewNode creates a VM. It serves from the call of Run until ctx is done.
func NewNode(ctx context.Context, o NodeOptions) *Node {
	n := &Node{options: o, ctx: ctx, started: clock.Now(), pool: pool.New(o.Workers), catalog: catalog.NewTable(), leaders: leadership.NewSeededTable(o.Name)}
	n.quota = quota.NewTable(n.started)
	incarnation := time.Now().UnixNano()
	n.links = fleetlink.New(ctx, o.Network, n.pool, fleetwire.Status{
		Name: o.Name, Address: o.LinkAddress, DataCentre: o.DataCentre, Weight: o.Weight, Incarnation: incarnation,
		Fencing: !o.PlatformEnforcesFencing, NoLease: !o.PlatformEnforcesFencing, StoreConfirmations: true, Classes: true, ConnectionLoans: true, UnspentShares: true, LimitRanks: true, Usage: o.Usage.Enabled(),
	}, o.Logger)
	if o.Usage.Enabled() {
		n.usage = usagereport.New(usagereport.Options{
			Name: o.Name, Incarnation: incarnation, Settings: o.Usage, Links: n.links, Store: o.UsageStore, Platform: o.UsagePlatform,
			TimeOfDay: o.TimeOfDay, Era: func() uint64 { return n.directory.StoreEra() }, Logger: o.Logger, Scope: o.Scope,
		})
	}
	n.executor = sqlback.New(sqlback.Options{
		Network: o.Network, Dialect: o.ServerDialect, Pool: n.pool, Table: n.catalog, Logger: o.Logger, Scope: o.Scope, Tracer: o.Tracer,
		HoldsConnections: func(customer string, s *catalog.Server) bool {
			vm, ok := n.links.View().ConnectionOwner(customer, s, placement.MaxConnectionOwners(n.catalog.Current().Config, s.Group))
			return ok && vm == o.Name
		},
		ReportUnreachable: func(unreachable []string) {
			n.links.UpdateStatus(fleetlink.All, func(s *fleetwire.Status) { s.Unreachable = unreachable })
		},
		CheckPrimary: n.checkPrimary, CountStatement: n.countStatement, View: n.links.View, Lending: dispatch.Lending{Links: n.links, Table: n.catalog},
	})
	if !o.PlatformEnforcesFencing {
		n.fencer = fencer.New(fencer.Options{Links: n.links, Executor: n.executor, Leadership: n.leaders, Logger: o.Logger})
	}
	n.admission = admission.New(n.catalog, n.quota, n.links, o.Logger, o.Scope)
	dispatchOptions := dispatch.Options{
		Self: o.Name, DataCentre: o.DataCentre, Pool: n.pool, Links: n.links, Executor: n.executor, Admission: n.admission, Quota: n.quota, Leadership: n.leaders, Table: n.catalog, Logger: o.Logger,
	}
	if n.fencer != nil {
		dispatchOptions.Fencer = n.fencer
	}
	if n.usage != nil {
		dispatchOptions.Usage = n.usage
	}
	n.dispatcher = dispatch.New(dispatchOptions)
	n.frontend = sqlfront.New(sqlfront.Options{
		Network: o.Network, Address: o.ClientAddress, DataCentre: o.DataCentre, Dialect: o.ClientDialect, Pool: n.pool, Table: n.catalog,
		Leadership: n.leaders, View: n.links.View, Runner: n.dispatcher, Admitter: n.admission, Logger: o.Logger, Scope: o.Scope, Tracer: o.Tracer,
	})
	member := directory.Member{Name: o.Name, Address: o.LinkAddress, DataCentre: o.DataCentre, Weight: o.Weight}
	n.directory = directory.New(o.Source, n.links, n.catalog, n.leaders, member, o.Bounds, o.Logger, o.Scope)
	n.dispatcher.SetDirectory(n.directory)
	promotionOptions := promotion.Options{
		Name: o.Name, Platform: o.Platform, Duties: o.Duties, Runner: n.dispatcher, Reports: o.ServerDialect, Table: n.catalog, Leadership: n.leaders,
		View: n.links.View, StoreEra: n.directory.StoreEra, Logger: o.Logger, Scope: o.Scope,
	}
	if n.fencer != nil {
		promotionOptions.Fencer = n.fencer
	}
	n.failoverCoordinator = promotion.New(promotionOptions)
	return n
}

// checkPrimary reports whether this VM may use the server as the primary of the group.
func (n *Node) checkPrimary(group, server string) fencing.Verdict {
	if n.fencer == nil {
		return fencing.Allowed // a replaced primary refuses the statement itself
	}
	return n.fencer.Check(group, server)
}

// countStatement counts a statement that was sent to a server, or with -1 one that the
// server refused without running it.
func (n *Node) countStatement(w *statement.RemoteStatement, sentAt time.Duration, count int64) {
	if n.usage != nil && usage.Operation(w) {
		n.usage.CountOperation(w.Customer, sentAt, count)
	}
}

// Run serves until the context passed to NewNode is done. It returns an error if
// the VM cannot listen on one of its addresses.
func (n *Node) Run() error {
	n.options.Logger.WithFields(log.Fields{"vm": n.options.Name, "data_centre": n.options.DataCentre}).Info("vm: started.")
	defer n.options.Logger.WithField("vm", n.options.Name).Info("vm: stopped.")
	g, ctx := errgroup.WithContext(n.ctx)
	g.Go(func() error { return n.pool.Run(ctx) })
	g.Go(func() error { return n.links.Run(ctx) })
	g.Go(func() error { return n.executor.Run(ctx) })
	if n.fencer != nil {
		g.Go(func() error { return n.fencer.Run(ctx) })
	}
	g.Go(func() error { return n.directory.Run(ctx) })
	g.Go(func() error { return n.failoverCoordinator.Run(ctx) })
	if n.usage != nil {
		g.Go(func() error { return n.usage.Run(ctx) })
	}
	g.Go(func() error { return n.frontend.Run(ctx) })
	g.Go(func() error { return n.watchIsolation(ctx) })
	g.Go(func() error { return loadstats.New(n.leaders, n.options.Logger, n.options.Scope).Run(ctx) })
	for _, address := range []string{n.options.ReadyAddress, n.options.AdminAddress} {
		if address != "" {
			g.Go(func() error { return n.serveAdmin(ctx, address) })
		}
	}
	for _, seed := range n.options.Seeds {
		n.links.Connect(seed)
	}
	return g.Wait()
}

// View returns the latest known state of the fleet.
func (n *Node) View() *placement.View { return n.links.View() }

// Ready reports whether load balancers should send new sessions to the VM.
func (n *Node) Ready() bool {
	return n.warmedUp.Load() && n.configConfirmed.Load() && !n.isolated.Load() && !n.draining.Load() && n.catalog.Current().Config != nil
}

// watchIsolation makes the VM not ready while it is isolated. While it is, and once
// load balancers send no new sessions to a draining VM, it also closes idle sessions,
// so that their clients reconnect to VMs that can serve them. It returns when ctx is
// done.
func (n *Node) watchIsolation(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if clock.Now()-n.started >= warmUpTime {
			n.warmedUp.Store(true)
		}
		if !n.configConfirmed.Load() && n.directory.ConfigConfirmed() {
			n.configConfirmed.Store(true)
		}
		isolated := n.warmedUp.Load() && n.isIsolated()
		if isolated != n.isolated.Load() {
			n.isolated.Store(isolated)
			n.options.Logger.WithField("isolated", isolated).Warn("vm: isolation changed.")
		}
		n.frontend.SetCloseIdle(isolated || n.deregistered())
	}
}

// isIsolated reports whether other VMs are likely to reach more primaries: this VM
// reaches no other data centre and the leadership of any primary is unconfirmed, or
// it reaches at most half of the VMs and the leadership of most primaries is
// unconfirmed.
func (n *Node) isIsolated() bool {
	view := n.links.View()
	if view.DataCentreCutOff() {
		unconfirmed, _ := n.countUnconfirmed(maxConfirmationAgeCutOff)
		return unconfirmed > 0
	}
	unconfirmed, groups := n.countUnconfirmed(maxConfirmationAge)
	return view.InMinority() && 2*unconfirmed > groups
}

// countUnconfirmed returns the number of groups whose primary's latest leadership
// confirmation to this VM is older than maxAge, and the number of all groups.
func (n *Node) countUnconfirmed(maxAge time.Duration) (unconfirmed, total int) {
	config := n.catalog.Current().Config
	if config == nil {
		return 0, 0
	}
	now := clock.Now()
	groups := make(map[string]bool)
	for _, r := range config.Routes {
		if groups[r.Group] {
			continue
		}
		groups[r.Group] = true
		n.leaders.With(r.Group, func(g *leadership.Group) {
			if now-g.ConfirmedAt() > maxAge {
				unconfirmed++
			}
		})
	}
	return unconfirmed, len(groups)
}

// deregistered reports whether Drain was called long enough ago that load
// balancers no longer send new sessions.
func (n *Node) deregistered() bool {
	at := n.drainStartedAt.Load()
	return at != 0 && clock.Now()-time.Duration(at) >= deregistrationDelay
}

// Drain prepares the VM for its exit. It makes the VM report that it is not ready,
// closes idle sessions once load balancers send no new ones (deregistrationDelay),
// and after half of the grace period rolls back each open transaction as soon as
// none of its statements is running. It returns when no session is open and no
// statement runs, but not before deregistrationDelay, or when the grace period is
// about to end. At the end the VM hands over its usage counts.
func (n *Node) Drain() {
	if n.usage != nil {
		defer n.usage.HandOver()
	}
	start := clock.Now()
	n.draining.Store(true)
	n.drainStartedAt.Store(int64(start))
	n.options.Logger.WithField("sessions", n.frontend.SessionCount()).Info("vm: graceful shutdown started.")
	n.links.UpdateStatus(fleetlink.All, func(s *fleetwire.Status) { s.Leaving = true })
	transactionsEnded := false
	for {
		elapsed := clock.Now() - start
		if !transactionsEnded && elapsed >= n.options.Grace/2 {
			n.frontend.EndTransactions()
			transactionsEnded = true
		}
		if elapsed >= n.options.Grace-exitMargin || elapsed >= deregistrationDelay && n.frontend.SessionCount() == 0 && n.executor.OpenCount() == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// serveAdmin serves readiness and metrics over HTTP at the address.
func (n *Node) serveAdmin(ctx context.Context, address string) error {
	listener, err := n.options.Network.Listen(address)
	if err != nil {
		return err
	}
	ready := func() string {
		if n.Ready() {
			return ""
		}
		return "not ready"
	}
	return admin.New(admin.Options{Listener: listener, Ready: ready, Metrics: n.options.Metrics, Logger: n.options.Logger}).Run(ctx)
}
