package managed

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// load runs clients against a deployment and checks their answers.
type load struct {
	t *testing.T
	d *Deployment

	checker *Checker
	vmNames []string // sorted

	mu      sync.Mutex // guards the fields below
	codes   map[statement.Code]int
	reasons map[string]int           // number of refusals by code and text
	lastOK  map[string]time.Time     // time of the last success, by database
	maxGap  map[string]time.Duration // longest time between successes, by database
	stop    bool
	clients sync.WaitGroup
}

// startLoad starts a writer and three readers on every VM. The VMs take turns in the
// customer and the group that they work for.
func startLoad(t *testing.T, d *Deployment) *load {
	return startLoadOn(t, d, slices.Sorted(maps.Keys(d.VMs)))
}

// startLoadOn is like startLoad on the named VMs only.
func startLoadOn(t *testing.T, d *Deployment, vmNames []string) *load {
	l := &load{
		t: t, d: d, checker: NewChecker(), codes: make(map[statement.Code]int), reasons: make(map[string]int),
		lastOK: make(map[string]time.Time), maxGap: make(map[string]time.Duration),
	}
	n := 0
	l.vmNames = vmNames
	for _, name := range l.vmNames {
		customer := n % d.Customers
		group := n % d.Options.Groups
		n++
		item := "item-" + name
		l.clients.Go(func() { l.write(name, item, customer, group) })
		for _, kind := range []string{Latest, Bounded, Own} {
			l.clients.Go(func() { l.read(name, kind, item, customer, group) })
		}
	}
	return l
}

// finish stops the clients and fails the test for every violation that the checker
// found.
func (l *load) finish() {
	l.t.Helper()
	l.mu.Lock()
	l.stop = true
	l.mu.Unlock()
	l.clients.Wait()
	for _, v := range l.checker.Violations(l.d.Groups) {
		l.t.Error(v)
	}
}

func (l *load) stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stop
}

// recordSuccess records a success on the database and the time since the previous
// one.
func (l *load) recordSuccess(database string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, known := l.lastOK[database]; known {
		l.maxGap[database] = max(l.maxGap[database], now.Sub(last))
	}
	l.lastOK[database] = now
}

// countAnswer counts the answer by code and, if it is a refusal, by text.
func (l *load) countAnswer(a statement.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[a.Code]++
	if a.Code != statement.OK {
		l.reasons[a.Code.String()+": "+a.Text]++
	}
}

// runSessions opens a session, preferably on the VM home, calls f with it, and starts
// over on the next VM when f returns, until the load stops.
func (l *load) runSessions(name, home, database string, customer, group int, f func(c *Client)) {
	vmNames := append([]string{home}, l.vmNames...)
	for i := 0; !l.stopped(); i++ {
		vm := l.d.VM(vmNames[i%len(vmNames)])
		if !vm.Node.Ready() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		session := fmt.Sprintf("%s-%d", name, i)
		l.checker.RecordSession(session, CustomerName(customer), GroupName(group))
		c, _ := vm.Connect(session, database, customer)
		if c == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		f(c)
		c.Close()
	}
}

// requestInterval is the pause of a client between two requests.
const requestInterval = 30 * time.Millisecond

// write writes ascending values of an item. Every fourth write is in a transaction.
func (l *load) write(home, item string, customer, group int) {
	g := l.d.Groups[GroupName(group)]
	database := Database(Latest, group)
	value := 0
	l.runSessions("w-"+home, home, database, customer, group, func(c *Client) {
		for !l.stopped() {
			value++
			id, a := l.writeOnce(c, fmt.Sprintf("%s %d", item, value), value%4 == 0)
			l.countAnswer(a)
			l.checker.RecordWrite(g, item, value, id, a.Code)
			switch a.Code {
			case statement.OK:
				l.recordSuccess(database)
			case statement.Lost:
				return
			}
			time.Sleep(requestInterval)
		}
	})
}

// writeOnce writes outside or inside a transaction, and returns the write's id and
// the answer that decides its outcome.
func (l *load) writeOnce(c *Client, payload string, inTx bool) (string, statement.Answer) {
	if !inTx {
		return c.Do(statement.Write, payload)
	}
	if id, a := c.Do(statement.Begin, ""); a.Code != statement.OK {
		return id, a
	}
	id, a := c.Do(statement.Write, payload)
	if a.Code != statement.OK {
		if a.Code != statement.Lost {
			c.Do(statement.Rollback, "")
		}
		return id, a
	}
	_, a = c.Do(statement.Commit, "")
	return id, a
}

// maxStaleness is the age of commits that reads may miss, by kind of route. It
// matches publishInitialConfig.
var maxStaleness = map[string]time.Duration{Latest: 0, Bounded: time.Second, Own: 2 * time.Second}

// read reads an item repeatedly and has the checker check each answer.
func (l *load) read(home, kind, item string, customer, group int) {
	g := l.d.Groups[GroupName(group)]
	database := Database(kind, group)
	l.runSessions("r-"+kind+"-"+home, home, database, customer, group, func(c *Client) {
		for !l.stopped() {
			sentAt := time.Now()
			_, a := c.Do(statement.Read, item)
			l.countAnswer(a)
			switch a.Code {
			case statement.OK:
				l.recordSuccess(database)
				l.checker.CheckRead(g, item, maxStaleness[kind], sentAt, a)
			case statement.Lost:
				return
			}
			time.Sleep(requestInterval)
		}
	})
}

// longestGap returns the longest time between two successful requests on any database
// of a kind of route. The time after the last success does not count.
func (l *load) longestGap(kind string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := time.Duration(0)
	for g := range l.d.Options.Groups {
		longest = max(longest, l.maxGap[Database(kind, g)])
	}
	return longest
}
