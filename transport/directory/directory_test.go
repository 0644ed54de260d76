package directory

import (
	"bytes"
	"compress/gzip"
	"context"
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
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/transport/fleetlink"
)

// singleVMFleet is a fleet that consists of one VM.
type singleVMFleet struct{}

func (singleVMFleet) Call(string, fleetwire.Kind, []byte, func(fleetwire.Frame, bool)) bool {
	return false
}
func (singleVMFleet) Peers() []fleetwire.Status { return nil }
func (singleVMFleet) View() *placement.View {
	return &placement.View{Self: "vm", Members: 1, VMs: []placement.VM{{Name: "vm", Alive: true, Weight: 1}}}
}
func (singleVMFleet) UpdateStatus(fleetlink.Scope, func(*fleetwire.Status)) {}
func (singleVMFleet) SetMembers([]placement.Member)                         {}
func (singleVMFleet) Connected() map[string]bool                            { return nil }

// compactedStore answers the first list, refuses all others, and has no history
// for watches.
type compactedStore struct {
	Source
	lists   atomic.Int32
	watches atomic.Int32
}

func (s *compactedStore) List(context.Context, Kind) (Batch, error) {
	if s.lists.Add(1) == 1 {
		return Batch{AsOf: 1}, nil
	}
	return Batch{}, errors.New("too many calls")
}

func (s *compactedStore) Watch(context.Context, Kind, uint64, time.Duration) (Batch, error) {
	s.watches.Add(1)
	return Batch{}, ErrHistoryGone
}

// Guards against a VM that calls the store without pauses while its history is
// gone and lists are refused. Every call is billed, also a refused one.
func TestRefusedListAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &compactedStore{}
		d := New(s, singleVMFleet{}, catalog.NewTable(), leadership.NewTable(), Member{Name: "vm"}, Bounds{}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		close(d.membersAttempted)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		d.follow(ctx, Configuration)
		const maxLists = 30 // one per maxBackoff, plus the shorter pauses before
		if lists, watches := s.lists.Load(), s.watches.Load(); lists < 5 || lists > maxLists || watches > 1 {
			t.Errorf("%d lists and %d watches in 10 s, want 5 to %d lists and at most one watch", lists, watches, maxLists)
		}
	})
}

// Guards against VMs that send complete documents to each other on every
// change, and against changes that are lost between two VMs.
func TestUpdatesCarryChangesOnly(t *testing.T) {
	server := func(id string, revision uint64) Entry {
		return Entry{Name: id, Revision: revision, Server: &catalog.Server{ID: id, Group: "g", Revision: revision}}
	}
	const servers = 500
	synctest.Test(t, func(t *testing.T) {
		newDirectory := func() *Directory {
			return New(&compactedStore{}, singleVMFleet{}, catalog.NewTable(), leadership.NewTable(), Member{Name: "vm"}, Bounds{}, &log.Logger{Handler: discard.Default}, tally.NoopScope)
		}
		a, b := newDirectory(), newDirectory()
		// transfer sends the updates that b lacks from a to b and returns their
		// size in bytes.
		transfer := func() int {
			known := map[Kind]state.Revision{Servers: b.revision(Servers)}
			body := a.EncodeUpdates(encodeKnown(known, 0))
			b.applyUpdates("a", body, known)
			if diff := cmp.Diff(a.docs[Servers].Entries, b.docs[Servers].Entries); diff != "" {
				t.Fatalf("b differs from a: %s", diff)
			}
			return len(body)
		}
		all := Batch{AsOf: servers}
		for i := range uint64(servers) {
			all.Entries = append(all.Entries, server(fmt.Sprint("s", i), i+1))
		}
		a.applyBatch(Servers, all, true)
		fullSize := transfer()
		a.applyBatch(Servers, Batch{AsOf: 601, Entries: []Entry{server("s7", 601)}}, false)
		a.applyBatch(Servers, Batch{AsOf: 602, Entries: []Entry{{Name: "s8", Revision: 9, Deleted: true}}}, false)
		if updateSize := transfer(); updateSize > fullSize/20 {
			t.Errorf("an update with two of %d entries has %d bytes, a full one %d", servers, updateSize, fullSize)
		}
		// A complete list also removes the entries that it lacks.
		a.applyBatch(Servers, Batch{AsOf: 700, Entries: []Entry{server("s1", 2), server("s2", 3)}}, true)
		transfer()
		// This list removes more entries than a document records.
		a.applyBatch(Servers, Batch{AsOf: 800, Entries: []Entry{server("s3", 800)}}, true)
		transfer()
	})
}

// Guards against crashes on malformed documents of other VMs.
func FuzzDecodeUpdates(f *testing.F) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(`{"servers":{"revision":3,"entries":[{"Name":"a","Revision":2}],"removed":["b"]}}`)); err != nil {
		f.Fatal(err)
	}
	if err := z.Close(); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte("no gzip"))
	f.Fuzz(func(t *testing.T, body []byte) {
		updates, err := decodeUpdates(body)
		if err != nil {
			return
		}
		for _, u := range updates {
			var doc document
			doc.withUpdate(u)
		}
	})
}
