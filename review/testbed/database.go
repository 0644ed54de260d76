package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slotsPerServer = 3
	slotQueue      = 24 // statements that wait for a slot
	handshakeTime  = 12 * time.Millisecond
	promoteTime    = 300 * time.Millisecond
	networkDelay   = time.Millisecond // between instances
	heartbeat      = 1200 * time.Millisecond
)

// workTimes is how long reads and writes take, by the first letter of the item; w is
// the default.
var workTimes = map[byte]time.Duration{'w': 6 * time.Millisecond, 'p': 8 * time.Millisecond, 'b': 40 * time.Millisecond, 'o': 24 * time.Millisecond}

func workTime(item string) time.Duration {
	if item != "" {
		if t, known := workTimes[item[0]]; known {
			return t
		}
	}
	return workTimes['w']
}

// commit is a committed transaction or single write.
type commit struct {
	ids    []string // of its writes
	writes []string // their texts
}

// group is a database group: a primary and its replicas.
type group struct {
	name     string
	record   *recorder
	lag      time.Duration // from receiving a commit to its application by a replica
	maxConns int           // of each server
	sync     bool          // a commit succeeds once one replica has received it
	mu       sync.Mutex    // guards the fields below and the mutable ones of the servers
	term     uint64
	fence    uint64 // highest fencing token of an order
	servers  []*server
}

// server is a stand-in for an instance.
type server struct {
	group    *group
	id       string
	zone     string
	address  string
	listener net.Listener
	slots    chan struct{}
	born     int64
	waiting  int
	primary  bool
	draining bool
	deaf     bool // receives nothing from the primary
	down     bool
	log      []commit // received
	applied  int
	conns    int
	open     map[net.Conn]bool
}

// runLine is a statement that a server received from a VM.
type runLine struct {
	at         time.Time
	server     string
	conn       string // server and number of the connection
	tenant     string // that the connection was opened for
	id, text   string
	answer     string
	inTx       bool // the connection had a transaction open
	transacted int  // number of the transaction on the connection; 0 outside
}

func (g *group) add(id, zone string, primary bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		group: g, id: id, zone: zone, address: l.Addr().String(), listener: l, slots: make(chan struct{}, slotsPerServer),
		born: time.Now().UnixMilli(), primary: primary, open: make(map[net.Conn]bool),
	}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept()
	return s, nil
}

// report registers the server in the store until the process ends.
func (s *server) report(st *store) {
	last := ""
	seq := 0
	for ; ; time.Sleep(100 * time.Millisecond) {
		s.group.mu.Lock()
		role, state := "replica", "ready"
		if s.primary {
			role = "primary"
		}
		if s.draining {
			state = "draining"
		}
		down := s.down
		s.group.mu.Unlock()
		if down {
			// The entry expires after three intervals of silence.
			time.Sleep(3 * heartbeat)
			st.Remove("servers", s.id)
			return
		}
		// The entry changes when more than seq changes.
		if role+state == last {
			continue
		}
		last = role + state
		seq++
		st.Put("servers", s.id, specOf("server.tmpl", serverSpec{
			Group: s.group.name, Address: s.address, Zone: s.zone, State: state, Role: role, Slots: slotsPerServer, Seq: seq, Born: s.born,
		}))
	}
}

func (s *server) accept() {
	for n := 1; ; n++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&serverConn{server: s, conn: conn, r: bufio.NewReader(conn), name: fmt.Sprintf("%s#%d", s.id, n), closed: make(chan struct{}), ended: make(chan struct{})}).serve()
	}
}

// takeSlot waits for a slot. It reports false if too many statements wait already.
func (s *server) takeSlot() bool {
	s.group.mu.Lock()
	if s.waiting >= slotQueue {
		s.group.mu.Unlock()
		return false
	}
	s.waiting++
	s.group.mu.Unlock()
	s.slots <- struct{}{}
	s.group.mu.Lock()
	s.waiting--
	s.group.mu.Unlock()
	return true
}

