package store

import (
	"context"
	"time"
)

const (
	// BackoffBase is the minimum delay after a failure.
	BackoffBase = 100 * time.Millisecond
	// BackoffMax is the maximum delay after a failure. A configuration change has to
	// be in effect within 5 s, so clients must notice within that time that the
	// store is available again.
	BackoffMax = 5 * time.Second
)

// Backoff computes retry delays by exponential backoff with jitter. The upper
// bound doubles with each failure and the delay is uniformly distributed below
// it, so that callers that failed at the same time retry at different times.
type Backoff struct {
	random func() float64 // in [0, 1)
}

// NewBackoff returns a Backoff with the given source of random numbers in [0, 1).
func NewBackoff(random func() float64) Backoff { return Backoff{random} }

// Delay returns the delay after the given number of consecutive failures, at
// least 1. It lies between BackoffBase and the smaller of
// BackoffBase * 2^failures and BackoffMax.
func (b Backoff) Delay(failures int) time.Duration {
	bound := BackoffBase
	for i := 0; i < failures && bound < BackoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, BackoffMax)
	return BackoffBase + time.Duration(b.random()*float64(bound-BackoffBase))
}

// Wait blocks for Delay(failures) or until ctx is done.
func (b Backoff) Wait(ctx context.Context, failures int) { sleep(ctx, b.Delay(failures)) }
