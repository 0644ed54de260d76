// Package directory keeps a VM's view of the deployment up to date. It reads
// the store, and other VMs while this VM gets no response from the store.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/restore"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

const (
	// watchMargin is the time after which a watch that the store should have ended
	// counts as dropped.
	watchMargin = 500 * time.Millisecond
	listTimeout = time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = time.Second
	// deregistrationGrace is how long a server is used after its registration
	// disappeared. Registrations that expire during an outage of the store are
	// renewed within about 2 s of its recovery.
	deregistrationGrace = 2500 * time.Millisecond
	// peerCheckInterval is how often this VM compares its revisions with those
	// of other VMs. It also does so whenever a VM reports its revisions.
	peerCheckInterval = 250 * time.Millisecond
	// peerRequestTimeout limits the wait for documents from another VM.
	peerRequestTimeout = time.Second
	// relayTimeout is how long a VM waits for its data centre's relay to fetch
	// updates from other data centres before it fetches them itself.
	relayTimeout = 500 * time.Millisecond
	// linkSetupTime is how long a new VM waits for its links to be established.
	// It then knows whether other VMs watch the store.
	linkSetupTime = 300 * time.Millisecond
	// initialSyncTimeout is how long a new VM waits for other VMs to send it
	// the contents of the store. When a fleet starts, hundreds of VMs need
	// them, and each call to the store is billed.
	initialSyncTimeout = time.Second
	// watchCheckInterval is how often a VM that does not watch the store checks
	// whether it should.
	watchCheckInterval = 250 * time.Millisecond
	// recheckInterval is how often a VM that does not watch calls the store
	// again after a failed call. During an outage the store may refuse the
	// watching VMs and still respond to this one.
	recheckInterval          = 5 * time.Second
	initialSyncCheckInterval = 50 * time.Millisecond
	// regularMembersInterval is how often the list of members is read. VMs also learn
	// of each other over their links; the list covers VMs that the links
	// missed.
	regularMembersInterval = 8 * time.Second
	// startMembersInterval is the same during the startPeriod of a VM.
	startMembersInterval = time.Second
	startPeriod          = 6 * time.Second
	// retireAfter is how long a VM may be missing before it is removed from the
	// list.
	retireAfter = 20 * time.Second
)

var kinds = []Kind{Configuration, Servers, OutOfService}

// Fleet is the part of the links to other VMs that a Directory uses.
type Fleet interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	Peers() []fleetwire.Status
	View() *placement.View
	UpdateStatus(scope fleetlink.Scope, change func(*fleetwire.Status))
	SetMembers(members []placement.Member)
	Connected() map[string]bool
}

// Directory follows the store. It must be created with New.
type Directory struct {
	source  Source
	fleet   Fleet
	table   *catalog.Table
	leaders *leadership.Table
	logger  log.Interface
	self    Member
	started time.Duration
	bounds  Bounds // with defaults

	metrics

	mu                lockrank.Mutex // guards the fields below
	docs              map[Kind]document
	docsVersion       uint64                      // increases with each change of docs
	encodedUpdates    map[string][]byte           // see EncodeUpdates; by request
	deregisteredSince map[string]time.Duration    // server to the time at which its registration disappeared
	departures        map[departure]departureTime // those in docs, and draining servers that were registered not long ago
	confirmedAt       map[Kind]time.Duration      // when the latest call was sent to which the store responded with the kind
	missingSince      map[string]time.Duration    // address to the time at which the member was first found missing
	requestDeadline   time.Duration               // deadline of the pending request to another VM; zero once it has a response or has failed
	behindSince       time.Duration               // when VMs of other data centres were first found to be ahead; zero if none is
	storeFailing      bool                        // the last call to the store failed
	lastStoreCall     time.Duration               // when the last call to the store ended
	configConfirmed   bool                        // see ConfigConfirmed
	eraState

	membersAttempted chan struct{} // closed after the first attempt to read the list of members
}

// New returns the directory of the VM described by self.
func New(source Source, fleet Fleet, table *catalog.Table, leaders *leadership.Table, self Member, bounds Bounds, logger log.Interface, scope tally.Scope) *Directory {
	return &Directory{
		source: source, fleet: fleet, table: table, leaders: leaders, logger: logger, self: self, started: clock.Now(),
		bounds:  bounds.withDefaults(),
		metrics: newMetrics(scope),
		mu:      lockrank.New(lockrank.Sessions), docs: make(map[Kind]document), deregisteredSince: make(map[string]time.Duration),
		departures: make(map[departure]departureTime), confirmedAt: make(map[Kind]time.Duration),
		eraState: eraState{outMarks: restore.NewMarks(), members: make(map[string]missingMember)}, missingSince: make(map[string]time.Duration), encodedUpdates: make(map[string][]byte), membersAttempted: make(chan struct{}),
	}
}

// Run follows the store until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, kind := range kinds {
		g.Go(func() error { d.follow(ctx, kind); return nil })
	}
	g.Go(func() error { d.maintainMembership(ctx); return nil })
	g.Go(func() error { d.checkPeers(ctx); return nil })
	return g.Wait()
}

