package pgwire

import (
	"encoding/binary"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// messageHeaderBytes is the length of a message's type byte and length field.
const messageHeaderBytes = 5

// CloneMessage returns a copy of a message that shares no memory with it, and its
// encoded size in bytes. A received message must be copied to be kept: pgproto3
// reuses its memory for the next message.
func CloneMessage(msg pgproto3.FrontendMessage) (pgproto3.FrontendMessage, int, error) {
	raw, err := msg.Encode(nil)
	if err != nil {
		return nil, 0, err
	}
	duplicate, err := newMessageLike(msg)
	if err != nil {
		return nil, 0, err
	}
	if err := duplicate.Decode(raw[messageHeaderBytes:]); err != nil {
		return nil, 0, err
	}
	return duplicate, len(raw), nil
}

// newMessageLike returns an empty message of the same type.
func newMessageLike(msg pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	switch msg.(type) {
	case *pgproto3.Query:
		return &pgproto3.Query{}, nil
	case *pgproto3.Parse:
		return &pgproto3.Parse{}, nil
	case *pgproto3.Bind:
		return &pgproto3.Bind{}, nil
	case *pgproto3.Describe:
		return &pgproto3.Describe{}, nil
	case *pgproto3.Execute:
		return &pgproto3.Execute{}, nil
	case *pgproto3.Close:
		return &pgproto3.Close{}, nil
	case *pgproto3.Flush:
		return &pgproto3.Flush{}, nil
	case *pgproto3.Sync:
		return &pgproto3.Sync{}, nil
	case *pgproto3.FunctionCall:
		return &pgproto3.FunctionCall{}, nil
	case *pgproto3.CopyData:
		return &pgproto3.CopyData{}, nil
	case *pgproto3.CopyDone:
		return &pgproto3.CopyDone{}, nil
	case *pgproto3.CopyFail:
		return &pgproto3.CopyFail{}, nil
	}
	return nil, fmt.Errorf("unexpected message %T", msg)
}

// CancelSecret returns the number in a cancel key. It returns 0, which matches no
// session, for keys of other lengths, because the proxy did not issue them.
func CancelSecret(key []byte) uint32 {
	if len(key) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(key)
}

// CancelKey returns the cancel key for a number, which CancelSecret decodes.
func CancelKey(secret uint32) []byte { return binary.BigEndian.AppendUint32(nil, secret) }
