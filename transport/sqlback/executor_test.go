package sqlback_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
	"github.com/chestnutdyke/chestnutdyke/transport/sqlback"
)

const (
	server   = "server-1"
	group    = "group-1"
	customer = "customer-1"
	txIdle   = 200 * time.Millisecond
)

// scriptedServer is a backend server whose answers the test provides. It is also
// the network through which it is dialled.
type scriptedServer struct {
	answer            func(statement.Command) statement.Answer
	down              atomic.Bool    // connections are not accepted
	reportUnreachable func([]string) // receives the unreachable servers
	keepAlive         atomic.Pointer[net.KeepAliveConfig]
	table             *catalog.Table // of the executor; set by withExecutor
	counted           atomic.Int64   // statements that were counted

	mu         sync.Mutex // guards the fields below
	commands   []statement.Verb
	open, most int // connections now, and most at the same time
}

func (s *scriptedServer) countOpen(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.most = max(s.most, s.open)
}

// openCounts returns the number of open connections, and the most at the same time.
func (s *scriptedServer) openCounts() (open, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.most
}

// Listen implements network.Network.
func (s *scriptedServer) Listen(string) (net.Listener, error) { panic("Listen is not used") }

// Dial implements network.Network.
func (s *scriptedServer) Dial(context.Context, string) (net.Conn, error) {
	if s.down.Load() {
		return nil, errors.New("no route")
	}
	near, far := net.Pipe()
	s.countOpen(1)
	go func() {
		s.serve(far)
		s.countOpen(-1)
	}()
	return &keepAliveConn{Conn: near, keepAlive: &s.keepAlive}, nil
}

// keepAliveConn records the keep-alive settings of a connection.
type keepAliveConn struct {
	net.Conn
	keepAlive *atomic.Pointer[net.KeepAliveConfig]
}

// SetKeepAliveConfig stores the settings for the test.
func (p *keepAliveConn) SetKeepAliveConfig(c net.KeepAliveConfig) error {
	p.keepAlive.Store(&c)
	return nil
}

func (s *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var wire managed.Backend
	if _, _, _, err := wire.ReadOpening(r); err != nil {
		return
	}
	if _, err := c.Write(wire.AppendOpened(nil, &statement.Answer{})); err != nil {
		return
	}
	for {
		command, err := wire.ReadCommand(r)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.commands = append(s.commands, command.Verb)
		s.mu.Unlock()
		answer := s.answer(command)
		if answer.Code == statement.Lost {
			return
		}
		if _, err := c.Write(wire.AppendAnswer(nil, &answer)); err != nil {
			return
		}
	}
}

// received returns the verbs of the commands that the server has received.
func (s *scriptedServer) received() []statement.Verb {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// answerInTx answers commands like a server whose transaction is open until COMMIT
// or ROLLBACK.
func answerInTx(c statement.Command) statement.Answer {
	if c.Verb == statement.Rollback || c.Verb == statement.Commit {
		return statement.Answer{State: statement.Idle}
	}
	return statement.Answer{State: statement.InTx}
}

// withExecutor runs a test in virtual time with an executor for the server.
func withExecutor(t *testing.T, s *scriptedServer, test func(run func(statement.RemoteStatement) statement.Result)) {
	t.Helper()
	withConnectionLimit(t, s, 4, test)
}

// withConnectionLimit is withExecutor for a server that accepts the given number of
// connections.
func withConnectionLimit(t *testing.T, s *scriptedServer, limit int, test func(run func(statement.RemoteStatement) statement.Result)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		workers := pool.New(2)
		running.Go(func() { _ = workers.Run(ctx) })
		table := catalog.NewTable()
		s.table = table
		config := &catalog.Config{
			TxIdle: txIdle, Groups: []catalog.Group{{Name: group, MaxConnections: limit}},
			Customers: []catalog.Customer{{Name: customer, Rate: 10, Burst: 10}},
		}
		config.Index()
		table.Update(func(d catalog.Deployment) catalog.Deployment {
			d.Config = config
			d.Servers = map[string]*catalog.Server{server: {ID: server, Group: group, Address: server}}
			return d
		})
		e := sqlback.New(sqlback.Options{
			Network: s, Dialect: managed.Servers{}, Pool: workers, Table: table, Scope: tally.NoopScope,
			Tracer:           noop.NewTracerProvider().Tracer(""),
			Logger:           &log.Logger{Handler: discard.Default},
			HoldsConnections: func(string, *catalog.Server) bool { return true },
			ReportUnreachable: func(unreachable []string) {
				if s.reportUnreachable != nil {
					s.reportUnreachable(unreachable)
				}
			},
			CountStatement: func(_ *statement.RemoteStatement, _ time.Duration, n int64) { s.counted.Add(n) },
		})
		running.Go(func() { _ = e.Run(ctx) })
		test(func(w statement.RemoteStatement) statement.Result {
			w.Customer, w.Group, w.Server, w.Timeout = cmp.Or(w.Customer, customer), group, cmp.Or(w.Server, server), time.Second
			result := make(chan statement.Result, 1)
			e.Execute("vm-1", &w, func(r statement.Result) { result <- r })
			return <-result
		})
		cancel()
		running.Wait()
	})
}

