package exchange

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// Part is a subsystem that takes part in the exchange. Its methods run as
// events of the exchange's queue, one at a time and with no lock held, and must
// not block.
type Part interface {
	// Fill adds sections to a message that is about to be sent to a VM: 10
	// messages a second, most of them to voters. The message may be lost.
	Fill(to string, m *peerapi.Exchange)
	// Handle reads a received message and adds sections to the answer.
	Handle(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeAnswer)
	// HandleAnswer reads the answer to m, which was sent at the local time
	// sentAt. It is not called if no answer arrives.
	HandleAnswer(from peerapi.Sender, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeAnswer)
}
