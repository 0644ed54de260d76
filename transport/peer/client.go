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
	// idleTimeout exceeds the mean time between two exchanges with the same
	// randomly chosen VM, which is 12 s in a data centre of 49 VMs.
	idleTimeout  = 60 * time.Second
	maxIdlePerVM = 2   // idle connections kept open to one VM
	maxErrorText = 256 // bytes of a response with an error
)

// hostHeader is a short placeholder for the Host header, which HTTP requires.
// The receiver's name is covered by the MAC instead.
const hostHeader = "vm"

// Target is a VM to send to. The MAC covers its name, so that another VM that has
// taken over the address refuses the message.
type Target struct {
	Name    string
	Address string
}

// Client sends messages to other VMs over persistent connections.
type Client struct {
	options   Options
	signer    signer
	meter     *meter
	transport *http.Transport
	http      *http.Client
}

// NewClient returns a client. The caller must close it after the last call has
// returned.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	c := &Client{options: o, signer: signer{secret: o.Secret}, meter: newMeter(o.Scope)}
	c.transport = &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true, // large sections are already compressed
		MaxIdleConnsPerHost: maxIdlePerVM,
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

// Exchange sends an exchange message and returns the response. The context must
// have a deadline. After an error it is unknown whether the receiver handled the
// message.
func (c *Client) Exchange(ctx context.Context, to Target, m *peerapi.Exchange) (*peerapi.ExchangeResponse, error) {
	a := new(peerapi.ExchangeResponse)
	if err := c.call(ctx, to, peerapi.PathExchange, maxSnapshotBody, m, a); err != nil {
		return nil, err
	}
	a.Sender.Name = to.Name // authenticated by the MAC of the response
	return a, nil
}

// PushConfig sends a configuration. Deadline and errors are as for Exchange.
func (c *Client) PushConfig(ctx context.Context, to Target, m *peerapi.ConfigPush) error {
	return c.call(ctx, to, peerapi.PathConfig, maxMessageBody, m, &struct{}{})
}

// Cancel forwards a cancel request. Deadline and errors are as for Exchange.
func (c *Client) Cancel(ctx context.Context, to Target, m *peerapi.Cancel) error {
	return c.call(ctx, to, peerapi.PathCancel, maxMessageBody, m, &struct{}{})
}

func (c *Client) call(ctx context.Context, to Target, path string, limit int64, message, result any) error {
	ctx, span := c.options.Tracer.Start(ctx, "peer "+path, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer", to.Name)))
	defer span.End()
	err := c.roundTrip(ctx, to, path, limit, message, result)
	if err != nil {
		span.SetStatus(codes.Error, "failed")
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, to Target, path string, limit int64, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	timestamp := c.options.Now().UnixMilli()
	mac := c.signer.requestMAC(path, to.Name, timestamp, body)
	request, err := c.newRequest(ctx, to, path, body, formatAuthHeader(timestamp, mac))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "send to %s", to.Name)
	}
	defer response.Body.Close()
	c.meter.countMessage(sent, body)
	responseBody, err := readResponse(response, limit)
	if err != nil {
		return eris.Wrapf(err, "response of %s", to.Name)
	}
	c.meter.countMessage(received, responseBody)
	if err := c.verify(response, mac, to.Name, responseBody); err != nil {
		c.meter.refused[refusedResponse].Inc(1)
		return eris.Wrapf(err, "response of %s", to.Name)
	}
	return eris.Wrapf(json.Unmarshal(responseBody, result), "decode response of %s", to.Name)
}

func (c *Client) newRequest(ctx context.Context, to Target, path string, body []byte, authHeader string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "make request")
	}
	request.Header.Set(macHeader, authHeader)
	request.Header.Set("User-Agent", "") // omits the header
	request.Host = hostHeader
	if trace.SpanContextFromContext(ctx).IsSampled() {
		propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(request.Header))
	}
	return request, nil
}

// readResponse reads a response body of at most limit bytes.
func readResponse(response *http.Response, limit int64) ([]byte, error) {
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

func (c *Client) verify(response *http.Response, requestMAC []byte, from string, body []byte) error {
	mac, err := parseMAC(response.Header.Get(macHeader))
	if err != nil {
		return err
	}
	if !hmac.Equal(mac, c.signer.responseMAC(requestMAC, from, body)) {
		return eris.New("message authentication code does not match")
	}
	return nil
}
