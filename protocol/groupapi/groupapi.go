// Package groupapi defines the control interface of a backend server: JSON over
// HTTP on the server's control address. Every request is a POST with an Order as
// the body; the body of the response is a Response.
//
// Terms change only through this interface, so a backend server with a different
// control protocol needs only a different adapter.
package groupapi

import "github.com/chestnutdyke/chestnutdyke/state"

// Paths of the control interface.
const (
	PathStatus     = "/v1/status"     // report the status
	PathAdopt      = "/v1/adopt"      // promise to refuse terms below Term; refused unless Term is above the adopted one
	PathPromote    = "/v1/promote"    // become primary of Term; refused unless Term is the adopted one
	PathFollow     = "/v1/follow"     // replicate from Server, the primary of Term, and truncate the log tail that Server lacks; refused if Term is below the adopted one
	PathSwitchover = "/v1/switchover" // primary of Term: refuse writes, and respond once Server holds the whole log
	PathResume     = "/v1/resume"     // primary of Term: accept writes again after an abandoned switchover
)

// Order is the body of a request. PathStatus uses neither field.
type Order struct {
	Term   uint64 `json:"term,omitempty"`
	Server string `json:"server,omitempty"` // name of a server of the group, for PathFollow and PathSwitchover
}

// Response is the body of a response. The response to a refused order has HTTP
// status 409 and carries the reason and the server's status.
type Response struct {
	Status  state.ServerStatus `json:"status"`
	Refused string             `json:"refused,omitempty"` // reason; empty if the order was carried out
}
