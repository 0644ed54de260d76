package connbudget

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	slots      = 6
	handshake  = 12 * time.Millisecond
	maxWait    = 240 * time.Millisecond // a fifth of the time-out of 1.2 s
	customers  = 72
	normalRate = 75.0 // operations a second at the server
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelOp struct {
	arrived time.Duration
	done    bool
}

type modelConn struct {
	owner            *modelCustomer
	starting         bool
	busySince, since time.Duration // since is when it became idle
	busy             bool
}

type modelCustomer struct {
	account                    Account
	weight                     float64
	conns                      []*modelConn
	waiting                    []*modelOp
	asked, refused             int
	longest                    time.Duration
	surge                      float64
	formerLimit, formerForever int
}

// model is one server with the owner of all its connections.
type model struct {
	rng       *rand.Rand
	now       time.Duration
	queue     events
	fair      Server
	limits    Limits
	customers []*modelCustomer
	former    bool // each customer keeps one connection, or opens one when it needs it
	used      int
	slotQueue []func()
	opened    int
	most      int
	begun     time.Time
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.queue, event{m.now + d, do}) }

// takeSlot runs work on the server and then calls done.
func (m *model) takeSlot(work time.Duration, done func()) {
	run := func() {
		m.after(work, func() {
			m.used--
			if len(m.slotQueue) > 0 {
				next := m.slotQueue[0]
				m.slotQueue = m.slotQueue[1:]
				m.used++
				next()
			}
			done()
		})
	}
	if m.used < slots {
		m.used++
		run()
		return
	}
	m.slotQueue = append(m.slotQueue, run)
}

func (m *model) time(d time.Duration) time.Time { return m.begun.Add(d) }

func (m *model) state() []Customer {
	all := make([]Customer, len(m.customers))
	for i, c := range m.customers {
		s := &all[i]
		*s = Customer{Account: &c.account, Weight: c.weight, Open: len(c.conns), Waiting: len(c.waiting)}
		if len(c.waiting) > 0 {
			s.WaitingSince = m.time(c.waiting[0].arrived)
		}
		for _, k := range c.conns {
			switch {
			case k.starting:
				s.Starting++
			case k.busy:
				s.Using += m.now - k.busySince
			default:
				if s.Idle == 0 || m.time(k.since).Before(s.IdleSince) {
					s.IdleSince = m.time(k.since)
				}
				s.Idle++
			}
		}
	}
	return all
}

func (m *model) open(c *modelCustomer) {
	k := &modelConn{owner: c, starting: true}
	c.conns = append(c.conns, k)
	m.opened++
	total := 0
	for _, c := range m.customers {
		total += len(c.conns)
	}
	m.most = max(m.most, total)
	m.takeSlot(handshake, func() {
		k.starting, k.since = false, m.now
		m.serve(k)
	})
}

func (m *model) drop(k *modelConn) {
	c := k.owner
	for i, other := range c.conns {
		if other == k {
			c.conns = append(c.conns[:i:i], c.conns[i+1:]...)
		}
	}
}

func (m *model) dropOldest(c *modelCustomer) {
	var oldest *modelConn
	for _, k := range c.conns {
		if !k.busy && !k.starting && (oldest == nil || k.since < oldest.since) {
			oldest = k
		}
	}
	m.drop(oldest)
}

func (m *model) balance() {
	if m.former {
		for _, c := range m.customers {
			if len(c.waiting) > 0 && len(c.conns) < c.formerLimit {
				m.open(c)
			}
		}
		return
	}
	for {
		a := Next(m.limits, m.state(), m.time(m.now))
		switch a.Kind {
		case Nothing:
			if !a.At.IsZero() {
				m.after(a.At.Sub(m.time(m.now)), m.balance)
			}
			return
		case Open:
			m.open(m.customers[a.Customer])
		case Reclaim:
			m.dropOldest(m.customers[a.Victim])
			m.open(m.customers[a.Customer])
		case Close:
			m.dropOldest(m.customers[a.Victim])
		}
	}
}