func (s *server) freeSlot() { <-s.slots }

// serverConn is a connection of a VM to a server.
type serverConn struct {
	server   *server
	conn     net.Conn
	r        *bufio.Reader
	name     string
	tenant   string
	prepared map[string]string // name to mode and shape
	state    string            // I, T or E
	readOnly bool
	txTerm   uint64 // of the group when the transaction began
	txCount  int
	pending  commit
	item     string        // and data of the current statement
	closed   chan struct{} // closed when the VM has closed the connection
	ended    chan struct{} // closed when the connection is not served any more
}

// readWireLine reads a message, which ends with CR LF.
func readWireLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		chunk, err := r.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, chunk...)
		if text, ended := strings.CutSuffix(string(line), "\r\n"); ended {
			return text, nil
		}
		if len(line) > 1<<20 {
			return "", errors.New("message longer than 1 MiB")
		}
	}
}

func (c *serverConn) serve() {
	defer c.conn.Close()
	defer close(c.ended)
	s, g := c.server, c.server.group
	g.mu.Lock()
	s.open[c.conn] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.open, c.conn)
	}()
	line, err := readWireLine(c.r)
	if err != nil {
		return
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "START" || words[1] != g.name || len(words) > 3 && words[3] != s.id {
		fmt.Fprintf(c.conn, "ERROR WRONGNODE %s\r\n", s.id)
		return
	}
	c.tenant, c.state, c.prepared = words[2], "I", make(map[string]string)
	if !s.takeSlot() {
		fmt.Fprint(c.conn, "ERROR BUSY\r\n")
		return
	}
	time.Sleep(handshakeTime)
	s.freeSlot()
	g.mu.Lock()
	full := s.conns >= g.maxConns
	if !full {
		s.conns++
	}
	g.mu.Unlock()
	if full {
		fmt.Fprint(c.conn, "ERROR CONNLIMIT\r\n")
		return
	}
	defer func() {
		g.mu.Lock()
		s.conns--
		g.mu.Unlock()
	}()
	fmt.Fprintf(c.conn, "READY I %s\r\n", c.position())
	lines := make(chan string)
	go c.readLines(lines)
	for line := range lines {
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if _, err := c.conn.Write([]byte(c.query(id, text))); err != nil {
			return
		}
	}
	if c.state == "T" {
		g.record.add("server %s: connection %s ended in a transaction, which is rolled back: %v", s.id, c.name, c.pending.ids)
	}
}

// readLines passes messages on until the connection ends. The next message is read while
// one is handled, so that the end of the connection is noticed.
func (c *serverConn) readLines(lines chan<- string) {
	defer close(lines)
	defer close(c.closed)
	for {
		line, err := readWireLine(c.r)
		if err != nil {
			return
		}
		select {
		case lines <- line:
		case <-c.ended:
			return
		}
	}
}

func (c *serverConn) position() string {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d.%d", g.term, c.server.applied)
}

// query runs a statement and returns the messages of its answer.
func (c *serverConn) query(id, text string) string {
	line := runLine{at: time.Now(), server: c.server.id, conn: c.name, tenant: c.tenant, id: id, text: text, inTx: c.state == "T"}
	rows, result := c.run(id, text)
	line.answer = result
	if c.state == "T" || line.inTx {
		line.transacted = c.txCount
	}
	c.server.group.record.ran(line)
	answer := ""
	for _, row := range rows {
		answer += "DATAROW " + row + "\r\n"
	}
	if result != "" && !strings.HasPrefix(result, "COMPLETE") {
		answer += "ERROR " + result + "\r\n"
	} else {
		answer += result + "\r\n"
	}
	return answer + "READY " + c.state + " " + c.position() + "\r\n"
}

func (c *serverConn) signature() string {
	return fmt.Sprintf("COMPLETE %s.%d", c.server.id, time.Now().UnixNano())
}

