// Package fleetlink connects the VMs of a fleet with each other.
//
// Each VM dials every other one. The link that a VM dialled carries its calls
// and their answers, so each pair has two links. A link that is silent for
// deadAfter is closed, and the VM behind it is taken as not alive until it
// answers again.
package fleetlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
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
	// tellSpacing is the time between two descriptions of a VM to all others, for
	// each of them: a thousand a second at most.
	tellSpacing = time.Millisecond
	// outboxHigh is how many bytes may wait for a VM that does not read.
	outboxHigh = 1 << 20
	queueLimit = 256
)

// Handler runs what other VMs ask for. Its methods run on pool workers and do
// not block.
type Handler interface {
	// Execute runs a statement and calls reply once. origin names the link on
	// which it came.
	Execute(origin string, w *statement.Work, reply func(statement.Result))
	// EndTx ends a transaction that was opened over the link.
	EndTx(origin string, tx uint64)
	// LinkClosed says that nothing more is heard on a link of another VM.
	LinkClosed(origin string)
	// VMLost says that this VM's link to another VM broke.
	VMLost(vm string)
	// Grant grants up to n tokens of a half of a customer's limit.
	Grant(h catalog.Half, n int) int
	// Ping returns what pings say now. While it changes, they are sent faster.
	Ping() []byte
	// Pong returns the answer to a ping that came on the link and said question.
	Pong(from, origin string, question []byte) fleetwire.Pong
	// PongReceived takes the answer to a ping that was sent at sentAt.
	PongReceived(from string, p fleetwire.Pong, sentAt time.Duration)
	// StatusReceived takes what another VM said of itself.
	StatusReceived(s *fleetwire.Status)
	// Document returns what this VM knows from the store and the asking VM, as
	// it says in the question, does not.
	Document(question []byte) []byte
}

// Links are the links of a VM.
type Links struct {
	ctx     context.Context // of the links that this VM dials
	net     network.Network
	pool    *pool.Pool
	handler Handler
	logger  log.Interface

	accepted atomic.Uint64 // links

	mu      lockrank.Mutex // guards the fields below
	self    fleetwire.Status
	peers   map[string]*peer // by address
	view    *placement.View  // nil if it is out of date, see current
	longest time.Duration    // between pings, as of the view
	members map[string]bool  // addresses in the store's list

	untold Scope         // to whom the latest changes of self are not told yet
	toldAt time.Duration // when self was told last

	suspected  map[string]time.Duration // data centre to when a VM of it went silent
	said       []byte                   // by the latest pings
	eagerUntil time.Duration            // all VMs are pinged as in a small fleet until then
}

// peer is another VM and the link that this VM dialled to it. Its fields are
// guarded by Links.mu.
type peer struct {
	address   string
	status    fleetwire.Status // zero until the VM described itself
	known     bool
	link      *link
	alive     bool
	lastHeard time.Duration
	lastPing  time.Duration
	cancel    context.CancelFunc
	seen      chan struct{} // has room for one signal: the VM dialled this one
}

// New returns the links of a VM that describes itself as self. Other VMs are
// dialled until ctx is done.
func New(ctx context.Context, n network.Network, p *pool.Pool, self fleetwire.Status, logger log.Interface) *Links {
	l := &Links{
		ctx: ctx, net: n, pool: p, logger: logger, self: self,
		mu: lockrank.New(lockrank.Members), peers: make(map[string]*peer), members: make(map[string]bool),
		suspected: make(map[string]time.Duration), untold: None,
	}
	return l
}

// Handle sets the handler. Call it before Run.
func (l *Links) Handle(h Handler) { l.handler = h }

// Run accepts and checks links until ctx is done.
func (l *Links) Run(ctx context.Context) error {
	listener, err := l.net.Listen(l.self.Address)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { l.tick(ctx) })
	network.Accept(ctx, listener, tickInterval, func(conn net.Conn) { l.serve(ctx, conn) }, func(err error) {
		l.logger.WithError(err).Warn("fleet: a link could not be accepted.")
	})
	return nil
}

// View returns the current view of the fleet.
func (l *Links) View() *placement.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current()
}

// current returns the view, which is made anew after changes only: in a large
// fleet many come together when it starts. The caller holds mu.
func (l *Links) current() *placement.View {
	if l.view == nil {
		l.rebuild()
	}
	return l.view
}

// Peers returns what the other VMs said of themselves.
func (l *Links) Peers() []fleetwire.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []fleetwire.Status
	for _, p := range l.peers {
		if p.known && p.alive {
			all = append(all, p.status)
		}
	}
	return all
}

// Scope is to whom a change of a VM's description is told at once. Others learn
// it with the next change that is told to them.
type Scope uint8

// Scopes.
const (
	All  Scope = iota
	Near       // VMs of the same data centre
	None
)

// Describe changes what this VM says of itself and tells other VMs: at once, or
// together with the changes of the next moment if it has told them just before.
func (l *Links) Describe(scope Scope, change func(*fleetwire.Status)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.self)
	l.view = nil
	if scope == None {
		return
	}
	waiting := l.untold < None
	l.untold = min(l.untold, scope)
	if waiting {
		return
	}
	wait := l.toldAt + time.Duration(len(l.peers))*tellSpacing - clock.Now()
	if wait <= 0 {
		l.tell()
		return
	}
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.tell()
	})
}

