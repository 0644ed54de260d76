// Package fleetlink connects the VMs of a fleet with each other.
//
// Each VM dials all cores, see placement.Cores; in a small fleet these are all VMs. A
// link carries the calls of the VM that dialled it and the responses to them, so each
// pair of cores has two links. A link without responses for silenceTimeout, or longer in a large fleet, is closed, and the VM
// at its other end is not considered alive until it responds again.
package fleetlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/coordination/quota"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	dialTimeout = 500 * time.Millisecond
	redialDelay = 250 * time.Millisecond
	// statusSpacing times the number of other VMs is the time between two
	// broadcasts of this VM's status. It limits a VM to 1000 status messages
	// per second.
	statusSpacing = time.Millisecond
	// maxOutboxBytes limits the bytes queued for a VM that does not read. The
	// link is closed when they exceed it.
	maxOutboxBytes = 1 << 20
	queueLimit     = 256
)

// Handler handles the calls of other VMs and the events of links. Its methods
// run on pool workers and must not block.
type Handler interface {
	// Execute runs a statement and calls reply once. origin identifies the link
	// on which it arrived.
	Execute(origin string, w *statement.RemoteStatement, reply func(statement.Result))
	// AbortTx aborts a transaction that was opened over the link.
	AbortTx(origin string, tx uint64)
	// LinkClosed reports that a link dialled by another VM was closed.
	LinkClosed(origin string)
	// VMLost reports that this VM's link to another VM was lost.
	VMLost(vm string)
	// GrantTokens grants up to the wanted tokens of a partition of a customer's limit.
	GrantTokens(partition catalog.LimitPartition, wanted quota.Wanted) int
	// PingBody returns the current body of pings. Pings are more frequent for a
	// while after it has changed.
	PingBody() []byte
	// HandlePing returns the response to a ping that arrived on the link origin
	// with the given body. from is the status of its sender.
	HandlePing(from *fleetwire.Status, origin string, body []byte) fleetwire.Pong
	// HandlePong handles the response to a ping that was sent at sentAt.
	HandlePong(from string, p fleetwire.Pong, sentAt time.Duration)
	// HandleStatus handles the status of another VM.
	HandleStatus(s *fleetwire.Status)
	// LendConnections lends up to n connections to the server to the borrower and calls
	// reply once with their number.
	LendConnections(borrower, server string, n int, reply func(lent int))
	// UpdatesSince returns the encoded updates from the store after the encoded
	// revisions that the requesting VM knows.
	UpdatesSince(known []byte) []byte
	// HandleFencing handles a call of the kind KindFence or KindRenewal, and calls
	// reply at most once. An error closes the link.
	HandleFencing(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error
	// HandleUsage handles a call of the kind KindUsageRequest or KindUsageReply, and calls
	// reply at most once. An error closes the link.
	HandleUsage(kind fleetwire.Kind, body []byte, reply func(fleetwire.Kind, []byte)) error
}

// Links manages the links of a VM.
type Links struct {
	ctx     context.Context // context of the links that this VM dials
	net     network.Network
	pool    *pool.Pool
	handler Handler
	logger  log.Interface

	acceptedLinks atomic.Uint64 // number of links accepted so far; the origin of the latest one

	mu              lockrank.Mutex // guards the fields below
	self            fleetwire.Status
	peers           map[string]*peer            // by address; the VMs that this one dials
	accepted        map[*link]*fleetwire.Status // links that other VMs dialled, once they have sent their status
	view            *placement.View             // nil if outdated, see currentView
	maxPingInterval time.Duration               // as of the view
	members         map[string]placement.Member // by address; the list of members in the store
	cores           map[string]bool             // addresses of the cores among the known VMs
	large           bool                        // not all VMs are cores

	pendingScope Scope         // receivers of the status changes that are not sent yet; None if there are none
	lastStatusAt time.Duration // when self was last sent

	suspectedSince map[string]time.Duration // data centre to the time at which one of its VMs became silent
	lastPingBody   []byte                   // body of the latest pings
	fastPingUntil  time.Duration            // until then all VMs are pinged at the interval of a small fleet
}

// peer is another VM with the link that this VM dialled to it. Its fields are
// guarded by Links.mu.
type peer struct {
	address     string
	status      fleetwire.Status // zero until the VM has sent its status
	hasStatus   bool
	link        *link
	alive       bool
	lastHeard   time.Duration
	lastPing    time.Duration
	cancel      context.CancelFunc
	dialledBack chan struct{} // signals that the VM dialled this one; has a buffer of one
}

// New returns the links of a VM whose status is self. They dial other VMs until
// ctx is done.
func New(ctx context.Context, n network.Network, p *pool.Pool, self fleetwire.Status, logger log.Interface) *Links {
	l := &Links{
		ctx: ctx, net: n, pool: p, logger: logger, self: self,
		mu: lockrank.New(lockrank.Members), peers: make(map[string]*peer), accepted: make(map[*link]*fleetwire.Status),
		members: make(map[string]placement.Member), cores: map[string]bool{self.Address: true},
		suspectedSince: make(map[string]time.Duration), pendingScope: None,
	}
	return l
}

// SetHandler sets the handler. It must be called before Run.
func (l *Links) SetHandler(h Handler) { l.handler = h }

// Run accepts links and monitors all links until ctx is done.
func (l *Links) Run(ctx context.Context) error {
	listener, err := l.net.Listen(l.self.Address)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.runChecks(ctx) })
	network.Serve(ctx, listener, tickInterval, func(conn net.Conn) { l.serveLink(ctx, conn) }, func(err error) {
		l.logger.WithError(err).Warn("fleet: a link could not be accepted.")
	})
	return nil
}

