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

// connState is the lifecycle state of a connection.
type connState uint8

const (
	connStarting connState = iota
	connIdle               // ready for a job
	connBusy               // runs a job or an internal command
	connIdleInTx           // a transaction is open and no statement runs
	connClosed
)

// conn is a connection to a backend server for one customer. Executor.mu guards
// its fields, except those that are set only once.
type conn struct {
	pool  *serverPool
	state connState
	out   *outbox.Outbox // nil until connected

	values    []statement.Value // session variables set on the server
	prepared  map[string]bool   // names of prepared statements on the server
	idleSince time.Time
	usedSince time.Time // start of its present use, in statements or a transaction; zero if it is idle

	// The transaction that is open (state connIdleInTx), or that the job opens or
	// uses. Both fields are zero without a transaction.
	tx         uint64
	txReadOnly bool
	origin     string // link over which the transaction was opened, or this VM; see Execute

	admission     *statement.Admission // of the job, or of the first statement of the transaction
	job           *job
	unanswered    []commandKind // commands sent without an answer yet, oldest first
	internalSince time.Time     // when commands without a job were sent
}

// commandKind says why a command was sent, and so how its answer is handled.
type commandKind uint8

const (
	commandSetup     commandKind = iota // sets session variables or prepares a statement
	commandBegin                        // begins the job's transaction
	commandStatement                    // the job's statement
	commandRollback                     // ends a confirmation that the server is the primary, or a failed, aborted or abandoned transaction
)

// outboxLimit, in bytes, is never reached: a connection runs one statement at a
// time.
const outboxLimit = 2 << 20

// keepAliveConfig detects idle connections that failed without a reset, within
// about the time (3 s) after which servers drop them too. The probes stay inside
// the data centre, so they cost little.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// enableKeepAlive turns on TCP keep-alive if the connection supports it.
func enableKeepAlive(nc net.Conn) error {
	if c, ok := nc.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		return eris.Wrap(c.SetKeepAliveConfig(keepAliveConfig), "enable keep-alive of a new connection")
	}
	return nil
}

// connect opens the connection and reads answers until it closes. It runs on a
// goroutine of its own, which only splits the stream into messages; pool workers
// handle them.
func (e *Executor) connect(c *conn, address, group string) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	nc, err := e.net.Dial(ctx, address)
	if err != nil {
		code := statement.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			code = statement.Down
		}
		e.post(func() { e.connectFailed(c, statement.Refusal(code, err.Error())) })
		return
	}
	if err := enableKeepAlive(nc); err != nil {
		e.logger.WithError(err).WithField("server", c.pool.key.server).Warn("backend: keep-alive not enabled, a dead idle connection will be detected late.")
	}
	r := bufio.NewReader(nc)
	answer, err := e.handshake(c, nc, r, group)
	if err == nil && answer.Code != statement.OK {
		nc.Close()
		e.post(func() { e.connectFailed(c, answer) })
		return
	}
	if err != nil {
		nc.Close()
		e.post(func() { e.connectFailed(c, statement.Answer{Code: statement.Unreachable, Text: err.Error()}) })
		return
	}
	out := outbox.New(nc, outboxLimit)
	e.post(func() { e.connected(c, out) })
	for {
		answer, err := e.dialect.ReadAnswer(r)
		if err != nil {
			out.CloseNow()
			e.post(func() { e.connectionBroken(c, err) })
			return
		}
		e.post(func() { e.handleMessage(c, func() { e.handleAnswer(c, answer) }) })
	}
}

// handshake starts the session on a new connection. The answer may be a refusal.
// Errors reach clients as the text of an answer.
func (e *Executor) handshake(c *conn, nc net.Conn, r *bufio.Reader, group string) (statement.Answer, error) {
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

// setupCommands returns the commands that give the connection the session
// variables and the prepared statement of the job, and records them as applied.
func (c *conn) setupCommands(j *job) []statement.Command {
	var commands []statement.Command
	w := j.stmt
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
