package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

const (
	// clientGrace is how long a client waits beyond the route's deadline.
	clientGrace = 2 * time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 2 * time.Second
	// queuePatience is the part of the deadline after which a job that waits for
	// a free session is given up. Without it, all jobs of an overloaded customer
	// would be sent too late to be answered in time.
	queuePatience = 2
	// maxRepeats bounds the repetitions of a request that was refused.
	maxRepeats = 5
	// minRepeatDelay is the wait before the first repetition of a refused request
	// without a hint; it doubles.
	minRepeatDelay = 20 * time.Millisecond
	// refusedKeyDelay is the wait before the next login with a refused key.
	refusedKeyDelay = 500 * time.Millisecond
)

// client is one session of a customer on a route. It keeps its connection, and
// moves between VMs with its session token.
type client struct {
	run      *run
	name     string
	customer string
	route    string
	group    string
	limit    *limit
	rng      *rand.Rand

	conn  *pgx.Conn
	token string

	writes   int // written so far; makes values unique
	own      ownKey
	inserted string // key that the session inserted last; acknowledged
}

// ownKey is a key that only this session writes.
type ownKey struct {
	key          string
	version      int // sent last
	acknowledged int // highest acknowledged; zero if none
}

// work takes jobs until the queue is closed.
func (c *client) work(jobs <-chan job) {
	_ = c.connected(time.Now().Add(c.run.profile.Deadline))
	for j := range jobs {
		o, served := c.do(j)
		c.run.collector.job(c.customer, j, time.Now(), c.run.profile.Deadline, o, served)
		if c.rng.Float64() < c.run.load.moveShare {
			c.move()
		}
	}
	c.disconnect()
}

// move continues the session on another connection, usually to another VM.
func (c *client) move() {
	c.disconnect()
	c.run.collector.moved()
}

func (c *client) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connected connects if needed. It reports false if that takes longer than the
// deadline.
func (c *client) connected(deadline time.Time) bool {
	for c.conn == nil {
		if !time.Now().Before(deadline) {
			return false
		}
		if err := c.connect(); err != nil {
			o := outcomeOfConnect(err)
			c.run.collector.request(o, false)
			time.Sleep(reconnectDelay(o))
		}
	}
	return true
}

// reconnectDelay is the wait after a failed login. A refused key is not tried
// again soon.
func reconnectDelay(o outcome) time.Duration {
	if o.code == codeKey {
		return refusedKeyDelay
	}
	return minRepeatDelay
}

// outcomeOfConnect classifies a failed login. No request was cut by it.
func outcomeOfConnect(err error) outcome {
	o := outcomeOf(err)
	if o.verdict == cut {
		o.verdict, o.code = failed, "connect"
	}
	return o
}

func (c *client) connect() error {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	token := c.token
	if token == "" {
		token = fleet.NewSession
	}
	conn, err := c.run.fleet.Connect(ctx, c.customer, c.route, c.run.chooseVM(c.rng), token)
	if err == nil {
		c.conn = conn
	}
	return err
}

// do carries out a job. It reports false if the client had no session or no
// connection in time.
func (c *client) do(j job) (outcome, bool) {
	deadline := j.arrived.Add(c.run.profile.Deadline)
	if time.Since(j.arrived) > c.run.profile.Deadline/queuePatience || !c.connected(deadline) {
		return outcome{}, false
	}
	switch j.kind {
	case readOwn:
		return c.readOwn(deadline), true
	case insertUnique:
		return c.insert(deadline), true
	case appendLog:
		return c.append(deadline), true
	case updateOwn:
		return c.update(deadline), true
	case transaction:
		return c.transaction(deadline), true
	default:
		return c.readAny(deadline, j.kind == view), true
	}
}

// request is one request and its end.
type request struct {
	outcome
	sent  time.Time
	value string // in the first column of the last row
	rows  int
	tag   string // of the last statement
}

