package sqlback

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/outbox"
)

// connState is the state of a connection.
type connState uint8

const (
	connStarting connState = iota
	connIdle               // takes a job
	connBusy               // runs a job
	connResting            // its transaction is open and no statement runs
	connClosed
)

// conn is a connection to a backend server for one customer. Its fields are
// guarded by Executor.mu, but for those that are set once.
type conn struct {
	pool  *serverPool
	state connState
	out   *outbox.Outbox // nil until connected

	values    []statement.Value
	prepared  map[string]bool
	idleSince time.Time

	// The transaction that is open, if state is connResting, or is being opened
	// or used by the job.
	tx   uint64
	from string // VM for which the transaction was opened

	job      *job
	expects  []step    // answers to come, oldest first
	ownSince time.Time // since when commands are under way without a job
}

// step is a command whose answer has not come.
type step uint8

const (
	stepSetup    step = iota // values and prepared names
	stepBegin                // begins the job's transaction
	stepMain                 // the job's statement
	stepRollback             // ends the proof of lead, or a failed transaction
)

// outboxHigh is not reached: a connection has one statement under way.
const outboxHigh = 2 << 20

// keepAlive finds connections that went silent without a reset while they rest,
// within about the time after which servers drop such ones themselves (3 s). They
// stay in the data centre, so that the probes cost little.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// watchSilence makes the operating system probe the connection, if it can.
func watchSilence(nc net.Conn) error {
	if c, ok := nc.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		return eris.Wrap(c.SetKeepAliveConfig(keepAlive), "keep-alive of a new connection")
	}
	return nil
}

// connect opens the connection and reads its answers until it closes. It runs
// on a goroutine of its own, which only frames messages.
func (e *Executor) connect(c *conn, address, group string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	nc, err := e.net.Dial(ctx, address)
	if err != nil {
		code := statement.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			code = statement.Down
		}
		e.post(func() { e.startFailed(c, statement.Refusal(code, err.Error())) })
		return
	}
	if err := watchSilence(nc); err != nil {
		e.logger.WithError(err).WithField("server", c.pool.key.server).Warn("backend: a silent connection will be noticed late.")
	}
	r := bufio.NewReader(nc)
	answer, err := e.start(c, nc, r, group)
	if err == nil && answer.Code != statement.OK {
		nc.Close()
		e.post(func() { e.startFailed(c, answer) })
		return
	}
	if err != nil {
		nc.Close()
		e.post(func() { e.startFailed(c, statement.Answer{Code: statement.Unreachable, Text: err.Error()}) })
		return
	}
	out := outbox.New(nc, outboxHigh)
	e.post(func() { e.started(c, out) })
	for {
		answer, err := e.dialect.ReadAnswer(r)
		if err != nil {
			out.Abort()
			e.post(func() { e.broken(c, err) })
			return
		}
		e.post(func() { e.answered(c, answer) })
	}
}

func (e *Executor) start(c *conn, nc net.Conn, r *bufio.Reader, group string) (statement.Answer, error) {
	if err := nc.SetDeadline(time.Now().Add(startTimeout)); err != nil {
		return statement.Answer{}, eris.Wrap(err, "deadline of a new connection")
	}
	if _, err := nc.Write(e.dialect.AppendStart(nil, group, c.pool.key.customer, c.pool.key.server)); err != nil {
		return statement.Answer{}, eris.Wrap(err, "start of a connection")
	}
	answer, err := e.dialect.ReadStarted(r)
	if err != nil {
		return statement.Answer{}, eris.Wrap(err, "start of a connection")
	}
	return answer, eris.Wrap(nc.SetDeadline(time.Time{}), "deadline of a new connection")
}

// prepare returns the commands that bring the connection's values and prepared
// names in line with the job, and records them as done.
func (c *conn) prepare(j *job) []statement.Command {
	var commands []statement.Command
	w := j.work
	if !slices.Equal(c.values, w.Values) {
		if len(c.values) > 0 {
			commands = append(commands, statement.Command{Verb: statement.Discard})
			c.prepared = make(map[string]bool)
		}
		for _, v := range w.Values {
			commands = append(commands, statement.Command{Verb: statement.Set, Name: v.Name, Payload: v.Data})
		}
		c.values = w.Values
	}
	if p := w.Prepared; p != nil && !c.prepared[p.Name] {
		commands = append(commands, statement.Command{Verb: statement.Prepare, Name: p.Name, Writes: p.Writes, Payload: p.Shape})
		c.prepared[p.Name] = true
	}
	return commands
}
