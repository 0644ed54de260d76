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

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// Paths besides that of the status.
const (
	PathMetrics = "/metrics" // metrics in the Prometheus text format
	PathHealth  = "/healthz" // 200 while the process runs
	PathReady   = "/readyz"  // 200 while the VM takes work; load balancers ask for it
)

// Options are what the interface reports.
type Options struct {
	Listener net.Listener
	// Status returns the status, without its lists if brief is set; nil if there
	// is none.
	Status func(brief bool) adminapi.Status
	// Ready returns why the VM takes no work, or an empty text if it does.
	Ready   func() string
	Metrics http.Handler // nil if there are none
	Logger  log.Interface
}

// Server serves the admin interface.
type Server struct {
	Options
	http *http.Server
}

// New returns a server. Run starts it.
func New(o Options) *Server {
	s := &Server{Options: o}
	mux := http.NewServeMux()
	if o.Status != nil {
		mux.HandleFunc("GET "+adminapi.PathStatus, s.status)
	}
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET "+PathReady, s.ready)
	if o.Metrics != nil {
		mux.Handle("GET "+PathMetrics, o.Metrics)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve the admin interface")
	}
	return nil
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	brief := r.URL.Query().Get(adminapi.QueryBrief) == "true"
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Status(brief)); err != nil {
		s.Logger.WithError(err).Debug("admin: status was not sent.")
	}
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