// View returns the current view of the fleet.
func (l *Links) View() *placement.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentView()
}

// currentView returns the view. It is rebuilt on demand only, because a large
// fleet causes many changes at once when it starts. The caller holds mu.
func (l *Links) currentView() *placement.View {
	if l.view == nil {
		l.rebuildView()
	}
	return l.view
}

// Peers returns the statuses of the VMs that this VM dials and that are alive.
func (l *Links) Peers() []fleetwire.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []fleetwire.Status
	for _, p := range l.peers {
		if p.hasStatus && p.alive {
			all = append(all, p.status)
		}
	}
	return all
}

// Scope determines which VMs receive a status change at once. The others
// receive it together with the next change whose scope includes them. The values
// are in the order from the widest scope to the narrowest.
type Scope uint8

const (
	All  Scope = iota
	Near       // VMs of the same data centre
	None
)

// UpdateStatus changes this VM's status and sends it to the VMs in the scope. It is
// sent at once, or delayed to keep statusSpacing and then sent together with
// later changes.
func (l *Links) UpdateStatus(scope Scope, change func(*fleetwire.Status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.self)
	l.view = nil
	if scope == None {
		return
	}
	scheduled := l.pendingScope < None
	l.pendingScope = min(l.pendingScope, scope)
	if scheduled {
		return
	}
	wait := l.lastStatusAt + time.Duration(len(l.peers)+len(l.accepted))*statusSpacing - clock.Now()
	if wait <= 0 {
		l.sendStatus()
		return
	}
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sendStatus()
	})
}

// sendStatus sends the status to the VMs in pendingScope. The caller holds mu.
func (l *Links) sendStatus() {
	f := fleetwire.Frame{Kind: fleetwire.KindStatus, Body: l.self.Encode()}
	inScope := func(s *fleetwire.Status) bool { return l.pendingScope == All || s.DataCentre == l.self.DataCentre }
	for _, p := range l.peers {
		if p.link != nil && inScope(&p.status) {
			p.link.send(f)
		}
	}
	for k, s := range l.accepted {
		// A VM that this one dials has received it already.
		if p := l.peers[s.Address]; (p == nil || p.link == nil) && inScope(s) {
			k.send(f)
		}
	}
	l.pendingScope, l.lastStatusAt = None, clock.Now()
}

// Connect connects to the VM at the address, and reconnects whenever the link is lost,
// unless it turns out that the VM is not a core.
func (l *Links) Connect(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dial(address)
}

// dial starts to dial the address unless it is dialled already. The caller holds mu.
func (l *Links) dial(address string) {
	if address == l.self.Address || l.peers[address] != nil {
		return
	}
	dialCtx, cancel := context.WithCancel(l.ctx)
	p := &peer{address: address, cancel: cancel, dialledBack: make(chan struct{}, 1)}
	l.peers[address] = p
	go l.maintainLink(dialCtx, p)
}

