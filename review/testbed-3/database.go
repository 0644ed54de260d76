package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// entryLifetime is how long an entry in the store stays without being written.
	entryLifetime = 3 * heartbeat
	// promoteDelay is the time from an accepted order until the server leads.
	promoteDelay   = 300 * time.Millisecond
	slotsPerServer = 3
	queuePerServer = 24
	workTime       = 4 * time.Millisecond
	handshakeTime  = 10 * time.Millisecond
	// receiveDelay is the time that a record takes to another data centre.
	receiveDelay    = 1500 * time.Microsecond
	catchUpInterval = 10 * time.Millisecond
)

// entry is a committed write.
type entry struct {
	id    string // of the statement that committed it
	term  uint64
	acked time.Time // when the server sent the success; zero if it has not
}

// group is a database group.
type group struct {
	name     string
	sync     int // replicas that must have received a commit before it is acknowledged
	maxConns int
	rec      *recorder

	mu       sync.Mutex
	received *sync.Cond // signalled when a log or a role changes
	term     uint64
	servers  []*server
	fence    uint64 // highest fencing token of an order that was carried out
	lost     []string
}

// server is one instance of a group.
type server struct {
	group   *group
	id      string
	zone    string
	address string
	store   *store

	// The group's mu guards the fields below.
	up, primary, deaf, paused bool
	log                       []*entry
	conns                     map[net.Conn]bool
	listener                  net.Listener
	born                      int64
	seq                       int
	wroteAt                   time.Time // its latest entry in the store
	busy, waiting             int
	slotFree                  *sync.Cond
}

func newGroup(name string, sync_, maxConns int, rec *recorder) *group {
	g := &group{name: name, sync: sync_, maxConns: maxConns, rec: rec, term: 3}
	g.received = sync.NewCond(&g.mu)
	return g
}

func (g *group) add(id, zone, address string, primary bool, st *store) *server {
	s := &server{group: g, id: id, zone: zone, address: address, primary: primary, store: st, conns: make(map[net.Conn]bool)}
	s.slotFree = sync.NewCond(&g.mu)
	g.servers = append(g.servers, s)
	return s
}

// start makes the server listen, and register itself until it is stopped.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	g := s.group
	g.mu.Lock()
	s.listener, s.up, s.born, s.seq = l, true, time.Now().UnixMilli(), 0
	g.mu.Unlock()
	s.register()
	go s.beat(l)
	go s.accept(l)
	go s.receive(l)
	return nil
}

// crash ends the server at once. Its log stays.
func (s *server) crash() {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.up = false
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	clear(s.conns)
	g.received.Broadcast()
	g.rec.add("server %s crashed, primary %v, log %s", s.id, s.primary, s.end())
	time.AfterFunc(time.Until(s.wroteAt.Add(entryLifetime)), s.expire)
}

// expire removes the entry of a server that has been silent.
func (s *server) expire() {
	s.group.mu.Lock()
	silent := !s.up && time.Since(s.wroteAt) >= entryLifetime
	s.group.mu.Unlock()
	if silent {
		s.store.remove("servers", s.id)
		s.group.rec.add("platform: the entry of server %s is removed", s.id)
	}
}

func (s *server) register() {
	g := s.group
	g.mu.Lock()
	s.seq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	spec := message("server.tmpl", map[string]any{"Service": g.name, "Address": s.address, "Zone": s.zone, "Slots": slotsPerServer,
		"Role": role, "Seq": s.seq, "Born": s.born})
	up := s.up
	if up {
		s.wroteAt = time.Now()
	}
	g.mu.Unlock()
	if up {
		s.store.put("servers", s.id, spec)
	}
}

func (s *server) beat(l net.Listener) {
	for {
		time.Sleep(heartbeat)
		s.group.mu.Lock()
		running := s.up && s.listener == l
		s.group.mu.Unlock()
		if !running {
			return
		}
		s.register()
	}
}

// receive makes a replica catch up with the primary.
func (s *server) receive(l net.Listener) {
	g := s.group
	for {
		time.Sleep(catchUpInterval)
		g.mu.Lock()
		if !s.up || s.listener != l {
			g.mu.Unlock()
			return
		}
		if p := g.primary(); p != nil && p != s && p.up {
			s.receiveUpTo(p, len(p.log))
		}
		g.mu.Unlock()
	}
}

// receiveUpTo gives the replica the primary's log up to n. The caller holds mu.
func (s *server) receiveUpTo(p *server, n int) {
	if !s.up || s.deaf || s.paused || s.primary || n > len(p.log) || len(s.log) >= n {
		return
	}
	s.log = append([]*entry(nil), p.log[:n]...)
	s.group.received.Broadcast()
}

