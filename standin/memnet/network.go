// Package memnet is an in-memory network for tests. Hosts belong to zones;
// delays between zones, jitter, partitions and connection resets can be set.
//
// It blocks on condition variables, channels and timers only, so it works in a
// testing/synctest bubble, where its delays take no real time. It starts no
// goroutine that outlives a call; timers run only while a call waits.
//
// Lock order: Network.mu, then pipe.mu.
package memnet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
)

// Lock ranks of this package. They are above those of the code that uses the
// network, because that code may close a connection while it holds a lock.
const (
	rankNetwork lockrank.Rank = 310
	rankPipe    lockrank.Rank = 320
)

// firstPort is the lower bound of the ports allocated to listeners on port 0 and
// to dialers.
const firstPort = 32768

// Network is an in-memory network of hosts. Its methods may be called from any
// goroutine.
type Network struct {
	seed uint64

	mu             lockrank.Mutex // guards the fields below
	hosts          map[string]*Host
	listeners      map[Addr]*listener
	pipes          map[*pipe]struct{}
	partitions     map[*Partition]struct{}
	healed         chan struct{} // closed and replaced when a partition is healed
	zoneDelays     map[zonePair]time.Duration
	sameZoneDelay  time.Duration
	interZoneDelay time.Duration
	jitter         time.Duration
	lastPort       int
	lastPipe       uint64
}

// zonePair is an unordered pair of zones.
type zonePair struct{ low, high string }

func newZonePair(a, b string) zonePair {
	return zonePair{low: min(a, b), high: max(a, b)}
}

// New returns a network without hosts, delays or jitter. The seed determines
// the jitter of each connection.
func New(seed uint64) *Network {
	return &Network{
		seed:       seed,
		mu:         lockrank.New(rankNetwork),
		hosts:      make(map[string]*Host),
		listeners:  make(map[Addr]*listener),
		pipes:      make(map[*pipe]struct{}),
		partitions: make(map[*Partition]struct{}),
		healed:     make(chan struct{}),
		zoneDelays: make(map[zonePair]time.Duration),
		lastPort:   firstPort,
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
	n.zoneDelays[newZonePair(zoneA, zoneB)] = oneWay
}

// SetDefaultDelay sets the one-way delays within a zone and between two zones
// for pairs without a delay from SetDelay. It applies to connections that are
// opened afterwards.
func (n *Network) SetDefaultDelay(sameZone, interZone time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sameZoneDelay, n.interZoneDelay = sameZone, interZone
}

// SetJitter adds a random time below limit to each delay. The data of a
// connection stays in order. It applies to connections that are opened
// afterwards.
func (n *Network) SetJitter(limit time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = limit
}

// Connections returns the number of connections with at least one open end.
func (n *Network) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pipes)
}

// Close closes all listeners and resets all connections.
func (n *Network) Close() {
	for _, l := range n.listenerList() {
		l.Close()
	}
	for _, p := range n.pipesBetween(All(), All()) {
		p.fail()
	}
}

func (n *Network) listenerList() []*listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*listener
	for _, l := range n.listeners {
		all = append(all, l)
	}
	return all
}

// delay returns the one-way delay between two hosts without jitter. The caller
// holds n.mu.
func (n *Network) delay(a, b *Host) time.Duration {
	if d, ok := n.zoneDelays[newZonePair(a.zone, b.zone)]; ok {
		return d
	}
	if a.zone == b.zone {
		return n.sameZoneDelay
	}
	return n.interZoneDelay
}

func (n *Network) allocatePort() int {
	n.lastPort++
	return n.lastPort
}

// newPipe creates a connection from a new port of the dialing host to the
// listener. The caller holds n.mu.
func (n *Network) newPipe(from *Host, l *listener) *pipe {
	n.lastPipe++
	p := &pipe{
		net:         n,
		hosts:       [2]*Host{from, l.host},
		mu:          lockrank.New(rankPipe),
		delay:       n.delay(from, l.host),
		jitter:      n.jitter,
		rng:         rand.New(rand.NewPCG(n.seed, n.lastPipe)),
		partitioned: n.partitioned(from, l.host),
	}
	p.changed = sync.NewCond(&p.mu)
	dialer := Addr{Host: from.name, Port: n.allocatePort()}
	p.ends[0] = &Conn{pipe: p, side: 0, local: dialer, remote: l.addr}
	p.ends[1] = &Conn{pipe: p, side: 1, local: l.addr, remote: dialer}
	n.pipes[p] = struct{}{}
	return p
}

func (n *Network) removePipe(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pipes, p)
}
