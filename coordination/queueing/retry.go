package queueing

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// The retry budget prevents a retry storm after a failover: retries are limited
// to a fraction of the requests, plus a low rate for times with few requests.
const (
	retriesPerRequest = 0.1
	retriesPerSecond  = 10.0
	maxRetryTokens    = 100.0
	minBackoff        = 5 * time.Millisecond
	maxBackoff        = 200 * time.Millisecond
)

// EarnRetries adds the retries that one request earns to the budget.
func EarnRetries(b *state.RetryBudget, now time.Time) {
	refill(b, now)
	b.Tokens = min(b.Tokens+retriesPerRequest, maxRetryTokens)
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func TakeRetry(b *state.RetryBudget, now time.Time) bool {
	refill(b, now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Backoff returns the delay before the given retry, counted from 1. The delay
// is random within the upper half of an exponentially growing interval, so that
// requests that failed together are not retried together.
func Backoff(retry int) time.Duration {
	limit := min(minBackoff<<min(max(retry-1, 0), 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

// refill adds the retries earned by the time that has passed. A new budget starts
// with those of one second.
func refill(b *state.RetryBudget, now time.Time) {
	if b.Updated.IsZero() {
		b.Tokens = retriesPerSecond
	} else if elapsed := now.Sub(b.Updated); elapsed > 0 {
		b.Tokens = min(b.Tokens+retriesPerSecond*elapsed.Seconds(), maxRetryTokens)
	}
	b.Updated = now
}
