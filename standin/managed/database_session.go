package managed

import (
	"bufio"
	"net"
	"strings"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// session is the state of one connection to a server.
type session struct {
	server   *Server
	customer string
	inTx     bool
	readOnly bool
	failed   bool
	term     uint64     // in which the open read-write transaction began
	writes   []logEntry // of the open transaction
	// committed is set if the latest command committed a write.
	committed   bool
	transaction int                          // number of the open transaction, or zero
	prepared    map[string]statement.Command // by name
}

func (s *Server) handle(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	g := s.group
	group, customer, id, err := g.Codec.ReadOpening(r)
	if err != nil {
		return
	}
	time.Sleep(g.Handshake)
	g.mu.Lock()
	refusal := statement.OK
	switch {
	case s.down:
		g.mu.Unlock()
		return
	case group != g.Name || id != s.ID:
		refusal = statement.WrongServer
	case len(s.conns) >= g.MaxConns:
		refusal = statement.ConnectionLimit
		g.connectionsRefused++
	default:
		s.conns[c] = true
	}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(s.conns, c)
		g.mu.Unlock()
	}()
	if _, err := c.Write(g.Codec.AppendOpened(nil, &statement.Answer{Code: refusal})); err != nil || refusal != statement.OK {
		return
	}
	sess := &session{server: s, customer: customer, prepared: make(map[string]statement.Command)}
	defer func() {
		g.mu.Lock()
		sess.endTransaction()
		g.mu.Unlock()
	}()
	for {
		command, err := g.Codec.ReadCommand(r)
		if err != nil {
			return
		}
		a, drop := sess.run(&command)
		if drop || a.Code == statement.OK && sess.committed && !s.awaitReplicas(a.At) {
			return
		}
		if _, err := c.Write(g.Codec.AppendAnswer(nil, &a)); err != nil {
			return
		}
	}
}

// run executes one command and returns its answer, and whether the connection is
// to be closed instead of answering.
func (sess *session) run(c *statement.Command) (statement.Answer, bool) {
	switch c.Verb {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		if !sess.server.work(c) {
			return sess.shed(), false
		}
	}
	g := sess.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	sess.committed = false
	a, drop := sess.apply(c)
	if a.Code != statement.OK && sess.inTx {
		sess.failed = true
	}
	switch {
	case sess.inTx && sess.failed:
		a.State = statement.FailedTx
	case sess.inTx:
		a.State = statement.InTx
	}
	a.At = sess.server.point()
	return a, drop
}

// mayWrite reports whether the session's server is the primary, and still that of
// the term in which an open read-write transaction began.
func (sess *session) mayWrite() bool {
	return sess.server.primary && (!sess.inTx || sess.readOnly || sess.term == sess.server.currentTerm())
}

// apply executes a command. Like run, it reports whether the answer is to be
// dropped. The caller holds the group's mu.
func (sess *session) apply(c *statement.Command) (statement.Answer, bool) {
	s := sess.server
	if sess.failed && c.Verb != statement.Rollback && c.Verb != statement.Commit {
		return statement.Refusal(statement.Malformed, ""), false
	}
	if c.After != (state.Point{}) && !s.contains(c.After) {
		return statement.Refusal(statement.Lagging, ""), false
	}
	switch c.Verb {
	case statement.Begin:
		if !s.primary {
			return statement.Refusal(statement.ReadOnly, s.ID), false
		}
		sess.beginTransaction()
		sess.readOnly, sess.term = false, s.currentTerm()
	case statement.BeginReadOnly:
		sess.beginTransaction()
		sess.readOnly = true
	case statement.Rollback:
		sess.endTransaction()
	case statement.Commit:
		return sess.commit(c)
	case statement.Read, statement.Write:
		return sess.readOrWrite(c, c.Verb == statement.Write)
	case statement.Execute:
		p, known := sess.prepared[c.Name]
		if !known {
			return statement.Refusal(statement.UnknownStatement, ""), false
		}
		return sess.readOrWrite(c, p.Writes)
	case statement.Prepare:
		sess.prepared[c.Name] = *c
	case statement.Discard:
		clear(sess.prepared)
	case statement.StepDown:
		if c.Term > s.currentTerm() {
			s.becomeReplica()
		}
		return s.report(), false
	case statement.Pause:
		if !s.primary && c.Term > s.currentTerm() {
			s.received, s.pausedBy = s.logLength(), c.Term
		}
		return s.report(), false
	case statement.Resume:
		s.pausedBy = 0
		return s.report(), false
	case statement.Status:
		return s.report(), false
	}
	return statement.Answer{}, false
}

