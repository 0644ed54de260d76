package memnet

import "slices"

// HostSet selects hosts of a network. Names and zones that do not exist yet are
// allowed.
type HostSet struct {
	hosts []string
	zones []string
	all   bool
}

// Hosts selects the hosts with the given names.
func Hosts(names ...string) HostSet { return HostSet{hosts: names} }

// Zones selects the hosts in the given zones.
func Zones(names ...string) HostSet { return HostSet{zones: names} }

// All selects every host, including those that are created later.
func All() HostSet { return HostSet{all: true} }

func (s HostSet) contains(h *Host) bool {
	return s.all || slices.Contains(s.hosts, h.name) || slices.Contains(s.zones, h.zone)
}

// separates reports whether one of the two hosts is in a and the other in b.
func separates(a, b HostSet, hostA, hostB *Host) bool {
	return a.contains(hostA) && b.contains(hostB) || a.contains(hostB) && b.contains(hostA)
}

// Partition is a partition between two sets of hosts. It lasts until Heal is
// called.
type Partition struct {
	net  *Network
	a, b HostSet
}

// Partition separates the hosts of a from the hosts of b until it is healed.
// Dials wait, and data and ends of streams in transit on open connections are
// held back. Data that has already arrived can still be read. A host always
// reaches itself, so Partition(Hosts(x), All()) isolates x.
func (n *Network) Partition(a, b HostSet) *Partition {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Partition{net: n, a: a, b: b}
	n.partitions[c] = struct{}{}
	n.applyPartitions()
	return c
}

// Heal ends the partition. Held data arrives one connection delay later.
func (c *Partition) Heal() {
	n := c.net
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, c)
	n.applyPartitions()
	close(n.healed)
	n.healed = make(chan struct{})
}

// Break resets the connections across the partition at both ends. Unread data is
// lost. The partition stays.
func (c *Partition) Break() { c.net.Break(c.a, c.b) }

// Break resets the connections between two sets of hosts at both ends. Data in
// transit or unread is lost.
func (n *Network) Break(a, b HostSet) {
	for _, p := range n.pipesBetween(a, b) {
		p.fail()
	}
}

func (n *Network) pipesBetween(a, b HostSet) []*pipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	var pipes []*pipe
	for p := range n.pipes {
		if separates(a, b, p.hosts[0], p.hosts[1]) {
			pipes = append(pipes, p)
		}
	}
	return pipes
}

// partitioned reports whether a partition separates the two hosts. The caller
// holds n.mu.
func (n *Network) partitioned(a, b *Host) bool {
	if a == b {
		return false
	}
	for c := range n.partitions {
		if separates(c.a, c.b, a, b) {
			return true
		}
	}
	return false
}

// applyPartitions holds or releases the data in transit on all connections. The
// caller holds n.mu.
func (n *Network) applyPartitions() {
	for p := range n.pipes {
		p.setPartitioned(n.partitioned(p.hosts[0], p.hosts[1]))
	}
}
