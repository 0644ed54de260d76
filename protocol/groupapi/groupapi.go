// Package groupapi defines the control interface of a backend server: HTTP with
// JSON on the server's control address. All requests are POST with an Order as
// the body, and are answered by an Answer.
//
// It is the only interface through which terms change, so that another form of
// it needs another adapter and nothing else.
package groupapi

import "github.com/chestnutdyke/chestnutdyke/state"

// Paths of the control interface.
const (
	PathStatus     = "/v1/status"     // report the status
	PathAdopt      = "/v1/adopt"      // promise to refuse terms below Term; refused unless Term is above the adopted one
	PathPromote    = "/v1/promote"    // become primary of Term; refused unless Term is the adopted one
	PathFollow     = "/v1/follow"     // follow Server as primary of Term, dropping the log tail that it lacks; refused if Term is below the adopted one
	PathSwitchover = "/v1/switchover" // primary of Term: refuse writes, and answer once Server holds the whole log
	PathResume     = "/v1/resume"     // primary of Term: accept writes again after a switchover that was given up
)

// Order is the body of a request.
type Order struct {
	Term   uint64 `json:"term,omitempty"`
	Server string `json:"server,omitempty"` // server name
}

// Answer is the body of a response. A refused order is answered with HTTP
// status 409, the reason, and the server's status.
type Answer struct {
	Status  state.ServerStatus `json:"status"`
	Refused string             `json:"refused,omitempty"` // reason; empty if the order was carried out
}
