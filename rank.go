package chestnutdyke

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// liveVMsTTL is how long the list of live VMs is cached. The rank of each group is
// requested once a second.
const liveVMsTTL = 500 * time.Millisecond

// liveVMCache caches the names of the live VMs.
type liveVMCache struct {
	mu      sync.Mutex // guards the fields below; the member table is read under it
	builtAt time.Time
	byDC    map[string][]string // names by data centre
}

// byDataCentre returns the names of the VMs that are live and in service, grouped by
// data centre and including this VM. The result is shared; callers must not
// modify it.
func (c *liveVMCache) byDataCentre(t *state.Tables, now time.Time) map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byDC != nil && now.Sub(c.builtAt) < liveVMsTTL {
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

// rank returns this VM's rank for a group among the live VMs of the data centres
// with a server of the group; rank 0 acts first. watcher reports whether this VM
// monitors the group, as the highest-scored VM of each of these data centres does.
func (v *VM) rank(group string) (rank int, watcher bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil || cfg.Groups[group] == nil {
		return 0, false
	}
	self := v.tables.Self
	live := v.liveVMs.byDataCentre(v.tables, time.Now())
	ownScore := lease.RendezvousHash(group, self.Name)
	seen := make(map[string]bool)
	for _, s := range cfg.Groups[group].Servers {
		if seen[s.DataCentre] {
			continue
		}
		seen[s.DataCentre] = true
		higher := 0
		for _, name := range live[s.DataCentre] {
			if lease.RendezvousHash(group, name) > ownScore {
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
