package sqlback

import (
	"bufio"

	"github.com/chestnutdyke/chestnutdyke/state"
	"github.com/chestnutdyke/chestnutdyke/state/statement"
)

// Dialect is the wire protocol of the backend servers.
type Dialect interface {
	// AppendStart appends the first message on a new connection for a customer.
	AppendStart(dst []byte, group, customer, server string) []byte
	// ReadStarted reads the answer to the message of AppendStart, which may be a
	// refusal.
	ReadStarted(r *bufio.Reader) (statement.Answer, error)
	// AppendCommand appends an encoded command.
	AppendCommand(dst []byte, c *statement.Command) []byte
	// ReadAnswer reads the complete answer to a command. It returns an
	// error if the connection ends or the bytes are not a valid answer.
	ReadAnswer(r *bufio.Reader) (statement.Answer, error)
	// DecodeReport decodes the row that answers the Status, StepDown, Pause and Resume
	// commands.
	DecodeReport(row string) (Report, error)
}

// Report is the status that a backend server reports.
type Report struct {
	Primary     bool
	Term        uint64      // newest term that the server knows
	PausedBy    uint64      // term of the Pause that holds the server; zero if none does
	Received    state.Point // end of the received replication log
	Connections int         // open client connections
}
