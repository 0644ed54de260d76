package store

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Server serves a store over HTTP at an address. It does not listen during an outage
// that refuses connections.
type Server struct {
	store   *Store
	network network.Network
	address string
	running sync.WaitGroup

	sem         chan struct{}      // semaphore with one token, which guards the fields below
	http        *http.Server       // nil while it does not listen
	cancelCalls context.CancelFunc // ends the calls that wait
	closed      bool
}

// Serve starts a server at an address. Port 0 picks a free port. The caller must call
// Close on the server.
func (s *Store) Serve(n network.Network, address string) (*Server, error) {
	server := &Server{store: s, network: n, address: address, sem: make(chan struct{}, 1)}
	server.sem <- struct{}{}
	if err := server.listen(); err != nil {
		return nil, err
	}
	s.faults.register(server)
	server.applyOutage()
	return server, nil
}

// Address returns the server's address. It stays the same during and after outages.
func (s *Server) Address() string { return s.address }

// Close closes the listener and all connections, and waits until the goroutine that
// accepts connections has ended.
func (s *Server) Close() {
	s.store.faults.unregister(s)
	<-s.sem
	s.closed = true
	s.stopListening()
	s.sem <- struct{}{}
	s.running.Wait()
}

// applyOutage stops or resumes listening according to the current outage.
func (s *Server) applyOutage() {
	<-s.sem
	defer func() { s.sem <- struct{}{} }()
	outage, _ := s.store.faults.state()
	switch {
	case s.closed:
	case outage == Refusing:
		s.stopListening()
	case s.http == nil:
		if err := s.listen(); err != nil {
			// Only another listener of the test can have taken the port.
			panic("store: listen again after an outage: " + err.Error())
		}
	}
}

// listen opens a listener and serves it. The first call replaces port 0 of the address
// by the port that was picked. Later callers hold the token of sem.
func (s *Server) listen() error {
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	if s.address != l.Addr().String() { // only written once: Address reads it without sem
		s.address = l.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     s.store,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.http, s.cancelCalls = server, cancel
	s.running.Go(func() { _ = server.Serve(l) })
	return nil
}

// stopListening closes the listener and all connections and ends waiting calls, if the
// server listens. The caller holds the token of sem.
func (s *Server) stopListening() {
	if s.http == nil {
		return
	}
	s.cancelCalls()
	s.http.Close()
	s.http = nil
}
