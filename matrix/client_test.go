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

// Time limits of a client's calls.
const (
	connectTimeout = time.Second
	// requestTimeout is longer than the deadline of requests, so that a request that
	// the proxy never answers differs from one that it ends late.
	requestTimeout = 4 * time.Second
)

// mode is the kind of query by which a client sends statements with parameters.
// Others are sent as simple queries.
type mode int

const (
	simpleMode   mode = iota // simple query
	paramsMode               // unnamed statement
	preparedMode             // named statement
	modeCount
)

// client is one session. Its requests run one at a time. Only closeAbruptly,
// cancel and currentActivity may be called from other goroutines than that of its
// workload.
type client struct {
	run   *scenarioRun
	name  string
	rng   *rand.Rand
	mode  mode
	token string // of the session; empty before the first answer
	vm    int
	seq   int // number of the latest unique value
	tx    int // ID of the Begin request of the open transaction; 0 if there is none

	prepared map[string]bool // statements prepared on conn

	mu       sync.Mutex // guards conn and activity
	conn     *pgx.Conn
	activity activity
}

// activity is what a client is doing, which decides whether a step is reached.
type activity struct {
	kind       history.Kind
	busy       bool
	inTx       bool
	changes    []history.Change
	commits    int    // commits of the group before the request was sent
	statements uint64 // executed by the group before the request was sent
}

// newClient returns a client that will connect to the VM first. Its name selects
// its random numbers and its mode.
func newClient(r *scenarioRun, name string, vm int) *client {
	rng := r.newRand(name)
	return &client{run: r, name: name, vm: vm, rng: rng, mode: mode(rng.IntN(int(modeCount)))}
}

// uniqueValue returns a value that no other request writes.
func (cl *client) uniqueValue() string {
	cl.seq++
	return fmt.Sprintf("%s.%d", cl.name, cl.seq)
}

// ensureConnected connects the client unless it is connected, and reports whether
// it is. After a failure the next attempt goes to the next VM.
func (cl *client) ensureConnected() bool {
	if conn := cl.currentConn(); conn != nil && !conn.IsClosed() {
		return true
	}
	cl.tx = 0
	if !cl.run.isStarting(cl.vm) && cl.connect() {
		if !cl.run.isStarting(cl.vm) {
			return true
		}
		// The VM was started again while the client connected, so the load balancer
		// does not consider it ready yet.
		cl.close()
	}
	cl.vm = (cl.vm + 1) % cl.run.fleet.Profile.VMs
	return false
}

// connect opens a connection to the client's VM, with the session's token if it
// has one, and reports whether that succeeded.
func (cl *client) connect() bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	token, moved := cl.token, cl.token != ""
	if !moved {
		token = fleet.NewSession
	}
	conn, err := cl.run.fleet.Connect(ctx, customer, route, cl.vm, token)
	if err != nil {
		return false
	}
	cl.run.recorder.Moved(cl.name, fleet.VMName(cl.vm), moved)
	cl.prepared = make(map[string]bool)
	cl.setConn(conn)
	return true
}

func (cl *client) currentConn() *pgx.Conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.conn
}

func (cl *client) setConn(conn *pgx.Conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conn = conn
}

// moveToOtherVM closes the connection, so that the session continues on another
// VM. An open transaction is lost.
func (cl *client) moveToOtherVM() {
	cl.close()
	cl.vm = (cl.vm + 1 + cl.rng.IntN(cl.run.fleet.Profile.VMs-1)) % cl.run.fleet.Profile.VMs
}

// close ends the connection with a Terminate message.
func (cl *client) close() {
	conn := cl.currentConn()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = conn.Close(ctx) // the connection may be broken
	cl.setConn(nil)
}

// closeAbruptly closes the network connection without a Terminate message.
func (cl *client) closeAbruptly() {
	if conn := cl.currentConn(); conn != nil {
		_ = conn.PgConn().Conn().Close()
	}
}

// cancel sends a cancel request for the session's running request.
func (cl *client) cancel() {
	conn := cl.currentConn()
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = conn.PgConn().CancelRequest(ctx) // a cancel request has no answer
}

// execute sends a request, records it and its result, and reports whether it was
// answered without an error.
func (cl *client) execute(r history.Request, sql string, params ...string) bool {
	conn := cl.currentConn()
	r.Session, r.Tx = cl.name, cl.tx
	if r.Kind == history.Begin {
		r.Tx = 0
	}
	cl.setActivity(activity{
		kind: r.Kind, busy: true, inTx: cl.tx != 0, changes: r.Changes,
		commits: len(cl.run.group.Commits()), statements: cl.run.statements(),
	})
	id := cl.run.recorder.Invoke(r)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	results, err := cl.send(ctx, conn.PgConn(), sql, params)
	cancel()
	result := toResult(r, results, err, strings.Count(sql, ";")+1)
	cl.run.recorder.End(id, result)
	cl.setActivity(activity{kind: r.Kind, inTx: cl.tx != 0})
	if t := fleet.Token(conn); t != "" {
		cl.token = t
	}
	if r.Kind == history.Begin && result.Outcome == history.Answered {
		cl.tx = id
	}
	return result.Outcome == history.Answered
}

func (cl *client) setActivity(a activity) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.activity = a
}

func (cl *client) currentActivity() activity {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.activity
}

// send sends the statement in the client's mode. Statements without parameters
// are sent as simple queries.
func (cl *client) send(ctx context.Context, conn *pgconn.PgConn, sql string, params []string) ([]*pgconn.Result, error) {
	if cl.mode == simpleMode || len(params) == 0 {
		return conn.Exec(ctx, inlineParams(sql, params)).ReadAll()
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

// inlineParams replaces parameters by literals.
func inlineParams(sql string, params []string) string {
	for i, p := range params {
		sql = strings.ReplaceAll(sql, fmt.Sprintf("$%d", i+1), "'"+p+"'")
	}
	return sql
}

// toResult converts the answer to a request of that many statements.
func toResult(r history.Request, results []*pgconn.Result, err error, statements int) history.Result {
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
		result.Rows = -len(results) // never a valid count: the answer to a statement is missing
	}
	// The command tag of the commit of a failed transaction is ROLLBACK.
	if r.Kind == history.Commit && !slices.ContainsFunc(results, isCommit) {
		result.Outcome = history.RolledBack
	}
	return result
}

func isCommit(r *pgconn.Result) bool { return r.CommandTag.String() == "COMMIT" }

// outcomeOf returns what an error says about whether the request took effect.
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

// notSent is the code of requests that were not sent because the connection was
// closed.
const notSent = "not sent"

// codeOf returns the SQLSTATE of an error, notSent, or the text of an error that
// has neither.
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
