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
	// statusTimeout lets two status queries fail within the 400 ms after which a
	// silent primary counts as failed.
	statusTimeout = 200 * time.Millisecond
	// maxCallsPerServer bounds the goroutines. A server has at most one status
	// query and a few orders at a time.
	maxCallsPerServer = 8
)

var (
	errTooManyCalls = errors.New("too many control calls to the server")
	errNoServer     = errors.New("the server is not configured")
)

// callSpec describes a control call.
type callSpec struct {
	order   string
	server  string
	term    uint64
	timeout time.Duration
	do      func(context.Context, groupctl.Client) (state.ServerStatus, error)
}

func callStatus(ctx context.Context, c groupctl.Client) (state.ServerStatus, error) {
	return c.Status(ctx)
}

func callOrder(o failover.Call) func(context.Context, groupctl.Client) (state.ServerStatus, error) {
	return func(ctx context.Context, c groupctl.Client) (state.ServerStatus, error) {
		switch o.Order {
		case failover.Adopt:
			return c.Adopt(ctx, o.Term)
		case failover.Promote:
			return c.Promote(ctx, o.Term)
		case failover.Follow:
			return c.Follow(ctx, o.Term, o.Peer)
		case failover.Switchover:
			return c.Switchover(ctx, o.Term, o.Peer)
		case failover.Resume:
			return c.Resume(ctx, o.Term)
		}
		panic("unknown order " + string(o.Order))
	}
}

func outcome(st state.ServerStatus, err error) failover.Outcome {
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

// callEnd decides on the end of a control call.
type callEnd func(st state.ServerStatus, err error, g *state.GroupState, m moment, out *effects)

// call runs a control call on a goroutine and posts its end as an event. After
// the driver has stopped, nothing is posted.
func (e *group) call(m moment, spec callSpec, end callEnd) {
	client, err := e.client(m, spec.server)
	if err != nil {
		e.post(func(g *state.GroupState, m moment, out *effects) { end(state.ServerStatus{}, err, g, m, out) })
		return
	}
	e.calls[spec.server]++
	started := e.driver.start(func() {
		st, err := e.perform(client, spec)
		e.post(func(g *state.GroupState, m moment, out *effects) {
			e.calls[spec.server]--
			end(st, err, g, m, out)
		})
	})
	if !started {
		e.calls[spec.server]--
	}
}

func (e *group) client(m moment, server string) (groupctl.Client, error) {
	if m.group == nil {
		return nil, errNoServer
	}
	s := m.group.Server(server)
	if s == nil {
		return nil, errNoServer
	}
	if e.calls[server] >= maxCallsPerServer {
		return nil, errTooManyCalls
	}
	return e.driver.opts.Control(s.ControlAddress), nil
}

// start runs f on a goroutine that the driver waits for when it stops. It
// reports false if the driver has stopped.
func (d *Driver) start(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.calls.Go(f)
	return true
}

// perform makes the call within its time limit and records a span.
func (e *group) perform(client groupctl.Client, spec callSpec) (state.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(e.driver.base, spec.timeout)
	defer cancel()
	ctx, span := e.driver.opts.Tracer.Start(ctx, "control "+spec.order,
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("group", e.name),
			attribute.String("server", spec.server),
			attribute.Int64("term", int64(spec.term)),
		))
	defer span.End()
	st, err := spec.do(ctx, client)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		e.driver.metrics.callFailed(spec.order)
	}
	return st, err
}
