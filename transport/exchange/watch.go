package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Times of the watch.
const (
	// watchWait is how long the store waits for a change before it answers. The
	// age of the configuration grows up to it, and each relay makes one call in
	// that time: 5 calls a second for 10 data centres.
	watchWait = 4 * time.Second
	// A call may take minSlack longer than the wait at first, and twice as long
	// after each failure. A store that is slow has to be waited for, because it
	// may accept a revocation meanwhile.
	minSlack = 2 * time.Second
	maxSlack = 30 * time.Second
	// minCallInterval bounds the calls if the store answers without waiting.
	minCallInterval = 100 * time.Millisecond
	// retryInterval is the mean time between calls while the store fails.
	retryInterval = 500 * time.Millisecond
)

// ConfigStore is the store's object that holds the configuration.
type ConfigStore interface {
	// Watch returns the object once its version is above after. If that does
	// not happen within wait it returns a nil value and the version after. An
	// object that does not exist has version 0.
	Watch(ctx context.Context, after uint64, wait time.Duration) (value []byte, version uint64, err error)
}

// storeAnswer is the result of one call of the store.
type storeAnswer struct {
	version   uint64
	config    *state.Config // nil if the object did not change
	confirmed time.Time     // local time at which the object was the newest
}

// watch calls the store until ctx is done. It runs in its own goroutine.
func (p *configPart) watch(ctx context.Context, after uint64) {
	wait, slack := time.Duration(0), minSlack // without a wait, the first answer confirms at once
	for ctx.Err() == nil {
		started := p.e.now()
		a, err := p.call(ctx, after, wait, slack)
		took := p.e.now().Sub(started)
		pause := minCallInterval - took
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			wait, slack = 0, min(2*slack, maxSlack)
			pause = retryInterval/2 + rand.N(retryInterval)
			p.e.queue.PostAlways(func() { p.storeFailed(err) })
		default:
			slack = min(max(2*(took-wait), minSlack), maxSlack)
			wait, after = watchWait, a.version
			p.e.queue.PostAlways(func() { p.storeAnswered(a) })
		}
		sleep(ctx, pause)
	}
}

// call makes one call of the store. An object that did not change was the
// newest when the wait ended. One that did change is only known to have been
// the newest when the call was sent.
func (p *configPart) call(ctx context.Context, after uint64, wait, slack time.Duration) (storeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	sentAt := p.e.now()
	value, version, err := p.options.Store.Watch(ctx, after, wait)
	if err != nil {
		return storeAnswer{}, err
	}
	if value == nil {
		confirmed := sentAt.Add(wait)
		if now := p.e.now(); confirmed.After(now) {
			confirmed = now
		}
		return storeAnswer{version: after, confirmed: confirmed}, nil
	}
	c, err := p.options.DecodeStored(value)
	if err != nil {
		return storeAnswer{}, eris.Wrapf(err, "decode version %d of the configuration", version)
	}
	return storeAnswer{version: version, config: c, confirmed: sentAt}, nil
}

// storeAnswered is the event of a successful call. The configuration in force
// is confirmed only if it is the store's: a store that went back to an older
// ticket may accept a revocation under a number that this VM ignores.
func (p *configPart) storeAnswered(a storeAnswer) {
	p.reachedAt = p.e.now()
	if a.config != nil {
		p.version, p.stored = a.version, a.config.Ticket
		p.accept(a.config, nil, "store")
	}
	current := ticketOf(p.e.tables.Config.Current())
	behind := p.stored.Number < current.Number
	switch {
	case p.stored == state.TicketID{}: // the store has no configuration yet
	case p.stored == current:
		p.e.tables.Config.Confirm(a.confirmed)
	case behind && !p.behind: // a push may have overtaken this answer once
	default:
		p.reportConflict(p.stored, current, "store")
	}
	p.behind = behind
}

func (p *configPart) storeFailed(err error) {
	p.e.metrics.storeFailed.Inc(1)
	p.e.logger.WithError(err).Debug("peer: store call failed")
}

// sleep waits for d or until ctx is done.
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