// run returns the rows and the COMPLETE message, or the code of an error.
func (c *serverConn) run(id, text string) ([]string, string) {
	s, g := c.server, c.server.group
	if after, found := strings.CutPrefix(text, wire.After); found {
		var point string
		point, text, _ = strings.Cut(after, " ")
		term, number, _ := strings.Cut(point, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.Atoi(number)
		g.mu.Lock()
		lacks := t > g.term || t == g.term && n > s.applied
		g.mu.Unlock()
		if lacks {
			return nil, "LAGGING"
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	c.item = rest
	if c.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "MALFORMED"
	}
	switch verb {
	case "BEGIN":
		if c.state != "I" {
			return nil, c.fail("MALFORMED")
		}
		if rest != "READ" && !c.leads() {
			return nil, "READONLY " + s.id
		}
		c.state, c.readOnly, c.pending = "T", rest == "READ", commit{}
		c.txCount++
		g.mu.Lock()
		c.txTerm = g.term
		g.mu.Unlock()
		return nil, "COMPLETE -"
	case "ROLLBACK":
		c.state, c.pending = "I", commit{}
		return nil, "COMPLETE -"
	case "COMMIT":
		return nil, c.commit()
	case "READ", "EXECUTE", "WRITE":
		return c.data(id, verb, rest)
	case "SET", "CLOSE", "DISCARD":
		if verb == "DISCARD" {
			c.prepared = make(map[string]string)
		}
		return nil, "COMPLETE -"
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return nil, "COMPLETE -"
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return c.control(verb, rest)
	}
	return nil, c.fail("MALFORMED")
}

// leads reports whether the server is the primary, and of the transaction's term if one
// is open.
func (c *serverConn) leads() bool {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.server.primary && (c.state != "T" || c.txTerm == g.term)
}

// fail marks an open transaction as failed.
func (c *serverConn) fail(code string) string {
	if c.state == "T" {
		c.state, c.pending = "E", commit{}
	}
	return code
}

func (c *serverConn) data(id, verb, rest string) ([]string, string) {
	s := c.server
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		shape, known := c.prepared[name]
		if !known {
			return nil, c.fail("NOSTMT")
		}
		writes = strings.HasPrefix(shape, "WRITE")
	}
	if !c.leads() && (writes || c.state == "T" && !c.readOnly) {
		return nil, c.fail("READONLY " + s.id)
	}
	if !s.takeSlot() {
		return nil, c.fail("BUSY")
	}
	time.Sleep(workTime(c.item))
	s.freeSlot()
	switch {
	case writes && c.state == "T":
		c.pending.ids, c.pending.writes = append(c.pending.ids, id), append(c.pending.writes, rest)
	case writes:
		if !s.commit(commit{ids: []string{id}, writes: []string{rest}}, c.closed) {
			return nil, "READONLY " + s.id
		}
	default:
		return []string{"row-" + id}, c.signature()
	}
	return nil, c.signature()
}

// commit ends the connection's transaction.
func (c *serverConn) commit() string {
	if c.state == "E" {
		c.state = "I"
		return "ABORTED"
	}
	if c.state != "T" {
		return "MALFORMED"
	}
	if !c.server.takeSlot() {
		return c.fail("BUSY")
	}
	time.Sleep(workTime(""))
	c.server.freeSlot()
	leads := c.leads()
	pending := c.pending
	c.state, c.pending = "I", commit{}
	if len(pending.ids) > 0 && (!leads || !c.server.commit(pending, c.closed)) {
		return "READONLY " + c.server.id
	}
	return c.signature()
}

// commit appends to the log, if the server is the primary, and sends the commit to the
// replicas. Where the group is synchronous it returns once one of them has received it.
func (s *server) commit(p commit, closed <-chan struct{}) bool {
	g := s.group
	g.mu.Lock()
	if !s.primary || s.down {
		g.mu.Unlock()
		return false
	}
	s.log = append(s.log, p)
	n := len(s.log)
	s.applied = n
	g.record.add("server %s: committed %d.%d: %v", s.id, g.term, n, p.ids)
	received := make(chan struct{}, len(g.servers))
	for _, r := range g.servers {
		if r != s {
			g.replicate(s, r, n, received)
		}
	}
	g.mu.Unlock()
	if g.sync {
		select {
		case <-received:
		case <-closed:
			return false // nobody learns of the commit
		}
	}
	return true
}

// replicate sends the first n commits of the primary to a replica. The caller holds mu.
func (g *group) replicate(primary, r *server, n int, received chan<- struct{}) {
	term := g.term
	time.AfterFunc(networkDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.term != term || r.deaf || r.down || primary.down {
			return
		}
		if len(r.log) < n {
			r.log = append([]commit(nil), primary.log[:n]...)
		}
		received <- struct{}{}
		time.AfterFunc(g.lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.term == term {
				r.applied = max(r.applied, min(n, len(r.log)))
			}
		})
	})
}

