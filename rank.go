package chestnutdyke

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// aliveVMsTTL is how long the list of VMs that are alive is cached. The rank of each
// group is requested once a second.
const aliveVMsTTL = 500 * time.Millisecond

// aliveVMCache keeps the result of byDataCentre for aliveVMsTTL.
type aliveVMCache struct {
	mu      sync.Mutex // guards the fields below; the member table is read under it
	builtAt time.Time
	byDC    map[string][]string // names by data centre
}

// byDataCentre returns the names of the VMs that are alive and in service, grouped by
// data centre and including this VM. The result is shared; callers must not
// modify it.
func (c *aliveVMCache) byDataCentre(t *state.Tables, now time.Time) map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byDC != nil && now.Sub(c.builtAt) < aliveVMsTTL {
		return c.byDC
	}
	c.builtAt = now
	c.byDC = map[string][]string{t.Self.DataCentre: {t.Self.Name}}
	for _, m := range t.Members.All() {
		if m.Name != t.Self.Name && !m.Silent && m.State == state.InService {
			c.byDC[m.DataCentre] = append(c.byDC[m.DataCentre], m.Name)
		}
	}
	return c.byDC
}

// rank returns the number of VMs that are alive, in the data centres with a server of
// the group, and have a higher rendezvous hash for the group than this VM. watcher
// reports whether this VM monitors the group: its data centre has a server of the
// group, and no VM there has a higher hash. The other VMs wait before a failover, the
// longer the higher their rank. For a group that is not in the configuration, rank
// returns 0 and false.
func (v *VM) rank(group string) (rank int, watcher bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil || cfg.Groups[group] == nil {
		return 0, false
	}
	self := v.tables.Self
	alive := v.aliveVMs.byDataCentre(v.tables, time.Now())
	ownHash := lease.RendezvousHash(group, self.Name)
	seen := make(map[string]bool)
	for _, s := range cfg.Groups[group].Servers {
		if seen[s.DataCentre] {
			continue
		}
		seen[s.DataCentre] = true
		higher := 0
		for _, name := range alive[s.DataCentre] {
			if lease.RendezvousHash(group, name) > ownHash {
				higher++
			}
		}
		rank += higher
		if s.DataCentre == self.DataCentre {
			watcher = higher == 0
		}
	}
	return rank, watcher
}