// Guards against transactions that stay open for ever because the VM that opened
// them has stopped.
func TestAbandonedTransactionEnds(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		r := run(statement.RemoteStatement{BeginsTx: true, Command: statement.Command{Verb: statement.Write}})
		if r.Tx == 0 {
			t.Fatalf("no transaction is open: %+v", r)
		}
		time.Sleep(txIdle)
		if verbs := s.received(); slices.Contains(verbs, statement.Rollback) {
			t.Errorf("rolled back within the idle time that the client is allowed: %v", verbs)
		}
		time.Sleep(2 * time.Second)
		if verbs := s.received(); !slices.Contains(verbs, statement.Rollback) {
			t.Errorf("the abandoned transaction is still open: %v", verbs)
		}
		if r := run(statement.RemoteStatement{Tx: r.Tx, Command: statement.Command{Verb: statement.Commit}}); r.Answer.Code != statement.Aborted {
			t.Errorf("COMMIT of the rolled back transaction: code %s, want aborted", r.Answer.Code)
		}
	})
}

// Guards against a statement that runs on the connection of another customer or to
// another server because a transaction there has the ID that it names.
func TestTransactionBelongsToCustomerAndServer(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		tx := run(statement.RemoteStatement{BeginsTx: true, Command: statement.Command{Verb: statement.Write}}).Tx
		before := len(s.received())
		for _, w := range []statement.RemoteStatement{{Customer: "customer-2"}, {Server: "server-2"}} {
			w.Tx, w.Command.Verb = tx, statement.Write
			if r := run(w); r.Answer.Code != statement.Aborted {
				t.Errorf("statement of customer %q for server %q: code %s, want aborted", w.Customer, w.Server, r.Answer.Code)
			}
		}
		if verbs := s.received()[before:]; len(verbs) > 0 {
			t.Errorf("the server received %v", verbs)
		}
		if r := run(statement.RemoteStatement{Tx: tx, Command: statement.Command{Verb: statement.Commit}}); r.Answer.Code != statement.OK {
			t.Errorf("COMMIT of the transaction itself: code %s, want ok", r.Answer.Code)
		}
	})
}

// Guards against a confirmation that carries the log position of ROLLBACK. Only
// BEGIN confirms that the server is the primary; it may have lost that role
// before ROLLBACK, and then reports the position of another primary's log.
func TestProbeReportsPositionAtBegin(t *testing.T) {
	confirmed := state.Point{Term: 2, Position: 7}
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
		a := answerInTx(c)
		a.At = state.Point{Term: 2, Position: 5} // of the log that it replicates after losing the primary role
		if c.Verb == statement.Begin {
			a.At = confirmed
		}
		return a
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		r := run(statement.RemoteStatement{BeginsTx: true, Command: statement.Command{Verb: statement.Rollback}})
		if !r.PrimaryConfirmed || r.Answer.At != confirmed {
			t.Errorf("confirmed %v at %+v, want true and the position at BEGIN", r.PrimaryConfirmed, r.Answer.At)
		}
	})
}