// waitForPeers gives other VMs time to send the kind to a new VM, before it
// calls the store.
func (d *Directory) waitForPeers(ctx context.Context, kind Kind) {
	select {
	case <-ctx.Done():
		return
	case <-d.membersAttempted:
	}
	sleep(ctx, linkSetupTime)
	until := clock.Now() + initialSyncTimeout
	for ctx.Err() == nil && clock.Now() < until && !d.loaded(kind) && !d.fleet.View().Watches(string(kind)) {
		sleep(ctx, initialSyncCheckInterval)
	}
}

// follow keeps the kind up to date: it lists the objects once and then watches
// them.
func (d *Directory) follow(ctx context.Context, kind Kind) {
	d.waitForPeers(ctx, kind)
	backoff := minBackoff
	var position state.Revision // of the watch
	relist := false             // the store has dropped the history that a watch needs, and no list has succeeded since
	for ctx.Err() == nil {
		if !d.fleet.View().Watches(string(kind)) && d.loaded(kind) && !d.shouldRecheck(kind) {
			sleep(ctx, watchCheckInterval)
			continue
		}
		if current := d.revision(kind); current.After(position) {
			position = current
		}
		full := relist || position.IsZero() || position.Era != d.StoreEra() || kind == OutOfService && d.needsConfirmation()
		sentAt := clock.Now()
		var batch Batch
		var err error
		if full {
			batch, err = d.list(ctx, kind)
		} else {
			batch, err = d.watch(ctx, kind, position.Number)
		}
		if err == nil {
			err = d.checkEra(batch.Era)
		}
		relist = errors.Is(err, ErrHistoryGone) || err == nil && !full && batch.Era != position.Era
		switch {
		case err == nil && relist:
			// The changes are relative to a revision of an earlier era. The list is next.
		case err == nil:
			d.applyBatch(kind, batch, full)
			d.confirmFrom(kind, batch.Era, sentAt)
			if batch.revision().After(position) {
				position = batch.revision()
			}
			backoff = minBackoff
		case relist:
			d.learnEra(batch.Era)
			d.logger.WithField("kind", string(kind)).Info("directory: the store has dropped the history, listing again.")
		default:
			relist = full
			sleepWithJitter(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// shouldRecheck reports whether a VM that does not watch the kind should call
// the store anyway.
func (d *Directory) shouldRecheck(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return kind == Configuration && d.storeFailing && clock.Now()-d.lastStoreCall >= recheckInterval
}

func (d *Directory) list(ctx context.Context, kind Kind) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begin := clock.Now()
	batch, err := d.source.List(ctx, kind)
	return batch, d.recordCall(callList, kind, begin, err)
}

func (d *Directory) watch(ctx context.Context, kind Kind, after uint64) (Batch, error) {
	wait := d.bounds.watchWait(kind)
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	begin := clock.Now()
	batch, err := d.source.Watch(ctx, kind, after, wait)
	return batch, d.recordCall(callWatch, kind, begin, err)
}

// recordCall records the metrics of a call to the store. If the store became
// unavailable or available again, it logs this and reports it to the other VMs.
func (d *Directory) recordCall(c storeCall, kind Kind, begin time.Duration, err error) error {
	failed := err != nil && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, context.Canceled)
	now := clock.Now()
	d.recordLatency(c, now-begin, failed)
	d.mu.Lock()
	changed := failed != d.storeFailing
	d.storeFailing, d.lastStoreCall = failed, now
	d.mu.Unlock()
	if changed {
		entry := d.logger.WithFields(log.Fields{"call": string(c), "kind": string(kind)})
		if failed {
			entry.WithError(err).Warn("directory: the store does not answer.")
		} else {
			entry.Info("directory: the store answers.")
		}
		d.fleet.UpdateStatus(fleetlink.All, func(s *fleetwire.Status) { s.StoreCutOff = failed })
	}
	return err
}

// ConfigConfirmed reports whether this VM's configuration is known to have been current
// at some time since the VM started: the store sent it, or the VM had it while it reached
// a majority of the listed VMs. The few VMs that a new VM reaches during an outage of the
// store may have been cut off when a key was withdrawn. A configuration is not current
// while another VM has a later one.
func (d *Directory) ConfigConfirmed() bool {
	view := d.fleet.View()
	if d.peersAreAhead() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.docs[Configuration].Revision.IsZero() && view.Listed && !view.InMinority() {
		d.configConfirmed = true
	}
	return d.configConfirmed
}

// revision returns the revision of the store at which the kind last changed.
func (d *Directory) revision(kind Kind) state.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.docs[kind].Revision
}

// loaded reports whether the kind has been listed, by this VM or by another one
// that sent it.
func (d *Directory) loaded(kind Kind) bool { return !d.revision(kind).IsZero() }

// sleepWithJitter waits for a random time between t/2 and t.
func sleepWithJitter(ctx context.Context, t time.Duration) { sleep(ctx, t/2+rand.N(t/2+1)) }

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// applyBatch applies a batch from the store: a complete list, or changes.
func (d *Directory) applyBatch(kind Kind, batch Batch, full bool) {
	if batch.Unnamed > 0 {
		d.logger.WithFields(log.Fields{"kind": string(kind), "objects": batch.Unnamed, "revision": batch.AsOf}).
			Warn("directory: objects without a readable name were skipped.")
	}
	if !full && len(batch.Entries) == 0 {
		return
	}
	d.mu.Lock()
	old := d.docs[kind]
	if !full && batch.Era != old.Revision.Era {
		d.mu.Unlock()
		return
	}
	next := old.copyAt(batch.revision())
	listed := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		listed[e.Name] = true
		if e.Revision == 0 {
			e.Revision = batch.AsOf // its own cannot be read, and other VMs need one
		}
		if e.Invalid != "" && e.Revision != old.Entries[e.Name].Revision {
			d.logger.WithFields(log.Fields{"kind": string(kind), "name": e.Name, "revision": e.Revision, "why": e.Invalid}).
				Warn("directory: an object cannot be used.")
		}
		if e.Deleted {
			next.remove(e.Name, batch.AsOf)
		} else {
			next.put(e)
		}
	}
	for name := range old.Entries {
		if full && !listed[name] {
			next.remove(name, batch.AsOf)
		}
	}
	d.replaceDocument(kind, next)
}