func (g *group) primary() *server {
	for _, s := range g.servers {
		if s.primary {
			return s
		}
	}
	return nil
}

// end returns the end of the server's log as TERM.NUMBER. The caller holds mu.
func (s *server) end() string {
	if len(s.log) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", s.log[len(s.log)-1].term, len(s.log))
}

// contains reports whether the log has the position. The caller holds mu.
func (s *server) contains(point string) bool {
	t, n, _ := strings.Cut(point, ".")
	term, err1 := strconv.ParseUint(t, 10, 64)
	number, err2 := strconv.Atoi(n)
	if err1 != nil || err2 != nil || number > len(s.log) {
		return false
	}
	return number == 0 || s.log[number-1].term == term
}

// order carries out a promotion and returns the status of its answer.
func (g *group) order(id string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *server
	for _, s := range g.servers {
		if s.id == id {
			target = s
		}
	}
	if token < g.fence || target == nil || !target.up {
		return 409
	}
	g.fence = token
	if target.primary {
		return 200
	}
	time.AfterFunc(promoteDelay, func() { g.promote(target) })
	return 200
}

// promote makes the server the primary, with what it has received.
func (g *group) promote(s *server) {
	g.mu.Lock()
	if !s.up || s.primary {
		g.mu.Unlock()
		return
	}
	g.term++
	has := make(map[string]bool, len(s.log))
	for _, e := range s.log {
		has[e.id] = true
	}
	old := g.primary()
	if old != nil {
		for _, e := range old.log {
			if !e.acked.IsZero() && !has[e.id] && g.sync > 0 {
				g.lost = append(g.lost, e.id)
				g.rec.add("LOST candidate: commit %s, acknowledged by %s, is not in the log of %s, which is promoted", e.id, old.id, s.id)
			}
		}
	}
	for _, other := range g.servers {
		g.rec.add("group %s term %d: %s leads; log of %s is %s (deaf %v)", g.name, g.term, s.id, other.id, other.end(), other.deaf)
		wasPrimary := other.primary
		other.primary = other == s
		other.paused = other.paused && other != s
		if len(other.log) > len(s.log) || wasPrimary {
			other.log = other.log[:commonPrefix(other.log, s.log)]
		}
		if wasPrimary != other.primary {
			go other.register()
		}
	}
	g.received.Broadcast()
	g.mu.Unlock()
}

func commonPrefix(a, b []*entry) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		g := s.group
		g.mu.Lock()
		full := len(s.conns) >= g.maxConns
		if !s.up {
			c.Close()
		} else if !full {
			s.conns[c] = true
		}
		g.mu.Unlock()
		if full {
			fmt.Fprint(c, "ERROR CONNLIMIT too many\r\n")
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// work occupies a slot for the time of a statement. It reports false if the queue is full.
func (s *server) work(d time.Duration) bool {
	g := s.group
	g.mu.Lock()
	if s.busy >= slotsPerServer {
		if s.waiting >= queuePerServer {
			g.mu.Unlock()
			return false
		}
		s.waiting++
		for s.busy >= slotsPerServer {
			s.slotFree.Wait()
		}
		s.waiting--
	}
	s.busy++
	g.mu.Unlock()
	time.Sleep(d)
	g.mu.Lock()
	s.busy--
	s.slotFree.Signal()
	g.mu.Unlock()
	return true
}

var signatures atomic.Uint64

// dbSession is the state of one connection to a server.
type dbSession struct {
	s                      *server
	c                      net.Conn
	tenant                 string
	inTx, failed, readOnly bool
	writes                 bool
	prepared               map[string]bool // name to whether it writes
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.group.mu.Lock()
		delete(s.conns, c)
		s.group.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "START" || words[1] != s.group.name || len(words) > 3 && words[3] != s.id {
		fmt.Fprint(c, "ERROR WRONGNODE not here\r\n")
		return
	}
	s.work(handshakeTime)
	x := &dbSession{s: s, c: c, tenant: words[2], prepared: make(map[string]bool)}
	fmt.Fprintf(c, "READY I %s\r\n", x.position())
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		reply, ok := x.query(id, text)
		if !ok {
			return
		}
		state := "I"
		if x.failed {
			state = "E"
		} else if x.inTx {
			state = "T"
		}
		if _, err := fmt.Fprintf(c, "%sREADY %s %s\r\n", reply, state, x.position()); err != nil {
			return
		}
	}
}

func (x *dbSession) position() string {
	x.s.group.mu.Lock()
	defer x.s.group.mu.Unlock()
	return x.s.end()
}

func (x *dbSession) fail(code string) string {
	if x.inTx {
		x.failed = true
	}
	return "ERROR " + code + " " + x.s.id + "\r\n"
}

