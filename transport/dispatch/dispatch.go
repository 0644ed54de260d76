// Package dispatch connects the components of a VM with the other VMs. It runs
// statements on this VM or on another one, and responds to calls of other VMs.
package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/admission"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

// selfOrigin is the origin of this VM's own transactions. The origin of a link
// is a number.
const selfOrigin = "self"

// maxVMsForRemoteConfirmations is the largest fleet in which leadership
// confirmations are sent to other data centres. In a larger fleet the VMs of a
// data centre obtain enough confirmations of their own.
const maxVMsForRemoteConfirmations = 16

// maxConfirmationsPerPong limits the leadership confirmations in a pong, which
// take about 40 bytes each. With 60 pongs per second within a data centre they
// amount to 14 KB/s, which leaves a third of a VM's budget for control traffic to
// other messages. With more groups, successive pongs carry their confirmations in
// rotation.
const maxConfirmationsPerPong = 6

// unsentLimit is not enforced: each entry belongs to a statement whose caller waits.
const unsentLimit = 1 << 10

// Options holds the components that a Dispatcher connects.
type Options struct {
	Self       string
	DataCentre string // of this VM
	Pool       *pool.Pool
	Links      *fleetlink.Links
	Executor   *sqlback.Executor
	Admission  *admission.Controller
	Quota      *quota.Table
	Leadership *leadership.Table
	Table      *catalog.Table
	Fencer     Fencer // nil if the platform enforces fencing
	Usage      Usage  // nil if usage is not reported
	Logger     log.Interface
}

