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

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/admin"
	"github.com/chestnutdyke/chestnutdyke/transport/admission"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/directory"
	"github.com/chestnutdyke/chestnutdyke/transport/dispatch"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/promotion"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlfront"
)

// NodeOptions describe a VM whose deployment is declared in a platform's store.
// Network, Dialects, Source, Duties and Platform are the parts that depend on
// the platform.
type NodeOptions struct {
	Name          string
	DataCentre    string
	Weight        float64 // processor share; VMs hold connections in proportion to it
	ClientAddress string
	LinkAddress   string   // where other VMs reach this one
	ReadyAddress  string   // HTTP: readiness, for load balancers
	AdminAddress  string   // HTTP: metrics and readiness; empty for none
	Seeds         []string // link addresses of VMs that may run
	Workers       int
	Grace         time.Duration // from Drain's call to the time at which the process must have ended

	Network  network.Network
	Clients  sqlfront.Dialect
	Servers  sqlback.Dialect
	Source   directory.Source
	Duties   promotion.Duties
	Platform promotion.Platform

	Logger  log.Interface
	Scope   tally.Scope
	Metrics http.Handler
	Tracer  trace.Tracer
}

const (
	// settleTime is how long a new VM waits for links to the others before it
	// says that it is ready: without them it would open connections of its own.
	settleTime = 600 * time.Millisecond
	// provenWithin is the age of a proof of lead up to which a group counts as
	// served by this VM.
	provenWithin = 1500 * time.Millisecond
	// cutOffProof is the age of a proof from which a group counts as not served
	// by a VM that hears of no other data centre. Primaries of its own data
	// centre go on proving their lead until others replace them.
	cutOffProof   = 800 * time.Millisecond
	isolationTick = 100 * time.Millisecond
	// rotationTime is how long the platform goes on sending new sessions to a
	// VM that is not ready: two misses, one second apart.
	rotationTime = 2200 * time.Millisecond
	// exitMargin is left of the grace period for the process to end.
	exitMargin = 700 * time.Millisecond
)

// Node is a VM whose deployment is declared in a platform's store.
type Node struct {
	o        NodeOptions
	ctx      context.Context
	pool     *pool.Pool
	table    *catalog.Table
	leads    *leadership.Table
	quota    *quota.Table
	links    *fleetlink.Links
	fleet    *dispatch.Dispatcher
	executor *sqlback.Executor
	gate     *admission.Gate
	front    *sqlfront.Server
	dir      *directory.Directory
	steward  *promotion.Steward
	started  time.Duration

	settled   atomic.Bool // this VM has had time to meet the others
	isolated  atomic.Bool // this VM serves less than others would in its place
	leaving   atomic.Bool
	leavingAt atomic.Int64 // clock reading when Drain was called; zero before
}

// NewNode wires a VM, which works from Run's call until ctx is done.
func NewNode(ctx context.Context, o NodeOptions) *Node {
	n := &Node{o: o, ctx: ctx, started: clock.Now(), pool: pool.New(o.Workers), table: catalog.NewTable(), leads: leadership.NewTable()}
	n.quota = quota.NewTable(n.started)
	n.links = fleetlink.New(ctx, o.Network, n.pool, fleetwire.Status{
		Name: o.Name, Address: o.LinkAddress, DataCentre: o.DataCentre, Weight: o.Weight, Incarnation: time.Now().UnixNano(),
	}, o.Logger)
	n.executor = sqlback.New(sqlback.Options{
		Network: o.Network, Dialect: o.Servers, Pool: n.pool, Table: n.table, Logger: o.Logger, Scope: o.Scope, Tracer: o.Tracer,
		Chosen: func(customer string, s *catalog.Server) bool {
			vm, ok := n.links.View().Executor(customer, s)
			return ok && vm == o.Name
		},
		Reached: func(unreachable []string) {
			n.links.Describe(fleetlink.All, func(s *fleetwire.Status) { s.Unreachable = unreachable })
		},
	})
	n.gate = admission.New(n.table, n.quota, n.links, o.Logger, o.Scope)
	n.fleet = dispatch.New(dispatch.Options{
		Self: o.Name, Links: n.links, Executor: n.executor, Gate: n.gate, Quota: n.quota, Leads: n.leads, Table: n.table, Logger: o.Logger,
	})
	n.front = sqlfront.New(sqlfront.Options{
		Network: o.Network, Address: o.ClientAddress, DataCentre: o.DataCentre, Dialect: o.Clients, Pool: n.pool, Table: n.table,
		Leads: n.leads, View: n.links.View, Runner: n.fleet, Admitter: n.gate, Logger: o.Logger, Scope: o.Scope, Tracer: o.Tracer,
	})
	member := directory.Member{Name: o.Name, Address: o.LinkAddress}
	n.dir = directory.New(o.Source, n.links, n.table, n.leads, member, o.Logger, o.Scope)
	n.fleet.Use(n.dir)
	n.steward = promotion.New(promotion.Options{
		Name: o.Name, Platform: o.Platform, Duties: o.Duties, Runner: n.fleet, Reports: o.Servers, Table: n.table, Leads: n.leads,
		View: n.links.View, Logger: o.Logger, Scope: o.Scope,
	})
	return n
}

