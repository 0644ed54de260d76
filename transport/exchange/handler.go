package exchange

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
	"github.com/chestnutdyke/chestnutdyke/state"
)

// handler implements peer.Handler by queueing an event for each message. Its
// methods run in goroutines of the server.
type handler Exchange

var errOverloaded = eris.New("queue is full or closed")

// Exchange implements peer.Handler.
func (h *handler) Exchange(ctx context.Context, m *peerapi.Exchange) (*peerapi.ExchangeResponse, error) {
	e := (*Exchange)(h)
	ready := make(chan *peerapi.ExchangeResponse, 1)
	if !e.queue.Post(func() { ready <- e.handleExchange(m) }) {
		e.metrics.overload.Inc(1)
		return nil, errOverloaded
	}
	select {
	case a := <-ready:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.running.Done():
		return nil, e.running.Err()
	}
}

// Config implements peer.Handler. It decodes the snapshot outside of the queue,
// because decoding can take tens of milliseconds.
func (h *handler) Config(_ context.Context, m *peerapi.ConfigPush) error {
	e := (*Exchange)(h)
	var received *state.Config
	if m.Config.Number > ticketOf(e.tables.Config.Current()).Number {
		var err error
		if received, err = e.config.decodeSnapshot(m.Config, m.Snapshot); err != nil {
			return err
		}
	}
	if !e.queue.Post(func() { e.handlePush(m, received) }) {
		e.metrics.overload.Inc(1)
		return errOverloaded
	}
	return nil
}

func (e *Exchange) handlePush(m *peerapi.ConfigPush, received *state.Config) {
	c, now := e.tables.Config.Current(), e.now()
	e.tables.Members.With(func(ms *state.Members) {
		e.merge(ms, c, m.Sender, m.Config, nil, nil, now)
	})
	if received != nil {
		e.config.activate(received, m.Snapshot, m.Sender.Name)
	}
}

// Cancel implements peer.Handler.
func (h *handler) Cancel(_ context.Context, m *peerapi.Cancel) error {
	h.options.Cancel(m.Session, m.Secret)
	return nil
}
