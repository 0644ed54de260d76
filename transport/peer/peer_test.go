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

// pipes is a network of one listener over net.Pipe.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Listen(string) (net.Listener, error) { return p, nil }
func (p *pipes) Addr() net.Addr                      { return &net.TCPAddr{} }

func (p *pipes) Dial(ctx context.Context, _ string) (net.Conn, error) {
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

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// handler counts the messages that reach it.
type handler struct{ handled int }

func (h *handler) Exchange(context.Context, *peerapi.Exchange) (*peerapi.ExchangeAnswer, error) {
	h.handled++
	return &peerapi.ExchangeAnswer{Sender: peerapi.Sender{Name: "b", Incarnation: 1, Sequence: uint64(h.handled)}}, nil
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

// deadline is the time that a call may take.
func deadline(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a message that is lost or counted wrongly on the way, a
// failing handler that looks like success, and goroutines that outlive Close
// (the bubble of synctest fails if one does).
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

// Guards against messages from strangers, messages meant for another VM or
// another purpose, and messages recorded by an eavesdropper.
func TestRefusedMessages(t *testing.T) {
	type attempt struct {
		path, receiver, secret string
		at                     time.Duration // stamp, relative to now
		sequence               uint64
		up                     time.Duration // time since the server started; a minute if zero
		change                 func(r *http.Request)
	}
	tests := []struct {
		name    string
		attempt attempt
		reason  refusal
	}{
		{"wrong secret", attempt{secret: "guess"}, refusedCode},
		{"meant for another VM", attempt{receiver: "c"}, refusedCode},
		{"meant for another path", attempt{path: peerapi.PathCancel}, refusedCode},
		{"changed body", attempt{change: func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(`{"sender":{"name":"x"}}`))
			r.ContentLength = -1
		}}, refusedCode},
		{"no code", attempt{change: func(r *http.Request) { r.Header.Del(macHeader) }}, refusedCode},
		{"old", attempt{at: -timestampWindow - time.Millisecond}, refusedTimestamp},
		{"from the future", attempt{at: timestampWindow + time.Millisecond}, refusedTimestamp},
		{"sent to an earlier process", attempt{at: -time.Second - time.Millisecond, up: time.Second}, refusedTimestamp},
		{"replayed", attempt{sequence: 2000}, refusedReplay},
		{"older than the window of sequence numbers", attempt{sequence: 2000 - sequenceWindow}, refusedReplay},
		{"too long", attempt{change: func(r *http.Request) {
			r.Body = io.NopCloser(bytes.NewReader(make([]byte, maxPlainBody+1)))
			r.ContentLength = -1
		}}, refusedBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &handler{}
				client, scope := start(t, h)
				a := tt.attempt
				time.Sleep(cmp.Or(a.up, time.Minute))
				if _, err := client.Exchange(deadline(t), b, message(2000)); err != nil {
					t.Fatal(err)
				}
				body, _ := json.Marshal(message(cmp.Or(a.sequence, 2001)))
				stamp := time.Now().Add(a.at).UnixMilli()
				mac := signer{secret: []byte(cmp.Or(a.secret, "secret"))}.
					request(cmp.Or(a.path, peerapi.PathExchange), cmp.Or(a.receiver, "b"), stamp, body)
				r, err := client.request(deadline(t), b, peerapi.PathExchange, body, formatStamp(stamp, mac))
				if err != nil {
					t.Fatal(err)
				}
				if a.change != nil {
					a.change(r)
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

// Guards against an answer that was recorded earlier or comes from another VM
// being taken for the answer to this request.
func TestAnswerBelongsToRequest(t *testing.T) {
	client := NewClient(Options{Name: "a", Secret: []byte("secret"), Network: newPipes()})
	body := []byte(`{}`)
	first := client.signer.request(peerapi.PathExchange, "b", 1, body)
	second := client.signer.request(peerapi.PathExchange, "b", 2, body)
	response := &http.Response{Header: http.Header{macHeader: {formatMAC(client.signer.answer(first, "b", body))}}}
	if err := client.verify(response, first, "b", body); err != nil {
		t.Error(err)
	}
	if client.verify(response, second, "b", body) == nil {
		t.Error("the answer to an earlier request was accepted")
	}
	if client.verify(response, first, "c", body) == nil {
		t.Error("the answer of another VM was accepted")
	}
	if client.verify(response, first, "b", []byte(`{"x":1}`)) == nil {
		t.Error("a changed answer was accepted")
	}
}

// Guards against a number that is accepted twice, and against a number within
// the window that is refused although it is new.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w window
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