// report returns the answer to a query for a report. The caller holds the group's mu.
func (s *Server) report() statement.Answer {
	return statement.Answer{Rows: []string{s.group.Codec.EncodeReport(s.primary, s.point(), s.pausedBy, len(s.conns))}}
}

func (sess *session) beginTransaction() {
	g := sess.server.group
	g.transactions++
	if !sess.inTx {
		g.openTransactions++
	}
	sess.inTx, sess.transaction = true, g.transactions
}

func (sess *session) endTransaction() {
	if sess.inTx {
		sess.server.group.openTransactions--
	}
	sess.inTx, sess.failed, sess.writes, sess.transaction = false, false, nil, 0
}

// recordRun records that the server executes a client's statement.
func (sess *session) recordRun(c *statement.Command) {
	g := sess.server.group
	g.runs = append(g.runs, Run{Server: sess.server.ID, Customer: sess.customer, ID: c.ID, Transaction: sess.transaction, At: time.Now()})
}

func (sess *session) readOrWrite(c *statement.Command, write bool) (statement.Answer, bool) {
	s := sess.server
	if (write || sess.inTx && !sess.readOnly) && !sess.mayWrite() {
		return statement.Refusal(statement.ReadOnly, s.ID), false
	}
	s.executions[c.ID]++
	sess.recordRun(c)
	item, data, _ := strings.Cut(c.Payload, " ")
	if !write {
		a := statement.Answer{Signature: s.ID}
		for _, entry := range s.currentLog() {
			if entry.item == item {
				a.Rows = []string{entry.data}
			}
		}
		return a, false
	}
	entry := logEntry{id: c.ID, customer: sess.customer, item: item, data: data, at: time.Now()}
	if sess.inTx {
		sess.writes = append(sess.writes, entry)
		return statement.Answer{Signature: s.ID}, false
	}
	s.appendLog(entry)
	sess.committed = true
	return statement.Answer{Signature: s.ID}, sess.dropsAnswer()
}

// maxSyncWait is how long a commit waits for replicas before its connection is closed.
const maxSyncWait = 1500 * time.Millisecond

// awaitReplicas waits until the commit at the point has been received by as many replicas
// as the group needs. It returns false if the server ends, if a promotion ends the term,
// or after maxSyncWait.
func (s *Server) awaitReplicas(p state.Point) bool {
	s.group.mu.Lock()
	crashed := s.ended
	s.group.mu.Unlock()
	for deadline := time.Now().Add(maxSyncWait); time.Now().Before(deadline); {
		s.group.mu.Lock()
		received := 0
		for _, other := range s.group.servers {
			if !other.primary && uint64(other.logLength()) >= p.Position {
				received++
			}
		}
		ended, acknowledged := s.down || s.group.term != p.Term, received >= s.group.syncReplicas
		s.group.mu.Unlock()
		if ended || acknowledged {
			return !ended
		}
		select {
		case <-crashed:
			return false
		case <-time.After(time.Millisecond):
		}
	}
	return false
}

// dropsAnswer reports whether the answer to a commit is to be dropped, and then
// decrements answersToDrop.
func (sess *session) dropsAnswer() bool {
	if sess.server.answersToDrop == 0 {
		return false
	}
	sess.server.answersToDrop--
	return true
}

func (sess *session) commit(c *statement.Command) (statement.Answer, bool) {
	if sess.failed || len(sess.writes) > 0 && !sess.mayWrite() {
		sess.endTransaction()
		return statement.Refusal(statement.ReadOnly, sess.server.ID), false
	}
	sess.recordRun(c)
	for _, entry := range sess.writes {
		sess.committed = true
		entry.at = time.Now()
		sess.server.appendLog(entry)
	}
	sess.endTransaction()
	return statement.Answer{Signature: sess.server.ID}, sess.dropsAnswer()
}
