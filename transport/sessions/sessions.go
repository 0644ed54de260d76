// Package sessions carries out the decisions of package session: it turns what
// happens on connections and timers into events on the worker pool, and the
// effects of decisions into I/O.
package sessions

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/queueing"
	"github.com/chestnutdyke/chestnutdyke/coordination/replication"
	"github.com/chestnutdyke/chestnutdyke/coordination/session"
	"github.com/chestnutdyke/chestnutdyke/coordination/share"
	"github.com/chestnutdyke/chestnutdyke/protocol/pgwire"
	"github.com/chestnutdyke/chestnutdyke/protocol/token"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/pgbackend"
	"github.com/chestnutdyke/chestnutdyke/transport/pgserver"
	"github.com/chestnutdyke/chestnutdyke/transport/pool"
)

// Groups waits for positions of database groups.
type Groups interface {
	Wait(group string, w state.PositionWaiter)
	Withdraw(group string, id state.WaiterID)
	Suspect(group, server string)
}

// Limits decides on requests that wait for tokens of their customer's limit.
type Limits interface {
	// Advance looks at waiting requests and loans at the given time at the latest.
	Advance(at time.Time)
}

// Options are the parts that Sessions works with.
type Options struct {
	Pool    *pool.Pool
	Tables  *state.Tables
	Decider *session.Decider
	Secret  []byte // signs session tokens
	// Index returns this VM's number in the configuration, by which other VMs find
	// it when they get a cancel request for one of its sessions.
	Index func() (uint16, bool)
	// ForwardCancel passes a cancel request on to the VM with the given number. It
	// must not block.
	ForwardCancel func(index uint16, session, secret uint32)
	MaxSessions   int
	// QueueLimit bounds the events that wait for one session. Parts of an answer
	// fill it; the reader of the backend connection then stops.
	QueueLimit int
	// DefaultDeadline is the deadline of requests on routes that state none.
	DefaultDeadline time.Duration
	Logger          log.Interface
	Scope           tally.Scope
	Tracer          trace.Tracer
}

// Sessions are the sessions of this VM.
type Sessions struct {
	Options
	backends *pgbackend.Backends
	groups   Groups
	limits   Limits
	metrics  metrics

	mu       sync.Mutex // guards the fields below; no other lock is taken under it
	byID     map[uint64]*client
	byCancel map[uint32]*client // by cancelSession of its identifier
	draining bool
	drained  bool          // empty is closed
	empty    chan struct{} // closed when draining and no session is left
}

// New returns Sessions without sessions. Connect must be called before the
// first login.
func New(o Options) *Sessions {
	return &Sessions{Options: o, metrics: newMetrics(o.Scope), byID: make(map[uint64]*client), byCancel: make(map[uint32]*client), empty: make(chan struct{})}
}

// Connect sets the parts that need Sessions themselves.
func (s *Sessions) Connect(b *pgbackend.Backends, g Groups, l Limits) {
	s.backends, s.groups, s.limits = b, g, l
}

// Login implements pgserver.Sessions. The decision runs on the worker pool.
func (s *Sessions) Login(out *pgserver.Client, l pgserver.Login) (pgserver.Session, *session.Outcome) {
	st := s.Tables.Sessions.Add()
	st.Lock()
	st.Login = l.Customer
	st.Route = l.Route
	st.Key, st.HasKey = sha256.Sum256([]byte(l.Key)), l.Key != ""
	st.Unlock()
	c := &client{
		sessions:   s,
		st:         st,
		out:        out,
		queue:      s.Pool.NewQueue(s.QueueLimit),
		statements: make(pgwire.Statements),
		idle:       make(chan struct{}, 1),
		ended:      make(chan struct{}),
		secret:     newSecret(),
	}
	decided := make(chan *session.Outcome, 1)
	refused := &session.Outcome{Kind: session.NotRun, Reason: session.ShuttingDown}
	if c.queue.PostAlways(func() { decided <- c.login(l.Parameters) }) {
		refused = <-decided
	}
	if refused != nil {
		c.queue.Close()
		s.Tables.Sessions.Remove(st.ID)
		return nil, refused
	}
	return c, nil
}

// login decides whether the session is opened, and welcomes the client.
func (c *client) login(parameters map[string]string) *session.Outcome {
	c.st.Lock()
	refused := c.sessions.Decider.Login(c.st, time.Now())
	c.st.Unlock()
	if refused == nil {
		refused = c.applyParameters(parameters)
	}
	if refused == nil {
		refused = c.sessions.add(c)
	}
	if refused != nil {
		c.sessions.metrics.outcome(*refused)
		return refused
	}
	c.welcome()
	c.idle <- struct{}{}
	return nil
}

// welcome tells the client that it is logged in.
func (c *client) welcome() {
	messages := []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "15.0"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO, MDY"},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.ParameterStatus{Name: pgwire.SettingSession, Value: c.token()},
		&pgproto3.BackendKeyData{ProcessID: c.processID(), SecretKey: pgwire.CancelKey(c.secret)},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	c.out.Send(messages...)
}

