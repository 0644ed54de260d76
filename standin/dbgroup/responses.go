package dbgroup

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// PostgreSQL object identifiers of the column types.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// column is a column of a result.
type column struct {
	name string
	oid  uint32
}

// result is the result of a statement. Values are in text format.
type result struct {
	columns    []column
	rows       [][]string
	commandTag string
}

// responseBuffer collects encoded messages to a client until they are sent. Its
// methods add the protocol message of the same name unless stated otherwise.
type responseBuffer struct {
	encoded []byte
}

func (b *responseBuffer) add(m pgproto3.BackendMessage) {
	encoded, err := m.Encode(b.encoded)
	if err != nil {
		// Encode fails only for messages above 1 GiB, which no statement returns.
		panic("dbgroup: " + err.Error())
	}
	b.encoded = encoded
}

// take returns the buffered bytes and empties the buffer.
func (b *responseBuffer) take() []byte {
	encoded := b.encoded
	b.encoded = nil
	return encoded
}

// passwordRequest adds AuthenticationCleartextPassword.
func (b *responseBuffer) passwordRequest() { b.add(&pgproto3.AuthenticationCleartextPassword{}) }

// startupComplete adds the messages that complete the startup, except
// ReadyForQuery.
func (b *responseBuffer) startupComplete(settings map[string]string, pid uint32, secret []byte) {
	b.add(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		b.parameterStatus(name, settings[name])
	}
	b.add(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: secret})
}

func (b *responseBuffer) parameterStatus(name, value string) {
	b.add(&pgproto3.ParameterStatus{Name: name, Value: value})
}

func (b *responseBuffer) readyForQuery(status byte) { b.add(&pgproto3.ReadyForQuery{TxStatus: status}) }

func (b *responseBuffer) errorResponse(e *sqlError) {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	b.add(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	})
}

// warningNotice adds a NoticeResponse of severity WARNING.
func (b *responseBuffer) warningNotice(code, message string) {
	b.add(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	})
}

func (b *responseBuffer) emptyQueryResponse() { b.add(&pgproto3.EmptyQueryResponse{}) }

func (b *responseBuffer) parseComplete() { b.add(&pgproto3.ParseComplete{}) }

func (b *responseBuffer) bindComplete() { b.add(&pgproto3.BindComplete{}) }

func (b *responseBuffer) closeComplete() { b.add(&pgproto3.CloseComplete{}) }

func (b *responseBuffer) parameterDescription(count int) {
	oids := make([]uint32, count)
	for i := range oids {
		oids[i] = oidText
	}
	b.add(&pgproto3.ParameterDescription{ParameterOIDs: oids})
}

// rowDescription adds RowDescription with the given result formats, or NoData if
// there are no columns.
func (b *responseBuffer) rowDescription(columns []column, binary []bool) {
	if len(columns) == 0 {
		b.add(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatCode(isBinary(binary, i)),
		}
	}
	b.add(&pgproto3.RowDescription{Fields: fields})
}

// resultRows adds a DataRow for each row of a result, and CommandComplete.
func (b *responseBuffer) resultRows(r *result, binary []bool) {
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeValue(v, r.columns[i].oid, isBinary(binary, i))
		}
		b.add(&pgproto3.DataRow{Values: values})
	}
	b.add(&pgproto3.CommandComplete{CommandTag: []byte(r.commandTag)})
}

// isBinary reports whether a column has binary format. The list holds no format
// (all text), one for all columns, or one for each column.
func isBinary(binary []bool, column int) bool {
	switch len(binary) {
	case 0:
		return false
	case 1:
		return binary[0]
	default:
		return column < len(binary) && binary[column]
	}
}

func formatCode(binary bool) int16 {
	if binary {
		return pgproto3.BinaryFormat
	}
	return pgproto3.TextFormat
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidInt8:
		return 8
	case oidInt4:
		return 4
	default:
		return -1
	}
}

func encodeValue(text string, oid uint32, asBinary bool) []byte {
	if !asBinary || oid == oidText {
		return []byte(text)
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic("dbgroup: integer column holds " + text)
	}
	if oid == oidInt8 {
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	}
	return binary.BigEndian.AppendUint32(nil, uint32(n))
}
