package exchange

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/protocol/peerapi"
)

// Extension is a subsystem that adds its own sections to the messages. Its
// methods run as events of the exchange's queue, one at a time and with no lock
// held, and must not block.
type Extension interface {
	// AddSections adds sections to a message that is about to be sent to a VM. It is
	// called about 10 times a second, mostly for voters. The message may be lost.
	AddSections(to string, m *peerapi.Exchange)
	// HandleRequest processes a received message and adds sections to the response.
	HandleRequest(from peerapi.Sender, m *peerapi.Exchange, a *peerapi.ExchangeResponse)
	// HandleResponse processes the response to m, which was sent at the local time
	// sentAt. It is not called if no response arrives.
	HandleResponse(from peerapi.Sender, sentAt time.Time, m *peerapi.Exchange, a *peerapi.ExchangeResponse)
}
