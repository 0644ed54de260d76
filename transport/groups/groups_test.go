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

// latency is the time that a server of a testbed takes to answer.
const latency = 500 * time.Microsecond

// server is a backend server in memory. Its replicas hold the whole log at
// once.
type server struct {
	bed    *testbed
	status state.ServerStatus
	silent bool
}

// testbed is a group of three servers and a driver in front of them.
type testbed struct {
	*Driver
	mu      sync.Mutex // guards servers, asked and results
	servers map[string]*server
	asked   int
	results map[state.WaiterID][]replication.Result
}

func newTestbed(t *testing.T, watcher bool) *testbed {
	t.Helper()
	grp := &state.Group{Name: "orders"}
	b := &testbed{servers: map[string]*server{}, results: map[state.WaiterID][]replication.Result{}}
	for _, name := range []string{"a", "b", "c"} {
		grp.Servers = append(grp.Servers, state.BackendServer{
			Name: name, DataCentre: "dc-" + name, ControlAddress: name, State: state.InService})
		b.servers[name] = &server{bed: b, status: state.ServerStatus{
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

func (b *testbed) wait(w state.PositionWaiter, timeout time.Duration) {
	w.Joined, w.Deadline = time.Now(), time.Now().Add(timeout)
	b.Wait("orders", w)
}

func (b *testbed) resultsOf(id state.WaiterID) []replication.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.results[id]
}

func (b *testbed) set(name string, f func(s *server)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.servers[name])
}

// do answers an order after the latency.
func (s *server) do(ctx context.Context, order failover.Order, term uint64, peer string) (state.ServerStatus, error) {
	s.bed.mu.Lock()
	silent := s.silent
	s.bed.mu.Unlock()
	if silent {
		<-ctx.Done()
		return state.ServerStatus{}, ctx.Err()
	}
	time.Sleep(latency)
	s.bed.mu.Lock()
	defer s.bed.mu.Unlock()
	st := &s.status
	switch {
	case order == "status":
		s.bed.asked++
	case order == failover.Adopt && term > st.AdoptedTerm:
		st.AdoptedTerm = term
	case order == failover.Promote && term == st.AdoptedTerm:
		st.Role, st.LogTerm, st.Primary = state.Primary, term, ""
		st.History = append(st.History, state.TermStart{Term: term, Position: st.Position})
		st.Position++
	case order == failover.Follow && term >= st.AdoptedTerm:
		name, p := st.Server, s.bed.servers[peer].status
		*st = p
		st.Server, st.Role, st.Primary, st.AdoptedTerm = name, state.Replica, peer, term
	case order == failover.Switchover:
		st.SwitchingTo = peer
	default:
		return *st, &groupctl.RefusedError{Reason: "term"}
	}
	return *st, nil
}

type answer = state.ServerStatus

func (s *server) Status(ctx context.Context) (answer, error) { return s.do(ctx, "status", 0, "") }
func (s *server) Adopt(ctx context.Context, term uint64) (answer, error) {
	return s.do(ctx, failover.Adopt, term, "")
}
func (s *server) Promote(ctx context.Context, term uint64) (answer, error) {
	return s.do(ctx, failover.Promote, term, "")
}
func (s *server) Follow(ctx context.Context, term uint64, primary string) (answer, error) {
	return s.do(ctx, failover.Follow, term, primary)
}
func (s *server) Switchover(ctx context.Context, term uint64, to string) (answer, error) {
	return s.do(ctx, failover.Switchover, term, to)
}
func (s *server) Resume(ctx context.Context, term uint64) (answer, error) {
	return s.do(ctx, failover.Resume, term, "")
}

// Guards against one status round per write: writes that wait at the same time
// must share rounds, and each must get exactly one result.
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
		if b.asked > 9 {
			t.Errorf("%d status queries for %d writes, want at most 3 rounds of 3", b.asked, writes)
		}
	})
}

// Guards against a driver that loses an order or its answer: the primary falls
// silent while a request waits, a replica is promoted and the other follows it,
// in less than a second. The old primary follows once it is back.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, true)
		time.Sleep(time.Second)
		b.set("a", func(s *server) { s.silent = true })
		time.Sleep(10 * time.Millisecond)
		from, id := time.Now(), state.WaiterID{Session: 1}
		b.Suspect("orders", "a")
		b.wait(state.PositionWaiter{ID: id, Kind: state.WaitPrimary}, 5*time.Second)
		for len(b.resultsOf(id)) == 0 {
			time.Sleep(time.Millisecond)
		}
		const term = 1<<16 | 7
		got := b.resultsOf(id)[0]
		if got.Kind != replication.Satisfied || got.Server == "a" || got.Term != term || time.Since(from) >= time.Second {
			t.Fatalf("got %+v after %v", got, time.Since(from))
		}
		b.set("a", func(s *server) { s.silent = false })
		time.Sleep(3 * time.Second)
		for name := range b.servers {
			b.set(name, func(s *server) {
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

// Guards against queries for groups that this VM neither watches nor uses.
func TestIdleGroupsAreNotAsked(t *testing.T) {
	for watcher, want := range map[bool]int{false: 0, true: 3 * 2 * 60} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t, watcher)
			b.MergeView(peerapi.GroupView{Group: "orders", Term: 1, Primary: "a"})
			time.Sleep(time.Minute)
			b.set("a", func(*server) {
				if b.asked < want || b.asked > want+15 {
					t.Errorf("watcher %v: %d status queries in a minute, want about %d", watcher, b.asked, want)
				}
			})
		})
	}
}

// Guards against a configuration change that does not hand the primary over.
func TestLeavingPrimaryIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, true)
		time.Sleep(time.Second)
		cfg := *b.opts.Tables.Config.Current()
		cfg.Ticket.Number++
		cfg.DataCentres = map[string]*state.DataCentre{"dc-a": {Name: "dc-a", State: state.Leaving}}
		b.opts.Tables.Config.Advance(&cfg)
		time.Sleep(5 * time.Second) // this VM leaves the task to the watchers of dc-b and dc-c first
		b.set("a", func(s *server) {
			if s.status.Role != state.Replica || s.status.Primary != "b" || s.status.AdoptedTerm == 1 {
				t.Errorf("a is still the primary: %+v", s.status)
			}
		})
	})
}
