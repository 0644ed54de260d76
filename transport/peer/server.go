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

// Limits of the server. Sizes are in bytes.
const (
	maxMessageBody  = 128 << 10
	maxSnapshotBody = 2 << 20 // the store's largest value of 1 MiB, incompressible and in base64
	// maxPushes limits the memory that unauthenticated pushes can use. A VM has
	// two relays, and a relay sends it one push at a time.
	maxPushes = 4

	readTimeout   = 10 * time.Second
	handleTimeout = 5 * time.Second
	writeTimeout  = readTimeout + handleTimeout + 5*time.Second
	// serverIdleTimeout exceeds the client's idleTimeout, so that the client
	// does not send on a connection that the server is closing.
	serverIdleTimeout = idleTimeout + 30*time.Second
	closeTimeout      = time.Second
	maxHeaderBytes    = 4 << 10
)

// Options configure a client or a server. Handler is for servers only. Logger,
// Scope, Tracer and Now have defaults.
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

// Handler handles authenticated messages. If it returns an error, the response
// has status 503 and does not contain the error.
type Handler interface {
	Exchange(ctx context.Context, m *peerapi.Exchange) (*peerapi.ExchangeResponse, error)
	Config(ctx context.Context, m *peerapi.ConfigPush) error
	Cancel(ctx context.Context, m *peerapi.Cancel) error
}

// Server receives messages from other VMs.
type Server struct {
	options        Options
	signer         signer
	meter          *meter
	replay         *replayGuard
	pushSlots      chan struct{} // semaphore with one element for each push being received
	warningLimiter rateLimiter
	started        time.Time
	listener       net.Listener
	http           *http.Server
}

// NewServer returns a server that listens on the address. Call Serve to handle
// requests.
func NewServer(o Options, address string) (*Server, error) {
	o = o.withDefaults()
	if len(o.Secret) == 0 {
		return nil, eris.New("peer server requires a secret")
	}
	l, err := o.Network.Listen(address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		options:   o,
		signer:    signer{secret: o.Secret},
		meter:     newMeter(o.Scope),
		replay:    newReplayGuard(),
		pushSlots: make(chan struct{}, maxPushes),
		started:   o.Now(),
	}
	s.listener = &boundedListener{Listener: l, meter: s.meter}
	s.http = &http.Server{
		Handler:        s.mux(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(io.Discard, "", 0), // the client counts failed connections
	}
	return s, nil
}

func (s *Server) mux() *http.ServeMux {
	h := s.options.Handler
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peerapi.PathExchange, newHandlerFunc(s, peerapi.PathExchange, maxMessageBody,
		func(m *peerapi.Exchange) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.Exchange) (any, error) { return h.Exchange(ctx, m) }))
	mux.HandleFunc("POST "+peerapi.PathConfig, s.limitPushes(newHandlerFunc(s, peerapi.PathConfig, maxSnapshotBody,
		func(m *peerapi.ConfigPush) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.ConfigPush) (any, error) { return struct{}{}, h.Config(ctx, m) })))
	mux.HandleFunc("POST "+peerapi.PathCancel, newHandlerFunc(s, peerapi.PathCancel, maxMessageBody,
		func(m *peerapi.Cancel) peerapi.Sender { return m.Sender },
		func(ctx context.Context, m *peerapi.Cancel) (any, error) { return struct{}{}, h.Cancel(ctx, m) }))
	return mux
}

// Serve handles requests until Close is called, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve peers")
}

// Close stops listening, waits up to closeTimeout for requests in progress, and
// closes all connections.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	_ = s.listener.Close() // the HTTP server does not close it if Serve was never called
}

// limitPushes refuses a push while maxPushes others are being received. The
// VM then receives the configuration through the regular exchange.
func (s *Server) limitPushes(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.pushSlots <- struct{}{}:
			defer func() { <-s.pushSlots }()
			next(w, r)
		default:
			s.refuse(w, r, refusedPush)
		}
	}
}

// newHandlerFunc returns the HTTP handler for one kind of message. It
// authenticates and decodes the message, rejects replays, and calls f.
func newHandlerFunc[M any](s *Server, path string, limit int64, sender func(*M) peerapi.Sender, f func(context.Context, *M) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, mac, reason := s.authenticate(w, r, path, limit)
		if reason != "" {
			s.refuse(w, r, reason)
			return
		}
		m := new(M)
		if json.Unmarshal(body, m) != nil {
			s.refuse(w, r, refusedBody)
			return
		}
		from := sender(m)
		if !s.replay.accept(processID{from.Name, from.Incarnation}, from.Sequence, s.options.Now()) {
			s.refuse(w, r, refusedReplay)
			return
		}
		s.meter.countMessage(received, body)
		ctx, cancel := s.messageContext(r, path)
		defer cancel()
		result, err := f(ctx, m)
		if err != nil {
			http.Error(w, "not available", http.StatusServiceUnavailable)
			return
		}
		s.respond(w, mac, result)
	}
}

// messageContext returns the context for handling a message, with a trace span.
func (s *Server) messageContext(r *http.Request, path string) (context.Context, context.CancelFunc) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.options.Tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindServer))
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	return ctx, func() {
		cancel()
		span.End()
	}
}

// authenticate reads the body and verifies the MAC and the timestamp. It verifies
// the MAC first, so that unauthenticated clients learn nothing from the check of
// the timestamp.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request, path string, limit int64) (body, mac []byte, _ refusalReason) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, nil, refusedBody
	}
	timestamp, mac, err := parseAuthHeader(r.Header.Get(macHeader))
	if err != nil {
		return nil, nil, refusedMAC
	}
	if !hmac.Equal(mac, s.signer.requestMAC(path, s.options.Name, timestamp, body)) {
		return nil, nil, refusedMAC
	}
	if !withinWindow(timestamp, s.started, s.options.Now()) {
		return nil, nil, refusedTimestamp
	}
	return body, mac, ""
}

func (s *Server) respond(w http.ResponseWriter, requestMAC []byte, result any) {
	body, err := json.Marshal(result)
	if err != nil {
		s.options.Logger.WithError(err).Error("peer: response cannot be encoded")
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	s.meter.countMessage(sent, body)
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil // omits the headers
	h.Set(macHeader, formatMAC(s.signer.responseMAC(requestMAC, s.options.Name, body)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the client detects the failed connection
}
