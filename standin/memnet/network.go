// Package memnet is an in-memory network for tests. It has hosts in zones,
// one-way delays between zones, jitter, partitions and broken connections.
//
// It blocks on condition variables, channels and timers only, so it works in a
// testing/synctest bubble, where its delays take no real time. It starts no
// goroutine that outlives a call; timers run only while a call waits.
//
// Lock order: Network.mu, then link.mu.
package memnet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Ranks of this package's locks. They are above those of the code that uses
// the network, which may close a connection while it holds a lock.
const (
	rankNetwork lockrank.Rank = 310
	rankLink    lockrank.Rank = 320
)

// firstPort is the first port given to listeners on port 0 and to dialers.
const firstPort = 32768

// Network is a set of hosts that reach each other.
type Network struct {
	seed uint64

	mu        lockrank.Mutex // guards the fields below
	hosts     map[string]*Host
	listeners map[Addr]*listener
	links     map[*link]struct{}
	cuts      map[*Cut]struct{}
	healed    chan struct{} // closed and replaced when a cut is healed
	between   map[zonePair]time.Duration
	sameZone  time.Duration
	elsewhere time.Duration
	jitter    time.Duration
	nextPort  int
	nextLink  uint64
}

// zonePair is an unordered pair of zones.
type zonePair struct{ low, high string }

func pairOf(a, b string) zonePair {
	return zonePair{low: min(a, b), high: max(a, b)}
}

// New returns a network without delays. The seed determines the jitter.
func New(seed uint64) *Network {
	return &Network{
		seed:      seed,
		mu:        lockrank.New(rankNetwork),
		hosts:     make(map[string]*Host),
		listeners: make(map[Addr]*listener),
		links:     make(map[*link]struct{}),
		cuts:      make(map[*Cut]struct{}),
		healed:    make(chan struct{}),
		between:   make(map[zonePair]time.Duration),
		nextPort:  firstPort,
	}
}

// Host returns the host of the given name, usually an IP address. The first
// call creates it in the given zone; later calls ignore the zone.
func (n *Network) Host(name, zone string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		h = &Host{net: n, name: name, zone: zone}
		n.hosts[name] = h
	}
	return h
}

// SetDelay sets the one-way delay between two zones, or within one, for
// connections that are opened afterwards.
func (n *Network) SetDelay(zoneA, zoneB string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.between[pairOf(zoneA, zoneB)] = oneWay
}

// SetDefaultDelay sets the one-way delays of pairs without a delay of their
// own: within a zone, and between two zones. It applies to connections that are
// opened afterwards.
func (n *Network) SetDefaultDelay(sameZone, elsewhere time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sameZone, n.elsewhere = sameZone, elsewhere
}

// SetJitter adds a random time below limit to each delay. Data of one
// connection stays in order. It applies to connections that are opened
// afterwards.
func (n *Network) SetJitter(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = limit
}

// Connections returns the number of connections of which an end is open.
func (n *Network) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Close closes all listeners and breaks all connections.
func (n *Network) Close() {
	for _, l := range n.allListeners() {
		l.Close()
	}
	for _, k := range n.linksAcross(All(), All()) {
		k.fail()
	}
}

func (n *Network) allListeners() []*listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*listener
	for _, l := range n.listeners {
		all = append(all, l)
	}
	return all
}

// delay returns the one-way delay without jitter. The caller holds n.mu.
func (n *Network) delay(a, b *Host) time.Duration {
	if d, ok := n.between[pairOf(a.zone, b.zone)]; ok {
		return d
	}
	if a.zone == b.zone {
		return n.sameZone
	}
	return n.elsewhere
}

func (n *Network) port() int {
	n.nextPort++
	return n.nextPort
}

// connect creates a connection from a port of the dialing host to the listener.
// The caller holds n.mu.
func (n *Network) connect(from *Host, l *listener) *link {
	n.nextLink++
	k := &link{
		net:    n,
		hosts:  [2]*Host{from, l.host},
		mu:     lockrank.New(rankLink),
		delay:  n.delay(from, l.host),
		jitter: n.jitter,
		rng:    rand.New(rand.NewPCG(n.seed, n.nextLink)),
		held:   n.cutBetween(from, l.host),
	}
	k.changed = sync.NewCond(&k.mu)
	dialer := Addr{Host: from.name, Port: n.port()}
	k.ends[0] = &Conn{link: k, side: 0, local: dialer, remote: l.addr}
	k.ends[1] = &Conn{link: k, side: 1, local: l.addr, remote: dialer}
	n.links[k] = struct{}{}
	return k
}

func (n *Network) forget(k *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, k)
}
