// Package exchange runs the gossip protocol between VMs. It sends and handles the
// regular messages, maintains the member table, and distributes the
// configuration. Decisions run as events of one queue of the worker pool;
// goroutines outside of the pool send the messages.
package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutdyke/chestnutdyke/coordination/membership"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/peer"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Limits of the exchange.
const (
	queueLimit = 256 // events; about 10 s of regular messages
	taskLimit  = 64  // concurrent exchanges, pushes and the watch

	// exchangeTimeout bounds an exchange without a snapshot. Latencies are a
	// few milliseconds, and a lease needs time for several attempts within 3 s.
	exchangeTimeout = time.Second
	snapshotTimeout = 5 * time.Second
	cancelTimeout   = time.Second

	// roundJitter prevents VMs that started together from sending in step.
	roundJitter = 50 * time.Millisecond
)

// Options configure an Exchange. Listen, Seeds, Extensions, Applied, Cancel,
// Logger, Scope, Tracer and Now are optional.
type Options struct {
	Pool    *pool.Pool
	Tables  *state.Tables
	Self    state.Self
	Address string // host:port under which other VMs reach this VM
	Listen  string // address to listen on; Address if empty
	Network network.Network
	Secret  []byte // shared by the fleet
	Seeds   []membership.Peer
	// Voters returns the names of the VMs that vote on this VM's incarnation.
	Voters func() []string
	// Applied returns the number of the highest ticket that is fully applied. If
	// it is nil, a ticket counts as applied once it is in force.
	Applied    func() uint64
	Extensions []Extension
	Config     ConfigOptions
	// Cancel handles a client's cancel request that another VM has forwarded. It
	// must not block.
	Cancel func(session uint64, secret uint32)
	Logger log.Interface
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

// Exchange runs the gossip protocol of one VM. Create it with New.
type Exchange struct {
	options    Options
	tables     *state.Tables
	self       state.Self
	now        func() time.Time
	logger     log.Interface
	metrics    *metrics
	queue      *pool.Queue
	client     *peer.Client
	tasks      *taskGroup
	extensions []Extension
	config     *configExtension

	running      context.Context // done when Run ends
	stop         func()          // ends running
	started      time.Time
	roundPending atomic.Bool // a round event is queued

	// Only events of the queue may use the fields below.
	sequence          uint64
	state             state.ServiceState
	seeds             []membership.Peer
	schedule          membership.Schedule
	responseEntries   membership.EntrySelector // selects the member entries of responses
	requestEntries    membership.EntrySelector // selects the member entries of requests
	digestSelector    membership.DigestSelector
	joining           bool            // this VM has not heard of every listed VM yet
	inFlight          map[string]bool // VMs with a running exchange
	resend            map[string]bool // VMs to which to send again after the running exchange
	replacementLogged bool            // the replacement of this incarnation was logged
}

// New returns an exchange that is not yet running.
func New(o Options) (*Exchange, error) {
	if o.Pool == nil || o.Tables == nil || o.Network == nil || o.Voters == nil {
		return nil, eris.New("exchange requires a pool, tables, a network and voters")
	}
	if o.Self.Name == "" || o.Self.Incarnation == 0 || o.Address == "" || len(o.Secret) == 0 {
		return nil, eris.New("exchange requires a name, an incarnation, an address and a secret")
	}
	if o.Config.Encode == nil || o.Config.Decode == nil {
		return nil, eris.New("exchange requires functions to encode and decode the configuration")
	}
	o = o.withDefaults()
	e := &Exchange{
		options:  o,
		tables:   o.Tables,
		self:     o.Self,
		now:      o.Now,
		started:  o.Now(),
		logger:   o.Logger,
		metrics:  newMetrics(o.Scope),
		queue:    o.Pool.NewQueue(queueLimit),
		tasks:    newTaskGroup(taskLimit),
		state:    state.InService,
		joining:  true,
		seeds:    o.Seeds,
		inFlight: make(map[string]bool),
		resend:   make(map[string]bool),
	}
	e.running, e.stop = context.WithCancel(context.Background())
	e.client = peer.NewClient(e.peerOptions())
	e.config = newConfigExtension(e, o.Config)
	e.extensions = append([]Extension{e.config}, o.Extensions...)
	return e, nil
}

func (o Options) withDefaults() Options {
	if o.Listen == "" {
		o.Listen = o.Address
	}
	if o.Applied == nil {
		tables := o.Tables
		o.Applied = func() uint64 { return ticketOf(tables.Config.Current()).Number }
	}
	if o.Cancel == nil {
		o.Cancel = func(uint64, uint32) {}
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func (e *Exchange) peerOptions() peer.Options {
	return peer.Options{
		Name:    e.self.Name,
		Secret:  e.options.Secret,
		Network: e.options.Network,
		Handler: (*handler)(e),
		Logger:  e.logger,
		Scope:   e.options.Scope.SubScope("peer"),
		Tracer:  e.options.Tracer,
		Now:     e.now,
	}
}

// Run exchanges messages until ctx is done. Call it once, while the pool runs.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.close()
	server, err := peer.NewServer(e.peerOptions(), e.options.Listen)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, e.stop)()
	g.Go(server.Serve)
	g.Go(func() error {
		e.scheduleRounds(ctx)
		server.Close()
		return nil
	})
	return g.Wait()
}

func (e *Exchange) close() {
	e.stop()
	e.tasks.close()
	e.queue.Close()
	e.client.Close()
}

// scheduleRounds queues a round at every interval. It queues no other while one
// is pending, for instance after this process was suspended.
func (e *Exchange) scheduleRounds(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if e.roundPending.CompareAndSwap(false, true) && !e.queue.Post(e.runRound) {
			e.roundPending.Store(false)
			e.metrics.overload.Inc(1)
		}
		timer.Reset(membership.RoundInterval - roundJitter + rand.N(2*roundJitter))
	}
}

// SendNow starts exchanges with the named VMs without waiting for the next regular
// round. Extensions call it when they have urgent data.
func (e *Exchange) SendNow(names ...string) {
	e.queue.Post(func() {
		for _, name := range names {
			e.sendTo(name)
		}
	})
}

// SetState sets the state that this VM announces, such as leaving.
func (e *Exchange) SetState(s state.ServiceState) {
	e.queue.PostUnbounded(func() { e.state = s })
}

// SetSeeds replaces the seeds, the VMs named by the platform or in the settings.
func (e *Exchange) SetSeeds(seeds []membership.Peer) {
	e.queue.PostUnbounded(func() { e.seeds = seeds })
}

// SendCancel forwards a client's cancel request to the VM that holds its session.
// It blocks until the response arrives and must not be called by a worker.
func (e *Exchange) SendCancel(ctx context.Context, to string, session uint64, secret uint32) error {
	type prepared struct {
		target  peer.Target
		message *peerapi.Cancel
	}
	ready := make(chan prepared, 1)
	if !e.queue.Post(func() {
		target, _ := e.target(to)
		ready <- prepared{target, &peerapi.Cancel{Sender: e.nextSender(), Session: session, Secret: secret}}
	}) {
		return eris.New("exchange is overloaded or stopped")
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	select {
	case p := <-ready:
		if p.target.Address == "" {
			return eris.Errorf("address of %s is unknown", to)
		}
		return e.client.Cancel(ctx, p.target, p.message)
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "prepare cancel request")
	}
}

func ticketOf(c *state.Config) state.TicketID {
	if c == nil {
		return state.TicketID{}
	}
	return c.Ticket
}