// Guards against a statement that runs outside a transaction because the server
// refused BEGIN.
func TestNothingFollowsRefusedBegin(t *testing.T) {
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer { return statement.Refusal(statement.ReadOnly, "") }}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		r := run(statement.RemoteStatement{RequirePrimary: true, Command: statement.Command{Verb: statement.Read}})
		if r.Answer.Code != statement.ReadOnly || r.PrimaryConfirmed {
			t.Errorf("code %s, confirmed %v, want read_only and false", r.Answer.Code, r.PrimaryConfirmed)
		}
		if verbs := s.received(); !slices.Equal(verbs, []statement.Verb{statement.Begin}) {
			t.Errorf("the server received %v, want BEGIN only", verbs)
		}
	})
}

// Guards against a write that is reported as not run although it was sent before
// its connection broke, and against reuse of the broken connection.
func TestLostAnswer(t *testing.T) {
	lose := true
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
		if lose {
			lose = false
			return statement.Refusal(statement.Lost, "")
		}
		return statement.Answer{State: statement.Idle}
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		write := statement.RemoteStatement{Command: statement.Command{Verb: statement.Write}}
		if r := run(write); r.Answer.Code != statement.Lost {
			t.Errorf("a write whose answer was lost: code %s, want lost", r.Answer.Code)
		}
		if r := run(write); r.Answer.Code != statement.OK {
			t.Errorf("the next write: code %s, want ok", r.Answer.Code)
		}
	})
}

// Guards against a connection that stays busy for ever because the server does not
// answer a ROLLBACK that no statement waits for.
func TestUnansweredRollback(t *testing.T) {
	var silent chan struct{} // created inside withExecutor, where time is virtual
	s := &scriptedServer{answer: func(c statement.Command) statement.Answer {
		if c.Verb == statement.Rollback {
			<-silent
		}
		return answerInTx(c)
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		silent = make(chan struct{})
		defer close(silent)
		read := statement.RemoteStatement{RequirePrimary: true, Command: statement.Command{Verb: statement.Read}}
		if r := run(read); r.Answer.Code != statement.OK {
			t.Fatalf("the first read: code %s, want ok", r.Answer.Code)
		}
		time.Sleep(time.Second)
		if r := run(read); r.Answer.Code != statement.OK {
			t.Errorf("a read after an unanswered ROLLBACK: %s %s, want ok", r.Answer.Code, r.Answer.Text)
		}
	})
}

// Guards against reachability reports that overtake each other: other VMs would go
// on avoiding a server that is reachable again.
func TestReachabilityIsToldInOrder(t *testing.T) {
	var mu sync.Mutex
	var reports []int // number of unreachable servers in each report
	s := &scriptedServer{answer: answerInTx, reportUnreachable: func(unreachable []string) {
		if len(unreachable) > 0 {
			time.Sleep(2 * time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, len(unreachable))
	}}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		read := statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}}
		s.down.Store(true)
		run(read)
		time.Sleep(300 * time.Millisecond)
		run(read)
		s.down.Store(false)
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if !slices.Equal(reports, []int{1, 0}) {
			t.Errorf("reports of %v unreachable servers, want 1 and then 0", reports)
		}
	})
}

// Guards against idle connections that fail without a reset and make the next
// statement run into its time-out.
func TestIdleConnectionsUseKeepAlive(t *testing.T) {
	const dropAfter = 3 * time.Second // servers drop connections whose client is silent for this long
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		run(statement.RemoteStatement{Command: statement.Command{Verb: statement.Read}})
		k := s.keepAlive.Load()
		if k == nil || !k.Enable || k.Idle+time.Duration(k.Count)*k.Interval > dropAfter {
			t.Errorf("keep-alive settings %+v detect a failure too late", k)
		}
	})
}

