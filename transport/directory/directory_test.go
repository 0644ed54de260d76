package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
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

// Guards against VMs that tell each other whole documents at each change, and
// against changes that are lost on the way from one to the other.
func TestUpdatesCarryChangesOnly(t *testing.T) {
	server := func(id string, revision uint64) Entry {
		return Entry{Name: id, Revision: revision, Server: &catalog.Server{ID: id, Group: "g", Revision: revision}}
	}
	const servers = 500
	synctest.Test(t, func(t *testing.T) {
		newDirectory := func() *Directory {
			return New(&forgetful{}, aloneFleet{}, catalog.NewTable(), leadership.NewTable(), Member{Name: "vm"}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		}
		a, b := newDirectory(), newDirectory()
		// tell passes what a knows on to b and returns its size, in bytes.
		tell := func() int {
			known := map[Kind]uint64{Servers: b.revision(Servers)}
			question, err := json.Marshal(known)
			if err != nil {
				t.Fatal(err)
			}
			body := a.Encode(question)
			b.receive("a", body, known)
			if diff := cmp.Diff(a.docs[Servers].Entries, b.docs[Servers].Entries); diff != "" {
				t.Fatalf("b differs from a: %s", diff)
			}
			return len(body)
		}
		all := Batch{AsOf: servers}
		for i := range uint64(servers) {
			all.Entries = append(all.Entries, server(fmt.Sprint("s", i), i+1))
		}
		a.apply(Servers, all, true)
		whole := tell()
		a.apply(Servers, Batch{AsOf: 601, Entries: []Entry{server("s7", 601)}}, false)
		a.apply(Servers, Batch{AsOf: 602, Entries: []Entry{{Name: "s8", Revision: 9, Deleted: true}}}, false)
		if changes := tell(); changes > whole/20 {
			t.Errorf("two changes of %d entries take %d bytes, all of them %d", servers, changes, whole)
		}
		// A list that lacks entries removes them, too.
		a.apply(Servers, Batch{AsOf: 700, Entries: []Entry{server("s1", 2), server("s2", 3)}}, true)
		tell()
		// More removals than are remembered.
		a.apply(Servers, Batch{AsOf: 800, Entries: []Entry{server("s3", 800)}}, true)
		tell()
	})
}
