// Package fleetlink connects the VMs of a fleet with each other.
//
// Each VM dials every other one. The link that a VM dialled carries its calls
// and their answers, so each pair has two links. A link that is silent for
// deadAfter is closed, and the VM behind it is taken as not alive until it
// answers again.
package fleetlink

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

const (
	// tickInterval is how often links are checked.
	tickInterval = 100 * time.Millisecond
	// pingInterval in a small fleet. It grows with the fleet so that a VM
	// sends no more than pingsPerSecond pings inside its data centre, and as
	// many to others.
	pingInterval   = 200 * time.Millisecond
	pingsPerSecond = 60
	// deadAfter is a few ping intervals: a VM that is short of processor time
	// answers late, and the executor of a statement moves when it is missed.
	deadAfter   = 800 * time.Millisecond
	deadPings   = 3
	dialTimeout = 500 * time.Millisecond
	redialDelay = 250 * time.Millisecond
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
	// LinkClosed says that nothing more is heard of the link's transactions.
	LinkClosed(origin string)
	// Grant grants up to n tokens of a customer.
	Grant(customer string, n int) int
	// Pong returns the answer to a ping.
	Pong(from string) fleetwire.Pong
	// PongReceived takes the answer to a ping that was sent at sentAt.
	PongReceived(from string, p fleetwire.Pong, sentAt time.Duration)
	// StatusReceived says that another VM described itself anew.
	StatusReceived()
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
	view    *placement.View
	members map[string]bool // addresses in the store's list
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
}

// New returns the links of a VM that describes itself as self. Other VMs are
// dialled until ctx is done.
func New(ctx context.Context, n network.Network, p *pool.Pool, self fleetwire.Status, logger log.Interface) *Links {
	l := &Links{
		ctx: ctx, net: n, pool: p, logger: logger, self: self,
		mu: lockrank.New(lockrank.Members), peers: make(map[string]*peer), members: make(map[string]bool),
	}
	l.rebuild()
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
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	wg.Go(func() { l.tick(ctx) })
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			l.logger.WithError(err).Warn("fleet: a link could not be accepted.")
			time.Sleep(tickInterval)
			continue
		}
		wg.Go(func() { l.serve(ctx, conn) })
	}
}

