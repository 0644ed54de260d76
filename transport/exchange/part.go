package exchange

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// Part is a subsystem that adds its own sections to the messages. Its methods run
// as events of the exchange's queue, one at a time and with no lock held, and
// must not block.
type Part interface {
	// Fill adds sections to a message that is about to be sent to a VM. It is
	// called about 10 times a second, mostly for voters. The message may be lost.
	Fill(to string, m *peerapi.Exchange)
	// Handle processes a received message and adds sections to the response.
	Handle(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer)
	// HandleAnswer processes the response to m, which was sent at the local time
	// sentAt. It is not called if no response arrives.
	HandleAnswer(from peerapi.Sender, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeAnswer)
}
