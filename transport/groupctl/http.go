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
	// idlePerServer is the number of idle connections kept per server: one for
	// status queries, and one for an order that runs at the same time.
	idlePerServer = 2
	// idleTimeout closes the connections to servers that this VM no longer asks.
	idleTimeout = 30 * time.Second
	// maxAnswer bounds the body of an answer in bytes. A status with 16 terms
	// takes about 1 KB.
	maxAnswer = 64 << 10
)

// ErrClosed is returned for calls after Close.
var ErrClosed = errors.New("control client is closed")

// HTTP makes clients that use HTTP with JSON. Connections are kept and shared
// by all clients of the same address.
type HTTP struct {
	client    *http.Client
	transport *http.Transport
	base      context.Context // done after Close; ends dials
	cancel    context.CancelFunc

	mu     sync.Mutex // guards closed and conns
	closed bool
	conns  map[*conn]struct{} // open connections
	calls  sync.WaitGroup     // running calls and dials
}

// NewHTTP returns a maker of clients that dial over the given network. Close it
// after use.
func NewHTTP(n network.Network) *HTTP {
	h := &HTTP{conns: make(map[*conn]struct{})}
	h.base, h.cancel = context.WithCancel(context.Background())
	h.transport = &http.Transport{
		DialContext:         h.dialer(n),
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	h.client = &http.Client{Transport: h.transport, CheckRedirect: refuseRedirect}
	return h
}

// refuseRedirect keeps an order from reaching another server than the one it is
// for.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Client returns a client of the server with the given control address. It is
// a Factory.
func (h *HTTP) Client(controlAddress string) Client {
	return &httpClient{h: h, base: "http://" + controlAddress}
}

// Close cancels running calls, waits for them and closes all connections.
func (h *HTTP) Close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	h.calls.Wait()
	h.transport.CloseIdleConnections()
	for _, c := range h.openConns() {
		_ = c.Close() // the connection is given up; its error has no use
	}
}

// begin registers a call or a dial. It reports false after Close.
func (h *HTTP) begin() bool {
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

// dialer tracks connections, because http.Transport completes a dial in the
// background when the call that asked for it got another connection.
func (h *HTTP) dialer(n network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if !h.begin() {
			return nil, ErrClosed
		}
		defer h.calls.Done()
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(h.base, cancel)()
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

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.h.mu.Lock()
	delete(c.h.conns, c)
	c.h.mu.Unlock()
	return c.Conn.Close()
}

type httpClient struct {
	h    *HTTP
	base string
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

func (c *httpClient) call(ctx context.Context, path string, order groupapi.Order) (state.ServerStatus, error) {
	if !c.h.begin() {
		return state.ServerStatus{}, ErrClosed
	}
	defer c.h.calls.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.h.base, cancel)()

	body, err := json.Marshal(order)
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "encode order")
	}
	// http.Transport sends a POST again only if no byte of it was written.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.h.client.Do(req)
	if err != nil {
		return state.ServerStatus{}, eris.Wrapf(err, "call %s", path)
	}
	return decode(resp)
}

func decode(resp *http.Response) (state.ServerStatus, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return state.ServerStatus{}, eris.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	if len(body) > maxAnswer {
		return state.ServerStatus{}, eris.Errorf("answer is longer than %d bytes", maxAnswer)
	}
	var answer groupapi.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return state.ServerStatus{}, eris.Wrap(err, "decode answer")
	}
	if resp.StatusCode == http.StatusConflict {
		return answer.Status, &RefusedError{Reason: answer.Refused}
	}
	return answer.Status, nil
}
