package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Timing of the watch.
const (
	// watchWait is how long the store waits for a change before it responds. The
	// age of the configuration can reach it, and each relay makes one call in that
	// time: 5 calls a second for 10 data centres.
	watchWait = 4 * time.Second
	// The timeout of a call is the wait plus a margin, which starts at
	// minTimeoutMargin and doubles with each failure. It adapts to a slow store,
	// because such a store may still accept a revocation.
	minTimeoutMargin = 2 * time.Second
	maxTimeoutMargin = 30 * time.Second
	// minCallInterval limits the rate of calls if the store responds without
	// waiting.
	minCallInterval = 100 * time.Millisecond
	// retryInterval is the mean delay after a failed call.
	retryInterval = 500 * time.Millisecond
)

// ConfigStore watches the store's object that holds the configuration.
type ConfigStore interface {
	// Watch returns the object once its version is greater than after. If that
	// does not happen within wait, it returns a nil value and the version after.
	// An object that does not exist has version 0.
	Watch(ctx context.Context, after uint64, wait time.Duration) (value []byte, version uint64, err error)
}

// storeResponse is the result of a successful call to the store.
type storeResponse struct {
	version     uint64
	config      *state.Config // nil if the object did not change
	confirmedAt time.Time     // local time at which the object was the newest
}

// watch watches the store's object until ctx is done. It runs in its own
// goroutine.
func (p *configExtension) watch(ctx context.Context, after uint64) {
	wait, margin := time.Duration(0), minTimeoutMargin // without a wait, the first response confirms at once
	for ctx.Err() == nil {
		started := p.e.now()
		response, err := p.callStore(ctx, after, wait, margin)
		duration := p.e.now().Sub(started)
		delay := minCallInterval - duration
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			wait, margin = 0, min(2*margin, maxTimeoutMargin)
			delay = retryInterval/2 + rand.N(retryInterval)
			p.e.queue.PostUnbounded(func() { p.handleStoreError(err) })
		default:
			margin = min(max(2*(duration-wait), minTimeoutMargin), maxTimeoutMargin)
			wait, after = watchWait, response.version
			p.e.queue.PostUnbounded(func() { p.handleStoreResponse(response) })
		}
		sleep(ctx, delay)
	}
}

// callStore makes one call to the store. If the object did not change, it was
// current until the wait ended. If it changed, the returned version is only known
// to have been current when the call was sent.
func (p *configExtension) callStore(ctx context.Context, after uint64, wait, margin time.Duration) (storeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	sentAt := p.e.now()
	value, version, err := p.options.Store.Watch(ctx, after, wait)
	if err != nil {
		return storeResponse{}, err
	}
	if value == nil {
		confirmedAt := sentAt.Add(wait)
		if now := p.e.now(); confirmedAt.After(now) {
			confirmedAt = now
		}
		return storeResponse{version: after, confirmedAt: confirmedAt}, nil
	}
	c, err := p.options.DecodeStored(value)
	if err != nil {
		return storeResponse{}, eris.Wrapf(err, "decode version %d of the configuration", version)
	}
	return storeResponse{version: version, config: c, confirmedAt: sentAt}, nil
}

// handleStoreResponse is the event for a successful call. It confirms the
// configuration in force only if the store has the same ticket: a store that has
// reverted to an older ticket may accept a revocation under a number that this VM
// ignores.
func (p *configExtension) handleStoreResponse(response storeResponse) {
	p.reachedAt = p.e.now()
	if response.config != nil {
		p.storedVersion, p.storedTicket = response.version, response.config.Ticket
		p.activate(response.config, nil, "store")
	}
	current := ticketOf(p.e.tables.Config.Current())
	behind := p.storedTicket.Number < current.Number
	switch {
	case p.storedTicket == state.TicketID{}: // the store has no configuration yet
	case p.storedTicket == current:
		p.e.tables.Config.Confirm(response.confirmedAt)
	case behind && !p.storeBehind: // once, a push may have arrived before this response
	default:
		p.reportConflict(p.storedTicket, current, "store")
	}
	p.storeBehind = behind
}

func (p *configExtension) handleStoreError(err error) {
	p.e.metrics.storeFailed.Inc(1)
	p.e.logger.WithError(err).Debug("peer: store call failed")
}

// sleep blocks for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
