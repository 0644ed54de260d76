package sqlback_test

import (
	"bufio"
	"context"
	"errors"
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

// scripted is a backend server that answers commands as the test says. It is
// also the network that leads to it.
type scripted struct {
	answer  func(statement.Command) statement.Answer
	down    atomic.Bool    // connections are not accepted
	reached func([]string) // told which servers cannot be reached
	probes  atomic.Pointer[net.KeepAliveConfig]

	mu       sync.Mutex // guards commands
	commands []statement.Verb
}

// Listen implements network.Network.
func (s *scripted) Listen(string) (net.Listener, error) { panic("nobody listens in this test") }

// Dial implements network.Network.
func (s *scripted) Dial(context.Context, string) (net.Conn, error) {
	if s.down.Load() {
		return nil, errors.New("no route")
	}
	near, far := net.Pipe()
	go s.serve(far)
	return &probed{Conn: near, probes: &s.probes}, nil
}

// probed is a connection that the operating system can probe.
type probed struct {
	net.Conn
	probes *atomic.Pointer[net.KeepAliveConfig]
}

// SetKeepAliveConfig records the probes that are asked for.
func (p *probed) SetKeepAliveConfig(c net.KeepAliveConfig) error {
	p.probes.Store(&c)
	return nil
}

func (s *scripted) serve(c net.Conn) {
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

// sent returns the commands that the server got.
func (s *scripted) sent() []statement.Verb {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// open answers every command as a server does in an open transaction.
func open(c statement.Command) statement.Answer {
	if c.Verb == statement.Rollback || c.Verb == statement.Commit {
		return statement.Answer{State: statement.Idle}
	}
	return statement.Answer{State: statement.InTx}
}

// inExecutor runs a test on an executor for the server in virtual time.
func inExecutor(t *testing.T, s *scripted, test func(run func(statement.Work) statement.Result)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		workers := pool.New(2)
		running.Go(func() { _ = workers.Run(ctx) })
		table := catalog.NewTable()
		config := &catalog.Config{
			TxIdle: txIdle, Groups: []catalog.Group{{Name: group, MaxConnections: 4}},
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
			Tracer: noop.NewTracerProvider().Tracer(""),
			Logger: &log.Logger{Handler: discard.Default},
			Chosen: func(string, *catalog.Server) bool { return true },
			Reached: func(unreachable []string) {
				if s.reached != nil {
					s.reached(unreachable)
				}
			},
		})
		running.Go(func() { _ = e.Run(ctx) })
		test(func(w statement.Work) statement.Result {
			w.Customer, w.Group, w.Server, w.Timeout = customer, group, server, time.Second
			result := make(chan statement.Result, 1)
			e.Execute("vm-1", &w, func(r statement.Result) { result <- r })
			return <-result
		})
		cancel()
		running.Wait()
	})
}

// Guards against a transaction that rests for ever on a connection because the
// VM that opened it has gone.
func TestAbandonedTransactionEnds(t *testing.T) {
	s := &scripted{answer: open}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		r := run(statement.Work{Opens: true, Command: statement.Command{Verb: statement.Write}})
		if r.Tx == 0 {
			t.Fatalf("no transaction is open: %+v", r)
		}
		time.Sleep(txIdle)
		if sent := s.sent(); slices.Contains(sent, statement.Rollback) {
			t.Errorf("ended within the time in which its client may rest: %v", sent)
		}
		time.Sleep(2 * time.Second)
		if sent := s.sent(); !slices.Contains(sent, statement.Rollback) {
			t.Errorf("the transaction is still open: %v", sent)
		}
		if r := run(statement.Work{Tx: r.Tx, Command: statement.Command{Verb: statement.Commit}}); r.Answer.Code != statement.Aborted {
			t.Errorf("a commit of the ended transaction is answered with %s", r.Answer.Code)
		}
	})
}