func (m *model) arrive(c *modelCustomer) {
	c.asked++
	op := &modelOp{arrived: m.now}
	c.waiting = append(c.waiting, op)
	m.fair.Wait(&c.account)
	m.after(maxWait, func() {
		if !op.done {
			op.done = true
			c.refused++
			c.longest = max(c.longest, maxWait)
			for i, other := range c.waiting {
				if other == op {
					c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
				}
			}
		}
	})
	for _, k := range c.conns {
		if !k.busy && !k.starting {
			m.serve(k)
			return
		}
	}
	m.balance()
}

// serve runs the next operation of the connection's customer.
func (m *model) serve(k *modelConn) {
	c := k.owner
	if len(c.waiting) == 0 {
		m.balance()
		return
	}
	op := c.waiting[0]
	c.waiting = c.waiting[1:]
	op.done = true
	c.longest = max(c.longest, m.now-op.arrived)
	k.busy, k.busySince = true, m.now
	m.fair.Use(&c.account, len(c.waiting) > 0)
	statements, pause := 1, time.Duration(0)
	if m.rng.Float64() < 0.18 {
		statements, pause = 2+m.rng.IntN(11), 60*time.Millisecond
	}
	m.run(k, statements, pause)
}

func (m *model) run(k *modelConn, statements int, pause time.Duration) {
	work := []time.Duration{11, 11, 33, 55}[m.rng.IntN(4)] * time.Millisecond
	if pause > 0 {
		work = 8 * time.Millisecond
	}
	m.takeSlot(work, func() {
		if statements > 1 {
			m.after(pause, func() { m.run(k, statements-1, pause) })
			return
		}
		m.release(k)
	})
}

func (m *model) release(k *modelConn) {
	c := k.owner
	m.fair.Charge(&c.account, c.weight, m.now-k.busySince)
	k.busy, k.since = false, m.now
	if m.former {
		if c.formerForever == 0 && len(c.waiting) == 0 {
			m.drop(k)
			return
		}
		m.serve(k)
		return
	}
	for i := range m.customers {
		if m.customers[i] != c {
			continue
		}
		if waiting := Yield(m.limits, m.state(), i, m.time(m.now)); waiting >= 0 {
			m.drop(k)
			m.open(m.customers[waiting])
			return
		}
	}
	m.serve(k)
}

// newModel returns a server whose owner has the share. The surge multiplies the rate of
// all customers.
func newModel(former bool, share int, surge float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(1, 2)), limits: Limits{Share: share}, former: former, begun: time.Unix(0, 0)}
	total := 0.0
	for i := range customers {
		total += math.Pow(float64(i+1), -1.2)
	}
	for i := range customers {
		rate := normalRate * math.Pow(float64(i+1), -1.2) / total
		use := rate * 0.15
		c := &modelCustomer{weight: use + math.Sqrt(use), surge: surge, formerLimit: 1}
		if i < 49 {
			c.formerForever = 1
		}
		m.customers = append(m.customers, c)
		var next func()
		next = func() {
			m.after(time.Duration(m.rng.ExpFloat64()/(rate*c.surge)*float64(time.Second)), func() {
				m.arrive(c)
				next()
			})
		}
		next()
	}
	return m
}

