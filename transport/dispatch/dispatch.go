// Package dispatch connects the parts of a VM with the other VMs: it runs
// statements here or there, and answers what other VMs ask.
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
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

// ownOrigin is the origin of this VM's own transactions. Links have numbers.
const ownOrigin = "self"

// smallFleet is the number of VMs up to which proofs of lead are passed on to
// all of them. In a larger one the VMs of a data centre have enough of their own.
const smallFleet = 16

// maxLeads bounds the proofs of lead in a pong, about 40 bytes each. With 60
// pongs a second inside a data centre that is 14 KB/s, which leaves a third of
// what a VM may spend for control to everything else; deployments with more
// groups get them by turns.
const maxLeads = 6

// Options are the parts that a Dispatcher connects.
type Options struct {
	Self     string
	Links    *fleetlink.Links
	Executor *sqlback.Executor
	Gate     *admission.Gate
	Quota    *quota.Table
	Leads    *leadership.Table
	Table    *catalog.Table
	Logger   log.Interface
}

// Dispatcher implements fleetlink.Handler and sqlfront.Runner.
type Dispatcher struct {
	Options
	directory Directory
	turn      atomic.Uint64 // place of newestLeads among the groups

	mu      sync.Mutex // guards ledgers; no other lock is taken under it
	ledgers ledgers
}

// ledgers are the halves of limits by their ledger VM, as of a view and a
// configuration.
type ledgers struct {
	view   *placement.View
	config *catalog.Config
	halves map[string][]catalog.Half
}

// New returns a dispatcher and makes it the handler of the links.
func New(o Options) *Dispatcher {
	d := &Dispatcher{Options: o}
	o.Links.SetHandler(d)
	return d
}

// Directory is the part of a VM's directory that other VMs use.
type Directory interface {
	EncodeUpdates(known []byte) []byte
	HandleRevisions(revisions map[string]uint64)
}

// Use sets the directory. Call it before the links run.
func (d *Dispatcher) Use(directory Directory) { d.directory = directory }

// Run runs a statement on the named VM and calls done once, on a pool worker.
func (d *Dispatcher) Run(vm string, w *statement.Work, done func(statement.Result)) {
	if vm == d.Self {
		d.Executor.Execute(ownOrigin, w, done)
		return
	}
	sent := d.Links.Call(vm, fleetwire.KindWork, fleetwire.AppendWork(nil, w), func(f fleetwire.Frame, ok bool) {
		if !ok {
			done(refused(statement.Lost, "the link to the VM broke"))
			return
		}
		r, err := fleetwire.DecodeResult(f.Body)
		if err != nil {
			d.Logger.WithError(err).WithField("vm", vm).Error("fleet: a result cannot be decoded.")
			r = refused(statement.Lost, "the VM's answer cannot be decoded")
		}
		done(r)
	})
	if !sent {
		done(refused(statement.Unreachable, "the VM is not linked"))
	}
}

func refused(code statement.Code, why string) statement.Result {
	return statement.Result{Answer: statement.Refusal(code, why)}
}

// Abort ends a transaction on the named VM.
func (d *Dispatcher) Abort(vm string, tx uint64) {
	if vm == d.Self {
		d.Executor.Abort(ownOrigin, tx)
		return
	}
	d.Links.Send(vm, fleetwire.KindAbort, fleetwire.AppendNumber(nil, tx))
}

// Execute implements fleetlink.Handler.
func (d *Dispatcher) Execute(origin string, w *statement.Work, reply func(statement.Result)) {
	d.Executor.Execute(origin, w, reply)
}

// AbortTx implements fleetlink.Handler.
func (d *Dispatcher) AbortTx(origin string, tx uint64) { d.Executor.Abort(origin, tx) }

// LinkClosed implements fleetlink.Handler.
func (d *Dispatcher) LinkClosed(origin string) {
	d.Executor.AbortAll(origin)
	d.Quota.LinkClosed(origin, clock.Now())
}

// VMLost implements fleetlink.Handler.
func (d *Dispatcher) VMLost(vm string) { d.Quota.LenderLost(vm) }

