package dbgroup

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Messages that a session handles. They hold copies, because pgproto3 reuses its
// messages and buffers.
type (
	startupMessage  struct{ parameters map[string]string }
	passwordMessage struct{ password string }
	queryMessage    struct{ text string }
	parseMessage    struct{ name, text string }
	bindMessage     struct {
		portal, statement string
		params            []string
		binary            []bool // result formats; none, one for all, or one per column
	}
	describeMessage struct {
		portal bool
		name   string
	}
	executeMessage struct {
		portal  string
		maxRows uint32
	}
	closeMessage struct {
		portal bool
		name   string
	}
	syncMessage        struct{}
	flushMessage       struct{}
	disconnectMessage  struct{} // Terminate, or the end of the connection
	unsupportedMessage struct{ reason string }
)

// portalObjectType identifies a portal in Describe and Close.
const portalObjectType = 'P'

// copyMessage converts a message to the type that a session handles.
func copyMessage(m pgproto3.FrontendMessage) any {
	switch m := m.(type) {
	case *pgproto3.PasswordMessage:
		return passwordMessage{password: m.Password}
	case *pgproto3.Query:
		return queryMessage{text: m.String}
	case *pgproto3.Parse:
		return parseMessage{name: m.Name, text: m.Query}
	case *pgproto3.Bind:
		return copyBind(m)
	case *pgproto3.Describe:
		return describeMessage{portal: m.ObjectType == portalObjectType, name: m.Name}
	case *pgproto3.Execute:
		return executeMessage{portal: m.Portal, maxRows: m.MaxRows}
	case *pgproto3.Close:
		return closeMessage{portal: m.ObjectType == portalObjectType, name: m.Name}
	case *pgproto3.Sync:
		return syncMessage{}
	case *pgproto3.Flush:
		return flushMessage{}
	case *pgproto3.Terminate:
		return disconnectMessage{}
	default:
		return unsupportedMessage{reason: fmt.Sprintf("message %T is not supported", m)}
	}
}

// copyBind converts a Bind. All parameters have type text, whose binary and text
// formats are the same. A null parameter becomes an empty string.
func copyBind(m *pgproto3.Bind) bindMessage {
	b := bindMessage{portal: m.DestinationPortal, statement: m.PreparedStatement}
	for _, p := range m.Parameters {
		b.params = append(b.params, string(p))
	}
	for _, f := range m.ResultFormatCodes {
		b.binary = append(b.binary, f == pgproto3.BinaryFormat)
	}
	return b
}
