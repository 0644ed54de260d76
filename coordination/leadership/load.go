package leadership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/balance"
)

// ServerLoad is the load of a backend server as this VM sees it.
type ServerLoad struct {
	Server   string
	Latency  time.Duration // moving average of the time until an answer
	InFlight int           // statements of this VM without an answer
	Age      time.Duration // time since the latest answer
}

// GroupLoad is the load of the servers of a group.
type GroupLoad struct {
	Group   string
	Choices [balance.NumTiers]uint64 // reads since the start, by the tier of the chosen server
	Servers []ServerLoad             // those that have answered, in order of their IDs
}

// Load returns the load of all groups, in order of their names.
func (t *Table) Load(now time.Duration) []GroupLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []GroupLoad
	for name, g := range t.groups {
		load := GroupLoad{Group: name, Choices: g.choices}
		for id, v := range g.servers {
			if v.latency.LearnedAt != 0 {
				load.Servers = append(load.Servers, ServerLoad{Server: id, Latency: v.latency.Recent, InFlight: v.outstanding, Age: now - v.latency.LearnedAt})
			}
		}
		slices.SortFunc(load.Servers, func(a, b ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b GroupLoad) int { return cmp.Compare(a.Group, b.Group) })
	return loads
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}
