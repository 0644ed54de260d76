package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against pongs that grow with the number of groups, and against groups
// whose proofs are never passed on.
func TestPongsAreBounded(t *testing.T) {
	for _, groups := range []int{0, 1, maxLeads, 20} {
		d := &Dispatcher{Options: Options{Leads: leadership.NewTable()}}
		config := &catalog.Config{}
		for i := range groups {
			name := fmt.Sprintf("g%d", i)
			config.Groups = append(config.Groups, catalog.Group{Name: name})
			d.Leads.With(name, func(g *leadership.Group) { g.Prove("s", state.Point{Term: 1}, time.Minute) })
		}
		told := make(map[string]bool)
		for range (groups + maxLeads - 1) / maxLeads {
			leads := d.newestLeads(config, time.Minute)
			if len(leads) > maxLeads {
				t.Errorf("%d proofs in one pong", len(leads))
			}
			for _, l := range leads {
				told[l.Group] = true
			}
		}
		if len(told) != groups {
			t.Errorf("%d of %d groups were told", len(told), groups)
		}
	}
}
