package directory

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/leadership"
	"github.com/chestnutdyke/chestnutdyke/coordination/placement"
	"github.com/chestnutdyke/chestnutdyke/protocol/fleetwire"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

// aloneFleet is a fleet of one VM.
type aloneFleet struct{}

func (aloneFleet) Call(string, fleetwire.Kind, []byte, func(fleetwire.Frame, bool)) bool {
	return false
}
func (aloneFleet) Peers() []fleetwire.Status { return nil }
func (aloneFleet) View() *placement.View {
	return &placement.View{Self: "vm", Members: 1, VMs: []placement.VM{{Name: "vm", Alive: true, Weight: 1}}}
}
func (aloneFleet) Describe(fleetlink.Scope, func(*fleetwire.Status)) {}
func (aloneFleet) Members([]string)                                  {}

// forgetful is a store that has dropped its history and refuses lists, after a
// first one that it answers.
type forgetful struct {
	Source
	lists   atomic.Int32
	watches atomic.Int32
}

func (s *forgetful) List(context.Context, Kind) (Batch, error) {
	if s.lists.Add(1) == 1 {
		return Batch{AsOf: 1}, nil
	}
	return Batch{}, errors.New("too many calls")
}

func (s *forgetful) Watch(context.Context, Kind, uint64, time.Duration) (Batch, error) {
	s.watches.Add(1)
	return Batch{}, ErrHistoryGone
}

// Guards against a VM that calls the store without a pause while its history is
// gone and the list is refused: each call is paid for, refused ones too.
func TestRefusedListAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &forgetful{}
		d := New(s, aloneFleet{}, catalog.NewTable(), leadership.NewTable(), Member{Name: "vm"}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		close(d.met)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		d.follow(ctx, Configuration)
		const most = 30 // one a maxBackoff, and the shorter pauses before
		if lists, watches := s.lists.Load(), s.watches.Load(); lists < 5 || lists > most || watches > 1 {
			t.Errorf("%d lists and %d watches in 10 s, want up to %d lists and one watch", lists, watches, most)
		}
	})
}
