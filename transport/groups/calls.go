package groups

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutdyke/chestnutdyke/coordination/failover"
	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/transport/groupctl"
)

const (
	// statusTimeout is half of the 400 ms after which a primary that does not respond
	// counts as failed, so that two status queries can fail in that time.
	statusTimeout = 200 * time.Millisecond
	// maxCallsPerServer limits the goroutines. In normal operation a server has at
	// most one status query and a few commands in progress.
	maxCallsPerServer = 8
)

var (
	errTooManyCalls = errors.New("too many concurrent control calls to the server")
	errNoServer     = errors.New("server is not in the configuration")
)

// callSpec describes a control call to a server.
type callSpec struct {
	command string // for metrics and traces
	server  string
	term    uint64 // zero for status queries
	timeout time.Duration
	invoke  func(context.Context, groupctl.Client) (state.ServerStatus, error)
}

// invokeStatus is the callSpec.invoke function of a status query.
func invokeStatus(ctx context.Context, client groupctl.Client) (state.ServerStatus, error) {
	return client.Status(ctx)
}

// invokeCommand returns the callSpec.invoke function of a command.
func invokeCommand(c failover.Call) func(context.Context, groupctl.Client) (state.ServerStatus, error) {
	return func(ctx context.Context, client groupctl.Client) (state.ServerStatus, error) {
		switch c.Order {
		case failover.Adopt:
			return client.Adopt(ctx, c.Term)
		case failover.Promote:
			return client.Promote(ctx, c.Term)
		case failover.Follow:
			return client.Follow(ctx, c.Term, c.Peer)
		case failover.Switchover:
			return client.Switchover(ctx, c.Term, c.Peer)
		case failover.Resume:
			return client.Resume(ctx, c.Term)
		}
		panic("unknown command " + string(c.Order))
	}
}

// commandOutcome converts the result of a command for package failover.
func commandOutcome(st state.ServerStatus, err error) failover.Outcome {
	var refused *groupctl.RefusedError
	switch {
	case err == nil:
		return failover.Outcome{Result: failover.Done, Status: st}
	case errors.As(err, &refused):
		return failover.Outcome{Result: failover.Refused, Status: st}
	default:
		return failover.Outcome{Result: failover.Failed}
	}
}

// callHandler makes the decision that follows the result of a control call. It runs
// under the group table's lock and adds its effects to out.
type callHandler func(st state.ServerStatus, err error, g *state.GroupState, snap snapshot, out *effects)

// startCall runs a control call on a new goroutine and posts its result as an event
// of the group. After the driver has stopped, nothing is posted.
func (e *executor) startCall(snap snapshot, spec callSpec, done callHandler) {
	client, err := e.clientFor(snap, spec.server)
	if err != nil {
		e.post(func(g *state.GroupState, snap snapshot, out *effects) { done(state.ServerStatus{}, err, g, snap, out) })
		return
	}
	e.activeCalls[spec.server]++
	started := e.driver.start(func() {
		st, err := e.execCall(client, spec)
		e.post(func(g *state.GroupState, snap snapshot, out *effects) {
			e.activeCalls[spec.server]--
			done(st, err, g, snap, out)
		})
	})
	if !started {
		e.activeCalls[spec.server]--
	}
}

// clientFor returns a client for the server. It fails if the server is not
// configured or has too many calls in progress.
func (e *executor) clientFor(snap snapshot, server string) (groupctl.Client, error) {
	if snap.group == nil {
		return nil, errNoServer
	}
	s := snap.group.Server(server)
	if s == nil {
		return nil, errNoServer
	}
	if e.activeCalls[server] >= maxCallsPerServer {
		return nil, errTooManyCalls
	}
	return e.driver.opts.Control(s.ControlAddress), nil
}

// start runs f on a new goroutine, which the driver waits for when it stops. It
// returns false if the driver has already stopped.
func (d *Driver) start(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.calls.Go(f)
	return true
}

// execCall makes the call within its time limit, and records a span and failures.
func (e *executor) execCall(client groupctl.Client, spec callSpec) (state.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(e.driver.baseCtx, spec.timeout)
	defer cancel()
	ctx, span := e.driver.opts.Tracer.Start(ctx, "control "+spec.command,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("group", e.name),
			attribute.String("server", spec.server),
			attribute.Int64("term", int64(spec.term)),
		))
	defer span.End()
	st, err := spec.invoke(ctx, client)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		e.driver.metrics.callFailed(spec.command)
	}
	return st, err
}