// Guards against a position that is taken for the primary's although the server
// told it after it may have lost the lead: BEGIN proves the lead, ROLLBACK does
// not.
func TestProbeReportsPositionAtBegin(t *testing.T) {
	proven := state.Point{Term: 2, Position: 7}
	s := &scripted{answer: func(c statement.Command) statement.Answer {
		a := open(c)
		a.At = state.Point{Term: 2, Position: 5} // of the log that it follows after the loss of the lead
		if c.Verb == statement.Begin {
			a.At = proven
		}
		return a
	}}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		r := run(statement.Work{Opens: true, Command: statement.Command{Verb: statement.Rollback}})
		if !r.Proven || r.Answer.At != proven {
			t.Errorf("proven %v at %+v, want the position of BEGIN", r.Proven, r.Answer.At)
		}
	})
}

// Guards against a statement that runs outside of its transaction after the
// server refused BEGIN.
func TestNothingFollowsRefusedBegin(t *testing.T) {
	s := &scripted{answer: func(c statement.Command) statement.Answer { return statement.Refusal(statement.ReadOnly, "") }}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		r := run(statement.Work{Proof: true, Command: statement.Command{Verb: statement.Read}})
		if r.Answer.Code != statement.ReadOnly || r.Proven {
			t.Errorf("answered with %s, proven %v", r.Answer.Code, r.Proven)
		}
		if sent := s.sent(); !slices.Equal(sent, []statement.Verb{statement.Begin}) {
			t.Errorf("sent %v", sent)
		}
	})
}

// Guards against "not run" for a write that was sent and whose connection
// broke, and against a broken connection that is used again.
func TestLostAnswer(t *testing.T) {
	lose := true
	s := &scripted{answer: func(c statement.Command) statement.Answer {
		if lose {
			lose = false
			return statement.Refusal(statement.Lost, "")
		}
		return statement.Answer{State: statement.Idle}
	}}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		write := statement.Work{Command: statement.Command{Verb: statement.Write}}
		if r := run(write); r.Answer.Code != statement.Lost {
			t.Errorf("a write without an answer is told as %s", r.Answer.Code)
		}
		if r := run(write); r.Answer.Code != statement.OK {
			t.Errorf("the next write is told as %s", r.Answer.Code)
		}
	})
}

// Guards against a connection that is lost for good because the server never
// answers the end of a transaction, which no statement waits for.
func TestUnansweredRollback(t *testing.T) {
	var silent chan struct{} // made where time is virtual
	s := &scripted{answer: func(c statement.Command) statement.Answer {
		if c.Verb == statement.Rollback {
			<-silent
		}
		return open(c)
	}}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		silent = make(chan struct{})
		defer close(silent)
		read := statement.Work{Proof: true, Command: statement.Command{Verb: statement.Read}}
		if r := run(read); r.Answer.Code != statement.OK {
			t.Fatalf("the first read is told as %s", r.Answer.Code)
		}
		time.Sleep(time.Second)
		if r := run(read); r.Answer.Code != statement.OK {
			t.Errorf("a read after an unanswered rollback is told as %s %s", r.Answer.Code, r.Answer.Text)
		}
	})
}

// Guards against other VMs that are told in the wrong order which servers this
// one reaches, and keep away from one that it reaches.
func TestReachabilityIsToldInOrder(t *testing.T) {
	var mu sync.Mutex
	var told []int // numbers of unreachable servers
	s := &scripted{answer: open, reached: func(unreachable []string) {
		if len(unreachable) > 0 {
			time.Sleep(2 * time.Second)
		}
		mu.Lock()
		defer mu.Unlock()
		told = append(told, len(unreachable))
	}}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		read := statement.Work{Command: statement.Command{Verb: statement.Read}}
		s.down.Store(true)
		run(read)
		time.Sleep(300 * time.Millisecond)
		run(read)
		s.down.Store(false)
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if !slices.Equal(told, []int{1, 0}) {
			t.Errorf("told of %v unreachable servers, want one and then none", told)
		}
	})
}

// Guards against connections that rest, go silent without a reset, and cost the
// next statement its time-out.
func TestRestingConnectionsAreProbed(t *testing.T) {
	const dropped = 3 * time.Second // servers drop a connection whose far end is dark
	s := &scripted{answer: open}
	inExecutor(t, s, func(run func(statement.Work) statement.Result) {
		run(statement.Work{Command: statement.Command{Verb: statement.Read}})
		p := s.probes.Load()
		if p == nil || !p.Enable || p.Idle+time.Duration(p.Count)*p.Interval > dropped {
			t.Errorf("probes %+v", p)
		}
	})
}
