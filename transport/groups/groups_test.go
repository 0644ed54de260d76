package groups

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/lockrank"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

func TestMain(m *testing.M) {
	lockrank.EnableChecks()
	goleak.VerifyTestMain(m)
}

// responseDelay is the time that a fakeServer takes to respond.
const responseDelay = 500 * time.Microsecond

// fakeServer is the control interface of an in-memory backend server. Replication is
// instantaneous: every replica always holds the whole log.
type fakeServer struct {
	testbed      *testbed
	status       state.ServerStatus
	unresponsive bool
}

// testbed is a group of three servers, a driver that manages it and a running worker
// pool.
type testbed struct {
	*Driver
	mu            sync.Mutex // guards servers, statusQueries and results
	servers       map[string]*fakeServer
	statusQueries int // received by all servers
	results       map[state.WaiterID][]replication.Result
}

func newTestbed(t *testing.T, watcher bool) *testbed {
	t.Helper()
	grp := &state.Group{Name: "orders"}
	b := &testbed{servers: map[string]*fakeServer{}, results: map[state.WaiterID][]replication.Result{}}
	for _, name := range []string{"a", "b", "c"} {
		grp.Servers = append(grp.Servers, state.BackendServer{
			Name: name, DataCentre: "dc-" + name, ControlAddress: name, State: state.InService})
		b.servers[name] = &fakeServer{testbed: b, status: state.ServerStatus{
			Server: name, Role: state.Replica, AdoptedTerm: 1, LogTerm: 1, Position: 5, Primary: "a",
			History: []state.TermStart{{Term: 1}}}}
	}
	b.servers["a"].status.Role, b.servers["a"].status.Primary = state.Primary, ""

	tables := state.NewTables(state.Self{Name: "vm1", DataCentre: "dc-a"})
	tables.Config.Advance(&state.Config{
		Ticket: state.TicketID{Number: 1}, Groups: map[string]*state.Group{"orders": grp}})
	p := pool.New(4)
	b.Driver = New(Options{
		Pool: p, Tables: tables,
		Control: func(address string) groupctl.Client { return b.servers[address] },
		Resolve: func(id state.WaiterID, r replication.Result) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.results[id] = append(b.results[id], r)
		},
		Rank:   func(string) (int, bool) { return 0, watcher },
		Index:  func() (uint16, bool) { return 7, true },
		Logger: &log.Logger{Handler: discard.Default},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = p.Run(ctx) })
	running.Go(func() { _ = b.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return b
}

// wait adds a waiter that starts now.
func (b *testbed) wait(w state.PositionWaiter, timeout time.Duration) {
	w.Joined, w.Deadline = time.Now(), time.Now().Add(timeout)
	b.Wait("orders", w)
}

func (b *testbed) resultsOf(id state.WaiterID) []replication.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.results[id]
}

// update changes a server under the lock.
func (b *testbed) update(name string, f func(s *fakeServer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.servers[name])
}

// handle executes a command or status query after responseDelay. An unresponsive
// server does not respond until ctx is done.
func (s *fakeServer) handle(ctx context.Context, command failover.Order, term uint64, peer string) (state.ServerStatus, error) {
	s.testbed.mu.Lock()
	unresponsive := s.unresponsive
	s.testbed.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return state.ServerStatus{}, ctx.Err()
	}
	time.Sleep(responseDelay)
	s.testbed.mu.Lock()
	defer s.testbed.mu.Unlock()
	st := &s.status
	switch {
	case command == "status":
		s.testbed.statusQueries++
	case command == failover.Adopt && term > st.AdoptedTerm:
		st.AdoptedTerm = term
	case command == failover.Promote && term == st.AdoptedTerm:
		st.Role, st.LogTerm, st.Primary = state.Primary, term, ""
		st.History = append(st.History, state.TermStart{Term: term, Position: st.Position})
		st.Position++
	case command == failover.Follow && term >= st.AdoptedTerm:
		name, p := st.Server, s.testbed.servers[peer].status
		*st = p
		st.Server, st.Role, st.Primary, st.AdoptedTerm = name, state.Replica, peer, term
	case command == failover.Switchover:
		st.SwitchingTo = peer
	default:
		return *st, &groupctl.RefusedError{Reason: "term"}
	}
	return *st, nil
}

type status = state.ServerStatus

