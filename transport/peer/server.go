package peer

import (
	"context"
	"crypto/hmac"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Limits of bodies in bytes and of times on the server's side.
const (
	maxPlainBody    = 128 << 10
	maxSnapshotBody = 2 << 20 // the store's largest value of 1 MiB, were it not compressible, in base64
	// maxPushes bounds the memory that unauthenticated pushes can take. A relay
	// sends one at a time, and a VM has two.
	maxPushes = 4

	readTimeout   = 10 * time.Second
	handleTimeout = 5 * time.Second
	writeTimeout  = readTimeout + handleTimeout + 5*time.Second
	// serverIdleTimeout is longer than the client's, so that the client does
	// not send on a connection that is being closed.
	serverIdleTimeout = idleTimeout + 30*time.Second
	closeTimeout      = time.Second
	maxHeaderBytes    = 4 << 10
)

// Options are the options of a client or a server. Handler is for servers only.
// Logger, Scope, Tracer and Now have defaults.
type Options struct {
	Name    string // of this VM
	Secret  []byte // shared by the fleet
	Network network.Network
	Handler Handler
	Logger  log.Interface
	Scope   tally.Scope
	Tracer  trace.Tracer
	Now     func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Handler handles authenticated messages. An error is answered with status 503
// and tells the sender nothing else.
type Handler interface {
	Exchange(ctx context.Context, m *peerapi.Exchange) (*peerapi.ExchangeAnswer, error)
	Config(ctx context.Context, m *peerapi.ConfigPush) error
	Cancel(ctx context.Context, m *peerapi.Cancel) error
}

// Server receives messages from other VMs.
type Server struct {
	options  Options
	signer   signer
	meter    *meter
	replay   *replayGuard
	pushes   chan struct{} // holds an element for each push that is being received
	warnings throttle
	started  time.Time
	listener net.Listener
	http     *http.Server
}

// NewServer listens on the address. Serve answers requests.
func NewServer(o Options, address string) (*Server, error) {
	o = o.withDefaults()
	if len(o.Secret) == 0 {
		return nil, eris.New("peer server without a secret")
	}
	l, err := o.Network.Listen(address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		options: o,
		signer:  signer{secret: o.Secret},
		meter:   newMeter(o.Scope),
		replay:  newReplayGuard(),
		pushes:  make(chan struct{}, maxPushes),
		started: o.Now(),
	}
	s.listener = &boundedListener{Listener: l, meter: s.meter}
	s.http = &http.Server{
		Handler:        s.mux(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(io.Discard, "", 0), // failed connections are counted by the other side
	}
	return s, nil
}

func (s *Server) mux() *http.ServeMux {
	h := s.options.Handler
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerapi.PathExchange, handle(s, peerapi.PathExchange, maxPlainBody,
		func(m *peerapi.Exchange) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.Exchange) (any, error) { return h.Exchange(ctx, m) }))
	mux.HandleFunc("POST "+peerapi.PathConfig, s.bounded(handle(s, peerapi.PathConfig, maxSnapshotBody,
		func(m *peerapi.ConfigPush) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.ConfigPush) (any, error) { return struct{}{}, h.Config(ctx, m) })))
	mux.HandleFunc("POST "+peerapi.PathCancel, handle(s, peerapi.PathCancel, maxPlainBody,
		func(m *peerapi.Cancel) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.Cancel) (any, error) { return struct{}{}, h.Cancel(ctx, m) }))
	return mux
}

// Serve answers requests until Close is called, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve peers")
}

// Close stops listening, waits a moment for requests that are being handled,
// and closes all connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	_ = s.listener.Close() // not known to the HTTP server if Serve was never called
}

// bounded refuses a push while too many others are being received. The exchange
// delivers the configuration then.
func (s *Server) bounded(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.pushes <- struct{}{}:
			defer func() { <-s.pushes }()
			next(w, r)
		default:
			s.refuse(w, r, refusedPush)
		}
	}
}

// handle returns the HTTP handler of one kind of message.
func handle[M any](s *Server, path string, limit int64, sender func(*M) peerapi.Sender, f func(context.Context, *M) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, mac, refused := s.authenticate(w, r, path, limit)
		if refused != "" {
			s.refuse(w, r, refused)
			return
		}
		m := new(M)
		if json.Unmarshal(body, m) != nil {
			s.refuse(w, r, refusedBody)
			return
		}
		from := sender(m)
		if !s.replay.accept(process{from.Name, from.Incarnation}, from.Sequence, s.options.Now()) {
			s.refuse(w, r, refusedReplay)
			return
		}
		s.meter.message(received, body)
		ctx, cancel := s.context(r, path)
		defer cancel()
		answer, err := f(ctx, m)
		if err != nil {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		s.answer(w, mac, answer)
	}
}

// context returns the context in which a message is handled, with its span.
func (s *Server) context(r *http.Request, path string) (context.Context, context.CancelFunc) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.options.Tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindServer))
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	return ctx, func() {
		cancel()
		span.End()
	}
}

// authenticate reads the body and checks the code and the timestamp. The code
// comes first, so that a stranger learns nothing from the other checks.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, path string, limit int64) (body, mac []byte, _ refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, nil, refusedBody
	}
	timestamp, mac, err := parseStamp(r.Header.Get(macHeader))
	if err != nil {
		return nil, nil, refusedCode
	}
	if !hmac.Equal(mac, s.signer.request(path, s.options.Name, timestamp, body)) {
		return nil, nil, refusedCode
	}
	if !withinWindow(timestamp, s.started, s.options.Now()) {
		return nil, nil, refusedTimestamp
	}
	return body, mac, ""
}

func (s *Server) answer(w http.ResponseWriter, request []byte, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		s.options.Logger.WithError(err).Error("peer: answer cannot be encoded")
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	s.meter.message(sent, body)
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil // leaves the headers out
	h.Set(macHeader, formatMAC(s.signer.answer(request, s.options.Name, body)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the client notices a connection that fails here
}
