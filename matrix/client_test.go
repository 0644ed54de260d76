package matrix

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
	"github.com/chestnutdyke/chestnutdyke/standin/history"
)

// Limits of a client's patience.
const (
	connectLimit = time.Second
	// requestLimit is above the deadline of requests, so that a request that the
	// proxy forgets is told apart from one that it ends late.
	requestLimit = 4 * time.Second
)

// mode is how a client sends statements.
type mode int

const (
	simpleMode   mode = iota // simple query
	paramsMode               // unnamed statement
	preparedMode             // named statement
	modeCount
)

// client is one session. Its requests run one at a time; only abandon and
// cancel may be called from elsewhere.
type client struct {
	cell  *cell
	name  string
	rng   *rand.Rand
	mode  mode
	token string
	vm    int
	seq   int // of the latest unique value
	tx    int // ID of the open transaction's Begin; zero if none

	prepared map[string]bool // statements prepared on conn

	mu    sync.Mutex // guards conn and phase
	conn  *pgx.Conn
	phase phase
}

// phase says what a client does now, for triggers.
type phase struct {
	kind    history.Kind
	busy    bool
	inTx    bool
	changes []history.Change
	commits int    // commits of the group when the request was sent
	read    uint64 // statements executed by the group when the request was sent
}

func newClient(c *cell, name string, vm int) *client {
	rng := c.newRand(name)
	return &client{cell: c, name: name, vm: vm, rng: rng, mode: mode(rng.IntN(int(modeCount)))}
}

func (cl *client) unique() string {
	cl.seq++
	return fmt.Sprintf("%s.%d", cl.name, cl.seq)
}

// connected makes sure that there is a connection. A VM that does not accept
// one is left for the next.
func (cl *client) connected() bool {
	if conn := cl.current(); conn != nil && !conn.IsClosed() {
		return true
	}
	cl.tx = 0
	if !cl.cell.warmingUp(cl.vm) && cl.connect() {
		if !cl.cell.warmingUp(cl.vm) {
			return true
		}
		// The VM was started again after the choice, so the load balancer does not
		// know it as ready.
		cl.close()
	}
	cl.vm = (cl.vm + 1) % cl.cell.fleet.Profile.VMs
	return false
}

func (cl *client) connect() bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	token, moved := cl.token, cl.token != ""
	if !moved {
		token = fleet.NewSession
	}
	conn, err := cl.cell.fleet.Connect(ctx, customer, route, cl.vm, token)
	if err != nil {
		return false
	}
	cl.cell.recorder.Moved(cl.name, fleet.VMName(cl.vm), moved)
	cl.prepared = make(map[string]bool)
	cl.setConn(conn)
	return true
}

func (cl *client) current() *pgx.Conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.conn
}

func (cl *client) setConn(conn *pgx.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conn = conn
}

// move goes on with the session on another VM. An open transaction ends.
func (cl *client) move() {
	cl.close()
	cl.vm = (cl.vm + 1 + cl.rng.IntN(cl.cell.fleet.Profile.VMs-1)) % cl.cell.fleet.Profile.VMs
}

// close ends the connection in an orderly way.
func (cl *client) close() {
	conn := cl.current()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	_ = conn.Close(ctx) // the connection may be broken
	cl.setConn(nil)
}

// abandon cuts the connection at once.
func (cl *client) abandon() {
	if conn := cl.current(); conn != nil {
		_ = conn.PgConn().Conn().Close()
	}
}

// cancel asks for the end of what the session runs.
func (cl *client) cancel() {
	conn := cl.current()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	_ = conn.PgConn().CancelRequest(ctx) // a cancel request has no answer
}

// do runs a request and records it. It reports whether it was answered.
func (cl *client) do(r history.Request, sql string, params ...string) bool {
	conn := cl.current()
	r.Session, r.Tx = cl.name, cl.tx
	if r.Kind == history.Begin {
		r.Tx = 0
	}
	cl.setPhase(phase{
		kind: r.Kind, busy: true, inTx: cl.tx != 0, changes: r.Changes,
		commits: len(cl.cell.group.Commits()), read: cl.cell.statements(),
	})
	id := cl.cell.recorder.Invoke(r)
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	results, err := cl.send(ctx, conn.PgConn(), sql, params)
	cancel()
	result := resultOf(r, results, err, strings.Count(sql, ";")+1)
	cl.cell.recorder.End(id, result)
	cl.setPhase(phase{kind: r.Kind, inTx: cl.tx != 0})
	if t := fleet.Token(conn); t != "" {
		cl.token = t
	}
	if r.Kind == history.Begin && result.Outcome == history.Answered {
		cl.tx = id
	}
	return result.Outcome == history.Answered
}

func (cl *client) setPhase(p phase) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.phase = p
}

func (cl *client) currentPhase() phase {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.phase
}

// send runs the statement in the client's mode. Statements without parameters
// use simple queries.
func (cl *client) send(ctx context.Context, conn *pgconn.PgConn, sql string, params []string) ([]*pgconn.Result, error) {
	if cl.mode == simpleMode || len(params) == 0 {
		return conn.Exec(ctx, fill(sql, params)).ReadAll()
	}
	values := make([][]byte, len(params))
	for i, p := range params {
		values[i] = []byte(p)
	}
	if cl.mode == paramsMode {
		result := conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()
		return []*pgconn.Result{result}, result.Err
	}
	if !cl.prepared[sql] {
		if _, err := conn.Prepare(ctx, sql, sql, nil); err != nil {
			return nil, err
		}
		cl.prepared[sql] = true
	}
	result := conn.ExecPrepared(ctx, sql, values, nil, nil).Read()
	return []*pgconn.Result{result}, result.Err
}

// fill puts literals in the place of parameters.
func fill(sql string, params []string) string {
	for i, p := range params {
		sql = strings.ReplaceAll(sql, fmt.Sprintf("$%d", i+1), "'"+p+"'")
	}
	return sql
}

// resultOf says what a client learns from an answer to that many statements.
func resultOf(r history.Request, results []*pgconn.Result, err error, statements int) history.Result {
	if err != nil {
		return history.Result{Outcome: outcomeOf(err), Code: codeOf(err)}
	}
	result := history.Result{Outcome: history.Answered}
	for _, one := range results {
		if len(one.FieldDescriptions) > 0 {
			result.Rows += int(one.CommandTag.RowsAffected())
		}
		for _, row := range one.Rows {
			result.Values = append(result.Values, string(row[0]))
		}
	}
	if len(results) != statements {
		result.Rows = -len(results) // the answer to a statement is missing
	}
	// A server answers the commit of a transaction that failed with ROLLBACK.
	if r.Kind == history.Commit && !slices.ContainsFunc(results, committed) {
		result.Outcome = history.RolledBack
	}
	return result
}

func committed(r *pgconn.Result) bool { return r.CommandTag.String() == "COMMIT" }

func outcomeOf(err error) history.Outcome {
	var pg *pgconn.PgError
	switch {
	case pgconn.SafeToRetry(err):
		return history.NotRun // nothing was sent
	case !errors.As(err, &pg):
		return history.Unknown
	case pg.Detail == "The request was not run.":
		return history.NotRun
	case pg.Detail == "The transaction was rolled back.":
		return history.RolledBack
	case pg.Code == "08007" || pg.Code == "08006":
		return history.Unknown
	default:
		return history.Failed
	}
}

// notSent is the code of requests that found their connection closed.
const notSent = "not sent"

func codeOf(err error) string {
	if err == nil {
		return ""
	}
	if pgconn.SafeToRetry(err) {
		return notSent
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return err.Error()
}
