package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
)

// Guards against pongs whose size grows with the number of groups, and against
// groups whose proofs are never sent.
func TestPongsAreBounded(t *testing.T) {
	for _, groups := range []int{0, 1, maxProofsPerPong, 20} {
		d := &Dispatcher{Options: Options{Leads: leadership.NewTable()}}
		config := &catalog.Config{}
		for i := range groups {
			name := fmt.Sprintf("g%d", i)
			config.Groups = append(config.Groups, catalog.Group{Name: name})
			d.Leads.With(name, func(g *leadership.Group) { g.Prove("s", state.Point{Term: 1}, time.Minute) })
		}
		sent := make(map[string]bool)
		for range (groups + maxProofsPerPong - 1) / maxProofsPerPong {
			proofs := d.latestProofs(config, time.Minute)
			if len(proofs) > maxProofsPerPong {
				t.Errorf("%d proofs in one pong", len(proofs))
			}
			for _, l := range proofs {
				sent[l.Group] = true
			}
		}
		if len(sent) != groups {
			t.Errorf("proofs of %d of %d groups were sent", len(sent), groups)
		}
	}
}
