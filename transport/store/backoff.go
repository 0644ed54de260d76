package store

import (
	"context"
	"time"
)

const (
	// BackoffBase is the shortest pause after a failure.
	BackoffBase = 100 * time.Millisecond
	// BackoffMax is the longest pause after a failure. A configuration change has to
	// be in effect within 5 s, so a returning store must be noticed within that time.
	BackoffMax = 5 * time.Second
)

// Backoff computes the pauses between attempts after failures. The upper bound
// doubles with each failure; the pause is uniformly distributed below it, so
// that callers which failed at the same time come back at different times.
type Backoff struct {
	random func() float64 // in [0, 1)
}

// NewBackoff returns a Backoff with the given source of random numbers in [0, 1).
func NewBackoff(random func() float64) Backoff { return Backoff{random} }

// Delay returns the pause after the given number of failures in a row, at least
// 1: between BackoffBase and the smaller of BackoffBase * 2^failures and
// BackoffMax.
func (b Backoff) Delay(failures int) time.Duration {
	bound := BackoffBase
	for i := 0; i < failures && bound < BackoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, BackoffMax)
	return BackoffBase + time.Duration(b.random()*float64(bound-BackoffBase))
}

// Wait pauses for Delay(failures), or until ctx is done.
func (b Backoff) Wait(ctx context.Context, failures int) { sleep(ctx, b.Delay(failures)) }
