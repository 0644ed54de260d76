package session

import (
	"time"

	"github.com/chestnutdyke/chestnutdyke/state"
)

// Effect is an action that the transport layer carries out. The effects of one
// call are carried out in order.
type Effect interface{ effect() }

// Acquire asks for a connection to a backend server. The transport layer responds
// with a call of HandleConn or HandleConnRefused.
type Acquire struct {
	Server string
	Waiter state.ConnWaiter
}

// CancelAcquire cancels an Acquire that has no response yet.
type CancelAcquire struct {
	Server string
	ID     state.WaiterID
}

// Send sends the request on the backend connection. In read-only mode the backend
// server must refuse a write without running it.
type Send struct {
	Conn     state.ConnID
	Request  uint64
	Payload  any
	ReadOnly bool
	// BeginPayload is the payload of a request that begins the transaction and is sent
	// first; its answer is discarded. It may be nil.
	BeginPayload any
}

// Forward sends a part of the answer to the client.
type Forward struct{ Part any }

// Hold buffers a part of the answer until FlushHeld or DropHeld.
type Hold struct{ Part any }

// FlushHeld sends the held parts to the client.
type FlushHeld struct{}

// DropHeld discards the held parts.
type DropHeld struct{}

// Finish ends the request. Unless the outcome is Answered, the client receives an
// error.
type Finish struct {
	Outcome       Outcome
	InTransaction bool
}

// Release returns a connection that can serve another request.
type Release struct {
	Server string
	Conn   state.ConnID
}

// Discard closes a connection.
type Discard struct {
	Server string
	Conn   state.ConnID
}

// CancelBackend asks the backend server to cancel the request that runs on the
// connection.
type CancelBackend struct{ Conn state.ConnID }

// AwaitPosition waits for positions of a group's servers. The transport layer
// responds with a call of HandleWaitResult.
type AwaitPosition struct {
	Group  string
	Waiter state.PositionWaiter
}

// CancelAwait cancels an AwaitPosition that has no response yet.
type CancelAwait struct {
	Group string
	ID    state.WaiterID
}

// SetTimer requests a call of HandleTimer at the given time.
type SetTimer struct {
	Request uint64
	At      time.Time
}

// ReportToken sends the session token to the client.
type ReportToken struct{}

// ReportFailure reports that communication with a backend server failed.
type ReportFailure struct {
	Group  string
	Server string
}

// AdvanceLimits asks to process the rate limits at the given time at the latest:
// tokens borrowed between VMs, and the requests that wait for tokens.
type AdvanceLimits struct{ At time.Time }

// CloseClient tells the client the reason and ends the session.
type CloseClient struct{ Outcome Outcome }

// EndSession ends the session after the requests that have been read so far: they are
// decided as usual, and then the client is told the reason.
type EndSession struct{ Outcome Outcome }

func (Acquire) effect()       {}
func (CancelAcquire) effect() {}
func (Send) effect()          {}
func (Forward) effect()       {}
func (Hold) effect()          {}
func (FlushHeld) effect()     {}
func (DropHeld) effect()      {}
func (Finish) effect()        {}
func (Release) effect()       {}
func (Discard) effect()       {}
func (CancelBackend) effect() {}
func (AwaitPosition) effect() {}
func (CancelAwait) effect()   {}
func (SetTimer) effect()      {}
func (ReportToken) effect()   {}
func (ReportFailure) effect() {}
func (AdvanceLimits) effect() {}
func (CloseClient) effect()   {}
func (EndSession) effect()    {}
