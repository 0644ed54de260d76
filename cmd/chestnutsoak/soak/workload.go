package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/chestnutdyke/chestnutdyke/platform"
	"github.com/chestnutdyke/chestnutdyke/standin/managed"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// workload holds the clients' counters and checks their answers.
type workload struct {
	testbed                  *testbed
	checker                  *managed.Checker
	served, refused, unknown atomic.Int64
	lastWriteAt              atomic.Int64 // Unix nanoseconds of the latest success
}

// awaitRecovery waits until a write succeeds at least 1 s after the call, and reports
// whether that happened within maxRecoveryTime.
func (w *workload) awaitRecovery() bool {
	from := time.Now()
	for time.Since(from) < maxRecoveryTime {
		if w.lastWriteAt.Load() > from.Add(time.Second).UnixNano() {
			return true
		}
		time.Sleep(clientInterval)
	}
	return false
}

// runClient writes and reads its own item until ctx is done. It starts at the VM
// with index home and goes to the next VM whenever its session fails.
func (w *workload) runClient(ctx context.Context, home, number int) {
	group := number % groupCount
	item := fmt.Sprintf("item-%d", number)
	value := 0
	for attempt := 0; ctx.Err() == nil; attempt++ {
		kind, bound := managed.Latest, time.Duration(0)
		if attempt%2 == 1 {
			kind, bound = managed.Own, readYourWritesStaleness
		}
		vm := w.testbed.vms[(home+attempt)%len(w.testbed.vms)].name
		name := fmt.Sprintf("%d-%d", number, attempt)
		w.checker.RecordSession(name, managed.CustomerName(number%customerCount), managed.GroupName(group))
		c, err := w.connect(vm, managed.Database(kind, group), number%customerCount, name)
		if err != nil {
			time.Sleep(clientInterval)
			continue
		}
		g := w.testbed.groups[managed.GroupName(group)]
		for usable := true; usable && ctx.Err() == nil; time.Sleep(clientInterval) {
			if rand.Float64() < txShare {
				usable = w.runTransaction(c, g, item, &value)
			} else {
				usable = w.writeAndRead(c, g, item, &value, bound)
			}
		}
		c.conn.Close()
	}
}

// writeAndRead writes the next value and reads it back. It reports whether the
// session is still usable.
func (w *workload) writeAndRead(c *client, g *managed.Group, item string, value *int, bound time.Duration) bool {
	*value++
	id, a := c.send(statement.Write, fmt.Sprintf("%s %d", item, *value))
	w.checker.RecordWrite(g, item, *value, id, a.Code)
	w.count(a.Code)
	if a.Code == statement.OK {
		w.lastWriteAt.Store(time.Now().UnixNano())
		bound = 0 // a session must see its own acknowledged write
	}
	if a.Code == statement.Lost {
		return false
	}
	start := time.Now()
	_, a = c.send(statement.Read, item)
	w.count(a.Code)
	if a.Code == statement.OK {
		w.checker.CheckRead(g, item, bound, start, a)
	}
	return a.Code != statement.Lost
}

// runTransaction writes the next two values in a transaction, with a pause between them.
// It reports whether the session is still usable.
func (w *workload) runTransaction(c *client, g *managed.Group, item string, value *int) bool {
	if _, a := c.send(statement.Begin, ""); a.Code != statement.OK {
		w.count(a.Code)
		return a.Code != statement.Lost
	}
	type write struct {
		id    string
		value int
	}
	var writes []write
	var a statement.Answer
	for range 2 {
		*value++
		var id string
		id, a = c.send(statement.Write, fmt.Sprintf("%s %d", item, *value))
		writes = append(writes, write{id, *value})
		w.count(a.Code)
		if a.Code != statement.OK {
			break
		}
		time.Sleep(rand.N(maxTxPause))
	}
	switch a.Code {
	case statement.Lost:
	case statement.OK:
		_, a = c.send(statement.Commit, "")
		w.count(a.Code)
	default:
		c.send(statement.Rollback, "")
	}
	for _, wr := range writes {
		w.checker.RecordWrite(g, item, wr.value, wr.id, a.Code)
	}
	return a.Code != statement.Lost
}

func (w *workload) count(code statement.Code) {
	switch code {
	case statement.OK:
		w.served.Add(1)
	case statement.Lost, statement.InDoubt, statement.Timeout:
		w.unknown.Add(1)
	default:
		w.refused.Add(1)
	}
}

// client is a client's connection to a VM.
type client struct {
	conn   net.Conn
	r      *bufio.Reader
	name   string
	lastID int
}

func (w *workload) connect(vm, database string, customer int, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", w.testbed.clientProxies[vm].address(), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn), name: name}
	conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err = conn.Write(platform.Client{}.AppendStart(nil, database, managed.Key(customer))); err == nil {
		var a statement.Answer
		if a, err = (platform.Client{}).ReadStarted(c.r); err == nil && a.Code != statement.OK {
			err = fmt.Errorf("session refused: %s", a.Code)
		}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// send executes a statement and returns its ID and answer. If the connection fails
// or callTimeout passes, the answer has the code Lost.
func (c *client) send(verb statement.Verb, payload string) (string, statement.Answer) {
	c.lastID++
	id := fmt.Sprintf("%s/%d", c.name, c.lastID)
	c.conn.SetDeadline(time.Now().Add(callTimeout))
	command := statement.Command{ID: id, Verb: verb, Payload: payload}
	if _, err := c.conn.Write(platform.Client{}.AppendCommand(nil, &command)); err != nil {
		return id, statement.Refusal(statement.Lost, err.Error())
	}
	a, err := platform.Client{}.ReadAnswer(c.r)
	if err != nil {
		return id, statement.Refusal(statement.Lost, err.Error())
	}
	return id, a
}