// GrantTokens implements fleetlink.Handler.
func (d *Dispatcher) GrantTokens(h catalog.Half, n int) int { return d.Gate.Grant(h, n) }

// UpdatesSince implements fleetlink.Handler.
func (d *Dispatcher) UpdatesSince(known []byte) []byte { return d.directory.EncodeUpdates(known) }

// HandleStatus implements fleetlink.Handler.
func (d *Dispatcher) HandleStatus(s *fleetwire.Status) { d.directory.HandleRevisions(s.Revisions) }

// PingBody implements fleetlink.Handler: it names the halves that this VM counts.
// From then on it spends no other VM's share of any other half.
func (d *Dispatcher) PingBody() []byte {
	own := d.own()
	d.Quota.Keep(own)
	return fleetwire.AppendHalves(nil, own)
}

// own returns the halves whose ledger this VM is.
func (d *Dispatcher) own() []catalog.Half {
	config := d.Table.Current().Config
	if config == nil {
		return nil
	}
	return d.counts(d.Self, d.Links.View(), config)
}

// HandlePing implements fleetlink.Handler: it lends the asking VM what it counts as a
// ledger, and passes on what is known of the primaries.
func (d *Dispatcher) HandlePing(from, origin string, question []byte) fleetwire.Pong {
	var p fleetwire.Pong
	config := d.Table.Current().Config
	if config == nil {
		return p
	}
	now := clock.Now()
	view := d.Links.View()
	counted, err := fleetwire.DecodeHalves(question)
	if err != nil {
		d.Logger.WithError(err).WithField("vm", from).Error("fleet: a ping cannot be decoded.")
		return p
	}
	d.Quota.Release(from, origin, counted, now)
	p.Lease = quota.Lease(d.Links.PingInterval())
	p.Lent = d.Quota.Lend(from, origin, common(d.counts(from, view, config), counted), p.Lease, now)
	if len(view.VMs) > smallFleet && !view.Near(from) {
		return p
	}
	p.Leads = d.newestLeads(config, now)
	return p
}

// common returns the halves that are in both lists.
func common(a, b []catalog.Half) []catalog.Half {
	var both []catalog.Half
	for _, h := range a {
		if slices.Contains(b, h) {
			both = append(both, h)
		}
	}
	return both
}

// newestLeads returns the newest proofs of lead, of up to maxLeads groups by
// turns.
func (d *Dispatcher) newestLeads(config *catalog.Config, now time.Duration) []fleetwire.Lead {
	groups := len(config.Groups)
	count := min(groups, maxLeads)
	end := int(d.turn.Add(uint64(count)) % uint64(max(groups, 1)))
	var leads []fleetwire.Lead
	for i := range count {
		name := config.Groups[(end+groups-count+i)%groups].Name
		d.Leads.With(name, func(g *leadership.Group) {
			if server, sample, ok := g.Newest(); ok {
				leads = append(leads, fleetwire.Lead{Group: name, Server: server, Point: sample.Point, Age: now - sample.At})
			}
		})
	}
	return leads
}

// counts returns the halves whose ledger is the VM.
func (d *Dispatcher) counts(vm string, view *placement.View, config *catalog.Config) []catalog.Half {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledgers.view != view || d.ledgers.config != config {
		d.ledgers = ledgers{view: view, config: config, halves: make(map[string][]catalog.Half)}
		for i := range config.Customers {
			name := config.Customers[i].Name
			for index, ledger := range view.Ledgers(name) {
				d.ledgers.halves[ledger] = append(d.ledgers.halves[ledger], catalog.Half{Customer: name, Index: uint8(index)})
			}
		}
	}
	return d.ledgers.halves[vm]
}

// HandlePong implements fleetlink.Handler.
func (d *Dispatcher) HandlePong(from string, p fleetwire.Pong, sentAt time.Duration) {
	d.Quota.Receive(from, common(p.Lent, d.own()), p.Lease, sentAt)
	for _, l := range p.Leads {
		d.Leads.With(l.Group, func(g *leadership.Group) { g.Prove(l.Server, l.Point, sentAt-l.Age) })
	}
}