// View returns the current view of the fleet.
func (l *Links) View() *placement.View {
	l.mu.Lock()
	defer l.mu.Unlock()
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

// Describe changes what this VM says of itself and tells other VMs.
func (l *Links) Describe(scope Scope, change func(*fleetwire.Status)) {
	l.mu.Lock()
	change(&l.self)
	body := l.self.Encode()
	var open []*link
	for _, p := range l.peers {
		if p.link != nil && (scope == All || scope == Near && p.status.DataCentre == l.self.DataCentre) {
			open = append(open, p.link)
		}
	}
	l.rebuild()
	l.mu.Unlock()
	for _, k := range open {
		k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	}
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
	l.rebuild()
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
	p := &peer{address: address, cancel: cancel}
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

// rebuild makes the view anew. The caller holds mu.
func (l *Links) rebuild() {
	v := &placement.View{Self: l.self.Name, Members: 1}
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

// learn takes what a VM said of itself.
func (l *Links) learn(s fleetwire.Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[s.Address]
	if p != nil && s.Name != l.self.Name {
		// A VM that was replaced by one of the same name at another address
		// never answers again.
		for a, other := range l.peers {
			if a != s.Address && other.known && other.status.Name == s.Name && other.status.Incarnation < s.Incarnation {
				other.cancel()
				delete(l.peers, a)
			}
		}
		if !p.known {
			l.logger.WithFields(log.Fields{"vm": s.Name, "address": s.Address}).Info("fleet: VM learned.")
		}
		if !p.known || p.status.Incarnation <= s.Incarnation {
			p.status, p.known = s, true
		}
		l.rebuild()
	}
}

// heard records an answer of the peer on its link.
func (l *Links) heard(p *peer, k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.link == k {
		p.lastHeard = clock.Now()
		if !p.alive && p.known {
			p.alive = true
			l.logger.WithField("vm", p.status.Name).Info("fleet: VM is heard.")
			l.rebuild()
		}
	}
}

// lost records that the peer's link broke.
func (l *Links) lost(p *peer, k *link, why error) {
	l.mu.Lock()
	changed := false
	if p.link == k {
		p.link = nil
		changed = p.alive
		p.alive = false
		l.rebuild()
	}
	l.mu.Unlock()
	if changed {
		l.logger.WithFields(log.Fields{"vm": p.status.Name, "why": why.Error()}).Warn("fleet: VM is not heard.")
	}
}

// dial keeps a link to the peer until ctx is done.
func (l *Links) dial(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := l.net.Dial(dialCtx, p.address)
		cancel()
		if err == nil {
			l.hold(ctx, p, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// hold uses a link that this VM dialled until it breaks.
func (l *Links) hold(ctx context.Context, p *peer, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.Abort)
	defer stop()
	l.mu.Lock()
	p.link, p.lastHeard, p.lastPing = k, clock.Now(), 0
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	l.ping(p, k)
	err := l.read(ctx, k, func(f fleetwire.Frame) {
		if f.Kind == fleetwire.KindStatus {
			l.receiveStatus(f.Body)
			return
		}
		k.answered(f)
	})
	k.out.Abort()
	l.lost(p, k, err)
	k.fail()
}

// ping asks the peer for a pong.
func (l *Links) ping(p *peer, k *link) {
	sentAt := clock.Now()
	k.call(fleetwire.Frame{Kind: fleetwire.KindPing}, func(f fleetwire.Frame, ok bool) {
		if !ok {
			return
		}
		pong, err := fleetwire.DecodePong(f.Body)
		if err != nil {
			l.logger.WithError(err).Error("fleet: a pong cannot be decoded.")
			return
		}
		l.heard(p, k)
		l.mu.Lock()
		name := p.status.Name
		l.mu.Unlock()
		if name != "" {
			l.handler.PongReceived(name, pong, sentAt)
		}
	})
}

func (l *Links) receiveStatus(body []byte) string {
	s, err := fleetwire.DecodeStatus(body)
	if err != nil {
		l.logger.WithError(err).Error("fleet: a status cannot be decoded.")
		return ""
	}
	l.Meet(s.Address)
	l.learn(s)
	l.handler.StatusReceived()
	return s.Name
}

// read passes the frames of a link to f on pool workers, in order, until the
// link breaks.
func (l *Links) read(ctx context.Context, k *link, f func(fleetwire.Frame)) error {
	queue := l.pool.NewQueue(queueLimit)
	defer queue.Close()
	r := bufio.NewReader(k.conn)
	for {
		frame, err := fleetwire.ReadFrame(r)
		if err != nil {
			return err
		}
		if !queue.PostWait(func() { f(frame) }) {
			return context.Cause(ctx)
		}
	}
}

// serve answers the calls of a VM that dialled this one.
func (l *Links) serve(ctx context.Context, conn net.Conn) {
	k := newLink(conn)
	stop := context.AfterFunc(ctx, k.out.Abort)
	defer stop()
	l.mu.Lock()
	body := l.self.Encode()
	l.mu.Unlock()
	k.send(fleetwire.Frame{Kind: fleetwire.KindStatus, Body: body})
	// A VM that dials again may use its new link before the old one is seen to
	// be closed, so transactions belong to a link.
	number := strconv.FormatUint(l.accepted.Add(1), 10)
	var from string
	err := l.read(ctx, k, func(f fleetwire.Frame) {
		if f.Kind == fleetwire.KindStatus {
			if name := l.receiveStatus(f.Body); name != "" {
				from = name
			}
			return
		}
		l.answer(from, number, k, f)
	})
	k.out.Abort()
	l.logger.WithFields(log.Fields{"link": number, "why": err.Error()}).Debug("fleet: VM closed its link.")
	l.handler.LinkClosed(number)
}

// answer runs one call.
func (l *Links) answer(from, origin string, k *link, f fleetwire.Frame) {
	reply := func(kind fleetwire.Kind, body []byte) {
		k.send(fleetwire.Frame{Kind: kind, ID: f.ID, Body: body})
	}
	var err error
	switch f.Kind {
	case fleetwire.KindPing:
		pong := l.handler.Pong(from)
		reply(fleetwire.KindPong, pong.Append(nil))
	case fleetwire.KindWork:
		var w *statement.Work
		if w, err = fleetwire.DecodeWork(f.Body); err == nil {
			l.handler.Execute(origin, w, func(r statement.Result) { reply(fleetwire.KindResult, fleetwire.AppendResult(nil, &r)) })
		}
	case fleetwire.KindAbort:
		var tx uint64
		if tx, err = fleetwire.DecodeNumber(f.Body); err == nil {
			l.handler.EndTx(origin, tx)
		}
	case fleetwire.KindTokens:
		var customer string
		var n int
		if customer, n, err = fleetwire.DecodeTokens(f.Body); err == nil {
			reply(fleetwire.KindGrant, fleetwire.AppendNumber(nil, uint64(l.handler.Grant(customer, n))))
		}
	case fleetwire.KindSnapshot:
		reply(fleetwire.KindDocument, l.handler.Document(f.Body))
	}
	if err != nil {
		l.logger.WithError(err).WithField("vm", from).Error("fleet: a call cannot be decoded.")
		k.out.Abort()
	}
}

// tick pings the other VMs and closes silent links until ctx is done.
func (l *Links) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.check()
	}
}

func (l *Links) check() {
	now := clock.Now()
	type due struct {
		p *peer
		k *link
	}
	var pings []due
	var silent []*link
	l.mu.Lock()
	near, far := l.intervals()
	for _, p := range l.peers {
		interval := far
		if p.status.DataCentre == l.self.DataCentre {
			interval = near
		}
		limit := max(deadAfter, deadPings*interval)
		switch {
		case p.link == nil:
		case now-p.lastHeard > limit:
			silent = append(silent, p.link)
		case now-p.lastPing >= interval:
			p.lastPing = now
			pings = append(pings, due{p, p.link})
		}
	}
	l.mu.Unlock()
	for _, k := range silent {
		k.out.Abort()
	}
	for _, d := range pings {
		l.ping(d.p, d.k)
	}
}

// intervals returns the times between pings inside the data centre and to
// others. The caller holds mu.
func (l *Links) intervals() (near, far time.Duration) {
	nearby := 0
	for _, p := range l.peers {
		if p.status.DataCentre == l.self.DataCentre {
			nearby++
		}
	}
	interval := func(n int) time.Duration {
		return max(pingInterval, time.Duration(n)*time.Second/pingsPerSecond)
	}
	return interval(nearby), interval(len(l.peers) - nearby)
}

// PingInterval returns the longest time between two pings to a VM.
func (l *Links) PingInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	near, far := l.intervals()
	return max(near, far)
}

// link is one connection between two VMs.
type link struct {
	conn net.Conn
	out  *outbox.Outbox

	mu     sync.Mutex // guards the fields below; no other lock is taken under it
	lastID uint64
	calls  map[uint64]func(fleetwire.Frame, bool)
	broken bool
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, out: outbox.New(conn, outboxHigh), calls: make(map[uint64]func(fleetwire.Frame, bool))}
}

func (k *link) send(f fleetwire.Frame) {
	if k.out.Full() {
		k.out.Abort()
		return
	}
	k.out.Write(f.Append(nil))
}

// call sends a call and reports whether it was sent.
func (k *link) call(f fleetwire.Frame, done func(fleetwire.Frame, bool)) bool {
	k.mu.Lock()
	if k.broken {
		k.mu.Unlock()
		return false
	}
	k.lastID++
	f.ID = k.lastID
	k.calls[f.ID] = done
	k.mu.Unlock()
	k.send(f)
	return true
}

func (k *link) answered(f fleetwire.Frame) {
	k.mu.Lock()
	done := k.calls[f.ID]
	delete(k.calls, f.ID)
	k.mu.Unlock()
	if done != nil {
		done(f, true)
	}
}

// fail ends the calls that were not answered.
func (k *link) fail() {
	k.mu.Lock()
	k.broken = true
	calls := k.calls
	k.calls = nil
	k.mu.Unlock()
	for _, done := range calls {
		done(fleetwire.Frame{}, false)
	}
}
