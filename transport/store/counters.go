package store

import "sync/atomic"

// Kind is a kind of call. The store counts every call, a pending watch as one.
type Kind string

// Kinds of calls.
const (
	Get   Kind = "get"
	Put   Kind = "put"
	Watch Kind = "watch"
	VMs   Kind = "vms"
)

// Count is the number of calls of a kind.
type Count struct {
	Calls  uint64
	Failed uint64 // not answered, or answered with an error; for updates also refused, but not conflicts
}

// counters counts calls by kind.
type counters struct {
	get, put, watch, vms counter
}

type counter struct{ calls, failed atomic.Uint64 }

func (c *counters) of(kind Kind) *counter {
	switch kind {
	case Get:
		return &c.get
	case Put:
		return &c.put
	case Watch:
		return &c.watch
	default:
		return &c.vms
	}
}

func (c *counters) add(kind Kind, failed bool) {
	one := c.of(kind)
	one.calls.Add(1)
	if failed {
		one.failed.Add(1)
	}
}

// Counts returns the number of calls by kind so far.
func (c *Client) Counts() map[Kind]Count {
	counts := make(map[Kind]Count)
	for _, kind := range []Kind{Get, Put, Watch, VMs} {
		one := c.counts.of(kind)
		counts[kind] = Count{Calls: one.calls.Load(), Failed: one.failed.Load()}
	}
	return counts
}
