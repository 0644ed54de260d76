package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings that the checks use.
const (
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	// configApply is the bound of a configuration.
	configApply = 3 * time.Second
)

// isPromise reports whether a code promises that nothing of the client attempt is kept.
func isPromise(code string) bool {
	switch code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT":
		return true
	}
	return false
}

// attempt is a client's transaction, sent without waiting for the answer to BEGIN.
type attempt struct {
	ids     []string // of BEGIN, WRITE and COMMIT
	answers []answer
}

// refusedBegin: a tenant sends many times its usual, and BEGIN of a transaction is
// refused. None of its writes may be kept.
func refusedBegin(b *testbed, binary string, trouble bool) ([]string, error) {
	routes := []route{{"care-log", "primary", 1000}, {"owner-view", "bounded_staleness", 2000}}
	b.configure(1, routes, []tenant{{"t-0", 20, 20, []string{"key-0"}}, {"t-1", 200, 200, []string{"key-1"}}})
	if err := b.start(binary, 8*time.Millisecond); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	// The tenant's usual is 10 transactions a second, half of its rate; hot_tenant is 7.5
	// times that for 6.5 s.
	const clients, length = 5, 6500 * time.Millisecond
	interval := clients * time.Second / 10
	if trouble {
		interval = interval * 10 / 75
	}
	var mu sync.Mutex
	var attempts []attempt
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for n := range clients {
		wg.Go(func() {
			name := fmt.Sprintf("c%d", n)
			v := b.vms[n%len(b.vms)]
			c, err := b.connect(name, v, "care-log", "key-0")
			if err != nil {
				b.recordf("client %s: %v", name, err)
				return
			}
			for k := 0; time.Now().Before(until); k++ {
				next := time.Now().Add(interval)
				a := attempt{}
				for _, step := range []string{"b", "w", "c"} {
					a.ids = append(a.ids, fmt.Sprintf("%s-%d-%s", name, k, step))
				}
				c.send(a.ids[0]+" BEGIN", a.ids[1]+fmt.Sprintf(" WRITE shelf-%d-%d taken", n, k), a.ids[2]+" COMMIT")
				for _, id := range a.ids {
					got, err := c.receive(id)
					if err != nil {
						break
					}
					a.answers = append(a.answers, got)
				}
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
			c.conn.Close()
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	var broken []string
	refused, kept := 0, 0
	for _, a := range attempts {
		if len(a.answers) == 0 || !isPromise(a.answers[0].code) {
			continue
		}
		refused++
		for _, r := range b.services["ledger"].find(a.ids[1]) {
			if r.committed {
				kept++
				broken = append(broken, fmt.Sprintf("REFUSED: BEGIN %s was answered with %s, and the write %s of the same transaction is committed at %s (transaction %d there, 0 is outside of one)",
					a.ids[0], a.answers[0].code, a.ids[1], r.instance, r.tx))
			}
		}
	}
	b.recordf("%d transactions, BEGIN of %d was refused, the write of %d of these is kept", len(attempts), refused, kept)
	if trouble && refused == 0 {
		return nil, fmt.Errorf("no BEGIN was refused")
	}
	return broken, nil
}

// unread returns the bytes that the VM has not read yet of a client's connection, or an
// error if the system does not tell.
func (c *client) unread() (int64, error) {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	local, remote := hexAddress(c.conn.RemoteAddr().String()), hexAddress(c.conn.LocalAddr().String())
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) > 4 && f[1] == local && f[2] == remote {
			_, rx, _ := strings.Cut(f[4], ":")
			return strconv.ParseInt(rx, 16, 64)
		}
	}
	return 0, fmt.Errorf("no such connection")
}

// hexAddress returns an IPv4 address as /proc/net/tcp writes it.
func hexAddress(address string) string {
	ip, port, _ := strings.Cut(address, ":")
	var n [4]int
	fmt.Sscanf(ip, "%d.%d.%d.%d", &n[0], &n[1], &n[2], &n[3])
	p, _ := strconv.Atoi(port)
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", n[3], n[2], n[1], n[0], p)
}

// outstanding is a request without an answer yet.
type outstanding struct {
	id     string
	sentAt time.Duration
}

// stopPipelined: a VM is stopped as planned while a client has a transaction open there and
// sends each statement before the two previous ones are answered.
func stopPipelined(b *testbed, binary string, trouble bool) ([]string, error) {
	routes := []route{{"care-log", "primary", 1000}, {"owner-view", "bounded_staleness", 2000}}
	b.configure(1, routes, []tenant{{"t-0", 200, 200, []string{"key-0"}}, {"t-1", 200, 200, []string{"key-1"}}})
	if err := b.start(binary, 300*time.Millisecond); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	v := b.vms[1]
	const window, statements = 3, 12
	type session struct {
		c         *client
		unread    int64
		waiting   []outstanding
		connEnded time.Duration // when the connection ended before the last answer
	}
	var sessions []*session
	for n := range 4 {
		c, err := b.connect(fmt.Sprintf("c%d", n), v, "owner-view", "key-0")
		if err != nil {
			return nil, err
		}
		sessions = append(sessions, &session{c: c})
	}
	stopAt := b.since()
	if trouble {
		b.recordf("platform: SIGTERM to %s", v.name)
		_ = v.process.Process.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() {
			b.recordf("platform: SIGKILL to %s", v.name)
			_ = v.process.Process.Signal(syscall.SIGKILL)
		})
	}
	time.Sleep(1900 * time.Millisecond)
	var wg sync.WaitGroup
	for _, s := range sessions {
		wg.Go(func() {
			texts := []string{"BEGIN READ"}
			for k := range statements {
				texts = append(texts, fmt.Sprintf("READ tree-%d", k))
			}
			texts = append(texts, "COMMIT")
			sent := 0
			for {
				for sent < len(texts) && len(s.waiting) < window {
					id := fmt.Sprintf("%s-%d", s.c.name, sent)
					s.c.send(id + " " + texts[sent])
					s.waiting = append(s.waiting, outstanding{id, b.since()})
					sent++
				}
				if len(s.waiting) == 0 {
					return
				}
				a, err := s.c.receive(s.waiting[0].id)
				if err != nil {
					s.connEnded = b.since()
					return
				}
				s.waiting = s.waiting[1:]
				if a.state == "E" { // the client ends the transaction
					texts = append(texts[:sent:sent], "ROLLBACK")
				}
				// The VM has had time to read what was sent a while ago.
				if len(s.waiting) > 0 && b.since()-s.waiting[len(s.waiting)-1].sentAt > 100*time.Millisecond {
					if n, err := s.c.unread(); err == nil {
						s.unread = n
						b.recordf("client %s: %s has %d unread bytes of its connection", s.c.name, v.name, n)
					}
				}
			}
		})
	}
	wg.Wait()
	var broken []string
	for _, s := range sessions {
		if s.connEnded == 0 {
			continue
		}
		for _, o := range s.waiting {
			// The last sixth of the grace period excuses requests of the first three seconds.
			sinceStop := o.sentAt - stopAt
			excused := false
			for _, r := range b.services["ledger"].find(o.id) {
				excused = excused || sinceStop <= 3*time.Second && r.at >= stopAt+grace*5/6
			}
			if age := s.connEnded - o.sentAt; age > lossSlack && age < 2*time.Second && !excused && s.unread == 0 {
				broken = append(broken, fmt.Sprintf("LOST: request %s was sent %.3f s after SIGTERM, and the connection ended %.3f s later without an answer to it",
					o.id, sinceStop.Seconds(), age.Seconds()))
			}
		}
	}
	return broken, nil
}

// revokePipelined: a key is taken away from a connected client that sends each request
// before the two previous ones are answered.
func revokePipelined(b *testbed, binary string, trouble bool) ([]string, error) {
	routes := []route{{"care-log", "primary", 1000}, {"owner-view", "bounded_staleness", 2000}}
	before := []tenant{{"t-0", 200, 200, []string{"key-0", "key-0b"}}, {"t-1", 200, 200, []string{"key-1"}}}
	b.configure(1, routes, before)
	if err := b.start(binary, 300*time.Millisecond); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	const window = 3
	stop := make(chan struct{})
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	var revokedAt time.Duration
	for n := range 6 {
		name := fmt.Sprintf("c%d", n)
		c, err := b.connect(name, b.vms[n%len(b.vms)], "owner-view", "key-0")
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			defer c.conn.Close()
			var waiting []outstanding
			var unread int64
			ending := false
			for sent := 0; ; {
				select {
				case <-stop:
					ending = true
				default:
				}
				for !ending && len(waiting) < window {
					id := fmt.Sprintf("%s-%d", name, sent)
					c.send(fmt.Sprintf("%s READ tree-%d", id, sent))
					waiting = append(waiting, outstanding{id, b.since()})
					sent++
				}
				if len(waiting) == 0 {
					return
				}
				time.Sleep(50 * time.Millisecond)
				if n, err := c.unread(); err == nil {
					unread = n
				}
				a, err := c.receive(waiting[0].id)
				if err != nil {
					ended := b.since()
					mu.Lock()
					defer mu.Unlock()
					inForce := revokedAt > 0 && ended < revokedAt+configApply+time.Second
					for _, o := range waiting {
						// Not a request that has used seven tenths of its time.
						if age := ended - o.sentAt; inForce && unread == 0 && age > lossSlack && age < 1400*time.Millisecond {
							broken = append(broken, fmt.Sprintf("LOST: request %s was read by the VM, and the connection ended %.3f s after it was sent without an answer to it", o.id, age.Seconds()))
						}
					}
					return
				}
				waiting = waiting[1:]
				if a.code == "AUTHFAIL" {
					ending = true // nothing more is sent
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	after := before
	if trouble {
		after = []tenant{{"t-0", 200, 200, []string{"key-0b"}}, {"t-1", 200, 200, []string{"key-1"}}}
	}
	mu.Lock()
	revokedAt = b.since()
	mu.Unlock()
	b.configure(5, routes, after)
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	return broken, nil
}

// revokeInTransaction: a key is taken away from a connected client that has a transaction
// open, with pauses between its statements.
func revokeInTransaction(b *testbed, binary string, trouble bool) ([]string, error) {
	routes := []route{{"care-log", "primary", 1000}, {"owner-view", "bounded_staleness", 2000}}
	before := []tenant{{"t-0", 200, 200, []string{"key-0", "key-0b"}}, {"t-1", 200, 200, []string{"key-1"}}}
	b.configure(1, routes, before)
	if err := b.start(binary, 8*time.Millisecond); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	// The pauses are shorter than the permitted idle time of a transaction (3 s).
	const statements, pause = 12, 1500 * time.Millisecond
	type sentStatement struct {
		id   string
		at   time.Duration
		code string
	}
	var mu sync.Mutex
	var all []sentStatement
	var wg sync.WaitGroup
	for n, v := range b.vms {
		c, err := b.connect(fmt.Sprintf("c%d", n), v, "care-log", "key-0")
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			defer c.conn.Close()
			texts := []string{"BEGIN"}
			for k := range statements {
				texts = append(texts, fmt.Sprintf("WRITE shelf-%d-%d taken", n, k))
			}
			texts = append(texts, "COMMIT")
			for k, text := range texts {
				id := fmt.Sprintf("%s-%d", c.name, k)
				at := b.since()
				c.send(id + " " + text)
				a, err := c.receive(id)
				mu.Lock()
				all = append(all, sentStatement{id, at, a.code})
				mu.Unlock()
				if err != nil || a.code != "COMPLETE" {
					return
				}
				if k > 0 {
					time.Sleep(pause)
				}
			}
		})
	}
	time.Sleep(time.Second)
	after := before
	if trouble {
		after = []tenant{{"t-0", 200, 200, []string{"key-0b"}}, {"t-1", 200, 200, []string{"key-1"}}}
	}
	b.configure(5, routes, after)
	acknowledged := b.since()
	wg.Wait()
	if !trouble {
		for _, s := range all {
			if s.code != "COMPLETE" {
				return []string{fmt.Sprintf("%s was answered with %q", s.id, s.code)}, nil
			}
		}
		return nil, nil
	}
	var broken []string
	for _, s := range all {
		late := s.at - acknowledged
		for _, r := range b.services["ledger"].find(s.id) {
			if late > configApply {
				broken = append(broken, fmt.Sprintf("CONFIG: %s %s was sent %.3f s after the version without its key was acknowledged, and ran at %s",
					s.id, r.text, late.Seconds(), r.instance))
			}
		}
	}
	return broken, nil
}
