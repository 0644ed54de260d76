package memnet

import "slices"

// Set is a set of hosts.
type Set struct {
	hosts []string
	zones []string
	all   bool
}

// Hosts returns the set of the named hosts.
func Hosts(names ...string) Set { return Set{hosts: names} }

// Zones returns the set of the hosts in the named zones.
func Zones(names ...string) Set { return Set{zones: names} }

// All returns the set of all hosts.
func All() Set { return Set{all: true} }

func (s Set) contains(h *Host) bool {
	return s.all || slices.Contains(s.hosts, h.name) || slices.Contains(s.zones, h.zone)
}

// across reports whether a and b are in different sets of the two.
func across(a, b Set, x, y *Host) bool {
	return a.contains(x) && b.contains(y) || a.contains(y) && b.contains(x)
}

// Cut is a partition between two sets of hosts.
type Cut struct {
	net  *Network
	a, b Set
}

// Partition cuts the hosts of a off from the hosts of b until it is healed.
// Dials wait; data on connections, and the news of their end, are held back.
// Data that has already arrived can still be read. A host is never cut off from
// itself, so Partition(Hosts(x), All()) isolates x.
func (n *Network) Partition(a, b Set) *Cut {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Cut{net: n, a: a, b: b}
	n.cuts[c] = struct{}{}
	n.applyCuts()
	return c
}

// Heal ends the partition. Data that was held back arrives one delay later.
func (c *Cut) Heal() {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, c)
	n.applyCuts()
	close(n.healed)
	n.healed = make(chan struct{})
}

// Break makes the connections across the cut fail at both ends. Data that was
// held back is lost. The cut stays.
func (c *Cut) Break() { c.net.Break(c.a, c.b) }

// Break makes the connections between two sets of hosts fail at both ends, as
// a reset does. Data in transit is lost.
func (n *Network) Break(a, b Set) {
	for _, k := range n.linksAcross(a, b) {
		k.fail()
	}
}

func (n *Network) linksAcross(a, b Set) []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*link
	for k := range n.links {
		if across(a, b, k.hosts[0], k.hosts[1]) {
			found = append(found, k)
		}
	}
	return found
}

// cutBetween reports whether x and y are cut off from each other. The caller
// holds n.mu.
func (n *Network) cutBetween(x, y *Host) bool {
	if x == y {
		return false
	}
	for c := range n.cuts {
		if across(c.a, c.b, x, y) {
			return true
		}
	}
	return false
}

// applyCuts holds or releases the data of all connections. The caller holds
// n.mu.
func (n *Network) applyCuts() {
	for k := range n.links {
		k.setHeld(n.cutBetween(k.hosts[0], k.hosts[1]))
	}
}
