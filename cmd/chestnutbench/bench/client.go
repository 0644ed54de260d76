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
	// clientTimeoutMargin is how long a client waits beyond the route's deadline
	// before it times out.
	clientTimeoutMargin = 2 * time.Second
	// connectTimeout limits one attempt to connect or disconnect.
	connectTimeout = 2 * time.Second
	// queueTimeoutDivisor sets how long a job may wait for a free session: the
	// deadline divided by this number. Without the limit, all jobs of an overloaded
	// customer would be sent too late to be answered in time.
	queueTimeoutDivisor = 2
	// maxRetries limits the retries of a refused request.
	maxRetries = 5
	// minRetryDelay is the delay before the first retry of a request that was
	// refused without a retry hint. It doubles with each retry.
	minRetryDelay = 20 * time.Millisecond
	// refusedKeyRetryDelay is the delay before the next login after the API key was
	// refused.
	refusedKeyRetryDelay = 500 * time.Millisecond
)

// client is one session of a customer on a route. It keeps its connection and
// moves between VMs with its session token.
type client struct {
	run       *run
	name      string
	customer  string
	route     string
	group     string
	rateLimit *rateLimit
	rng       *rand.Rand

	conn  *pgx.Conn
	token string

	valueCount int // values generated so far; makes values unique
	own        ownKey
	inserted   string // key of the last acknowledged insert
}

// ownKey is a key that only this session writes.
type ownKey struct {
	key          string
	version      int // last version sent
	acknowledged int // highest version acknowledged; zero if none
}

// processJobs executes jobs until the queue is closed.
func (c *client) processJobs(jobs <-chan job) {
	_ = c.ensureConnected(time.Now().Add(c.run.profile.Deadline))
	for j := range jobs {
		o, sent := c.execute(j)
		c.run.collector.recordJob(c.customer, j, time.Now(), c.run.profile.Deadline, o, sent)
		if c.rng.Float64() < c.run.load.moveShare {
			c.move()
		}
	}
	c.disconnect()
}

