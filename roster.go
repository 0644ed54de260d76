package chestnutdyke

import (
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/lease"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// rosterLife is how long the list of live VMs is used before it is made anew.
// Ranks are asked for once a second for each group.
const rosterLife = 500 * time.Millisecond

// roster is a list of the VMs that are heard.
type roster struct {
	mu     sync.Mutex // guards the fields below; the member table is read under it
	madeAt time.Time
	byDC   map[string][]string // names by data centre
}

// live returns the VMs that are heard and in service, by data centre, this VM
// included. The result must not be changed.
func (r *roster) live(t *state.Tables, now time.Time) map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byDC != nil && now.Sub(r.madeAt) < rosterLife {
		return r.byDC
	}
	r.madeAt = now
	r.byDC = map[string][]string{t.Self.DataCentre: {t.Self.Name}}
	for _, m := range t.Members.All() {
		if m.Name != t.Self.Name && !m.Silent && m.State == state.InService {
			r.byDC[m.DataCentre] = append(r.byDC[m.DataCentre], m.Name)
		}
	}
	return r.byDC
}

// rank returns the VM's rank for a group among the live VMs of the data centres
// that have a server of it, and whether it watches the group: the first VM of
// each of these data centres does.
func (v *VM) rank(group string) (rank int, watcher bool) {
	cfg := v.tables.Config.Current()
	if cfg == nil || cfg.Groups[group] == nil {
		return 0, false
	}
	self := v.tables.Self
	live := v.roster.live(v.tables, time.Now())
	own := lease.Score(group, self.Name)
	counted := make(map[string]bool)
	for _, s := range cfg.Groups[group].Servers {
		if counted[s.DataCentre] {
			continue
		}
		counted[s.DataCentre] = true
		before := 0
		for _, name := range live[s.DataCentre] {
			if lease.Score(group, name) > own {
				before++
			}
		}
		rank += before
		if s.DataCentre == self.DataCentre {
			watcher = before == 0
		}
	}
	return rank, watcher
}
