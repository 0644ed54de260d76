package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
)

// Outcome is what is known about the effect of a conditional update.
type Outcome int

// Outcomes.
const (
	PutUnknown  Outcome = iota // sent without a conclusive response: it may have taken effect or may do so later
	PutApplied                 // it took effect
	PutConflict                // it did not and will not take effect, because the version differs
	PutRejected                // it did not and will not take effect, for another reason
)

// PutResult is the result of a conditional update.
type PutResult struct {
	Outcome Outcome
	Object  storeapi.Object // the current object; set if Outcome is PutConflict
	Err     error           // the reason; set if Outcome is PutUnknown or PutRejected
}

// Put makes a conditional update. It is never retried.
func (c *Client) Put(ctx context.Context, name string, put storeapi.Put) (result PutResult) {
	defer func() { c.counts.add(Put, result.Outcome == PutUnknown || result.Outcome == PutRejected) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(put)
	if err != nil {
		return PutResult{Outcome: PutRejected, Err: eris.Wrap(err, "the update cannot be encoded")}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+objectPath(name), bytes.NewReader(body))
	if err != nil {
		return PutResult{Outcome: PutRejected, Err: eris.Wrap(err, "the store's address cannot be used")}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	switch {
	case err != nil && !connected.Load():
		return PutResult{Outcome: PutRejected, Err: eris.Wrap(err, "the store cannot be reached")}
	case err != nil:
		return PutResult{Outcome: PutUnknown, Err: eris.Wrap(err, "the store's answer was lost")}
	}
	return parsePutResponse(response)
}

// parsePutResponse derives the outcome from a response. Status 4xx means that
// the store rejected the update. After status 5xx the outcome is unknown, because
// a gateway may have lost the store's response.
func parsePutResponse(response *http.Response) PutResult {
	body, err := readBody(response)
	switch status := response.StatusCode; {
	case status == http.StatusOK, status == http.StatusCreated, status == http.StatusNoContent:
		return PutResult{Outcome: PutApplied}
	case status == http.StatusConflict:
		object, decodeErr := decodeObject(body)
		if err != nil || decodeErr != nil {
			return PutResult{Outcome: PutRejected, Err: eris.New("the store reported a conflict without the object")}
		}
		return PutResult{Outcome: PutConflict, Object: object}
	case status >= 400 && status < 500:
		return PutResult{Outcome: PutRejected, Err: unexpectedStatus(status, body)}
	default:
		return PutResult{Outcome: PutUnknown, Err: unexpectedStatus(status, body)}
	}
}