// repeat sends a request, and sends it again as long as it is refused as "not
// run" and the deadline allows. A request of a transaction is repeated on the
// transaction's connection only.
func (c *client) repeat(sql string, deadline time.Time, inTransaction bool) request {
	delay := minRepeatDelay
	for n := 0; ; n++ {
		r := c.send(sql)
		if r.verdict != refused || r.code == codeKey || n >= maxRepeats || inTransaction && c.conn == nil {
			return r
		}
		wait := max(r.retryAfter, delay)
		if time.Now().Add(wait).After(deadline) {
			return r
		}
		time.Sleep(wait)
		delay *= 2
		if !c.connected(deadline) {
			return r
		}
	}
}

// send sends a request that counts against the customer's rate.
func (c *client) send(sql string) request {
	inside := c.limit.take(time.Now())
	r := c.exec(sql)
	if r.verdict != refused {
		c.limit.ran(span{r.sent, time.Now()})
		c.run.collector.ran(c.customer, r.sent)
	}
	c.run.collector.request(r.outcome, inside)
	return r
}

// sendFree sends the end of a transaction, which no rate limits.
func (c *client) sendFree(sql string) request {
	r := c.exec(sql)
	c.run.collector.request(r.outcome, false)
	return r
}

func (c *client) exec(sql string) request {
	ctx, cancel := context.WithTimeout(context.Background(), c.run.profile.Deadline+clientGrace)
	defer cancel()
	r := request{sent: time.Now()}
	results, err := c.conn.PgConn().Exec(ctx, sql).ReadAll()
	r.outcome = outcomeOf(err)
	if n := len(results); n > 0 {
		r.take(results[n-1])
	}
	if t := fleet.Token(c.conn); t != "" {
		c.token = t
	}
	if r.fatal || c.conn.IsClosed() {
		c.disconnect()
	}
	return r
}

func (r *request) take(result *pgconn.Result) {
	r.tag = result.CommandTag.String()
	r.rows = len(result.Rows)
	if r.rows > 0 {
		r.value = string(result.Rows[r.rows-1][0])
	}
}

// nextValue returns a value that no other write has.
func (c *client) nextValue() string {
	c.writes++
	return fmt.Sprintf("%s.%d", c.name, c.writes)
}

// wrote notes the end of a write.
func (c *client) wrote(value, key string, r request) {
	w := write{group: c.group, value: value, fate: fateOf(r.outcome)}
	c.run.ledger.record(w, key, r.sent, time.Now())
}

// fateOf says what the outcome of a write, or of the commit of a transaction,
// tells about it. An error of the backend server means that it had no effect.
func fateOf(o outcome) fate {
	switch o.verdict {
	case answered:
		return fateAcknowledged
	case refused, failed:
		return fateNotRun
	}
	return fateUnknown
}

func (c *client) insert(deadline time.Time) outcome {
	value := c.nextValue()
	r := c.repeat(fmt.Sprintf("INSERT INTO kv VALUES ('%s', '%s')", value, value), deadline, false)
	if r.code == codeDuplicateKey {
		c.run.collector.violated(func(v *violations) { v.Doubled++ }, "insert found its own key: "+value)
		return r.outcome
	}
	c.wrote(value, value, r)
	if r.verdict == answered {
		c.inserted = value
	}
	return r.outcome
}

func (c *client) append(deadline time.Time) outcome {
	value := c.nextValue()
	r := c.repeat(fmt.Sprintf("APPEND log '%s'", value), deadline, false)
	c.wrote(value, "", r)
	return r.outcome
}

// update writes the next version of the session's own key. After an unknown
// outcome the session takes a new key, because the old write may still arrive.
func (c *client) update(deadline time.Time) outcome {
	if c.own.key == "" {
		c.own = ownKey{key: "own-" + c.nextValue()}
	}
	c.own.version++
	value := fmt.Sprintf("%s.v%d", c.own.key, c.own.version)
	r := c.repeat(fmt.Sprintf("UPSERT kv ('%s', '%s')", c.own.key, value), deadline, false)
	c.wrote(value, c.own.key, r)
	switch fateOf(r.outcome) {
	case fateAcknowledged:
		c.own.acknowledged = c.own.version
	case fateUnknown:
		c.own = ownKey{}
	}
	return r.outcome
}

