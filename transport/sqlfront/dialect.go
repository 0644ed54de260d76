package sqlfront

import (
	"bufio"

	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Start is the first message of a client's session.
type Start struct {
	Database string
	Key      string // identifies the customer
}

// Dialect is the wire protocol of the clients.
type Dialect interface {
	// ReadStart reads the first message of a session.
	ReadStart(r *bufio.Reader) (Start, error)
	// ReadRequest reads the next request. Its verb is statement.Unknown if the
	// protocol does not define the text. It returns false when the client ends the
	// session.
	ReadRequest(r *bufio.Reader) (statement.Request, bool, error)
	// AppendReady appends the message that accepts a session.
	AppendReady(dst []byte) []byte
	// AppendRefusal appends the message that refuses a session. The connection is
	// closed after it.
	AppendRefusal(dst []byte, a *statement.Answer) []byte
	// AppendAnswer appends the complete answer to a request, including its rows.
	AppendAnswer(dst []byte, a *statement.Answer) []byte
}
