// Package admin serves a VM's status, metrics and health over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/adminapi"
)

// readHeaderTimeout limits the time for reading the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Paths of the admin interface, in addition to adminapi.PathStatus.
const (
	PathMetrics = "/metrics" // metrics in the Prometheus text format
	PathHealth  = "/healthz" // 200 while the process runs; for liveness checks
	PathReady   = "/readyz"  // 200 while the VM accepts new sessions, otherwise 503; for load balancers
)

// Options are the listener and the data sources of a Server. Listener, Ready and
// Logger are required.
type Options struct {
	Listener net.Listener
	// Status returns the VM's status, without its lists if brief is set. If nil, the
	// status path is not served.
	Status func(brief bool) adminapi.Status
	// Ready returns the reason why the VM does not accept new sessions, or an empty
	// string if it does.
	Ready   func() string
	Metrics http.Handler // serves PathMetrics; may be nil
	Logger  log.Interface
}

// Server serves the admin interface of one VM.
type Server struct {
	Options
	http *http.Server
}

// New returns a server. Run starts it.
func New(o Options) *Server {
	s := &Server{Options: o}
	mux := http.NewServeMux()
	if o.Status != nil {
		mux.HandleFunc("GET "+adminapi.PathStatus, s.handleStatus)
	}
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+PathReady, s.handleReady)
	if o.Metrics != nil {
		mux.Handle("GET "+PathMetrics, o.Metrics)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Run serves requests until ctx is done, and then closes the listener and all
// connections. It returns an error if the listener fails.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the admin interface")
	}
	return nil
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	brief := r.URL.Query().Get(adminapi.QueryBrief) == "true"
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Status(brief)); err != nil {
		s.Logger.WithError(err).Debug("admin: failed to write status response")
	}
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