// leave makes the server leave: it gets no operations any more, and transactions as given.
func (s *scriptedServer) leave(transactionsUntil time.Duration) {
	s.table.Update(func(d catalog.Deployment) catalog.Deployment {
		d.Leaving = map[string]catalog.Leaving{server: {TransactionsUntil: transactionsUntil}}
		return d
	})
}

// endOfTime is later than all readings of the clock.
const endOfTime = time.Duration(math.MaxInt64)

// Guards against a VM that sends what another VM with an outdated view has chosen.
func TestNoStatementOfOtherVMsReachesServerThatLeft(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		s.leave(endOfTime)
		if r := run(statement.RemoteStatement{Command: statement.Command{ID: "1", Verb: statement.Write}}); r.Answer.Code != statement.Busy {
			t.Errorf("answered %s, want busy", r.Answer.Code)
		}
		if verbs := s.received(); len(verbs) > 0 {
			t.Errorf("the server received %v", verbs)
		}
		// A switchover needs the server's reports.
		if r := run(statement.RemoteStatement{Command: statement.Command{Verb: statement.Status}}); r.Answer.Code != statement.OK {
			t.Errorf("a report is answered %s %s", r.Answer.Code, r.Answer.Text)
		}
	})
}

// Guards against a server that is checked only before a statement waits for a connection.
func TestWaitingStatementDoesNotReachServerThatLeft(t *testing.T) {
	s := &scriptedServer{answer: answerInTx}
	withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
		var open []uint64
		begin := statement.RemoteStatement{BeginsTx: true, Command: statement.Command{ID: "tx", Verb: statement.Write}}
		for {
			begin.Wait = 10 * time.Millisecond
			r := run(begin)
			if r.Answer.Code != statement.OK {
				break
			}
			open = append(open, r.Tx)
		}
		answered := make(chan statement.Code)
		go func() {
			r := run(statement.RemoteStatement{Command: statement.Command{ID: "waits", Verb: statement.Read}})
			answered <- r.Answer.Code
		}()
		time.Sleep(20 * time.Millisecond)
		s.leave(endOfTime)
		if r := run(statement.RemoteStatement{Tx: open[0], Command: statement.Command{ID: "end", Verb: statement.Commit}}); r.Answer.Code != statement.OK {
			t.Errorf("the end of a transaction on a draining server is answered %s", r.Answer.Code)
		}
		if code := <-answered; code != statement.Busy {
			t.Errorf("the waiting statement is answered %s, want busy", code)
		}
		if verbs := s.received(); slices.Contains(verbs, statement.Read) {
			t.Errorf("the server received %v", verbs)
		}
	})
}

// Guards against a transaction that goes on there, or whose end is a further message.
func TestTransactionEndsOnServerThatLeft(t *testing.T) {
	for _, idle := range []time.Duration{0, txIdle} { // until the client commits
		s := &scriptedServer{answer: answerInTx}
		withExecutor(t, s, func(run func(statement.RemoteStatement) statement.Result) {
			r := run(statement.RemoteStatement{BeginsTx: true, Command: statement.Command{ID: "1", Verb: statement.Write}})
			if r.Tx == 0 {
				t.Fatalf("no transaction is open: %+v", r)
			}
			received := len(s.received())
			s.leave(0)
			time.Sleep(idle)
			if r := run(statement.RemoteStatement{Tx: r.Tx, Command: statement.Command{ID: "2", Verb: statement.Commit}}); r.Answer.Code != statement.Aborted {
				t.Errorf("a commit after %v is answered %s, want aborted", idle, r.Answer.Code)
			}
			if verbs := s.received()[received:]; len(verbs) > 0 {
				t.Errorf("the server received %v", verbs)
			}
		})
	}
}
