// Package groupctl is a client for the control interface of backend servers, by
// which VMs query a server's replication status and change its role.
package groupctl

import (
	"context"
	"errors"
	"syscall"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Client sends commands to one backend server. Every method returns when ctx is
// done at the latest. If the server refuses a command, the method returns the
// server's status and a *RefusedError. After any other error the status is empty,
// and the server may or may not have executed the command.
type Client interface {
	// Status returns the server's status and changes nothing.
	Status(ctx context.Context) (state.ServerStatus, error)
	// Adopt makes the server promise to refuse lower terms. It is refused unless the
	// term is above the adopted one.
	Adopt(ctx context.Context, term uint64) (state.ServerStatus, error)
	// Promote makes the server the primary of the term that it has adopted.
	Promote(ctx context.Context, term uint64) (state.ServerStatus, error)
	// Follow makes the server a replica of the named primary of the term.
	Follow(ctx context.Context, term uint64, primary string) (state.ServerStatus, error)
	// Switchover makes the primary refuse writes, and returns when the named server
	// holds the whole log.
	Switchover(ctx context.Context, term uint64, to string) (state.ServerStatus, error)
	// Resume makes the primary accept writes again after an abandoned switchover.
	Resume(ctx context.Context, term uint64) (state.ServerStatus, error)
}

// Factory returns a client for the server with the given control address.
type Factory func(controlAddress string) Client

// RefusedError is returned if the server understood a command and refused it.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "refused by the server: " + e.Reason }

// Down reports whether a call failed because the connection was refused: the host
// is up, but no process listens at the control address.
func Down(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
