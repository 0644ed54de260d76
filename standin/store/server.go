package store

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// Server serves a store on an address. During an outage that refuses
// connections it does not listen.
type Server struct {
	store   *Store
	network network.Network
	address string
	running sync.WaitGroup

	turn   chan struct{}      // holds one token; taken while http and stop change
	http   *http.Server       // nil while it does not listen
	stop   context.CancelFunc // ends the calls that wait
	closed bool
}

// Serve listens on an address. Port 0 picks one.
func (s *Store) Serve(n network.Network, address string) (*Server, error) {
	server := &Server{store: s, network: n, address: address, turn: make(chan struct{}, 1)}
	server.turn <- struct{}{}
	if err := server.listen(); err != nil {
		return nil, err
	}
	s.faults.register(server)
	server.apply()
	return server, nil
}

// Address returns the address that the server listens on, also during an
// outage.
func (s *Server) Address() string { return s.address }

// Close closes the listener and all connections, and waits for the listener's
// goroutine to end.
func (s *Server) Close() {
	s.store.faults.unregister(s)
	<-s.turn
	s.closed = true
	s.cut()
	s.turn <- struct{}{}
	s.running.Wait()
}

// apply makes the server follow the outage in force.
func (s *Server) apply() {
	<-s.turn
	defer func() { s.turn <- struct{}{} }()
	outage, _ := s.store.faults.state()
	switch {
	case s.closed:
	case outage == Refusing:
		s.cut()
	case s.http == nil:
		if err := s.listen(); err != nil {
			// The port was the server's own; only a broken test takes it.
			panic("store: cannot listen again: " + err.Error())
		}
	}
}

// listen opens the address, which stays the same from the first time on.
func (s *Server) listen() error {
	l, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	if s.address != l.Addr().String() { // a port was picked
		s.address = l.Addr().String()
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:     s.store,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	s.http, s.stop = server, stop
	s.running.Go(func() { _ = server.Serve(l) })
	return nil
}

// cut closes the listener and all connections.
func (s *Server) cut() {
	if s.http == nil {
		return
	}
	s.stop()
	s.http.Close()
	s.http = nil
}
