package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime     = 6 * time.Second // graceS
	latestStart   = 3 * time.Second // requests sent later than this after SIGTERM have no excuse
	pipelineDepth = 2               // requests without an answer
)

// pipelined is a request that a client sent without waiting for the answer to the one
// before.
type pipelined struct {
	client   string
	id       string
	sentAt   time.Time
	answered bool
}

// pipelineClient keeps pipelineDepth requests open on one session.
type pipelineClient struct {
	name     string
	conn     net.Conn
	r        *bufio.Reader
	record   *recorder
	requests []*pipelined
	endedAt  time.Time // the connection ended; zero if the client ended it
}

// run sends requests until stop is closed, or the connection ends.
func (c *pipelineClient) run(stop <-chan struct{}) {
	defer c.conn.Close()
	answered, stopped := 0, false
	for {
		for !stopped && len(c.requests)-answered < pipelineDepth {
			p := &pipelined{client: c.name, id: newID(), sentAt: time.Now()}
			c.requests = append(c.requests, p)
			// A failure shows when the answer is read.
			_, _ = fmt.Fprintf(c.conn, "QUERY %s WRITE o1a4 data\r\n", p.id)
		}
		if answered == len(c.requests) {
			return
		}
		if err := c.readAnswer(); err != nil {
			c.endedAt = time.Now()
			c.record.add("client %s: the connection ended, %d requests have no answer: %v", c.name, len(c.requests)-answered, err)
			return
		}
		c.requests[answered].answered = true
		answered++
		select {
		case <-stop:
			stopped = true
		default:
		}
	}
}

func (c *pipelineClient) readAnswer() error {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return err
		}
		line, err := readWireLine(c.r)
		if err != nil || strings.HasPrefix(line, "READY ") {
			return err
		}
	}
}

// plannedStop sends SIGTERM to a VM whose clients pipeline their requests.
func plannedStop(tb *testbed, trouble bool) error {
	_, front, _, err := smallDeployment(tb)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var clients []*pipelineClient
	for i := range 6 {
		c, err := dial(tb.record, fmt.Sprintf("batch-%d", i), front.front(), testRoutes[0].Database, testTenants[i%2].Key)
		if err != nil {
			return err
		}
		clients = append(clients, &pipelineClient{name: c.name, conn: c.conn, r: c.r, record: tb.record})
	}
	var running sync.WaitGroup
	stop := make(chan struct{})
	for _, c := range clients {
		running.Go(func() { c.run(stop) })
	}
	time.Sleep(time.Second)
	signalled := time.Now()
	if trouble {
		tb.record.add("vm %s: SIGTERM", front.name)
		if err := front.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-front.ended:
			tb.record.add("vm %s: ended %d ms after SIGTERM", front.name, time.Since(signalled).Milliseconds())
		case <-time.After(graceTime):
			tb.kill(front)
		}
	} else {
		time.Sleep(graceTime)
	}
	close(stop)
	running.Wait()
	time.Sleep(200 * time.Millisecond)
	for _, c := range clients {
		checkPlannedStop(tb.record, c, signalled)
	}
	return nil
}

// checkPlannedStop checks LOST for the requests of a client.
func checkPlannedStop(rec *recorder, c *pipelineClient, signalled time.Time) {
	ran := make(map[string]runLine)
	for _, l := range rec.allRun() {
		ran[l.id] = l
	}
	for _, p := range c.requests {
		line, passedOn := ran[p.id]
		if p.answered || !passedOn {
			continue
		}
		after := p.sentAt.Sub(signalled)
		excused := after < latestStart && c.endedAt.Sub(signalled) > graceTime*5/6
		if after < 0 || excused || c.endedAt.Sub(signalled) > graceTime+time.Second {
			continue
		}
		rec.broken("LOST: %s of client %s was sent %d ms after SIGTERM and passed on to %s; the connection ended %d ms after it was sent, without an answer",
			p.id, p.client, after.Milliseconds(), line.server, c.endedAt.Sub(p.sentAt).Milliseconds())
	}
}
