package groupctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/groupapi"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

const (
	// maxIdleConnsPerServer allows for one status query and one concurrent command.
	maxIdleConnsPerServer = 2
	// idleConnTimeout closes connections to servers that this VM no longer queries.
	idleConnTimeout = 30 * time.Second
	// maxResponseBytes limits the body of a response. A status with 16 terms takes
	// about 1 KB.
	maxResponseBytes = 64 << 10
)

// ErrClosed is returned by calls made after HTTP.Close.
var ErrClosed = errors.New("control client is closed")

// HTTP creates clients that use JSON over HTTP. Clients for the same address share
// persistent connections.
type HTTP struct {
	client    *http.Client
	transport *http.Transport
	baseCtx   context.Context // done after Close; cancels dials and calls
	cancel    context.CancelFunc

	mu     sync.Mutex // guards closed and conns
	closed bool
	conns  map[*conn]struct{} // open connections
	calls  sync.WaitGroup     // calls and dials in progress
}

// NewHTTP returns a factory of clients that dial over the given network. The caller
// closes it after use.
func NewHTTP(n network.Network) *HTTP {
	h := &HTTP{conns: make(map[*conn]struct{})}
	h.baseCtx, h.cancel = context.WithCancel(context.Background())
	h.transport = &http.Transport{
		DialContext:         h.dialFunc(n),
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	h.client = &http.Client{Transport: h.transport, CheckRedirect: refuseRedirect}
	return h
}

// refuseRedirect prevents a command from reaching a server other than the one that
// it is meant for.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Client returns a client for the server with the given control address. The method
// is a Factory.
func (h *HTTP) Client(controlAddress string) Client {
	return &httpClient{h: h, baseURL: "http://" + controlAddress}
}

// Close cancels calls in progress, waits for them and closes all connections.
func (h *HTTP) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.calls.Wait()
	h.transport.CloseIdleConnections()
	for _, c := range h.openConns() {
		_ = c.Close() // the error is irrelevant because the connection is no longer used
	}
}

// beginCall registers a call or a dial with h.calls. It returns false after Close.
func (h *HTTP) beginCall() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.calls.Add(1)
	return true
}

func (h *HTTP) openConns() []*conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := make([]*conn, 0, len(h.conns))
	for c := range h.conns {
		open = append(open, c)
	}
	return open
}

// dialFunc returns a dial function that tracks connections. Close needs them because
// http.Transport completes a dial in the background if the call that started it
// received another connection.
func (h *HTTP) dialFunc(n network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if !h.beginCall() {
			return nil, ErrClosed
		}
		defer h.calls.Done()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(h.baseCtx, cancel)()
		raw, err := n.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, h: h}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns[c] = struct{}{}
		return c, nil
	}
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	h *HTTP
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	c.h.mu.Lock()
	delete(c.h.conns, c)
	c.h.mu.Unlock()
	return c.Conn.Close()
}

type httpClient struct {
	h       *HTTP
	baseURL string
}

func (c *httpClient) Status(ctx context.Context) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathStatus, groupapi.Order{})
}

func (c *httpClient) Adopt(ctx context.Context, term uint64) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathAdopt, groupapi.Order{Term: term})
}

func (c *httpClient) Promote(ctx context.Context, term uint64) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathPromote, groupapi.Order{Term: term})
}

func (c *httpClient) Follow(ctx context.Context, term uint64, primary string) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathFollow, groupapi.Order{Term: term, Server: primary})
}

func (c *httpClient) Switchover(ctx context.Context, term uint64, to string) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathSwitchover, groupapi.Order{Term: term, Server: to})
}

func (c *httpClient) Resume(ctx context.Context, term uint64) (state.ServerStatus, error) {
	return c.call(ctx, groupapi.PathResume, groupapi.Order{Term: term})
}

func (c *httpClient) call(ctx context.Context, path string, command groupapi.Order) (state.ServerStatus, error) {
	if !c.h.beginCall() {
		return state.ServerStatus{}, ErrClosed
	}
	defer c.h.calls.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.h.baseCtx, cancel)()

	body, err := json.Marshal(command)
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "encode control command")
	}
	// http.Transport repeats a POST only if no byte of it was written, so the server
	// receives the command at most once.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.h.client.Do(req)
	if err != nil {
		return state.ServerStatus{}, eris.Wrapf(err, "call %s", path)
	}
	return decodeResponse(resp)
}

// decodeResponse reads and closes the body of a response.
func decodeResponse(resp *http.Response) (state.ServerStatus, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return state.ServerStatus{}, eris.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	if len(body) > maxResponseBytes {
		return state.ServerStatus{}, eris.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	var response groupapi.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "decode response")
	}
	if resp.StatusCode == http.StatusConflict {
		return response.Status, &RefusedError{Reason: response.Refused}
	}
	return response.Status, nil
}