// readOwn reads what the session wrote, and checks that it sees it.
func (c *client) readOwn(deadline time.Time) outcome {
	switch {
	case c.own.acknowledged > 0 && (c.inserted == "" || c.rng.IntN(2) == 0):
		r := c.repeat(selectKey(c.own.key), deadline, false)
		if r.verdict == answered && versionOf(r.value) < c.own.acknowledged {
			c.stale(fmt.Sprintf("read %q of %s, acknowledged version %d", r.value, c.own.key, c.own.acknowledged))
		}
		return r.outcome
	case c.inserted != "":
		r := c.repeat(selectKey(c.inserted), deadline, false)
		if r.verdict == answered && r.value != c.inserted {
			c.stale("did not see its insert of " + c.inserted)
		}
		return r.outcome
	}
	return c.readAny(deadline, false)
}

func (c *client) stale(what string) {
	c.run.collector.violated(func(v *violations) { v.StaleReads++ }, c.name+" "+what)
}

// versionOf returns the version in a value of an own key; zero if there is none.
func versionOf(value string) int {
	_, text, found := strings.Cut(value, ".v")
	n := 0
	if !found {
		return 0
	}
	if _, err := fmt.Sscanf(text, "%d", &n); err != nil {
		return 0
	}
	return n
}

func selectKey(key string) string { return "SELECT value FROM kv WHERE key = '" + key + "'" }

// readAny reads a key that some session wrote. A view must show a key that was
// acknowledged longer ago than the route's bound.
func (c *client) readAny(deadline time.Time, bounded bool) outcome {
	key, found := c.run.ledger.pick(c.group, c.rng.IntN)
	if !found {
		return c.repeat("SELECT 1", deadline, false).outcome
	}
	r := c.repeat(selectKey(key.key), deadline, false)
	old := r.sent.Sub(key.at) > c.run.profile.ViewStaleness
	if bounded && old && r.verdict == answered && r.rows == 0 {
		c.run.collector.violated(func(v *violations) { v.StaleViews++ },
			fmt.Sprintf("%s did not see %s, acknowledged %v before", c.name, key.key, r.sent.Sub(key.at)))
	}
	return r.outcome
}

// transaction reads, inserts and commits.
func (c *client) transaction(deadline time.Time) outcome {
	value := c.nextValue()
	if r := c.repeat("BEGIN", deadline, false); r.verdict != answered {
		return r.outcome
	}
	statements := []string{
		selectKey(value),
		fmt.Sprintf("INSERT INTO kv VALUES ('%s', '%s')", value, value),
	}
	for _, sql := range statements {
		r := c.repeat(sql, deadline, true)
		if r.verdict != answered {
			c.noteCut(r.outcome)
			c.rollBack(value, r)
			return r.outcome
		}
	}
	r := c.sendFree("COMMIT")
	c.noteCut(r.outcome)
	if r.verdict == answered && r.tag != "COMMIT" {
		r.verdict = failed
	}
	c.wrote(value, value, r)
	if r.verdict == answered {
		c.inserted = value
	}
	return r.outcome
}

// noteCut counts a connection that was closed within a transaction.
func (c *client) noteCut(o outcome) {
	if o.code == codeClosed {
		c.run.collector.violated(func(v *violations) { v.Cuts++ }, c.name+" was closed within a transaction")
	}
}

// rollBack ends a transaction that was not committed.
func (c *client) rollBack(value string, r request) {
	r.verdict = refused
	c.wrote(value, "", r)
	if c.conn != nil {
		c.sendFree("ROLLBACK")
	}
}
