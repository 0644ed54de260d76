// Package directory keeps a VM's view of the deployment up to date: from the
// store, and from other VMs while the store does not answer this one.
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
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

const (
	// watchWait is how long a watch may wait. The store may forget a watch
	// without an answer; that is noticed watchSlack later, inside the 3 s in
	// which a configuration must be in force.
	watchWait   = 1500 * time.Millisecond
	watchSlack  = 500 * time.Millisecond
	listTimeout = time.Second
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = time.Second
	// lapseGrace is how long a server is used after its registration went
	// away. Registrations that lapsed during an outage of the store come back
	// within about 2 s of its return.
	lapseGrace = 2500 * time.Millisecond
	// peerCheck is how often this VM looks whether others know more, besides
	// each time that one of them says so.
	peerCheck = 250 * time.Millisecond
	// askTimeout bounds the wait for another VM's documents.
	askTimeout = time.Second
	// relayTimeout is how long a VM leaves it to its data centre's relay to
	// fetch what other data centres know.
	relayTimeout = 500 * time.Millisecond
	// meetTime is how long a new VM's links take to come up, after which it knows
	// whether others watch the store for it.
	meetTime = 300 * time.Millisecond
	// learnTimeout is how long a new VM leaves it to others to tell it what the
	// store holds. It is asked for by the hundreds when a fleet starts, and each
	// call is paid for.
	learnTimeout = time.Second
	// watchCheck is how often a VM that does not watch looks whether it should.
	watchCheck = 250 * time.Millisecond
	// recheckInterval is how often a VM that does not watch, and whose last call
	// the store did not answer, asks it again: it may be one of those that the
	// store serves while it refuses the watchers.
	recheckInterval = 5 * time.Second
	learnCheck      = 50 * time.Millisecond
	// membersInterval is how often the list of members is read. VMs meet by
	// their links too, so the list heals what links miss.
	membersInterval = 8 * time.Second
	// retireAfter is how long a VM may be missing before it leaves the list.
	retireAfter = 20 * time.Second
)

var kinds = []Kind{Configuration, Servers, OutOfService}

// Fleet is the part of the links that a directory uses.
type Fleet interface {
	Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool
	Peers() []fleetwire.Status
	View() *placement.View
	Describe(scope fleetlink.Scope, change func(*fleetwire.Status))
	Members(addresses []string)
}

// Directory follows the store. Create it with New.
type Directory struct {
	source Source
	fleet  Fleet
	table  *catalog.Table
	leads  *leadership.Table
	logger log.Interface
	self   Member

	metrics

	mu          lockrank.Mutex // guards the fields below
	docs        map[Kind]document
	lapsed      map[string]time.Duration // server to the time its registration went away
	unfit       map[string]time.Duration // see catalog.Deployment
	missing     map[string]time.Duration // member to the time it was first missed
	askedUntil  time.Duration            // another VM was asked, and may answer until then
	behindSince time.Duration            // another VM is known to know more; zero if none
	failing     bool                     // the latest call to the store failed
	calledAt    time.Duration            // when the latest call to the store ended

	met chan struct{} // closed after the first attempt to read the list of members
}

// New returns the directory of the VM that self describes.
func New(source Source, fleet Fleet, table *catalog.Table, leads *leadership.Table, self Member, logger log.Interface, scope tally.Scope) *Directory {
	return &Directory{
		source: source, fleet: fleet, table: table, leads: leads, logger: logger, self: self,
		metrics: newMetrics(scope),
		mu:      lockrank.New(lockrank.Sessions), docs: make(map[Kind]document), lapsed: make(map[string]time.Duration),
		unfit: make(map[string]time.Duration), missing: make(map[string]time.Duration), met: make(chan struct{}),
	}
}

// Run follows the store until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, kind := range kinds {
		g.Go(func() error { d.follow(ctx, kind); return nil })
	}
	g.Go(func() error { d.join(ctx); return nil })
	g.Go(func() error { d.checkPeers(ctx); return nil })
	return g.Wait()
}

// learn gives other VMs the time to tell a new one about the kind.
func (d *Directory) learn(ctx context.Context, kind Kind) {
	select {
	case <-ctx.Done():
		return
	case <-d.met:
	}
	sleep(ctx, meetTime)
	until := clock.Now() + learnTimeout
	for ctx.Err() == nil && clock.Now() < until && !d.known(kind) && !d.fleet.View().Watches(string(kind)) {
		sleep(ctx, learnCheck)
	}
}

