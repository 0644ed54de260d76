// Package store is a client for the platform's object API. It makes calls and
// returns their results. The only decision it makes is when to retry.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
	"github.com/chestnutdyke/chestnutdyke/transport/network"
)

const (
	// DefaultCallTimeout bounds a call; for a watch it is added to the wait. The
	// store responds in milliseconds, so a call that takes this long is assumed to
	// be lost.
	DefaultCallTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept open. It exceeds the
	// longest wait of a watch, so that the next call can reuse a connection.
	idleTimeout = 60 * time.Second
	// maxIdleConns is the number of idle connections kept open: one for a watch
	// and one for calls made in parallel.
	maxIdleConns = 2
	// maxBody is the maximum size of a response in bytes. It exceeds the size of a
	// value because JSON may escape characters.
	maxBody = 2 * storeapi.MaxValueBytes
)

// Options configure a client. Network and Address are required.
type Options struct {
	Network     network.Network
	Address     string // host:port
	CallTimeout time.Duration
	Log         log.Interface
	Random      func() float64 // in [0, 1), for jitter
}

// Client calls the object API over kept-alive connections. It is safe for
// concurrent use.
type Client struct {
	http    *http.Client
	base    string
	timeout time.Duration
	log     log.Interface
	random  func() float64
	counts  counters
}

// New returns a client. It opens no connection before the first call.
func New(o Options) *Client {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return o.Network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		base:    "http://" + o.Address,
		timeout: o.CallTimeout,
		log:     o.Log,
		random:  o.Random,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads an object. found is false if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (object storeapi.Object, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.get(ctx, Get, objectPath(name))
	if err != nil {
		return storeapi.Object{}, false, err
	}
	switch status {
	case http.StatusOK:
		object, err = decodeObject(body)
		return object, err == nil, err
	case http.StatusNotFound:
		return storeapi.Object{}, false, nil
	default:
		return storeapi.Object{}, false, unexpectedStatus(status, body)
	}
}

// VMs reads the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]storeapi.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.get(ctx, VMs, storeapi.PathVMs)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, unexpectedStatus(status, body)
	}
	var vms []storeapi.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, eris.Wrap(err, "the store's list of VMs cannot be read")
	}
	return vms, nil
}

// get sends a GET request and reads the whole response.
func (c *Client) get(ctx context.Context, kind CallKind, path string) (status int, body []byte, err error) {
	defer func() { c.counts.add(kind, err != nil || status >= http.StatusInternalServerError) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "the store's address cannot be used")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, eris.Wrap(err, "the store cannot be reached")
	}
	body, err = readBody(response)
	return response.StatusCode, body, err
}

func readBody(r *http.Response) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "the store's answer broke off")
	case len(body) > maxBody:
		return nil, eris.Errorf("the store's answer has more than %d bytes", maxBody)
	default:
		return body, nil
	}
}

func objectPath(name string) string {
	return storeapi.PathObjects + (&url.URL{Path: name}).EscapedPath()
}

func decodeObject(body []byte) (storeapi.Object, error) {
	var o storeapi.Object
	if err := json.Unmarshal(body, &o); err != nil {
		return storeapi.Object{}, eris.Wrap(err, "the store's answer cannot be read")
	}
	return o, nil
}

// maxQuotedBody is how much of an unexpected response an error quotes, in bytes.
const maxQuotedBody = 200

func unexpectedStatus(status int, body []byte) error {
	return eris.Errorf("the store answered with status %d: %.*s", status, maxQuotedBody, bytes.TrimSpace(body))
}
