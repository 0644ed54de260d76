package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
)

// ConfirmWait is the wait of a watch that also confirms that the configuration
// is current. A confirmation can be twice as old as the wait before the next one
// arrives; that must stay well below 5 s, the shortest cut-off limit of a customer.
const ConfirmWait = time.Second

// WatchResult is the result of a watch.
type WatchResult struct {
	Changed bool            // the object has a newer version than the one given
	Found   bool            // the object exists
	Object  storeapi.Object // set if Changed
}

// Watch waits until the version of the object is greater than after, but no
// longer than the smaller of wait and storeapi.MaxWait.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (WatchResult, error) {
	wait = min(wait, storeapi.MaxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	status, body, err := c.get(ctx, Watch, objectPath(name)+"?"+query.Encode())
	if err != nil {
		return WatchResult{}, err
	}
	switch status {
	case http.StatusOK:
		object, err := decodeObject(body)
		if err != nil {
			return WatchResult{}, err
		}
		if object.Version <= after {
			return WatchResult{Found: true}, nil
		}
		return WatchResult{Changed: true, Found: true, Object: object}, nil
	case http.StatusNotModified:
		return WatchResult{Found: true}, nil
	case http.StatusNotFound:
		return WatchResult{}, nil
	default:
		return WatchResult{}, unexpectedStatus(status, body)
	}
}

// Event is the result of one call made by Follow.
type Event struct {
	WatchResult
	// SentAt is when the call was sent. If Err is nil, the object was current at
	// that time or later.
	SentAt time.Time
	Err    error // nil if the store responded
}

// Follow watches an object until ctx is done. It calls report with the result of
// each call and sends the next call after report has returned. While the store
// responds, wait bounds the time between two reports and therefore the age of
// the confirmation that nothing changed.
//
// After a failure it waits with exponential backoff and jitter, so that not all
// watchers call a store at once that has recovered from an outage.
func (c *Client) Follow(ctx context.Context, name string, after uint64, wait time.Duration, report func(Event)) {
	backoff := NewBackoff(c.random)
	failures := 0
	for ctx.Err() == nil {
		sentAt := time.Now()
		result, err := c.Watch(ctx, name, after, wait)
		if ctx.Err() != nil {
			return
		}
		c.logAvailability(failures, err)
		report(Event{WatchResult: result, SentAt: sentAt, Err: err})
		delay := time.Duration(0)
		switch {
		case err != nil:
			failures++
			delay = backoff.Delay(failures)
		case result.Changed:
			failures, after = 0, result.Object.Version
		default:
			failures = 0
			delay = wait - time.Since(sentAt) // avoids a busy loop if the store responds early
		}
		sleep(ctx, delay)
	}
}

// logAvailability logs the first failure after a success and the first success
// after a failure.
func (c *Client) logAvailability(failures int, err error) {
	switch {
	case err != nil && failures == 0:
		c.log.WithError(err).Warn("store: the store does not answer")
	case err == nil && failures > 0:
		c.log.WithField("failures", failures).Info("store: the store answers again")
	}
}

// sleep blocks for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