// follow lists a kind and watches it.
func (d *Directory) follow(ctx context.Context, kind Kind) {
	d.learn(ctx, kind)
	backoff := minBackoff
	revision := uint64(0)
	relist := false // the history that a watch needs is gone
	for ctx.Err() == nil {
		if !d.fleet.View().Watches(string(kind)) && d.known(kind) && !d.recheck(kind) {
			sleep(ctx, watchCheck)
			continue
		}
		revision = max(revision, d.revision(kind))
		whole := relist || revision == 0
		var batch Batch
		var err error
		if whole {
			batch, err = d.list(ctx, kind)
		} else {
			batch, err = d.watch(ctx, kind, revision)
		}
		relist = errors.Is(err, ErrHistoryGone)
		switch {
		case err == nil:
			d.apply(kind, batch, whole)
			revision = max(revision, batch.AsOf)
			backoff = minBackoff
		case relist:
			d.logger.WithField("kind", string(kind)).Info("directory: history is gone, listing again.")
		default:
			relist = whole
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// recheck reports whether a VM that does not watch the kind asks the store.
func (d *Directory) recheck(kind Kind) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return kind == Configuration && d.failing && clock.Now()-d.calledAt >= recheckInterval
}

func (d *Directory) list(ctx context.Context, kind Kind) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	begin := clock.Now()
	batch, err := d.source.List(ctx, kind)
	return batch, d.observe(callList, kind, begin, err)
}

func (d *Directory) watch(ctx context.Context, kind Kind, after uint64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	begin := clock.Now()
	batch, err := d.source.Watch(ctx, kind, after, watchWait)
	return batch, d.observe(callWatch, kind, begin, err)
}

// observe counts a call and logs when the store is lost or regained.
func (d *Directory) observe(c call, kind Kind, begin time.Duration, err error) error {
	failed := err != nil && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, context.Canceled)
	now := clock.Now()
	d.record(c, now-begin, failed)
	d.mu.Lock()
	turned := failed != d.failing
	d.failing, d.calledAt = failed, now
	d.mu.Unlock()
	if turned {
		entry := d.logger.WithFields(log.Fields{"call": string(c), "kind": string(kind)})
		if failed {
			entry.WithError(err).Warn("directory: the store does not answer.")
		} else {
			entry.Info("directory: the store answers.")
		}
		d.fleet.Describe(fleetlink.All, func(s *fleetwire.Status) { s.StoreCutOff = failed })
	}
	return err
}

// revision returns the store's revision when the kind last changed.
func (d *Directory) revision(kind Kind) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.docs[kind].Revision
}

// known reports whether the kind was ever listed, here or by another VM.
func (d *Directory) known(kind Kind) bool { return d.revision(kind) > 0 }

// pause waits with jitter.
func pause(ctx context.Context, t time.Duration) { sleep(ctx, t/2+rand.N(t/2+1)) }

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// apply takes a batch from the store: a whole list, or changes.
func (d *Directory) apply(kind Kind, batch Batch, whole bool) {
	if !whole && len(batch.Entries) == 0 {
		return
	}
	d.mu.Lock()
	old := d.docs[kind]
	next := old.next(batch.AsOf)
	listed := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		listed[e.Name] = true
		if e.Invalid != "" {
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
		if whole && !listed[name] {
			next.remove(name, batch.AsOf)
		}
	}
	d.replace(kind, next)
}

// replace puts a document in force. The caller holds mu, which is released.
func (d *Directory) replace(kind Kind, next document) {
	if next.Revision < d.docs[kind].Revision {
		d.mu.Unlock()
		return
	}
	d.docs[kind] = next
	revisions := make(map[string]uint64, len(d.docs))
	for k, doc := range d.docs {
		revisions[string(k)] = doc.Revision
	}
	d.build()
	d.mu.Unlock()
	// A VM that learned it from another one tells only those that depend on it.
	scope := fleetlink.None
	view := d.fleet.View()
	switch {
	case view.Watches(string(kind)):
		scope = fleetlink.All
	case view.Relays():
		scope = fleetlink.Near
	}
	d.fleet.Describe(scope, func(s *fleetwire.Status) { s.Revisions = revisions })
}

// build makes the deployment anew from the documents. The caller holds mu.
func (d *Directory) build() {
	now := clock.Now()
	out := make(map[string]bool)
	for name := range d.docs[OutOfService].Entries {
		out[name] = true
	}
	d.table.Update(func(old catalog.Deployment) catalog.Deployment {
		next := catalog.Deployment{Config: old.Config, Out: out, Servers: d.servers(old.Servers, now), RegisteredAt: old.RegisteredAt}
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
		next.UnfitSince = make(map[string]time.Duration)
		for id, s := range next.Servers {
			if next.Usable(s) {
				continue
			}
			if _, known := d.unfit[id]; !known {
				d.unfit[id] = now
				d.logger.WithField("server", id).Info("directory: server takes no new work.")
			}
			next.UnfitSince[id] = d.unfit[id]
		}
		for id := range d.unfit {
			if _, unfit := next.UnfitSince[id]; !unfit {
				delete(d.unfit, id)
			}
		}
		return next
	})
}

// servers returns the registered servers and those whose registration lapsed a
// moment ago.
func (d *Directory) servers(old map[string]*catalog.Server, now time.Duration) map[string]*catalog.Server {
	servers := make(map[string]*catalog.Server)
	for name, e := range d.docs[Servers].Entries {
		if e.Server == nil {
			continue
		}
		servers[name] = e.Server
		delete(d.lapsed, name)
		d.leads.With(e.Server.Group, func(g *leadership.Group) { g.Reborn(name, e.Server.Born) })
	}
	for name, s := range old {
		if servers[name] != nil || s.Draining {
			continue
		}
		since, known := d.lapsed[name]
		if !known {
			since = now
			d.lapsed[name] = now
			d.logger.WithField("server", name).Info("directory: registration went away.")
			time.AfterFunc(lapseGrace, d.refresh)
		}
		if now-since < lapseGrace {
			servers[name] = s
		}
	}
	for name := range d.lapsed {
		if servers[name] == nil {
			delete(d.lapsed, name)
		}
	}
	return servers
}

// refresh makes the deployment anew after some time has passed.
func (d *Directory) refresh() {
	d.mu.Lock()
	d.build()
	d.mu.Unlock()
}