// Call sends a call to the named VM. done receives the response, or false if the
// link was lost before the response arrived. If there is no link to the VM, Call
// returns false and does not call done.
func (l *Links) Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool {
	k := l.linkTo(vm)
	return k != nil && k.call(fleetwire.Frame{Kind: kind, Body: body}, done)
}

// Send sends a message that has no response.
func (l *Links) Send(vm string, kind fleetwire.Kind, body []byte) {
	if k := l.linkTo(vm); k != nil {
		k.send(fleetwire.Frame{Kind: kind, Body: body})
	}
}

func (l *Links) linkTo(vm string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.hasStatus && p.alive && p.status.Name == vm {
			return p.link
		}
	}
	return nil
}

// applyStatus applies the status of another VM, which arrived on the link k. dialled
// says whether this VM dialled the link.
//
// Incarnations are wall-clock times, which may go backwards between two runs of
// a VM. The process that responds at the VM's address is the current one,
// regardless of its incarnation.
func (l *Links) applyStatus(s fleetwire.Status, k *link, dialled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Name == l.self.Name {
		return
	}
	listed := l.members[s.Address].DataCentre != ""
	updated := false
	if !dialled {
		updated = !listed && l.accepted[k] == nil && l.peers[s.Address] == nil
		l.accepted[k] = &s
		if updated {
			l.updateCores()
		}
	}
	p := l.peers[s.Address]
	if p == nil || dialled && p.link != k {
		return
	}
	switch {
	case dialled:
		k.incarnation = s.Incarnation
	case p.link == nil:
		select {
		case p.dialledBack <- struct{}{}:
		default:
		}
	case p.link.incarnation != 0 && p.link.incarnation != s.Incarnation:
		// The VM has restarted, and the old process at the other end of the
		// link is gone.
		p.link.out.CloseNow()
	}
	// A VM that was replaced by a VM with the same name at another address will
	// not respond any more.
	for a, other := range l.peers {
		if a != s.Address && other.hasStatus && other.status.Name == s.Name && other.status.Incarnation < s.Incarnation {
			l.removePeer(other)
		}
	}
	discovered := !p.hasStatus
	if discovered {
		l.logger.WithFields(log.Fields{"vm": s.Name, "address": s.Address}).Info("fleet: VM discovered.")
	}
	if !p.hasStatus || dialled || p.status.Incarnation <= s.Incarnation {
		p.status, p.hasStatus = s, true
	}
	l.view = nil
	if discovered && !updated && !listed {
		l.updateCores()
	}
}

// linkClosed records the end of a link that another VM dialled.
func (l *Links) linkClosed(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, k)
}

// Connected returns the addresses of the VMs that have a link with this one.
func (l *Links) Connected() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]bool)
	for a, p := range l.peers {
		if p.alive {
			all[a] = true
		}
	}
	for _, s := range l.accepted {
		all[s.Address] = true
	}
	return all
}

// markAlive records a response from the peer on its link. It returns the name of
// the VM, or "" if the link was closed or the VM has not sent its status.
func (l *Links) markAlive(p *peer, k *link) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.link != k {
		return ""
	}
	p.lastHeard = clock.Now()
	if !p.alive && p.hasStatus {
		p.alive = true
		l.logger.WithField("vm", p.status.Name).Info("fleet: VM is reachable.")
		l.view = nil
	}
	return p.status.Name
}

// markLost records that the link to the peer was lost.
func (l *Links) markLost(p *peer, k *link, cause error) {
	l.mu.Lock()
	changed := false
	if p.link == k {
		p.link = nil
		changed = p.alive
		p.alive = false
		l.view = nil
	}
	name := p.status.Name
	l.mu.Unlock()
	if changed {
		l.logger.WithFields(log.Fields{"vm": name, "why": cause.Error()}).Warn("fleet: VM is unreachable.")
		l.handler.VMLost(name)
	}
}

func (k *link) send(f fleetwire.Frame) {
	if k.out.Full() {
		k.out.CloseNow()
		return
	}
	k.out.Enqueue(f.Append(nil))
}