// Run works until the context of NewNode is done. It returns an error if an
// address cannot be listened on.
func (n *Node) Run() error {
	n.o.Logger.WithFields(log.Fields{"vm": n.o.Name, "data_centre": n.o.DataCentre}).Info("vm: started.")
	defer n.o.Logger.WithField("vm", n.o.Name).Info("vm: stopped.")
	g, ctx := errgroup.WithContext(n.ctx)
	g.Go(func() error { return n.pool.Run(ctx) })
	g.Go(func() error { return n.links.Run(ctx) })
	g.Go(func() error { return n.executor.Run(ctx) })
	g.Go(func() error { return n.dir.Run(ctx) })
	g.Go(func() error { return n.steward.Run(ctx) })
	g.Go(func() error { return n.front.Run(ctx) })
	g.Go(func() error { return n.watchIsolation(ctx) })
	for _, address := range []string{n.o.ReadyAddress, n.o.AdminAddress} {
		if address != "" {
			g.Go(func() error { return n.serveAdmin(ctx, address) })
		}
	}
	for _, seed := range n.o.Seeds {
		n.links.Meet(seed)
	}
	return g.Wait()
}

// View returns what the VM knows of the fleet.
func (n *Node) View() *placement.View { return n.links.View() }

// Ready reports whether the VM should be sent new sessions.
func (n *Node) Ready() bool {
	return n.settled.Load() && !n.isolated.Load() && !n.leaving.Load() && n.table.Current().Config != nil
}

// watchIsolation keeps new sessions away from a VM that is cut off from most
// VMs and from most primaries, until ctx is done. Sessions that rest are closed,
// so that their clients connect to VMs that can serve them.
func (n *Node) watchIsolation(ctx context.Context) error {
	ticker := time.NewTicker(isolationTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if clock.Now()-n.started >= settleTime {
			n.settled.Store(true)
		}
		isolated := n.settled.Load() && n.isIsolated()
		if isolated != n.isolated.Load() {
			n.isolated.Store(isolated)
			n.o.Logger.WithField("isolated", isolated).Warn("vm: isolation changed.")
		}
		n.front.Shed(isolated || n.shedding())
	}
}

// isIsolated reports whether other VMs would serve clients better.
func (n *Node) isIsolated() bool {
	view := n.links.View()
	if view.CutOff() {
		unproven, _ := n.unproven(cutOffProof)
		return unproven > 0
	}
	unproven, groups := n.unproven(provenWithin)
	return view.Isolated() && 2*unproven > groups
}

// unproven returns the number of groups, and how many have a primary that has
// not proven its lead to this VM within the time.
func (n *Node) unproven(within time.Duration) (unproven, total int) {
	config := n.table.Current().Config
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
		n.leads.With(r.Group, func(g *leadership.Group) {
			if now-g.ProvenAt() > within {
				unproven++
			}
		})
	}
	return unproven, len(groups)
}

// shedding reports whether a leaving VM has left the rotation.
func (n *Node) shedding() bool {
	at := n.leavingAt.Load()
	return at != 0 && clock.Now()-time.Duration(at) >= rotationTime
}

// Drain ends the VM's work: it takes no new sessions, lets open transactions
// end for half of the grace period, closes sessions that rest, and returns when
// none are open or the grace period is about to end.
func (n *Node) Drain() {
	begin := clock.Now()
	n.leaving.Store(true)
	n.leavingAt.Store(int64(begin))
	n.o.Logger.WithField("sessions", n.front.Open()).Info("vm: planned stop.")
	n.links.Describe(fleetlink.All, func(s *fleetwire.Status) { s.Leaving = true })
	ended := false
	for {
		passed := clock.Now() - begin
		if !ended && passed >= n.o.Grace/2 {
			n.front.EndTransactions()
			ended = true
		}
		if passed >= n.o.Grace-exitMargin || passed >= rotationTime && n.front.Open() == 0 && n.executor.Open() == 0 {
			return
		}
		time.Sleep(isolationTick)
	}
}

// serveAdmin serves readiness and metrics at an address.
func (n *Node) serveAdmin(ctx context.Context, address string) error {
	listener, err := n.o.Network.Listen(address)
	if err != nil {
		return err
	}
	ready := func() string {
		if n.Ready() {
			return ""
		}
		return "not ready"
	}
	return admin.New(admin.Options{Listener: listener, Ready: ready, Metrics: n.o.Metrics, Logger: n.o.Logger}).Run(ctx)
}
