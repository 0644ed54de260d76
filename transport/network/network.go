// Package network abstracts the connections of the transport layer to other
// processes, so that tests can substitute an in-memory network.
package network

import (
	"context"
	"net"
)

// Network listens on and dials addresses of the form host:port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP implements Network with the TCP stack of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