// crash ends the server: its connections are reset and its port refuses new ones.
func (s *server) crash() {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.open {
		c.Close()
	}
	g.record.add("server %s: crashed with %d commits", s.id, len(s.log))
}

// drain makes the server report that it is draining. It goes on serving and receiving.
func (s *server) drain() {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.draining = true
	g.record.add("server %s: draining", s.id)
}

// setDeaf makes a replica receive nothing for a while. It then receives what it lacks.
func (s *server) setDeaf(period time.Duration) {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.deaf = true
	g.record.add("server %s: receives nothing for %v, has %d commits", s.id, period, len(s.log))
	time.AfterFunc(period, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.deaf = false
		for _, primary := range g.servers {
			if primary.primary && !primary.down && primary != s {
				s.log = append([]commit(nil), primary.log...)
				s.applied = len(s.log)
			}
		}
		g.record.add("server %s: receives again, has %d commits", s.id, len(s.log))
	})
}

func (c *serverConn) control(verb, rest string) ([]string, string) {
	s, g := c.server, c.server.group
	if verb == "STATUS" {
		if !s.takeSlot() {
			return nil, "BUSY"
		}
		defer s.freeSlot()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if term, err := strconv.ParseUint(rest, 10, 64); verb == "STEPDOWN" && err == nil && s.primary && term > g.term {
		s.primary = false
		g.record.add("server %s: stepped down", s.id)
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return []string{fmt.Sprintf("%s %d %d.%d 0 0 %d %d", role, g.term, g.term, len(s.log), len(s.slots), s.conns)}, "COMPLETE -"
}

// promoted checks LOST: where the group is synchronous, the log of the new primary holds
// the acknowledged commits. The caller holds mu.
func (g *group) promoted(chosen *server) {
	for _, s := range g.servers {
		g.record.add("server %s: has %d commits as %s is promoted", s.id, len(s.log), chosen.id)
	}
	if !g.sync {
		return
	}
	held := make(map[string]bool)
	for _, c := range chosen.log {
		for _, id := range c.ids {
			held[id] = true
		}
	}
	for _, id := range g.record.acknowledgedWrites() {
		if !held[id] {
			g.record.broken("LOST: the commit of write %s was acknowledged, and is not in the log of %s, which is promoted", id, chosen.id)
		}
	}
}

// promote carries out an order of the platform.
func (g *group) promote(id string, fence uint64) (accepted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *server
	for _, s := range g.servers {
		if s.id == id {
			chosen = s
		}
	}
	if chosen == nil || chosen.down || fence < g.fence {
		return false
	}
	g.fence = fence
	if chosen.primary {
		return true
	}
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if chosen.primary {
			return
		}
		g.term++
		g.promoted(chosen)
		for _, s := range g.servers {
			s.primary = s == chosen
			if s.down {
				continue
			}
			// Replicas that were ahead are rolled back; the others receive what they lack,
			// unless they are deaf.
			if !s.deaf || len(s.log) > len(chosen.log) {
				s.log = append([]commit(nil), chosen.log...)
			}
			s.applied = min(s.applied, len(s.log))
		}
		g.record.add("server %s: leads term %d", chosen.id, g.term)
	})
	return true
}
