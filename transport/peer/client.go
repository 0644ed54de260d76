package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// Limits of the client.
const (
	// idleTimeout is longer than the mean time between two exchanges with the
	// same random VM, which is 12 s in a data centre of 49.
	idleTimeout  = 60 * time.Second
	idlePerPeer  = 2 // connections kept open to one VM
	maxErrorText = 256
)

// shortHost stands in the header that HTTP requires. The receiver is named in
// what is authenticated.
const shortHost = "vm"

// Target is a VM to send to. The name is part of what is authenticated, so that
// a message does not reach another VM that has taken over the address.
type Target struct {
	Name    string
	Address string
}

// Client sends messages to other VMs on connections that are kept open.
type Client struct {
	options   Options
	signer    signer
	meter     *meter
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a client. Close it after the last call has returned.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	c := &Client{options: o, signer: signer{secret: o.Secret}, meter: newMeter(o.Scope)}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true, // large sections are compressed already
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}
	c.http = &http.Client{Transport: c.transport}
	return c
}

func (c *Client) dial(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := c.options.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: c.meter}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Exchange sends an exchange. The context must have a deadline. After an error
// the receiver may or may not have handled the message.
func (c *Client) Exchange(ctx context.Context, to Target, m *peerapi.Exchange) (*peerapi.ExchangeAnswer, error) {
	a := new(peerapi.ExchangeAnswer)
	if err := c.call(ctx, to, peerapi.PathExchange, maxSnapshotBody, m, a); err != nil {
		return nil, err
	}
	a.Sender.Name = to.Name // proven by the code of the answer
	return a, nil
}

// PushConfig sends a configuration; deadline and errors as for Exchange.
func (c *Client) PushConfig(ctx context.Context, to Target, m *peerapi.ConfigPush) error {
	return c.call(ctx, to, peerapi.PathConfig, maxPlainBody, m, &struct{}{})
}

// Cancel sends a cancel request; deadline and errors as for Exchange.
func (c *Client) Cancel(ctx context.Context, to Target, m *peerapi.Cancel) error {
	return c.call(ctx, to, peerapi.PathCancel, maxPlainBody, m, &struct{}{})
}

func (c *Client) call(ctx context.Context, to Target, path string, limit int64, message, answer any) error {
	ctx, span := c.options.Tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", to.Name)))
	defer span.End()
	err := c.roundTrip(ctx, to, path, limit, message, answer)
	if err != nil {
		span.SetStatus(codes.Error, "failed")
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, to Target, path string, limit int64, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	timestamp := c.options.Now().UnixMilli()
	mac := c.signer.request(path, to.Name, timestamp, body)
	request, err := c.request(ctx, to, path, body, formatStamp(timestamp, mac))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "send to %s", to.Name)
	}
	defer response.Body.Close()
	c.meter.message(sent, body)
	reply, err := readAnswer(response, limit)
	if err != nil {
		return eris.Wrapf(err, "answer of %s", to.Name)
	}
	c.meter.message(received, reply)
	if err := c.verify(response, mac, to.Name, reply); err != nil {
		c.meter.refused[refusedAnswer].Inc(1)
		return eris.Wrapf(err, "answer of %s", to.Name)
	}
	return eris.Wrapf(json.Unmarshal(reply, answer), "decode answer of %s", to.Name)
}

func (c *Client) request(ctx context.Context, to Target, path string, body []byte, stamp string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set(macHeader, stamp)
	request.Header.Set("User-Agent", "") // leaves the header out
	request.Host = shortHost
	if trace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	}
	return request, nil
}

// readAnswer reads an answer of at most limit bytes.
func readAnswer(response *http.Response, limit int64) ([]byte, error) {
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return nil, eris.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(text))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read body")
	}
	if int64(len(body)) > limit {
		return nil, eris.Errorf("body exceeds %d bytes", limit)
	}
	return body, nil
}

func (c *Client) verify(response *http.Response, request []byte, from string, body []byte) error {
	mac, err := parseMAC(response.Header.Get(macHeader))
	if err != nil {
		return err
	}
	if !hmac.Equal(mac, c.signer.answer(request, from, body)) {
		return eris.New("message authentication code does not match")
	}
	return nil
}