func complete() string {
	return fmt.Sprintf("COMPLETE sig.%x\r\n", signatures.Add(1))
}

// query runs one query. It reports false if the connection has to be closed.
func (x *dbSession) query(id, text string) (string, bool) {
	s, g := x.s, x.s.group
	if after, found := strings.CutPrefix(text, wire.After+" "); found {
		var point string
		point, text, _ = strings.Cut(after, " ")
		g.mu.Lock()
		has := s.contains(point)
		g.mu.Unlock()
		if !has {
			return x.fail("LAGGING"), true
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	if x.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return x.fail("MALFORMED"), true
	}
	switch verb {
	case "SET", "CLOSE", "DISCARD":
		if verb == "DISCARD" {
			clear(x.prepared)
		}
		return "COMPLETE -\r\n", true
	case "PARSE":
		f := strings.Fields(rest)
		x.prepared[f[0]] = f[1] == "WRITE"
		return "COMPLETE -\r\n", true
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return x.control(verb, rest), true
	case "ROLLBACK":
		x.inTx, x.failed, x.writes = false, false, false
		return "COMPLETE -\r\n", true
	case "BEGIN":
		if !x.leads() && rest != "READ" {
			return x.fail("READONLY"), true
		}
		x.inTx, x.readOnly, x.writes = true, rest == "READ", false
		return "COMPLETE -\r\n", true
	}
	if x.inTx && !x.readOnly && !x.leads() && (verb != "COMMIT" || x.writes) {
		if verb == "COMMIT" {
			x.inTx, x.failed = false, false
		}
		return x.fail("READONLY"), true
	}
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		w, known := x.prepared[name]
		if !known {
			return x.fail("NOSTMT"), true
		}
		writes = w
	}
	if writes && !x.leads() {
		return x.fail("READONLY"), true
	}
	if !s.work(workTime) {
		return x.fail("BUSY"), true
	}
	g.rec.add("server %s runs %s %s", s.id, id, text)
	switch {
	case verb == "COMMIT":
		commits := x.inTx && !x.failed && x.writes
		failed := x.failed
		x.inTx, x.failed, x.writes = false, false, false
		if failed {
			return x.fail("ABORTED"), true
		}
		if !commits {
			return complete(), true
		}
		return x.commit(id)
	case writes && x.inTx:
		x.writes = true
		return complete(), true
	case writes:
		return x.commit(id)
	}
	return "DATAROW r" + id + "\r\n" + complete(), true
}

func (x *dbSession) leads() bool {
	x.s.group.mu.Lock()
	defer x.s.group.mu.Unlock()
	return x.s.primary
}

// commit appends to the log, and waits until enough replicas have received it. A commit
// that the loss of the role or a crash interrupts is not answered.
func (x *dbSession) commit(id string) (string, bool) {
	s, g := x.s, x.s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.primary {
		return x.fail("READONLY"), true
	}
	if !s.up {
		return "", false
	}
	e, term := &entry{id: id, term: g.term}, g.term
	s.log = append(s.log, e)
	n := len(s.log)
	for _, r := range g.servers {
		if r != s {
			time.AfterFunc(receiveDelay, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if s.primary && s.up && g.term == term {
					r.receiveUpTo(s, n)
				}
			})
		}
	}
	for g.sync > 0 {
		have := 0
		for _, r := range g.servers {
			if r != s && len(r.log) >= n && r.log[n-1] == e {
				have++
			}
		}
		if have >= g.sync {
			break
		}
		g.received.Wait()
		if !s.primary || !s.up || g.term != term {
			return "", false
		}
	}
	e.acked = time.Now()
	g.rec.add("server %s acknowledges the commit of %s at %s", s.id, id, fmt.Sprintf("%d.%d", term, n))
	return complete(), true
}

// control answers the commands of the system itself.
func (x *dbSession) control(verb, rest string) string {
	s, g := x.s, x.s.group
	if verb == "STATUS" && !s.work(time.Millisecond) {
		return x.fail("BUSY")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case verb == "STEPDOWN" && s.primary && term > g.term:
		s.primary = false
		g.received.Broadcast()
		go s.register()
	case verb == "PAUSE" && !s.primary && term > g.term:
		s.paused = true
	case verb == "RESUME":
		s.paused = false
	}
	if verb != "STATUS" {
		g.rec.add("server %s gets %s %s", s.id, verb, rest)
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	end := s.end()
	if end == "-" {
		end = fmt.Sprintf("%d.0", g.term)
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 %d %d\r\nCOMPLETE -\r\n", role, g.term, end, g.term, s.busy, len(s.conns))
}
