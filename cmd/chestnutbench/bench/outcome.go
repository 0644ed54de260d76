package bench

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// verdict says how a request ended for the client.
type verdict int

const (
	answered  verdict = iota // complete and without an error
	failed                   // answered with an error of the backend server
	refused                  // refused, and the refusal says "not run"
	unknown                  // 08007: it may have run
	cut                      // the connection ended without an answer
	abandoned                // no answer before the client's own time-out
)

// SQLSTATE codes that the tool treats on their own.
const (
	codeUnknown         = "08007"
	codeTransactionLost = "08006"
	codeDuplicateKey    = "23505"
	codeRolledBack      = "40001" // the server stopped being the primary
	codeKey             = "28P01"

	// codeClosed stands for a connection that had been closed before the first
	// byte of the request was sent.
	codeClosed = "closed"
)

// notRunDetail is what a refusal says of a request that was not run.
const notRunDetail = "The request was not run."

// outcome is the end of a request.
type outcome struct {
	verdict    verdict
	code       string        // SQLSTATE; empty without one
	fatal      bool          // the connection is closed
	retryAfter time.Duration // hint of a refusal; zero if none
	err        error
}

var retryHint = regexp.MustCompile(`Retry after ([0-9]+) ms`)

// outcomeOf classifies the error of a request.
func outcomeOf(err error) outcome {
	if err == nil {
		return outcome{verdict: answered}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
			return outcome{verdict: abandoned, fatal: true, err: err}
		}
		if pgconn.SafeToRetry(err) {
			return outcome{verdict: refused, code: codeClosed, fatal: true, err: err}
		}
		return outcome{verdict: cut, fatal: true, err: err}
	}
	o := outcome{verdict: failed, code: pg.Code, fatal: pg.Severity == "FATAL", err: err}
	switch {
	case pg.Code == codeUnknown:
		o.verdict = unknown
	case pg.Detail == notRunDetail:
		o.verdict = refused
	}
	if m := retryHint.FindStringSubmatch(pg.Hint); m != nil {
		ms, _ := strconv.Atoi(m[1])
		o.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return o
}

// interrupted reports whether the request was cut short by the fleet, which no
// planned move may do: its connection ended, its outcome is unknown, or its
// transaction was rolled back.
func (o outcome) interrupted() bool {
	switch o.verdict {
	case cut, unknown, abandoned:
		return true
	case failed:
		return o.code == codeTransactionLost || o.code == codeRolledBack
	}
	return false
}