// move disconnects, so that the session continues on a new connection, usually to
// another VM.
func (c *client) move() {
	c.disconnect()
	c.run.collector.recordMove()
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

// ensureConnected connects if the session has no connection, and retries until
// the deadline. It reports whether there is a connection.
func (c *client) ensureConnected(deadline time.Time) bool {
	for c.conn == nil {
		if !time.Now().Before(deadline) {
			return false
		}
		if err := c.connect(); err != nil {
			o := classifyConnectError(err)
			c.run.collector.recordRequest(o, false)
			time.Sleep(reconnectDelay(o))
		}
	}
	return true
}

// reconnectDelay returns the delay after a failed login. It is longer if the API
// key was refused.
func reconnectDelay(o outcome) time.Duration {
	if o.code == codeKeyRefused {
		return refusedKeyRetryDelay
	}
	return minRetryDelay
}

// classifyConnectError classifies a failed login. A lost connection counts as an
// error and not as an interruption, because no request was under way.
func classifyConnectError(err error) outcome {
	o := classifyError(err)
	if o.status == connectionLost {
		o.status, o.code = failed, "connect"
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

// execute executes a job. It reports false if the job was not sent, because it
// waited too long for a free session or for a connection.
func (c *client) execute(j job) (outcome, bool) {
	deadline := j.arrived.Add(c.run.profile.Deadline)
	if time.Since(j.arrived) > c.run.profile.Deadline/queueTimeoutDivisor || !c.ensureConnected(deadline) {
		return outcome{}, false
	}
	switch j.kind {
	case jobReadOwn:
		return c.readOwn(deadline), true
	case jobInsert:
		return c.insert(deadline), true
	case jobAppend:
		return c.append(deadline), true
	case jobUpdate:
		return c.update(deadline), true
	case jobTransaction:
		return c.transaction(deadline), true
	default:
		return c.readAny(deadline, j.kind == jobView), true
	}
}

// response is the outcome of one request and the data that it returned.
type response struct {
	outcome
	sent  time.Time
	value string // first column of the last row
	rows  int
	tag   string // command tag of the last statement
}

// sendWithRetry sends a request and retries it while it is refused as "not run",
// up to maxRetries times and until the deadline. Requests with a refused API key
// are not retried. A request within a transaction is retried only on the
// transaction's connection.
func (c *client) sendWithRetry(sql string, deadline time.Time, inTransaction bool) response {
	delay := minRetryDelay
	for retries := 0; ; retries++ {
		r := c.sendMetered(sql)
		if r.status != refused || r.code == codeKeyRefused || retries >= maxRetries || inTransaction && c.conn == nil {
			return r
		}
		wait := max(r.retryAfter, delay)
		if time.Now().Add(wait).After(deadline) {
			return r
		}
		time.Sleep(wait)
		delay *= 2
		if !c.ensureConnected(deadline) {
			return r
		}
	}
}

// sendMetered sends a request that counts against the customer's rate limit.
func (c *client) sendMetered(sql string) response {
	withinRate := c.rateLimit.allow(time.Now())
	r := c.exec(sql)
	if r.status != refused {
		c.rateLimit.recordExecution(span{r.sent, time.Now()})
		c.run.collector.recordExecution(c.customer, r.sent)
	}
	c.run.collector.recordRequest(r.outcome, withinRate)
	return r
}

// sendUnmetered sends a COMMIT or ROLLBACK, which no rate limit applies to.
func (c *client) sendUnmetered(sql string) response {
	r := c.exec(sql)
	c.run.collector.recordRequest(r.outcome, false)
	return r
}

func (c *client) exec(sql string) response {
	ctx, cancel := context.WithTimeout(context.Background(), c.run.profile.Deadline+clientTimeoutMargin)
	defer cancel()
	r := response{sent: time.Now()}
	results, err := c.conn.PgConn().Exec(ctx, sql).ReadAll()
	r.outcome = classifyError(err)
	if n := len(results); n > 0 {
		r.readResult(results[n-1])
	}
	if t := fleet.Token(c.conn); t != "" {
		c.token = t
	}
	if r.fatal || c.conn.IsClosed() {
		c.disconnect()
	}
	return r
}

func (r *response) readResult(result *pgconn.Result) {
	r.tag = result.CommandTag.String()
	r.rows = len(result.Rows)
	if r.rows > 0 {
		r.value = string(result.Rows[r.rows-1][0])
	}
}

// nextUniqueValue returns a value that no other write of the run uses.
func (c *client) nextUniqueValue() string {
	c.valueCount++
	return fmt.Sprintf("%s.%d", c.name, c.valueCount)
}

// recordWrite records what the response tells about a write. The key is empty
// if there is no key to read back.
func (c *client) recordWrite(value, key string, r response) {
	w := write{group: c.group, value: value, outcome: writeOutcomeOf(r.outcome)}
	c.run.writes.record(w, key, r.sent, time.Now())
}

// writeOutcomeOf returns what the outcome of a write or of a COMMIT tells about
// the write. After an error of the backend server the write had no effect.
func writeOutcomeOf(o outcome) writeOutcome {
	switch o.status {
	case answered:
		return writeAcknowledged
	case refused, failed:
		return writeNotRun
	}
	return writeUnknown
}

func (c *client) insert(deadline time.Time) outcome {
	value := c.nextUniqueValue()
	r := c.sendWithRetry(fmt.Sprintf("INSERT INTO kv VALUES ('%s', '%s')", value, value), deadline, false)
	if r.code == codeDuplicateKey {
		c.run.collector.recordViolation(func(v *violations) { v.Duplicated++ }, "insert reported its own unique key as a duplicate: "+value)
		return r.outcome
	}
	c.recordWrite(value, value, r)
	if r.status == answered {
		c.inserted = value
	}
	return r.outcome
}

func (c *client) append(deadline time.Time) outcome {
	value := c.nextUniqueValue()
	r := c.sendWithRetry(fmt.Sprintf("APPEND log '%s'", value), deadline, false)
	c.recordWrite(value, "", r)
	return r.outcome
}

// update writes the next version of the session's own key. After an unknown
// outcome the session switches to a new key, because the old write may still take
// effect later.
func (c *client) update(deadline time.Time) outcome {
	if c.own.key == "" {
		c.own = ownKey{key: "own-" + c.nextUniqueValue()}
	}
	c.own.version++
	value := fmt.Sprintf("%s.v%d", c.own.key, c.own.version)
	r := c.sendWithRetry(fmt.Sprintf("UPSERT kv ('%s', '%s')", c.own.key, value), deadline, false)
	c.recordWrite(value, c.own.key, r)
	switch writeOutcomeOf(r.outcome) {
	case writeAcknowledged:
		c.own.acknowledged = c.own.version
	case writeUnknown:
		c.own = ownKey{}
	}
	return r.outcome
}

// readOwn reads a key that the session wrote, and checks that the read returns at
// least the last acknowledged write.
func (c *client) readOwn(deadline time.Time) outcome {
	switch {
	case c.own.acknowledged > 0 && (c.inserted == "" || c.rng.IntN(2) == 0):
		r := c.sendWithRetry(selectByKey(c.own.key), deadline, false)
		if r.status == answered && versionOf(r.value) < c.own.acknowledged {
			c.recordStaleRead(fmt.Sprintf("read %q of %s, acknowledged version %d", r.value, c.own.key, c.own.acknowledged))
		}
		return r.outcome
	case c.inserted != "":
		r := c.sendWithRetry(selectByKey(c.inserted), deadline, false)
		if r.status == answered && r.value != c.inserted {
			c.recordStaleRead("did not see its insert of " + c.inserted)
		}
		return r.outcome
	}
	return c.readAny(deadline, false)
}

func (c *client) recordStaleRead(description string) {
	c.run.collector.recordViolation(func(v *violations) { v.StaleReads++ }, c.name+" "+description)
}

// versionOf returns the version in a value that update wrote, or zero if there is
// none.
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

func selectByKey(key string) string { return "SELECT value FROM kv WHERE key = '" + key + "'" }

// readAny reads a key that any session wrote. With bounded staleness, the read
// must see the key if its write was acknowledged longer ago than the bound.
func (c *client) readAny(deadline time.Time, bounded bool) outcome {
	key, found := c.run.writes.pickKey(c.group, c.rng.IntN)
	if !found {
		return c.sendWithRetry("SELECT 1", deadline, false).outcome
	}
	r := c.sendWithRetry(selectByKey(key.key), deadline, false)
	mustSee := r.sent.Sub(key.acknowledgedAt) > c.run.profile.ViewStaleness
	if bounded && mustSee && r.status == answered && r.rows == 0 {
		c.run.collector.recordViolation(func(v *violations) { v.StaleViews++ },
			fmt.Sprintf("%s did not see %s, acknowledged %v before", c.name, key.key, r.sent.Sub(key.acknowledgedAt)))
	}
	return r.outcome
}

// transaction runs a read and an insert in an explicit transaction.
func (c *client) transaction(deadline time.Time) outcome {
	value := c.nextUniqueValue()
	if r := c.sendWithRetry("BEGIN", deadline, false); r.status != answered {
		return r.outcome
	}
	statements := []string{
		selectByKey(value),
		fmt.Sprintf("INSERT INTO kv VALUES ('%s', '%s')", value, value),
	}
	for _, sql := range statements {
		r := c.sendWithRetry(sql, deadline, true)
		if r.status != answered {
			c.recordInterruption(r.outcome)
			c.rollBack(value, r)
			return r.outcome
		}
	}
	r := c.sendUnmetered("COMMIT")
	c.recordInterruption(r.outcome)
	if r.status == answered && r.tag != "COMMIT" {
		r.status = failed
	}
	c.recordWrite(value, value, r)
	if r.status == answered {
		c.inserted = value
	}
	return r.outcome
}

// recordInterruption records a violation if the connection was closed within a
// transaction, before the request was sent.
func (c *client) recordInterruption(o outcome) {
	if o.code == codeClosed {
		c.run.collector.recordViolation(func(v *violations) { v.Interrupted++ }, c.name+": connection closed within a transaction")
	}
}

// rollBack ends a transaction without a commit and records its write as not run.
func (c *client) rollBack(value string, r response) {
	r.status = refused
	c.recordWrite(value, "", r)
	if c.conn != nil {
		c.sendUnmetered("ROLLBACK")
	}
}
