package groupctl

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

// countingNetwork is TCP with a count of the dials.
type countingNetwork struct {
	network.TCP
	dials atomic.Int32
}

func (c *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c.dials.Add(1)
	return c.TCP.Dial(ctx, address)
}

// startServer starts a server that accepts adopt commands for odd terms and refuses
// them for even ones, redirects follow commands to adopt, and does not answer promote
// commands until the caller disconnects. It returns the address.
func startServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o groupapi.Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.Method != http.MethodPost {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a := groupapi.Response{Status: state.ServerStatus{Server: "a", AdoptedTerm: o.Term}}
		switch {
		case r.URL.Path == groupapi.PathPromote:
			<-r.Context().Done()
			return
		case r.URL.Path == groupapi.PathFollow:
			http.Redirect(w, r, groupapi.PathAdopt, http.StatusTemporaryRedirect)
			return
		case o.Term%2 == 0:
			a.Refused = "even"
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(a)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a refusal that is reported as success or without the status, and
// against a new connection for each call.
func TestAnswersAndRefusalsShareAConnection(t *testing.T) {
	n := &countingNetwork{}
	h := NewHTTP(n)
	defer h.Close()
	address := startServer(t)
	for term := uint64(1); term <= 20; term++ {
		st, err := h.Client(address).Adopt(context.Background(), term)
		var refused *RefusedError
		if got := errors.As(err, &refused); got != (term%2 == 0) || !got && err != nil {
			t.Fatalf("term %d: unexpected error %v", term, err)
		}
		if st.AdoptedTerm != term {
			t.Fatalf("term %d: status %+v", term, st)
		}
	}
	if got := n.dials.Load(); got != 1 {
		t.Errorf("%d dials for 20 calls, want 1", got)
	}
}

// Guards against a command that reaches another server through a redirect.
func TestRedirectIsAnError(t *testing.T) {
	h := NewHTTP(network.TCP{})
	defer h.Close()
	if st, err := h.Client(startServer(t)).Follow(context.Background(), 1, "a"); err == nil {
		t.Errorf("redirect was followed: %+v", st)
	}
}

// Guards against calls that exceed their deadline, and against goroutines or
// connections that remain after Close is called during a call.
func TestDeadlineAndClose(t *testing.T) {
	h := NewHTTP(network.TCP{})
	c := h.Client(startServer(t))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Promote(ctx, 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want context.DeadlineExceeded", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Promote(context.Background(), 1)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // lets the call reach the server
	h.Close()
	if err := <-ended; err == nil {
		t.Error("call succeeded although Close cancelled it")
	}
	if _, err := c.Status(context.Background()); !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close returned %v, want ErrClosed", err)
	}
	if n := len(h.openConns()); n != 0 {
		t.Errorf("%d connections are open after Close", n)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
