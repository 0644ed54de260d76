package dbgroup

import (
	"net"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// inboxLimit is the highest number of received messages that wait in a session.
// At the limit the session stops reading from its connection.
const inboxLimit = 64

// stage is the protocol stage of a session.
type stage int

const (
	stageStartup  stage = iota // before the startup message or its response
	stagePassword              // waiting for the password
	stageReady                 // accepting statements
	stageEnded
)

// session is one client connection. Its events run one at a time on its queue. An
// event never blocks: a session that waits stores a continuation, which a later
// event runs.
type session struct {
	server      *Server
	queue       *pool.Queue
	out         *output
	inboxTokens chan struct{} // one token per message in the queue or the inbox, at most inboxLimit
	ended       chan struct{} // closed when the session ends
	markEnded   func()        // closes ended

	pid               uint32 // set once by sessionTable.admit
	secret            []byte // set once by sessionTable.admit
	serverIncarnation uint64 // set once before the first event

	// The fields below are used by events only.
	stage              stage
	inbox              []any
	continuation       func() // to be run when the session is woken; nil unless it waits
	runnable           func() // continuation of a session that has been woken; nil if there is none
	generation         uint64 // of continuation; wake-ups of earlier generations are ignored
	responses          responseBuffer
	fault              responseFault // applies to the responses in the buffer
	startupParameters  map[string]string
	settings           map[string]string
	initialSettings    map[string]string // settings after login, restored by RESET ALL
	tx                 *transaction
	execution          *execution // nil if no statement waits for a slot or executes
	preparedStatements map[string]*preparedStatement
	portals            map[string]*portal
	skipUntilSync      bool // after an error in the extended protocol
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		server:             s,
		queue:              s.group.pool.NewQueue(queueLimit),
		out:                newOutput(conn),
		inboxTokens:        make(chan struct{}, inboxLimit),
		ended:              make(chan struct{}),
		preparedStatements: make(map[string]*preparedStatement),
		portals:            make(map[string]*portal),
	}
	c.markEnded = sync.OnceFunc(func() { close(c.ended) })
	return c
}

// post appends an event to the queue of the session.
func (c *session) post(event func()) { c.queue.PostUnbounded(event) }

// receive adds a message to the inbox and handles it once the session is neither
// waiting nor paused.
func (c *session) receive(m any) {
	if c.stage == stageEnded {
		return
	}
	c.inbox = append(c.inbox, m)
	c.advance()
}

// advance runs the continuation and handles messages until the session waits or
// has none left. It does nothing if the server is paused or the session has ended
// or been aborted.
func (c *session) advance() {
	for !c.hasEnded() && !c.server.sessions.isPaused() {
		switch {
		case c.runnable != nil:
			next := c.runnable
			c.runnable = nil
			next()
		case c.continuation != nil || len(c.inbox) == 0:
			return
		default:
			m := c.inbox[0]
			c.inbox = c.inbox[1:]
			<-c.inboxTokens
			c.handleMessage(m)
		}
	}
}

func (c *session) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// suspend makes the session wait until the returned function is called, and then
// run next. The returned function may be called from any goroutine.
func (c *session) suspend(next func()) (wake func()) {
	c.generation++
	generation := c.generation
	c.continuation = next
	return func() {
		c.post(func() { c.wake(generation) })
	}
}

func (c *session) wake(generation uint64) {
	if c.continuation == nil || generation != c.generation {
		return
	}
	c.runnable, c.continuation = c.continuation, nil
	c.advance()
}

// continueAfter runs next after the duration, or at once if it is zero.
func (c *session) continueAfter(d time.Duration, next func()) {
	if d <= 0 {
		next()
		return
	}
	time.AfterFunc(d, c.suspend(next))
}

func (c *session) handleMessage(m any) {
	switch m := m.(type) {
	case disconnectMessage:
		c.end()
	case startupMessage:
		c.handleStartup(m)
	case passwordMessage:
		c.handlePassword(m)
	default:
		c.handleReady(m)
	}
}

