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
	// memorySettle is left to goroutines that end after a login.
	memorySettle = 500 * time.Millisecond
	// loginTimeout bounds a login.
	loginTimeout = 10 * time.Second
)

// IdleMemory is what idle client connections cost. The client's end is a bare
// socket without buffers, so nearly all of it is the VM's.
type IdleMemory struct {
	Connections    int
	BytesEach      uint64
	GoroutinesEach float64
}

// idleMemory opens connections, uses each once, and measures what they keep.
func idleMemory(f *fleet.Fleet, n int) (*IdleMemory, error) {
	time.Sleep(memorySettle)
	before, goroutines := processMemory(), runtime.NumGoroutine()
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range n {
		c, err := bareClient(f)
		if err != nil {
			return nil, fmt.Errorf("connection %d: %w", len(conns)+1, err)
		}
		conns = append(conns, c)
	}
	time.Sleep(memorySettle)
	after := processMemory()
	return &IdleMemory{
		Connections:    n,
		BytesEach:      (max(after, before) - before) / uint64(n),
		GoroutinesEach: float64(runtime.NumGoroutine()-goroutines) / float64(n),
	}, nil
}

// bareClient logs in, runs a statement and keeps the socket only.
func bareClient(f *fleet.Fleet) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loginTimeout)
	defer cancel()
	conn, err := f.DialVM(ctx, 0)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(loginTimeout)); err != nil {
		return nil, err
	}
	front := pgproto3.NewFrontend(conn, conn)
	customer := f.Profile.Customers[0].Name
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": customer, "database": f.Profile.Groups[0], fleet.SessionParameter: ""},
	})
	if err := await(front, isPasswordRequest); err != nil {
		return nil, err
	}
	front.Send(&pgproto3.PasswordMessage{Password: fleet.Key(customer)})
	if err := await(front, isReady); err != nil {
		return nil, err
	}
	front.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := await(front, isReady); err != nil {
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

// await sends what is queued and reads up to the wanted message.
func await(front *pgproto3.Frontend, wanted func(m pgproto3.BackendMessage) bool) error {
	if err := front.Flush(); err != nil {
		return err
	}
	for {
		msg, err := front.Receive()
		if err != nil {
			return err
		}
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			return fmt.Errorf("%s: %s", e.Code, e.Message)
		}
		if wanted(msg) {
			return nil
		}
	}
}
