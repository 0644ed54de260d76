package sqlback

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutdyke/chestnutdyke/coordination/classqueue"
	"github.com/chestnutdyke/chestnutdyke/state/catalog"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
	"github.com/chestnutdyke/chestnutdyke/transport/clock"
)

// classLabels is the number of values of the metric label "class". The last one stands
// for all lower classes.
const classLabels = 8

// refusalTexts are the answers to clients.
var refusalTexts = [classqueue.NumReasons]string{
	classqueue.HeldBack:  "the server is needed for more urgent statements",
	classqueue.TooLate:   "it could not be answered in time",
	classqueue.QueueFull: "too many statements wait for a connection",
	classqueue.WaitOver:  "all connections are in use",
}

// admissionControl holds the pressure at the backend servers and the metrics of
// operations by class. Executor.mu guards it.
type admissionControl struct {
	pressures map[string]*classqueue.Pressure // by server; only those with statements that have a class

	refused  [classLabels][classqueue.NumReasons]tally.Counter
	heldBack [classLabels]tally.Counter
	waiting  [classLabels]tally.Gauge
	pressed  tally.Gauge // servers under pressure
}

func newAdmissionControl(scope tally.Scope) admissionControl {
	a := admissionControl{pressures: make(map[string]*classqueue.Pressure), pressed: scope.Gauge("servers_under_pressure")}
	for i := range classLabels {
		name := strconv.Itoa(i)
		if i == classLabels-1 {
			name = "lower"
		}
		tagged := scope.Tagged(map[string]string{"class": name})
		a.heldBack[i], a.waiting[i] = tagged.Counter("statements_held_back"), tagged.Gauge("statements_waiting")
		for reason := range classqueue.NumReasons {
			a.refused[i][reason] = tagged.Tagged(map[string]string{"reason": reason.String()}).Counter("statements_refused")
		}
	}
	return a
}

// classLabel returns the index of the class in the metrics. Priorities of customers are
// not distinguished there.
func classLabel(c statement.Class) int { return min(max(c.Route, 0), classLabels-1) }

// pressureAt returns the pressure at the server, adjusted to now. The caller holds mu.
func (e *Executor) pressureAt(server string, now time.Duration) *classqueue.Pressure {
	p := e.admission.pressures[server]
	if p == nil {
		p = classqueue.NewPressure(now)
		e.admission.pressures[server] = p
	}
	e.advancePressure(server, p, now)
	return p
}

func (e *Executor) advancePressure(server string, p *classqueue.Pressure, now time.Duration) {
	fields := log.Fields{"server": server, "delay_ms": p.Delay(now).Milliseconds()}
	switch p.Advance(now) {
	case classqueue.Began:
		e.logger.WithFields(fields).Warn("backend: server under pressure, lower classes are held back.")
	case classqueue.Ended:
		e.logger.WithFields(fields).Info("backend: pressure at the server ended.")
	}
}

// request returns the job as input of a decision at now.
func (j *job) request(now time.Duration) classqueue.Request {
	a := *j.stmt.Admission
	waited := now - j.arrivedAt
	a.Objective = max(a.Objective-waited, 0)
	return classqueue.Request{
		Admission: a, Kind: statementKind(j.stmt, &a), Timeout: max(j.stmt.Timeout-waited, 0), Wait: j.remainingWait(), Held: j.held,
	}
}

// remainingWait returns how long the job may still wait for a connection.
func (j *job) remainingWait() time.Duration {
	if !j.held {
		return j.stmt.Wait
	}
	return max(j.stmt.Wait-(clock.Now()-j.arrivedAt), 0)
}

func statementKind(w *statement.RemoteStatement, a *statement.Admission) classqueue.Kind {
	return classqueue.Kind{Route: a.Kind, Verb: w.Command.Verb, Writes: w.Writes(), InTx: w.Tx != 0 || w.BeginsTx}
}

// holdBack holds a job back or refuses it if its class must make room for higher ones. It
// reports whether it did. The caller holds mu.
func (e *Executor) holdBack(j *job) bool {
	if j.stmt.Admission == nil {
		return false
	}
	now := clock.Now()
	p := e.pressureAt(j.stmt.Server, now)
	r := j.request(now)
	if !j.held {
		p.Arrived(r.Admission.Class, r.Admission.Objective, now)
	}
	v := p.HoldBack(r, rand.Float64)
	switch {
	case v.Hold > 0:
		j.held = true
		e.admission.heldBack[classLabel(j.class())].Inc(1)
		time.AfterFunc(v.Hold, func() { e.post(func() { e.resume(j) }) })
		return true
	case v.Refuse:
		e.refuse(j, v)
		return true
	}
	return false
}

// resume decides again on a job that was held back.
func (e *Executor) resume(j *job) {
	server := e.table.Current().Servers[j.stmt.Server]
	e.mu.Lock()
	defer e.mu.Unlock()
	if !j.finished {
		e.place(j, server)
	}
}

// refuseIfLate refuses a job that has no chance to be answered in time. It reports whether
// it did. The caller holds mu.
func (e *Executor) refuseIfLate(j *job, p *serverPool, hasConn bool) bool {
	if j.stmt.Admission == nil {
		return false
	}
	now := clock.Now()
	pressure := e.pressureAt(p.key.server, now)
	r := j.request(now)
	var place classqueue.Place
	if !hasConn {
		place = classqueue.Place{Ahead: p.waiting.Ahead(j.class()) + 1, Serving: p.servingCount()}
	}
	v := pressure.CheckDeadline(r, place, now, rand.Float64())
	if v.Refuse && !hasConn {
		v = pressure.CheckDeadline(r, e.placeAt(p.key.server, j.class()), now, rand.Float64())
	}
	if v.Refuse {
		e.refuse(j, v)
		return true
	}
	j.startBy = pressure.StartBy(r, now)
	return false
}