// add registers the session, or returns why it is refused.
func (s *Sessions) add(c *client) *session.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &session.Outcome{Kind: session.NotRun, Reason: session.ShuttingDown}
	}
	if len(s.byID) >= s.MaxSessions {
		return &session.Outcome{Kind: session.NotRun, Reason: session.TooManySessions}
	}
	s.byID[c.st.ID] = c
	s.byCancel[cancelSession(c.st.ID)] = c
	s.metrics.sessions.Update(float64(len(s.byID)))
	return nil
}

func (s *Sessions) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byID[c.st.ID]; !ok {
		return
	}
	delete(s.byID, c.st.ID)
	if key := cancelSession(c.st.ID); s.byCancel[key] == c {
		delete(s.byCancel, key)
	}
	s.metrics.sessions.Update(float64(len(s.byID)))
	s.signalEmpty()
}

// signalEmpty is called with mu held.
func (s *Sessions) signalEmpty() {
	if s.draining && len(s.byID) == 0 && !s.drained {
		s.drained = true
		close(s.empty)
	}
}

func (s *Sessions) lookup(id uint64) *client {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *Sessions) all() []*client {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*client, 0, len(s.byID))
	for _, c := range s.byID {
		all = append(all, c)
	}
	return all
}

// Drain refuses new sessions and closes each session once it has neither a
// request nor a transaction. The channel is closed when none is left.
func (s *Sessions) Drain() <-chan struct{} {
	s.mu.Lock()
	s.draining = true
	s.signalEmpty()
	empty := s.empty
	s.mu.Unlock()
	for _, c := range s.all() {
		c.post(func(time.Time) []session.Effect { return s.Decider.Drain(c.st) })
	}
	return empty
}

// Resume accepts sessions again after Drain. Sessions that are still open stay.
func (s *Sessions) Resume() {
	s.mu.Lock()
	if s.drained {
		s.empty = make(chan struct{})
	}
	s.draining, s.drained = false, false
	s.mu.Unlock()
	for _, c := range s.all() {
		c.post(func(time.Time) []session.Effect {
			c.st.Draining = false
			return nil
		})
	}
}

// Close ends all sessions at once.
func (s *Sessions) Close() {
	for _, c := range s.all() {
		c.Gone()
	}
}

// A cancel request names a session by a number of 32 bits, and the load balancer
// may send it to any VM. The upper bits are the number of the session's VM.
const cancelSessionBits = 22

func cancelSession(id uint64) uint32 { return uint32(id) & (1<<cancelSessionBits - 1) }

// processID is the number by which the client's cancel requests name the session.
func (c *client) processID() uint32 {
	index, _ := c.sessions.Index()
	return uint32(index)<<cancelSessionBits | cancelSession(c.st.ID)
}

// Cancel implements pgserver.Sessions.
func (s *Sessions) Cancel(processID, secret uint32) {
	index := uint16(processID >> cancelSessionBits)
	if own, listed := s.Index(); listed && own != index {
		s.ForwardCancel(index, processID&(1<<cancelSessionBits-1), secret)
		return
	}
	s.CancelOwn(processID&(1<<cancelSessionBits-1), secret)
}

// CancelOwn cancels the request of a session of this VM. A wrong secret has no
// effect.
func (s *Sessions) CancelOwn(id, secret uint32) {
	s.mu.Lock()
	c := s.byCancel[id]
	s.mu.Unlock()
	if c == nil || c.secret != secret {
		return
	}
	c.post(func(time.Time) []session.Effect { return s.Decider.Cancel(c.st) })
}

// Granted implements pgbackend.Waiters.
func (s *Sessions) Granted(id state.WaiterID, server string, conn state.ConnID) {
	c := s.lookup(id.Session)
	if c == nil || !c.post(func(now time.Time) []session.Effect {
		return s.Decider.Granted(c.st, id.Request, server, conn, now)
	}) {
		s.backends.Release(server, conn, time.Now())
	}
}

// NotGranted implements pgbackend.Waiters.
func (s *Sessions) NotGranted(id state.WaiterID, reason queueing.Reason) {
	if c := s.lookup(id.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.NotGranted(c.st, id.Request, reason, now)
		})
	}
}

// Resolved takes the result of a wait for positions.
func (s *Sessions) Resolved(id state.WaiterID, r replication.Result) {
	if c := s.lookup(id.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.Resolved(c.st, id.Request, r, now)
		})
	}
}

// Admitted takes the decision on a request that waited for a token.
func (s *Sessions) Admitted(d share.Decision) {
	if c := s.lookup(d.ID.Session); c != nil {
		c.post(func(now time.Time) []session.Effect {
			return s.Decider.Admitted(c.st, d.ID.Request, d.Admission, now)
		})
	}
}

func newSecret() uint32 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic("no random numbers: " + err.Error())
	}
	return binary.BigEndian.Uint32(b[:])
}

// token returns the client's session token. The session must not be locked.
func (c *client) token() string {
	c.st.Lock()
	defer c.st.Unlock()
	return token.Encode(c.sessions.Secret, c.st.Customer, c.st.Token)
}