func (s *fakeServer) Status(ctx context.Context) (status, error) {
	return s.handle(ctx, "status", 0, "")
}
func (s *fakeServer) Adopt(ctx context.Context, term uint64) (status, error) {
	return s.handle(ctx, failover.Adopt, term, "")
}
func (s *fakeServer) Promote(ctx context.Context, term uint64) (status, error) {
	return s.handle(ctx, failover.Promote, term, "")
}
func (s *fakeServer) Follow(ctx context.Context, term uint64, primary string) (status, error) {
	return s.handle(ctx, failover.Follow, term, primary)
}
func (s *fakeServer) Switchover(ctx context.Context, term uint64, to string) (status, error) {
	return s.handle(ctx, failover.Switchover, term, to)
}
func (s *fakeServer) Resume(ctx context.Context, term uint64) (status, error) {
	return s.handle(ctx, failover.Resume, term, "")
}

// Guards against a round of status queries for each write: concurrent writes must
// share rounds, and each must receive exactly one result.
func TestWritesShareRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, false)
		const writes = 50
		for i := range writes {
			b.wait(state.PositionWaiter{ID: state.WaiterID{Session: uint64(i)}, Kind: state.WaitDurable,
				Server: "a", Term: 1}, time.Second)
		}
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		for i := range writes {
			got := b.resultsOf(state.WaiterID{Session: uint64(i)})
			if len(got) != 1 || got[0].Kind != replication.Satisfied || got[0].Point != (state.Point{Term: 1, Position: 5}) {
				t.Fatalf("write %d got %v", i, got)
			}
		}
		if b.statusQueries > 9 {
			t.Errorf("%d status queries for %d writes, want at most 3 rounds of 3", b.statusQueries, writes)
		}
	})
}

// Guards against the loss of a command or its result. The primary stops responding
// while a request waits; within a second a replica must be promoted. The other replica
// and, after its recovery, the old primary must follow the new primary.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, true)
		time.Sleep(time.Second)
		b.update("a", func(s *fakeServer) { s.unresponsive = true })
		time.Sleep(10 * time.Millisecond)
		start, id := time.Now(), state.WaiterID{Session: 1}
		b.Suspect("orders", "a")
		b.wait(state.PositionWaiter{ID: id, Kind: state.WaitPrimary}, 5*time.Second)
		for len(b.resultsOf(id)) == 0 {
			time.Sleep(time.Millisecond)
		}
		const term = 1<<16 | 7
		got := b.resultsOf(id)[0]
		if got.Kind != replication.Satisfied || got.Server == "a" || got.Term != term || time.Since(start) >= time.Second {
			t.Fatalf("got %+v after %v", got, time.Since(start))
		}
		b.update("a", func(s *fakeServer) { s.unresponsive = false })
		time.Sleep(3 * time.Second)
		for name := range b.servers {
			b.update(name, func(s *fakeServer) {
				if name != got.Server && (s.status.Primary != got.Server || s.status.AdoptedTerm != term) {
					t.Errorf("%s does not follow %s: %+v", name, got.Server, s.status)
				}
			})
		}
		want := []peerapi.GroupView{{Group: "orders", Term: term, Primary: got.Server}}
		if diff := cmp.Diff(want, b.Views()); diff != "" {
			t.Errorf("views (-want +got):\n%s", diff)
		}
	})
}

// Guards against status queries for groups that this VM neither watches nor uses.
func TestIdleGroupsAreNotQueried(t *testing.T) {
	for watcher, want := range map[bool]int{false: 0, true: 3 * 2 * 60} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t, watcher)
			b.MergeView(peerapi.GroupView{Group: "orders", Term: 1, Primary: "a"})
			time.Sleep(time.Minute)
			b.update("a", func(*fakeServer) {
				if b.statusQueries < want || b.statusQueries > want+15 {
					t.Errorf("watcher %v: %d status queries per minute, want about %d", watcher, b.statusQueries, want)
				}
			})
		})
	}
}

// Guards against a primary that keeps its role after the configuration has marked
// its data centre as leaving.
func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, true)
		time.Sleep(time.Second)
		cfg := *b.opts.Tables.Config.Current()
		cfg.Ticket.Number++
		cfg.DataCentres = map[string]*state.DataCentre{"dc-a": {Name: "dc-a", State: state.Leaving}}
		b.opts.Tables.Config.Advance(&cfg)
		time.Sleep(5 * time.Second) // this VM acts only after the watchers of dc-b and dc-c, which have precedence, have not
		b.update("a", func(s *fakeServer) {
			if s.status.Role != state.Replica || s.status.Primary != "b" || s.status.AdoptedTerm == 1 {
				t.Errorf("a is still the primary: %+v", s.status)
			}
		})
	})
}