// replaceDocument replaces the document of a kind and reports the new revision
// to other VMs. The caller holds mu, which replaceDocument releases.
func (d *Directory) replaceDocument(kind Kind, next document) {
	old := d.docs[kind]
	if old.Revision.After(next.Revision) {
		d.mu.Unlock()
		return
	}
	d.recordChange(kind, &old, &next, clock.Now())
	d.docs[kind] = next
	d.docsVersion++
	clear(d.encodedUpdates)
	if kind == VMs {
		d.setMembers(next)
	} else {
		d.rebuildDeployment()
	}
	change := d.statusChange()
	d.mu.Unlock()
	d.reportRevisions(kind, change)
}

// reportRevisions reports a change of a kind to other VMs.
func (d *Directory) reportRevisions(kind Kind, change func(*fleetwire.Status)) {
	// Watching VMs report the revision to all VMs, and the relay reports it to its
	// data centre, whose VMs get their updates from the relay.
	scope := fleetlink.None
	view := d.fleet.View()
	switch {
	case view.Watches(string(kind)):
		scope = fleetlink.All
	case view.Relays():
		scope = fleetlink.Near
	}
	d.fleet.UpdateStatus(scope, change)
}

// setMembers passes the list of members to the links. The caller holds mu.
func (d *Directory) setMembers(doc document) {
	members := make([]Member, 0, len(doc.Entries))
	for _, e := range doc.Entries {
		if e.Member != nil {
			members = append(members, *e.Member)
		}
	}
	members = append(members, d.missingMembers(doc)...)
	d.fleet.SetMembers(members)
}

// rebuildDeployment derives the deployment from the documents. The caller holds
// mu.
func (d *Directory) rebuildDeployment() {
	now := clock.Now()
	d.resolve(now)
	d.recordDepartures(now)
	out := d.out
	d.table.Update(func(old catalog.Deployment) catalog.Deployment {
		next := catalog.Deployment{Config: old.Config, Out: out, Servers: d.currentServers(old.Servers, now), RegisteredAt: old.RegisteredAt}
		for id := range next.Servers {
			if old.Servers[id] == nil {
				next.RegisteredAt = now
			}
		}
		for _, e := range d.docs[Configuration].Entries {
			if e.Config != nil && (next.Config == nil || e.Config.Version > next.Config.Version) {
				next.Config = e.Config
				d.logger.WithFields(log.Fields{"version": e.Config.Version, "revision": e.Revision}).Info("directory: configuration in force.")
			}
		}
		next.Leaving = make(map[string]catalog.Leaving)
		for id, s := range next.Servers {
			if !next.Usable(s) {
				next.Leaving[id] = d.leaving(s)
			}
		}
		return next
	})
}

// currentServers returns the registered servers, and those whose registration
// disappeared less than deregistrationGrace ago.
func (d *Directory) currentServers(old map[string]*catalog.Server, now time.Duration) map[string]*catalog.Server {
	servers := make(map[string]*catalog.Server)
	for name, s := range d.registered {
		servers[name] = s
		delete(d.deregisteredSince, name)
		d.leaders.With(s.Group, func(g *leadership.Group) { g.ResetIfRestarted(name, s.Born) })
	}
	for name, s := range old {
		if servers[name] != nil || s.Draining {
			continue
		}
		since, known := d.deregisteredSince[name]
		if !known {
			since = now
			d.deregisteredSince[name] = now
			d.logger.WithField("server", name).Info("directory: registration disappeared.")
			time.AfterFunc(deregistrationGrace, d.refresh)
		}
		if now-since < deregistrationGrace {
			servers[name] = s
		}
	}
	for name := range d.deregisteredSince {
		if servers[name] == nil {
			delete(d.deregisteredSince, name)
		}
	}
	return servers
}

// refresh rebuilds the deployment when the grace period of a server has ended.
func (d *Directory) refresh() {
	d.mu.Lock()
	d.rebuildDeployment()
	d.mu.Unlock()
}
