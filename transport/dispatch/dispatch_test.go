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
// groups whose confirmations are never sent.
func TestPongsAreBounded(t *testing.T) {
	for _, groups := range []int{0, 1, maxConfirmationsPerPong, 20} {
		d := &Dispatcher{Options: Options{Leadership: leadership.NewTable()}}
		config := &catalog.Config{}
		for i := range groups {
			name := fmt.Sprintf("g%d", i)
			config.Groups = append(config.Groups, catalog.Group{Name: name})
			d.Leadership.With(name, func(g *leadership.Group) { g.RecordConfirmation("s", state.Point{Term: 1}, time.Minute) })
		}
		sent := make(map[string]bool)
		for range (groups + maxConfirmationsPerPong - 1) / maxConfirmationsPerPong {
			confirmations := d.latestConfirmations(config, time.Minute)
			if len(confirmations) > maxConfirmationsPerPong {
				t.Errorf("%d confirmations in one pong", len(confirmations))
			}
			for _, l := range confirmations {
				sent[l.Group] = true
			}
		}
		if len(sent) != groups {
			t.Errorf("confirmations of %d of %d groups were sent", len(sent), groups)
		}
	}
}
