package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/chestnutdyke/chestnutdyke/standin/fleet"
)

const (
	// memorySettleTime lets goroutines end that run only during a login.
	memorySettleTime = 500 * time.Millisecond
	// loginTimeout limits a login and the first statement.
	loginTimeout = 10 * time.Second
)

// IdleMemory holds the cost of idle client connections. The client keeps only a
// socket without buffers, so the VM accounts for nearly all of it.
type IdleMemory struct {
	Connections    int
	BytesEach      uint64  // heap and stacks per connection
	GoroutinesEach float64 // goroutines per connection
}

// measureIdleMemory opens n connections, runs one statement on each, and measures
// the memory and goroutines that they keep.
func measureIdleMemory(f *fleet.Fleet, n int) (*IdleMemory, error) {
	time.Sleep(memorySettleTime)
	before, goroutines := processMemory(), runtime.NumGoroutine()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range n {
		c, err := openIdleConnection(f)
		if err != nil {
			return nil, fmt.Errorf("connection %d: %w", len(conns)+1, err)
		}
		conns = append(conns, c)
	}
	time.Sleep(memorySettleTime)
	after := processMemory()
	return &IdleMemory{
		Connections:    n,
		BytesEach:      (max(after, before) - before) / uint64(n),
		GoroutinesEach: float64(runtime.NumGoroutine()-goroutines) / float64(n),
	}, nil
}

// openIdleConnection logs in, runs a statement and returns the socket.
func openIdleConnection(f *fleet.Fleet) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loginTimeout)
	defer cancel()
	conn, err := f.DialVM(ctx, 0)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return nil, err
	}
	frontend := pgproto3.NewFrontend(conn, conn)
	customer := f.Profile.Customers[0].Name
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": customer, "database": f.Profile.Groups[0], fleet.SessionParameter: ""},
	})
	if err := receiveUntil(frontend, isPasswordRequest); err != nil {
		return nil, err
	}
	frontend.Send(&pgproto3.PasswordMessage{Password: fleet.Key(customer)})
	if err := receiveUntil(frontend, isReady); err != nil {
		return nil, err
	}
	frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := receiveUntil(frontend, isReady); err != nil {
		return nil, err
	}
	return conn, conn.SetDeadline(time.Time{})
}

func isPasswordRequest(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.AuthenticationCleartextPassword)
	return ok
}

func isReady(m pgproto3.BackendMessage) bool {
	_, ok := m.(*pgproto3.ReadyForQuery)
	return ok
}

// receiveUntil flushes queued messages and receives up to the first message that
// matches. It fails if the VM sends an error.
func receiveUntil(frontend *pgproto3.Frontend, matches func(m pgproto3.BackendMessage) bool) error {
	if err := frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return err
		}
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			return fmt.Errorf("%s: %s", e.Code, e.Message)
		}
		if matches(msg) {
			return nil
		}
	}
}
