package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Effect is what the transport layer does for a decision. Effects are carried
// out in order.
type Effect interface{ effect() }

// Acquire asks for a connection to a backend server. The answer is a call of
// Granted or NotGranted.
type Acquire struct {
	Server string
	Waiter state.ConnWaiter
}

// WithdrawAcquire takes back an Acquire that has not been answered.
type WithdrawAcquire struct {
	Server string
	ID     state.WaiterID
}

// Send sends the request to the backend connection. In read-only mode the
// backend server must refuse a write before it runs.
type Send struct {
	Conn     state.ConnID
	Request  uint64
	Payload  any
	ReadOnly bool
	// Opening is the payload of a request that begins the transaction first; its
	// answer is dropped. It may be nil.
	Opening any
}

// Forward passes a part of the answer to the client.
type Forward struct{ Part any }

// Hold keeps a part of the answer back until FlushHeld or DropHeld.
type Hold struct{ Part any }

// FlushHeld passes the held parts to the client.
type FlushHeld struct{}

// DropHeld forgets the held parts.
type DropHeld struct{}

// Finish ends the request. Unless the outcome is Answered, the client is told
// of it by an error.
type Finish struct {
	Outcome       Outcome
	InTransaction bool
}

// Release returns a connection that is ready for another request.
type Release struct {
	Server string
	Conn   state.ConnID
}

// Discard closes a connection.
type Discard struct {
	Server string
	Conn   state.ConnID
}

// CancelBackend asks the backend server to cancel what runs on the connection.
type CancelBackend struct{ Conn state.ConnID }

// Await waits for positions of a group. The answer is a call of Resolved.
type Await struct {
	Group  string
	Waiter state.PositionWaiter
}

// WithdrawAwait takes back an Await that has not been answered.
type WithdrawAwait struct {
	Group string
	ID    state.WaiterID
}

// Wake calls Woken at the given time.
type Wake struct {
	Request uint64
	At      time.Time
}

// ReportToken tells the client its session token.
type ReportToken struct{}

// Suspect reports that a contact with a backend server failed.
type Suspect struct {
	Group  string
	Server string
}

// AdvanceLimits asks for a look at requests that wait for tokens, and at loans,
// at the given time at the latest.
type AdvanceLimits struct{ At time.Time }

// CloseClient ends the session after the client was told the reason.
type CloseClient struct{ Outcome Outcome }

func (Acquire) effect()         {}
func (WithdrawAcquire) effect() {}
func (Send) effect()            {}
func (Forward) effect()         {}
func (Hold) effect()            {}
func (FlushHeld) effect()       {}
func (DropHeld) effect()        {}
func (Finish) effect()          {}
func (Release) effect()         {}
func (Discard) effect()         {}
func (CancelBackend) effect()   {}
func (Await) effect()           {}
func (WithdrawAwait) effect()   {}
func (Wake) effect()            {}
func (ReportToken) effect()     {}
func (Suspect) effect()         {}
func (AdvanceLimits) effect()   {}
func (CloseClient) effect()     {}
