package peer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// pipeNet is an in-memory network with a single listener, over net.Pipe.
type pipeNet struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipeNet { return &pipeNet{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipeNet) Listen(string) (net.Listener, error) { return p, nil }
func (p *pipeNet) Addr() net.Addr                      { return &net.TCPAddr{} }

func (p *pipeNet) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNet) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// handler counts the messages that it handles.
type handler struct{ handled int }

func (h *handler) Exchange(context.Context, *peerapi.Exchange) (*peerapi.ExchangeResponse, error) {
	h.handled++
	return &peerapi.ExchangeResponse{Sender: peerapi.Sender{Name: "b", Incarnation: 1, Sequence: uint64(h.handled)}}, nil
}
func (h *handler) Config(context.Context, *peerapi.ConfigPush) error { return errors.New("busy") }
func (h *handler) Cancel(context.Context, *peerapi.Cancel) error     { h.handled++; return nil }

// start runs a server named b and returns a client named a.
func start(t *testing.T, h *handler) (*Client, tally.TestScope) {
	t.Helper()
	scope := tally.NewTestScope("", nil)
	o := Options{Name: "b", Secret: []byte("secret"), Network: newPipes(), Handler: h, Scope: scope}
	server, err := NewServer(o, "b:1")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve() }()
	o.Name = "a"
	client := NewClient(o)
	t.Cleanup(func() {
		client.Close()
		server.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return client, scope
}

func message(sequence uint64) *peerapi.Exchange {
	return &peerapi.Exchange{Sender: peerapi.Sender{Name: "a", Incarnation: 1, Sequence: sequence}}
}

var b = Target{Name: "b", Address: "b:1"}

// deadline returns a context for a call that may take a second.
func deadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against messages that are lost or counted wrongly, handler errors that
// are reported as success, and goroutines that outlive Close (the synctest bubble
// fails if one does).
func TestMessagesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &handler{}
		client, scope := start(t, h)
		for i := range uint64(3) {
			if _, err := client.Exchange(deadline(t), b, message(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		if err := client.Cancel(deadline(t), b, &peerapi.Cancel{Sender: peerapi.Sender{Name: "a", Incarnation: 1, Sequence: 9}}); err != nil {
			t.Fatal(err)
		}
		push := &peerapi.ConfigPush{Sender: peerapi.Sender{Name: "a", Incarnation: 1, Sequence: 10}}
		if err := client.PushConfig(deadline(t), b, push); err == nil {
			t.Error("a push that failed looks like success")
		}
		if h.handled != 4 {
			t.Errorf("%d messages handled, want 4", h.handled)
		}
		counts := scope.Snapshot().Counters()
		sender := counts["section_bytes+direction=sent,section=sender"].Value()
		wire := counts["wire_bytes+direction=sent"].Value()
		if sender == 0 || wire <= sender {
			t.Errorf("counted %d bytes of senders in %d bytes sent", sender, wire)
		}
	})
}

// Guards against accepting messages from senders without the secret, messages
// meant for another VM or path, and replayed messages.
func TestRefusedMessages(t *testing.T) {
	type attempt struct {
		path, receiver, secret string
		offset                 time.Duration // of the timestamp, relative to now
		sequence               uint64
		uptime                 time.Duration // time since the server started; a minute if zero
		modify                 func(r *http.Request)
	}
	tests := []struct {
		name    string
		attempt attempt
		reason  refusalReason
	}{
		{"wrong secret", attempt{secret: "guess"}, refusedMAC},
		{"meant for another VM", attempt{receiver: "c"}, refusedMAC},
		{"meant for another path", attempt{path: peerapi.PathCancel}, refusedMAC},
		{"modified body", attempt{modify: func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(`{"sender":{"name":"x"}}`))
			r.ContentLength = -1
		}}, refusedMAC},
		{"no MAC", attempt{modify: func(r *http.Request) { r.Header.Del(macHeader) }}, refusedMAC},
		{"old", attempt{offset: -timestampWindow - time.Millisecond}, refusedTimestamp},
		{"from the future", attempt{offset: timestampWindow + time.Millisecond}, refusedTimestamp},
		{"sent to an earlier process", attempt{offset: -time.Second - time.Millisecond, uptime: time.Second}, refusedTimestamp},
		{"replayed", attempt{sequence: 2000}, refusedReplay},
		{"older than the window of sequence numbers", attempt{sequence: 2000 - sequenceWindow}, refusedReplay},
		{"too long", attempt{modify: func(r *http.Request) {
			r.Body = io.NopCloser(bytes.NewReader(make([]byte, maxMessageBody+1)))
			r.ContentLength = -1
		}}, refusedBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &handler{}
				client, scope := start(t, h)
				a := tt.attempt
				time.Sleep(cmp.Or(a.uptime, time.Minute))
				if _, err := client.Exchange(deadline(t), b, message(2000)); err != nil {
					t.Fatal(err)
				}
				body, _ := json.Marshal(message(cmp.Or(a.sequence, 2001)))
				timestamp := time.Now().Add(a.offset).UnixMilli()
				mac := signer{secret: []byte(cmp.Or(a.secret, "secret"))}.
					requestMAC(cmp.Or(a.path, peerapi.PathExchange), cmp.Or(a.receiver, "b"), timestamp, body)
				r, err := client.newRequest(deadline(t), b, peerapi.PathExchange, body, formatAuthHeader(timestamp, mac))
				if err != nil {
					t.Fatal(err)
				}
				if a.modify != nil {
					a.modify(r)
				}
				response, err := client.http.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
				if response.StatusCode == http.StatusOK || h.handled != 1 {
					t.Errorf("status %d, %d messages handled", response.StatusCode, h.handled)
				}
				name := "refused+reason=" + string(tt.reason)
				if scope.Snapshot().Counters()[name].Value() != 1 {
					t.Errorf("not counted as %s", name)
				}
			})
		})
	}
}

// Guards against accepting a replayed response, or one from another VM, as the
// response to this request.
func TestResponseBelongsToRequest(t *testing.T) {
	client := NewClient(Options{Name: "a", Secret: []byte("secret"), Network: newPipes()})
	body := []byte(`{}`)
	first := client.signer.requestMAC(peerapi.PathExchange, "b", 1, body)
	second := client.signer.requestMAC(peerapi.PathExchange, "b", 2, body)
	response := &http.Response{Header: http.Header{macHeader: {formatMAC(client.signer.responseMAC(first, "b", body))}}}
	if err := client.verify(response, first, "b", body); err != nil {
		t.Error(err)
	}
	if client.verify(response, second, "b", body) == nil {
		t.Error("the response to an earlier request was accepted")
	}
	if client.verify(response, first, "c", body) == nil {
		t.Error("the response of another VM was accepted")
	}
	if client.verify(response, first, "b", []byte(`{"x":1}`)) == nil {
		t.Error("a modified response was accepted")
	}
}

// Guards against accepting a sequence number twice, and against refusing a new
// one that is within the window.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w replayWindow
		used := make(map[uint64]bool)
		var highest uint64
		for _, s := range rapid.SliceOf(rapid.Uint64Range(1, 4*sequenceWindow)).Draw(t, "sequences") {
			want := !used[s] && s+sequenceWindow > highest
			if got := w.accept(s); got != want {
				t.Fatalf("accept(%d) = %v, want %v, highest %d", s, got, want, highest)
			}
			used[s] = true
			highest = max(highest, s)
		}
	})
}