func (m *model) runFor(d time.Duration) {
	for end := m.now + d; len(m.queue) > 0 && m.queue[0].at < end; {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
}

// refused returns the refused part of the operations of the customers.
func refused(all []*modelCustomer) float64 {
	asked, n := 0, 0
	for _, c := range all {
		asked += c.asked
		n += c.refused
	}
	return float64(n) / float64(max(asked, 1))
}

// Guards against a large customer that waits for its one connection while those of others
// are idle, and against small customers that are refused when all send more or one sends
// many times its usual load. The bounds are between the results of one connection for each
// customer and those of the budget.
func TestLoad(t *testing.T) {
	for _, tt := range []struct {
		name            string
		share           int
		surge, hotSurge float64
		most, mostSmall float64 // refused, of all operations and of those of small customers
	}{
		{"usual", 56, 1, 1, 0.001, 0.001},
		{"burst", 56, 1.7, 1.7, 0.001, 0.001},
		{"burst that needs more slots than there are", 56, 2.2, 2.2, 0.05, 0.05},
		{"one customer at 7.5 times its usual load", 56, 1, 7.5, 0.1, 0.02},
		{"usual, a third of the connections", 20, 1, 1, 0.001, 0.001},
		{"burst, a third of the connections", 20, 1.7, 1.7, 0.03, 0.02},
	} {
		t.Run(tt.name, func(t *testing.T) {
			former, now := newModel(true, tt.share, tt.surge), newModel(false, tt.share, tt.surge)
			for _, m := range []*model{former, now} {
				m.runFor(20 * time.Second)
				m.customers[0].surge = tt.hotSurge
				m.runFor(6 * time.Second)
			}
			small := now.customers[30:]
			t.Logf("refused: %.4f, small customers %.4f, formerly %.4f, %.4f; %d opened, formerly %d",
				refused(now.customers), refused(small), refused(former.customers), refused(former.customers[30:]), now.opened, former.opened)
			if r := refused(now.customers); r > tt.most || r >= refused(former.customers) {
				t.Errorf("%.4f of the operations are refused, formerly %.4f", r, refused(former.customers))
			}
			if r := refused(small); r > tt.mostSmall {
				t.Errorf("%.4f of the operations of small customers are refused", r)
			}
			if now.most > tt.share {
				t.Errorf("%d connections are open, the share is %d", now.most, tt.share)
			}
		})
	}
}

// Guards against a share that rises while the VM that had it before still uses it, and
// against one that goes on after it fell.
func TestShareRisesLate(t *testing.T) {
	var s Share
	now := time.Unix(0, 0)
	for _, step := range []struct {
		after   time.Duration
		planned int
		want    int
	}{{0, 10, 10}, {time.Second, 20, 10}, {riseDelay / 2, 20, 10}, {riseDelay, 20, 20}, {0, 5, 5}, {0, 20, 5}, {riseDelay / 2, 30, 5}, {riseDelay, 30, 30}} {
		now = now.Add(step.after)
		s.Plan(step.planned, now)
		if got := s.At(now); got != step.want {
			t.Errorf("share %d after %+v, want %d", got, step, step.want)
		}
	}
}

// Guards against a last connection that is reclaimed while another customer has spare ones,
// and against floors that other customers use.
func TestReclaim(t *testing.T) {
	now := time.Unix(100, 0)
	idle := func(d time.Duration) time.Time { return now.Add(-d) }
	var account Account
	waiting := Customer{Account: &account, Weight: 1, Waiting: 1, WaitingSince: idle(0)}
	late := waiting
	late.WaitingSince = idle(patience)
	for name, tt := range map[string]struct {
		share     int
		customers []Customer
		want      Action
	}{
		"spare before last": {3, []Customer{late, {Account: &account, Weight: 1, Open: 1, Idle: 1, IdleSince: idle(400 * time.Millisecond)},
			{Account: &account, Weight: 1, Open: 2, Idle: 1, IdleSince: idle(0)}}, Action{Kind: Reclaim, Victim: 2}},
		"minimum idle time": {2, []Customer{waiting, {Account: &account, Weight: 1, Open: 2, Idle: 2, IdleSince: idle(0)}},
			Action{At: now.Add(patience), Missing: 1}},
		"floor":        {2, []Customer{late, {Account: &account, Weight: 1, Floor: 2, Open: 2, Idle: 2, IdleSince: idle(time.Minute)}}, Action{Missing: 1}},
		"unused floor": {2, []Customer{late, {Account: &account, Weight: 1, Floor: 2, Open: 1, Idle: 1, IdleSince: idle(time.Minute)}}, Action{Missing: 1}},
		"share fell":   {1, []Customer{{Account: &account, Weight: 1, Open: 2, Idle: 1, IdleSince: idle(0)}}, Action{Kind: Close}},
	} {
		if got := Next(Limits{Share: tt.share}, tt.customers, now); got != tt.want {
			t.Errorf("%s: %+v, want %+v", name, got, tt.want)
		}
	}
}
