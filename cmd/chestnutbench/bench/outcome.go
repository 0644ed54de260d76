package bench

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// status is how a request ended for the client.
type status int

const (
	answered       status = iota // completed without an error
	failed                       // error other than those below, or a COMMIT that rolled back
	refused                      // not run: the error detail says so, or the connection was closed before the request was sent
	unknown                      // 08007: the request may have run
	connectionLost               // the connection ended without a response
	timedOut                     // no response before the client's own timeout
)

// SQLSTATE codes that the client or a check handles specially.
const (
	codeOutcomeUnknown  = "08007"
	codeTransactionLost = "08006" // the connection to the backend server was closed, so the transaction was rolled back
	codeDuplicateKey    = "23505"
	codeRolledBack      = "40001" // the backend server stopped being the primary
	codeKeyRefused      = "28P01"

	// codeClosed is no SQLSTATE. It stands for a connection that was closed before
	// the first byte of the request was sent.
	codeClosed = "closed"
)

// notRunDetail is the error detail of a request that a VM refused.
const notRunDetail = "The request was not run."

// outcome is the classified result of a request.
type outcome struct {
	status     status
	code       string        // SQLSTATE, codeClosed, or "connect" for a connection lost during a login; empty if none
	fatal      bool          // the connection is no longer usable
	retryAfter time.Duration // hint of a refused request; zero if none
	err        error
}

// retryHint matches the delay in the hint of a refused request.
var retryHint = regexp.MustCompile(`Retry after ([0-9]+) ms`)

// classifyError returns the outcome of a request that ended with err.
func classifyError(err error) outcome {
	if err == nil {
		return outcome{status: answered}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
			return outcome{status: timedOut, fatal: true, err: err}
		}
		if pgconn.SafeToRetry(err) {
			return outcome{status: refused, code: codeClosed, fatal: true, err: err}
		}
		return outcome{status: connectionLost, fatal: true, err: err}
	}
	o := outcome{status: failed, code: pg.Code, fatal: pg.Severity == "FATAL", err: err}
	switch {
	case pg.Code == codeOutcomeUnknown:
		o.status = unknown
	case pg.Detail == notRunDetail:
		o.status = refused
	}
	if m := retryHint.FindStringSubmatch(pg.Hint); m != nil {
		ms, _ := strconv.Atoi(m[1])
		o.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return o
}

// interrupted reports whether the fleet interrupted the request: its connection
// ended without a response, its outcome is unknown, it timed out, or its transaction
// was lost or rolled back. No planned change may do that.
func (o outcome) interrupted() bool {
	switch o.status {
	case connectionLost, unknown, timedOut:
		return true
	case failed:
		return o.code == codeTransactionLost || o.code == codeRolledBack
	}
	return false
}