// tell sends the description to those that it was not told to. The caller holds
// mu.
func (l *Links) tell() {
	f := fleetwire.Frame{Kind: fleetwire.KindStatus, Body: l.self.Encode()}
	for _, p := range l.peers {
		if p.link != nil && (l.untold == All || p.status.DataCentre == l.self.DataCentre) {
			p.link.send(f)
		}
	}
	l.untold, l.toldAt = None, clock.Now()
}

// Members sets the VMs in the store's list, by address. VMs that left the list
// and are not heard of are forgotten.
func (l *Links) Members(addresses []string) {
	l.mu.Lock()
	l.members = make(map[string]bool, len(addresses))
	for _, a := range addresses {
		l.members[a] = true
	}
	for a, p := range l.peers {
		if !l.members[a] && !p.alive && p.known {
			p.cancel()
			delete(l.peers, a)
		}
	}
	l.view = nil
	l.mu.Unlock()
	for _, a := range addresses {
		l.Meet(a)
	}
}

// Meet dials the VM at the address, now and whenever its link breaks.
func (l *Links) Meet(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.self.Address || l.peers[address] != nil {
		return
	}
	dialCtx, cancel := context.WithCancel(l.ctx)
	p := &peer{address: address, cancel: cancel, seen: make(chan struct{}, 1)}
	l.peers[address] = p
	go l.dial(dialCtx, p)
}

// Call sends a call to the named VM. done gets the answer, or false if the link
// broke before it came. Call reports false, and done is not called, if the VM
// is not linked and nothing was sent.
func (l *Links) Call(vm string, kind fleetwire.Kind, body []byte, done func(fleetwire.Frame, bool)) bool {
	k := l.linkTo(vm)
	return k != nil && k.call(fleetwire.Frame{Kind: kind, Body: body}, done)
}

// Send sends a message that is not answered.
func (l *Links) Send(vm string, kind fleetwire.Kind, body []byte) {
	if k := l.linkTo(vm); k != nil {
		k.send(fleetwire.Frame{Kind: kind, Body: body})
	}
}

func (l *Links) linkTo(vm string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.known && p.alive && p.status.Name == vm {
			return p.link
		}
	}
	return nil
}

// rebuild makes the view and what depends on it anew. The caller holds mu.
func (l *Links) rebuild() {
	v := &placement.View{Self: l.self.Name, Members: 1, Listed: len(l.members) > 0}
	v.VMs = append(v.VMs, placementVM(&l.self, true))
	for a, p := range l.peers {
		if p.known {
			v.VMs = append(v.VMs, placementVM(&p.status, p.alive))
		}
		if p.known || l.members[a] {
			v.Members++
		}
	}
	l.view = v
	near, far := l.intervals()
	l.longest = max(near, far)
}

func placementVM(s *fleetwire.Status, alive bool) placement.VM {
	vm := placement.VM{
		Name: s.Name, DataCentre: s.DataCentre, Weight: s.Weight, Alive: alive, Incarnation: s.Incarnation,
		Leaving: s.Leaving, StoreCutOff: s.StoreCutOff,
	}
	if len(s.Unreachable) > 0 {
		vm.Unreachable = make(map[string]bool, len(s.Unreachable))
		for _, id := range s.Unreachable {
			vm.Unreachable[id] = true
		}
	}
	return vm
}

// learn takes what a VM said of itself: on the link k that this VM dialled to
// it, or on one that it dialled itself, for which k is nil.
//
// Incarnations are times of day, which may jump back between two runs of a VM.
// The process that answers at the VM's address is the current one, whatever its
// incarnation.
func (l *Links) learn(s fleetwire.Status, k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[s.Address]
	if p == nil || s.Name == l.self.Name || k != nil && p.link != k {
		return
	}
	switch {
	case k != nil:
		k.incarnation = s.Incarnation
	case p.link == nil:
		select {
		case p.seen <- struct{}{}:
		default:
		}
	case p.link.incarnation != 0 && p.link.incarnation != s.Incarnation:
		// The VM runs anew, and its end of the older link is gone.
		p.link.out.Abort()
	}
	// A VM that was replaced by one of the same name at another address never
	// answers again.
	for a, other := range l.peers {
		if a != s.Address && other.known && other.status.Name == s.Name && other.status.Incarnation < s.Incarnation {
			other.cancel()
			delete(l.peers, a)
		}
	}
	if !p.known {
		l.logger.WithFields(log.Fields{"vm": s.Name, "address": s.Address}).Info("fleet: VM learned.")
	}
	if !p.known || k != nil || p.status.Incarnation <= s.Incarnation {
		p.status, p.known = s, true
	}
	l.view = nil
}

// heard records an answer of the peer on its link. It returns the VM's name, or
// "" if the link was closed or the VM has not described itself.
func (l *Links) heard(p *peer, k *link) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.link != k {
		return ""
	}
	p.lastHeard = clock.Now()
	if !p.alive && p.known {
		p.alive = true
		l.logger.WithField("vm", p.status.Name).Info("fleet: VM is heard.")
		l.view = nil
	}
	return p.status.Name
}

// lost records that the peer's link broke.
func (l *Links) lost(p *peer, k *link, why error) {
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
		l.logger.WithFields(log.Fields{"vm": name, "why": why.Error()}).Warn("fleet: VM is not heard.")
		l.handler.VMLost(name)
	}
}

func (k *link) send(f fleetwire.Frame) {
	if k.out.Full() {
		k.out.Abort()
		return
	}
	k.out.Write(f.Append(nil))
}