// Usage responds to VMs that collect usage counts.
type Usage interface {
	Handle(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error
}

// Fencer responds to the failover coordinator and to lease renewals of other VMs.
type Fencer interface {
	HandleFence(body []byte, reply func([]byte)) error
	HandleRenewal(body []byte) ([]byte, error)
}

// Dispatcher implements fleetlink.Handler and sqlfront.Runner.
type Dispatcher struct {
	Options
	unsent             *pool.Queue // runs the callbacks of statements that were not sent
	directory          Directory
	confirmationCursor atomic.Uint64 // position of the rotation of latestConfirmations among the groups

	mu           sync.Mutex // guards coordinators; no other lock is taken under it
	coordinators coordinatorPartitions
}

// coordinatorPartitions maps the VMs to the partitions whose quota coordinator
// they are, for a view and a configuration.
type coordinatorPartitions struct {
	view       *placement.View
	config     *catalog.Config
	partitions map[string][]catalog.LimitPartition
}

// New returns a dispatcher and sets it as the handler of the links.
func New(o Options) *Dispatcher {
	d := &Dispatcher{Options: o, unsent: o.Pool.NewQueue(unsentLimit)}
	o.Links.SetHandler(d)
	return d
}

// Directory is the part of a VM's directory that responds to other VMs and handles
// their revisions.
type Directory interface {
	EncodeUpdates(known []byte) []byte
	HandleStatus(s *fleetwire.Status)
	Confirmations() fleetwire.StoreConfirmations
	RecordConfirmations(c fleetwire.StoreConfirmations, sentAt time.Duration)
}

// SetDirectory sets the directory. It must be called before the links run.
func (d *Dispatcher) SetDirectory(directory Directory) { d.directory = directory }

// Run runs a statement on the named VM and calls done once on a pool worker, never
// before it returns, so callers may hold locks that done takes. If this VM stops, done
// may not be called.
func (d *Dispatcher) Run(vm string, w *statement.RemoteStatement, done func(statement.Result)) {
	if vm == d.Self {
		d.Executor.Execute(selfOrigin, w, done)
		return
	}
	if w.Admission != nil && !d.Links.DecodesClasses(vm) {
		plain := *w
		plain.Admission = nil
		w = &plain
	}
	sent := d.Links.Call(vm, fleetwire.KindStatement, fleetwire.AppendStatement(nil, w), func(f fleetwire.Frame, ok bool) {
		if !ok {
			done(refusal(statement.Lost, "the link to the VM broke"))
			return
		}
		r, err := fleetwire.DecodeResult(f.Body)
		if err != nil {
			d.Logger.WithError(err).WithField("vm", vm).Error("fleet: a result cannot be decoded.")
			r = refusal(statement.Lost, "the VM's answer cannot be decoded")
		}
		done(r)
	})
	if !sent {
		d.unsent.PostUnbounded(func() { done(refusal(statement.Unreachable, "the VM is not linked")) })
	}
}

func refusal(code statement.Code, why string) statement.Result {
	return statement.Result{Answer: statement.Refusal(code, why)}
}

// AbortTxOn aborts a transaction on the named VM.
func (d *Dispatcher) AbortTxOn(vm string, tx uint64) {
	if vm == d.Self {
		d.Executor.AbortTx(selfOrigin, tx)
		return
	}
	d.Links.Send(vm, fleetwire.KindAbort, fleetwire.AppendNumber(nil, tx))
}

// Execute implements fleetlink.Handler.
func (d *Dispatcher) Execute(origin string, w *statement.RemoteStatement, reply func(statement.Result)) {
	d.Executor.Execute(origin, w, reply)
}

// AbortTx implements fleetlink.Handler.
func (d *Dispatcher) AbortTx(origin string, tx uint64) { d.Executor.AbortTx(origin, tx) }

// LinkClosed implements fleetlink.Handler.
func (d *Dispatcher) LinkClosed(origin string) {
	d.Executor.AbortLink(origin)
	d.Quota.LinkClosed(origin, clock.Now())
}

// VMLost implements fleetlink.Handler.
func (d *Dispatcher) VMLost(vm string) { d.Quota.DropLender(vm) }

// GrantTokens implements fleetlink.Handler.
func (d *Dispatcher) GrantTokens(p catalog.LimitPartition, wanted quota.Wanted) int {
	return d.Admission.Grant(p, wanted)
}

// LendConnections implements fleetlink.Handler.
func (d *Dispatcher) LendConnections(borrower, server string, n int, reply func(lent int)) {
	d.Executor.LendConnections(borrower, server, n, reply)
}

// UpdatesSince implements fleetlink.Handler.
func (d *Dispatcher) UpdatesSince(known []byte) []byte { return d.directory.EncodeUpdates(known) }

// HandleFencing implements fleetlink.Handler. It ignores the calls if the platform
// enforces fencing.
func (d *Dispatcher) HandleFencing(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error {
	switch {
	case d.Fencer == nil:
		return nil
	case kind == fleetwire.KindFence:
		return d.Fencer.HandleFence(body, func(b []byte) { reply(fleetwire.KindFenced, b) })
	}
	b, err := d.Fencer.HandleRenewal(body)
	if err == nil {
		reply(fleetwire.KindRenewed, b)
	}
	return err
}

// HandleUsage implements fleetlink.Handler. It ignores the calls if usage is not reported.
func (d *Dispatcher) HandleUsage(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error {
	if d.Usage == nil {
		return nil
	}
	return d.Usage.Handle(kind, body, reply)
}

// HandleStatus implements fleetlink.Handler.
func (d *Dispatcher) HandleStatus(s *fleetwire.Status) { d.directory.HandleStatus(s) }

// PingBody implements fleetlink.Handler. It returns the partitions whose quota
// coordinator this VM is. Shares of all other partitions that were lent to this
// VM are discarded first, because the ping tells the lenders that they are free
// again.
func (d *Dispatcher) PingBody() []byte {
	own := d.ownPartitions()
	d.Quota.RetainBorrowed(own)
	return fleetwire.AppendPartitions(nil, own)
}

// ownPartitions returns the partitions whose quota coordinator this VM is.
func (d *Dispatcher) ownPartitions() []catalog.LimitPartition {
	config := d.Table.Current().Config
	if config == nil {
		return nil
	}
	return d.partitionsOf(d.Self, d.Links.View(), config)
}

// HandlePing implements fleetlink.Handler. It lends this VM's shares to the
// sender for the partitions whose quota coordinator the sender is, and returns
// the known confirmations.
func (d *Dispatcher) HandlePing(from *fleetwire.Status, origin string, body []byte) fleetwire.Pong {
	var p fleetwire.Pong
	if from.StoreConfirmations {
		confirmations := d.directory.Confirmations()
		// Fields of a pong follow each other, so the later ones need the earlier ones.
		confirmations.Eras = len(from.Eras) > 0 || from.UnspentShares
		p.Store = &confirmations
	}
	config := d.Table.Current().Config
	if config == nil {
		return p
	}
	now := clock.Now()
	view := d.Links.View()
	coordinated, err := fleetwire.DecodePartitions(body)
	if err != nil {
		d.Logger.WithError(err).WithField("vm", from.Name).Error("fleet: a ping cannot be decoded.")
		return p
	}
	d.Quota.Release(from.Name, origin, coordinated, now)
	p.Lease = quota.LoanDuration(d.Links.PingInterval())
	for _, share := range d.Quota.Lend(from.Name, origin, intersect(d.partitionsOf(from.Name, view, config), coordinated), p.Lease, now) {
		p.Lent = append(p.Lent, share.LimitPartition)
		if from.UnspentShares && p.Store != nil {
			p.Unspent = append(p.Unspent, share.Unspent)
		}
	}
	if from.DataCentre != d.DataCentre && !sendsRemoteConfirmations(view, from.Name) {
		return p
	}
	p.Confirmations = d.latestConfirmations(config, now)
	return p
}

// sendsRemoteConfirmations reports whether the VM of another data centre gets leadership
// confirmations. In a large fleet the cores get them, and pass them on to their edges.
func sendsRemoteConfirmations(view *placement.View, vm string) bool {
	if view.Large {
		return view.IsCore(vm)
	}
	return len(view.VMs) <= maxVMsForRemoteConfirmations
}

// intersect returns the partitions that are in both lists.
func intersect(a, b []catalog.LimitPartition) []catalog.LimitPartition {
	var both []catalog.LimitPartition
	for _, p := range a {
		if slices.Contains(b, p) {
			both = append(both, p)
		}
	}
	return both
}

// latestConfirmations returns the latest leadership confirmations of up to
// maxConfirmationsPerPong groups, in rotation.
func (d *Dispatcher) latestConfirmations(config *catalog.Config, now time.Duration) []fleetwire.LeadershipConfirmation {
	groups := len(config.Groups)
	count := min(groups, maxConfirmationsPerPong)
	end := int(d.confirmationCursor.Add(uint64(count)) % uint64(max(groups, 1)))
	var confirmations []fleetwire.LeadershipConfirmation
	for i := range count {
		name := config.Groups[(end+groups-count+i)%groups].Name
		d.Leadership.With(name, func(g *leadership.Group) {
			if server, sample, ok := g.LatestConfirmation(); ok {
				confirmations = append(confirmations, fleetwire.LeadershipConfirmation{Group: name, Server: server, Point: sample.Point, Age: now - sample.At})
			}
		})
	}
	return confirmations
}

// partitionsOf returns the partitions whose quota coordinator is the given VM.
func (d *Dispatcher) partitionsOf(vm string, view *placement.View, config *catalog.Config) []catalog.LimitPartition {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.coordinators.view != view || d.coordinators.config != config {
		d.coordinators = coordinatorPartitions{view: view, config: config, partitions: make(map[string][]catalog.LimitPartition)}
		for i := range config.Customers {
			name := config.Customers[i].Name
			for index, coordinator := range view.QuotaCoordinators(name) {
				d.coordinators.partitions[coordinator] = append(d.coordinators.partitions[coordinator], catalog.LimitPartition{Customer: name, Index: uint8(index)})
			}
		}
	}
	return d.coordinators.partitions[vm]
}

// ownShares returns the shares in the pong whose partitions this VM counts.
func ownShares(p *fleetwire.Pong, own []catalog.LimitPartition) []quota.LentShare {
	var shares []quota.LentShare
	for i, partition := range p.Lent {
		if !slices.Contains(own, partition) {
			continue
		}
		share := quota.LentShare{LimitPartition: partition}
		if i < len(p.Unspent) {
			share.Unspent = p.Unspent[i]
		}
		shares = append(shares, share)
	}
	return shares
}

// HandlePong implements fleetlink.Handler.
func (d *Dispatcher) HandlePong(from string, p fleetwire.Pong, sentAt time.Duration) {
	d.Quota.Receive(from, ownShares(&p, d.ownPartitions()), p.Lease, sentAt)
	if p.Store != nil {
		d.directory.RecordConfirmations(*p.Store, sentAt)
	}
	for _, c := range p.Confirmations {
		d.Leadership.With(c.Group, func(g *leadership.Group) { g.RecordConfirmation(c.Server, c.Point, sentAt-c.Age) })
	}
}
