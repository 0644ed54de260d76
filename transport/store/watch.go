package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/storeapi"
)

// ConfirmWait is the wait of a watch that also confirms the configuration. The
// age of a confirmation reaches twice the wait before the next one arrives, and
// has to stay well below the 5 s that customers' cut-off limits start at.
const ConfirmWait = time.Second

// Change is the answer to a watch.
type Change struct {
	Changed bool            // the object has a version above the one asked about
	Found   bool            // the object exists
	Object  storeapi.Object // set if Changed
}

// Watch waits until the object has a version above after, at most for wait,
// which is bounded by storeapi.MaxWait.
func (c *Client) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (Change, error) {
	wait = min(wait, storeapi.MaxWait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	status, body, err := c.get(ctx, Watch, objectPath(name)+"?"+query.Encode())
	if err != nil {
		return Change{}, err
	}
	switch status {
	case http.StatusOK:
		object, err := decodeObject(body)
		if err != nil {
			return Change{}, err
		}
		if object.Version <= after {
			return Change{Found: true}, nil
		}
		return Change{Changed: true, Found: true, Object: object}, nil
	case http.StatusNotModified:
		return Change{Found: true}, nil
	case http.StatusNotFound:
		return Change{}, nil
	default:
		return Change{}, unexpected(status, body)
	}
}

// Event is what a watcher learned by one call.
type Event struct {
	Change
	// SentAt is when the call was sent. If Err is nil, the object was current then
	// or later.
	SentAt time.Time
	Err    error // why the store could not be reached; nil if it answered
}

// Follow watches an object until ctx is done and calls report with what came of
// each call; the next call is sent when report returns.
// wait is the longest time between two reports while the store answers, so it
// bounds the age of the confirmation that nothing changed.
//
// After a failure it waits before the next call, longer with each failure and
// by a random part, so that a store which returns from an outage is not called
// by all watchers at once.
func (c *Client) Follow(ctx context.Context, name string, after uint64, wait time.Duration, report func(Event)) {
	backoff := NewBackoff(c.random)
	failures := 0
	for ctx.Err() == nil {
		sent := time.Now()
		change, err := c.Watch(ctx, name, after, wait)
		if ctx.Err() != nil {
			return
		}
		c.logTransition(failures, err)
		report(Event{Change: change, SentAt: sent, Err: err})
		pause := time.Duration(0)
		switch {
		case err != nil:
			failures++
			pause = backoff.Delay(failures)
		case change.Changed:
			failures, after = 0, change.Object.Version
		default:
			failures = 0
			pause = wait - time.Since(sent) // a store that answers early must not be called without a pause
		}
		sleep(ctx, pause)
	}
}

// logTransition logs the first failure after a success and the first success
// after a failure.
func (c *Client) logTransition(failures int, err error) {
	switch {
	case err != nil && failures == 0:
		c.log.WithError(err).Warn("store: the store does not answer")
	case err == nil && failures > 0:
		c.log.WithField("failures", failures).Info("store: the store answers again")
	}
}

// sleep waits for the duration or until ctx is done.
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
