package dbgroup

import (
	"net"
	"sync"
	"time"

	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// inboxLimit is the number of messages of a session that wait to be handled;
// more stay with the transport.
const inboxLimit = 64

// stage is how far a session has come.
type stage int

const (
	stageStartup stage = iota
	stagePassword
	stageReady
	stageEnded
)

// session is one client connection. Its events run one at a time on its queue.
type session struct {
	server *Server
	queue  *pool.Queue
	out    *output
	room   chan struct{} // one token per message in the queue or the inbox
	ended  chan struct{} // closed when the session ends
	finish func()        // closes ended

	pid       uint32 // set once by sessionTable.admit
	secret    []byte // set once by sessionTable.admit
	serverRun uint64 // set once before the first event

	// The fields below are used by events only.
	stage      stage
	inbox      []any
	pending    func() // continues what the session waits for; nil if it waits for nothing
	due        func() // continues what the session waited for
	generation uint64 // of pending; a wake-up of an earlier one is ignored
	answers    answers
	fault      answerFault // of the answers that are collected
	startup    map[string]string
	settings   map[string]string
	initial    map[string]string // settings at startup, restored by RESET ALL
	tx         *transaction
	running    *running // the statement that waits for a slot or executes
	prepared   map[string]*prepared
	portals    map[string]*portal
	skipping   bool // until Sync, after an error in the extended protocol
}

func newSession(s *Server, conn net.Conn) *session {
	c := &session{
		server:   s,
		queue:    s.group.pool.NewQueue(queueLimit),
		out:      newOutput(conn),
		room:     make(chan struct{}, inboxLimit),
		ended:    make(chan struct{}),
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
	}
	c.finish = sync.OnceFunc(func() { close(c.ended) })
	return c
}

// post queues an event of the session.
func (c *session) post(event func()) { c.queue.PostAlways(event) }

// receive handles a message, or keeps it until the session can.
func (c *session) receive(m any) {
	if c.stage == stageEnded {
		return
	}
	c.inbox = append(c.inbox, m)
	c.advance()
}

// advance does what can be done now. A paused server does nothing, nor does a
// session that has been aborted.
func (c *session) advance() {
	for !c.hasEnded() && !c.server.sessions.isPaused() {
		switch {
		case c.due != nil:
			next := c.due
			c.due = nil
			next()
		case c.pending != nil || len(c.inbox) == 0:
			return
		default:
			m := c.inbox[0]
			c.inbox = c.inbox[1:]
			<-c.room
			c.handle(m)
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

// suspend makes the session wait until wake is called, and then call next.
func (c *session) suspend(next func()) (wake func()) {
	c.generation++
	generation := c.generation
	c.pending = next
	return func() {
		c.post(func() { c.wake(generation) })
	}
}

func (c *session) wake(generation uint64) {
	if c.pending == nil || generation != c.generation {
		return
	}
	c.due, c.pending = c.pending, nil
	c.advance()
}

// after calls next once the duration has passed.
func (c *session) after(d time.Duration, next func()) {
	if d <= 0 {
		next()
		return
	}
	time.AfterFunc(d, c.suspend(next))
}

func (c *session) handle(m any) {
	switch m := m.(type) {
	case endMessage:
		c.end()
	case startupMessage:
		c.start(m)
	case passwordMessage:
		c.password(m)
	default:
		c.handleReady(m)
	}
}

func (c *session) handleReady(m any) {
	if c.stage != stageReady {
		c.refuse(fatalf(codeProtocol, "message before the end of the startup"))
		return
	}
	switch m := m.(type) {
	case syncMessage:
		c.sync()
	case badMessage:
		c.refuse(fatalf(codeProtocol, "%s", m.reason))
	case queryMessage:
		if !c.skipping {
			c.query(m)
		}
	default:
		if !c.skipping {
			c.extended(m)
		}
	}
}

// start answers the startup message.
func (c *session) start(m startupMessage) {
	c.startup = m.parameters
	if !c.server.sessions.admit(c) {
		c.recordStartup("", false)
		c.refuse(fatalf(codeConnections, "too many connections for server %s", c.server.Name()))
		return
	}
	c.after(c.server.options.ConnectCost, c.authenticate)
}

func (c *session) authenticate() {
	if c.server.group.options.Password == "" {
		c.login("")
		return
	}
	c.stage = stagePassword
	c.answers.askPassword()
	c.flush()
}

func (c *session) password(m passwordMessage) {
	if c.stage != stagePassword {
		c.refuse(fatalf(codeProtocol, "password was not asked for"))
		return
	}
	c.login(m.password)
}

// login checks the credentials and the settings.
func (c *session) login(password string) {
	required := &c.server.group.options
	user := c.startup["user"]
	accepted := password == required.Password && (required.User == "" || user == required.User)
	c.recordStartup(password, accepted)
	if !accepted {
		c.refuse(fatalf(codePassword, "password authentication failed for user %q", user))
		return
	}
	settings, err := sessionSettings(c.startup)
	if err != nil {
		err.fatal = true
		c.refuse(err)
		return
	}
	c.initial = settings
	c.settings = settings
	c.restoreSettings(settings)
	c.stage = stageReady
	c.answers.welcome(settings, c.pid, c.secret)
	c.answers.ready(c.status())
	c.flush()
}

func (c *session) recordStartup(password string, accepted bool) {
	c.server.group.history.started(Startup{
		Server:     c.server.Name(),
		User:       c.startup["user"],
		Password:   password,
		Parameters: c.startup,
		Accepted:   accepted,
	})
}

// refuse reports a fatal error and ends the session.
func (c *session) refuse(err *sqlError) {
	c.answers.failure(err)
	c.out.write(c.answers.takeAll())
	c.end()
}

// flush sends the collected answers. A fault may delay them, or break the
// connection in their middle.
func (c *session) flush() {
	fault := c.fault
	c.fault = answerFault{}
	c.after(fault.delay, func() { c.send(fault.half) })
}

func (c *session) send(half bool) {
	b := c.answers.takeAll()
	if half {
		c.out.write(b[:len(b)/2])
		c.end()
		return
	}
	c.out.write(b)
}

// end closes the connection after what has been sent, and rolls back.
func (c *session) end() {
	if c.stage == stageEnded {
		return
	}
	c.stage = stageEnded
	c.finish()
	c.stopRunning()
	c.abandon()
	c.server.sessions.remove(c)
	c.out.close()
	c.queue.Close()
}

// abort closes the connection at once. It may be called from any goroutine.
func (c *session) abort() {
	c.out.abort()
	c.finish()
	c.post(c.end)
}