func (c *session) handleReady(m any) {
	if c.stage != stageReady {
		c.endWithError(fatalf(codeProtocolViolation, "message before the end of the startup"))
		return
	}
	switch m := m.(type) {
	case syncMessage:
		c.handleSync()
	case unsupportedMessage:
		c.endWithError(fatalf(codeProtocolViolation, "%s", m.reason))
	case queryMessage:
		if !c.skipUntilSync {
			c.handleQuery(m)
		}
	default:
		if !c.skipUntilSync {
			c.handleExtended(m)
		}
	}
}

// handleStartup admits the connection, or refuses it if the connection limit is
// reached.
func (c *session) handleStartup(m startupMessage) {
	c.startupParameters = m.parameters
	if !c.server.sessions.admit(c) {
		c.recordStartup("", false)
		c.endWithError(fatalf(codeTooManyConnections, "too many connections for server %s", c.server.Name()))
		return
	}
	c.continueAfter(c.server.options.ConnectDelay, c.authenticate)
}

func (c *session) authenticate() {
	if c.server.group.options.Password == "" {
		c.login("")
		return
	}
	c.stage = stagePassword
	c.responses.passwordRequest()
	c.flush()
}

func (c *session) handlePassword(m passwordMessage) {
	if c.stage != stagePassword {
		c.endWithError(fatalf(codeProtocolViolation, "password was not asked for"))
		return
	}
	c.login(m.password)
}

// login checks the credentials and the startup settings, and makes the session
// ready.
func (c *session) login(password string) {
	required := &c.server.group.options
	user := c.startupParameters["user"]
	accepted := password == required.Password && (required.User == "" || user == required.User)
	c.recordStartup(password, accepted)
	if !accepted {
		c.endWithError(fatalf(codeInvalidPassword, "password authentication failed for user %q", user))
		return
	}
	settings, err := sessionSettings(c.startupParameters)
	if err != nil {
		err.fatal = true
		c.endWithError(err)
		return
	}
	c.initialSettings = settings
	c.settings = settings
	c.restoreSettings(settings)
	c.stage = stageReady
	c.responses.authenticationOK(settings, c.pid, c.secret)
	c.responses.readyForQuery(c.transactionStatus())
	c.flush()
}

func (c *session) recordStartup(password string, accepted bool) {
	c.server.group.history.recordStartup(Startup{
		Server:     c.server.Name(),
		User:       c.startupParameters["user"],
		Password:   password,
		Parameters: c.startupParameters,
		Accepted:   accepted,
	})
}

// endWithError sends a fatal error to the client and ends the session.
func (c *session) endWithError(err *sqlError) {
	c.responses.errorResponse(err)
	c.out.write(c.responses.take())
	c.end()
}

// flush sends the buffered responses, subject to the pending fault.
func (c *session) flush() {
	fault := c.fault
	c.fault = responseFault{}
	c.continueAfter(fault.delay, func() { c.send(fault.truncate) })
}

// send sends the buffered responses. If truncate is set it sends only the first
// half of their bytes and ends the session.
func (c *session) send(truncate bool) {
	b := c.responses.take()
	if truncate {
		c.out.write(b[:len(b)/2])
		c.end()
		return
	}
	c.out.write(b)
}

// end rolls back the open transaction and closes the connection once the queued
// output is sent.
func (c *session) end() {
	if c.stage == stageEnded {
		return
	}
	c.stage = stageEnded
	c.markEnded()
	c.stopExecution()
	c.discardTransaction()
	c.server.sessions.remove(c)
	c.out.close()
	c.queue.Close()
}

// abort closes the connection at once and discards queued output. It may be called
// from any goroutine.
func (c *session) abort() {
	c.out.abort()
	c.markEnded()
	c.post(c.end)
}
