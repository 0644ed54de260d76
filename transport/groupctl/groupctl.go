// Package groupctl is the client of the control interface of backend servers.
package groupctl

import (
	"context"
	"errors"
	"syscall"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Client gives orders to one backend server. Every method returns when ctx is
// done at the latest. A refused order returns the server's status together with
// a *RefusedError; after any other error it is not known whether the order was
// carried out, and the status is empty.
type Client interface {
	Status(ctx context.Context) (state.ServerStatus, error)
	Adopt(ctx context.Context, term uint64) (state.ServerStatus, error)
	Promote(ctx context.Context, term uint64) (state.ServerStatus, error)
	Follow(ctx context.Context, term uint64, primary string) (state.ServerStatus, error)
	Switchover(ctx context.Context, term uint64, to string) (state.ServerStatus, error)
	Resume(ctx context.Context, term uint64) (state.ServerStatus, error)
}

// Factory returns the client of the server with the given control address.
type Factory func(controlAddress string) Client

// RefusedError is an order that the server understood and refused.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "refused by the server: " + e.Reason }

// Down reports whether a call failed because the host refused the connection:
// the host runs, and no process listens at the control address.
func Down(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
