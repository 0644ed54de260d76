package sqlfront

import (
	"bufio"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Start is the opening of a client's session.
type Start struct {
	Database string
	Key      string
}

// Dialect is the wire protocol of the clients.
type Dialect interface {
	// ReadStart reads the opening of a session.
	ReadStart(r *bufio.Reader) (Start, error)
	// ReadRequest reads the next request. Its verb is statement.Unknown if the
	// text is none that the protocol defines. It returns false at the end of
	// the session.
	ReadRequest(r *bufio.Reader) (statement.Request, bool, error)
	// AppendReady appends the answer to an opening.
	AppendReady(dst []byte) []byte
	// AppendRefusal appends the refusal of an opening, after which the
	// connection is closed.
	AppendRefusal(dst []byte, a *statement.Answer) []byte
	// AppendAnswer appends the complete answer to a request.
	AppendAnswer(dst []byte, a *statement.Answer) []byte
}