// placeAt returns the place of a statement among those of all customers that wait here for
// a connection to the server. A statement that is late among those of its own customer may
// get a connection that another customer does not need. The caller holds mu.
func (e *Executor) placeAt(server string, class statement.Class) classqueue.Place {
	place := classqueue.Place{Ahead: 1}
	b := e.budget(server)
	open := 0
	for _, p := range b.pools {
		place.Ahead += p.waiting.Ahead(class)
		place.Serving += p.servingCount()
		open += len(p.conns)
	}
	// Connections that may still be opened serve waiting statements too.
	place.Serving += max(b.adjustedShare(time.Now())-open, 0)
	return place
}

// servingCount returns the number of connections that will be free after a statement.
// Those with a transaction are not, since its client decides when it ends.
func (p *serverPool) servingCount() int {
	n := 0
	for _, c := range p.conns {
		if c.tx == 0 && (c.job == nil || !c.job.stmt.BeginsTx) {
			n++
		}
	}
	return n
}

// makeRoom refuses a waiting job of a lower class than j if too many wait, or j if there
// is none. It reports whether j may wait. The caller holds mu.
func (e *Executor) makeRoom(j *job, p *serverPool) bool {
	if p.waitingCount() < maxWaitingJobs {
		return true
	}
	refused := j
	if displaced, ok := p.waiting.Displace(j.class()); ok {
		refused = displaced
	}
	e.refuseFor(refused, classqueue.QueueFull, refusalTexts[classqueue.QueueFull])
	return refused != j
}

// refuseFor refuses a job for a reason that depends on this VM's connections. The caller
// holds mu.
func (e *Executor) refuseFor(j *job, why classqueue.Reason, text string) {
	v := classqueue.Verdict{Refuse: true, Reason: why}
	if j.stmt.Admission != nil {
		now := clock.Now()
		v = e.pressureAt(j.stmt.Server, now).Refusal(j.request(now), why, rand.Float64())
	}
	e.refuseWith(j, v, text)
}

// refuse refuses a job. The caller holds mu.
func (e *Executor) refuse(j *job, v classqueue.Verdict) { e.refuseWith(j, v, refusalTexts[v.Reason]) }

func (e *Executor) refuseWith(j *job, v classqueue.Verdict, text string) {
	r := statement.Result{Answer: statement.Refusal(statement.Busy, text)}
	if j.stmt.Admission != nil {
		r.RetryAfter = v.RetryAfter
		if !j.finished {
			e.admission.refused[classLabel(j.class())][v.Reason].Inc(1)
		}
	}
	e.finishResult(j, r)
}

// observeAnswer records how long the connection's statement took at the server, or that
// the server refused it for lack of room. The caller holds mu.
func (e *Executor) observeAnswer(c *conn, a *statement.Answer) {
	j := c.job
	if c.admission == nil {
		return
	}
	now := clock.Now()
	switch {
	case a.Code == statement.Busy:
		e.pressureAt(c.pool.key.server, now).Shed(now)
	case a.Code == statement.OK && !e.waitsForReplicas(c.pool.group, j.stmt):
		e.pressureAt(c.pool.key.server, now).Answered(statementKind(j.stmt, c.admission), now-j.sentAt, now)
	}
}

// observeTimeout records that the connection's statement was not answered within its
// time-out. The caller holds mu.
func (e *Executor) observeTimeout(c *conn) {
	if c.admission != nil {
		now := clock.Now()
		e.pressureAt(c.pool.key.server, now).Shed(now)
	}
}

// waitsForReplicas reports whether the time of the statement contains the replication of
// a commit, which says nothing about the server's load.
func (e *Executor) waitsForReplicas(group string, w *statement.RemoteStatement) bool {
	commits := w.Command.Verb == statement.Commit || w.Writes() && w.Tx == 0 && !w.BeginsTx
	config := e.table.Current().Config
	if !commits || config == nil {
		return false
	}
	g := config.Group(group)
	return g != nil && g.SyncReplicas > 0
}

// retryAfterBusy returns when a caller should retry whose statement the server refused for
// lack of room. It is zero for the highest class, which is tried again at once.
func (e *Executor) retryAfterBusy(j *job) time.Duration {
	if j.stmt.Admission == nil || j.stmt.Tx != 0 {
		return 0
	}
	now := clock.Now()
	p := e.pressureAt(j.stmt.Server, now)
	if p.IsHighest(j.class()) {
		return 0
	}
	return p.Refusal(j.request(now), classqueue.HeldBack, rand.Float64()).RetryAfter
}

// sweepAdmission adjusts the pressure at all servers, forgets servers that are gone, and
// updates the gauges. The caller holds mu.
func (e *Executor) sweepAdmission(d *catalog.Deployment) {
	now := clock.Now()
	pressed := 0
	for server, p := range e.admission.pressures {
		e.advancePressure(server, p, now)
		if p.Pressed() {
			pressed++
		} else if d.Servers[server] == nil {
			delete(e.admission.pressures, server)
		}
	}
	e.admission.pressed.Update(float64(pressed))
	var waiting [classLabels]int
	for _, p := range e.pools {
		for j := range p.waiting.All() {
			waiting[classLabel(j.class())]++
		}
	}
	for i, n := range waiting {
		e.admission.waiting[i].Update(float64(n))
	}
}
