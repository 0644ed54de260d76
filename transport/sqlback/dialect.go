package sqlback

import (
	"bufio"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Dialect is the wire protocol of the backend servers.
type Dialect interface {
	// AppendStart appends the opening of a connection for a customer.
	AppendStart(dst []byte, group, customer, server string) []byte
	// ReadStarted reads the answer to the opening.
	ReadStarted(r *bufio.Reader) (statement.Answer, error)
	// AppendCommand appends a command.
	AppendCommand(dst []byte, c *statement.Command) []byte
	// ReadAnswer reads the complete answer to a command. It fails if the
	// connection ends or the bytes are not an answer.
	ReadAnswer(r *bufio.Reader) (statement.Answer, error)
	// DecodeReport decodes the row that answers Status and StepDown.
	DecodeReport(row string) (Report, error)
}

// Report is what a backend server says of itself.
type Report struct {
	Primary     bool
	Received    state.Point // end of the log that it has received
	Connections int
}
