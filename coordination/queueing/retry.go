package queueing

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// The retry budget keeps a failover from becoming a storm: retries are limited
// to a share of the requests, and to a low rate when there are few requests.
const (
	retryShare     = 0.1  // retries earned by each request
	retryRate      = 10.0 // retries earned each second
	maxRetryTokens = 100.0
	minBackoff     = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// Earn records a request, which adds to the budget.
func Earn(b *state.RetryBudget, now time.Time) {
	refill(b, now)
	b.Tokens = min(b.Tokens+retryShare, maxRetryTokens)
}

// Retry takes a retry from the budget. It reports false if none is left.
func Retry(b *state.RetryBudget, now time.Time) bool {
	refill(b, now)
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}

// Backoff returns the time to wait before the given retry, counted from 1. It
// is drawn from the upper half of an interval that doubles, so that requests
// which failed together do not return together.
func Backoff(attempt int) time.Duration {
	limit := min(minBackoff<<min(max(attempt-1, 0), 10), maxBackoff)
	return limit/2 + rand.N(limit/2)
}

func refill(b *state.RetryBudget, now time.Time) {
	if b.Updated.IsZero() {
		b.Tokens = retryRate
	} else if elapsed := now.Sub(b.Updated); elapsed > 0 {
		b.Tokens = min(b.Tokens+retryRate*elapsed.Seconds(), maxRetryTokens)
	}
	b.Updated = now
}
