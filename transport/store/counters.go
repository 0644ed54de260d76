package store

import "sync/atomic"

// CallKind is a kind of call to the store. The store counts every call; a
// pending watch counts as one.
type CallKind string

// Kinds of calls.
const (
	Get   CallKind = "get"
	Put   CallKind = "put"
	Watch CallKind = "watch"
	VMs   CallKind = "vms"
)

// CallCount is the number of calls of a kind.
type CallCount struct {
	Calls  uint64
	Failed uint64 // without a response, or with status 5xx; updates also if rejected for another reason than a conflict
}

// counters counts calls by kind.
type counters struct {
	get, put, watch, vms counter
}

type counter struct{ calls, failed atomic.Uint64 }

func (c *counters) byKind(kind CallKind) *counter {
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

func (c *counters) add(kind CallKind, failed bool) {
	counter := c.byKind(kind)
	counter.calls.Add(1)
	if failed {
		counter.failed.Add(1)
	}
}

// Counts returns the number of calls by kind so far.
func (c *Client) Counts() map[CallKind]CallCount {
	counts := make(map[CallKind]CallCount)
	for _, kind := range []CallKind{Get, Put, Watch, VMs} {
		counter := c.counts.byKind(kind)
		counts[kind] = CallCount{Calls: counter.calls.Load(), Failed: counter.failed.Load()}
	}
	return counts
}
