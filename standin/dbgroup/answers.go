package dbgroup

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Object identifiers of types.
const (
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
)

// column describes a column of a result.
type column struct {
	name string
	oid  uint32
}

// result is what a statement returns. Values are in text format.
type result struct {
	columns []column
	rows    [][]string
	tag     string
}

// answers collects the encoded messages to a client until they are sent.
type answers struct {
	encoded []byte
}

func (a *answers) add(m pgproto3.BackendMessage) {
	encoded, err := m.Encode(a.encoded)
	if err != nil {
		// Encode fails only for messages above 1 GiB, which no statement gives.
		panic("dbgroup: " + err.Error())
	}
	a.encoded = encoded
}

// takeAll returns the collected bytes and forgets them.
func (a *answers) takeAll() []byte {
	b := a.encoded
	a.encoded = nil
	return b
}

func (a *answers) askPassword() { a.add(&pgproto3.AuthenticationCleartextPassword{}) }

func (a *answers) welcome(settings map[string]string, pid uint32, secret []byte) {
	a.add(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		a.setting(name, settings[name])
	}
	a.add(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: secret})
}

func (a *answers) setting(name, value string) {
	a.add(&pgproto3.ParameterStatus{Name: name, Value: value})
}

func (a *answers) ready(status byte) { a.add(&pgproto3.ReadyForQuery{TxStatus: status}) }

func (a *answers) failure(e *sqlError) {
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	a.add(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	})
}

func (a *answers) warning(code, message string) {
	a.add(&pgproto3.NoticeResponse{
		Severity:            "WARNING",
		SeverityUnlocalized: "WARNING",
		Code:                code,
		Message:             message,
	})
}

func (a *answers) empty() { a.add(&pgproto3.EmptyQueryResponse{}) }

func (a *answers) parsed() { a.add(&pgproto3.ParseComplete{}) }

func (a *answers) bound() { a.add(&pgproto3.BindComplete{}) }

func (a *answers) closed() { a.add(&pgproto3.CloseComplete{}) }

func (a *answers) parameters(count int) {
	oids := make([]uint32, count)
	for i := range oids {
		oids[i] = oidText
	}
	a.add(&pgproto3.ParameterDescription{ParameterOIDs: oids})
}

// description describes the columns of a result in the given formats.
func (a *answers) description(columns []column, binary []bool) {
	if len(columns) == 0 {
		a.add(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       format(isBinary(binary, i)),
		}
	}
	a.add(&pgproto3.RowDescription{Fields: fields})
}

// rows adds the rows of a result and its end.
func (a *answers) rows(r *result, binary []bool) {
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeValue(v, r.columns[i].oid, isBinary(binary, i))
		}
		a.add(&pgproto3.DataRow{Values: values})
	}
	a.add(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

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

func format(binary bool) int16 {
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
