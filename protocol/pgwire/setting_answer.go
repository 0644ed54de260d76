package pgwire

import "github.com/jackc/pgx/v5/pgproto3"

// textOID is the OID of the type text, which SHOW returns.
const textOID = 25

// ShowAnswer returns the answer to a simple query that shows one of the proxy's
// settings, without the ReadyForQuery.
func ShowAnswer(name, value string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
			Name:         []byte(name),
			DataTypeOID:  textOID,
			DataTypeSize: -1,
			TypeModifier: -1,
		}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}
}

// SetAnswer returns the answer to a batch that sets or resets one of the proxy's
// settings, without the ReadyForQuery.
func SetAnswer(b *Batch) []pgproto3.BackendMessage {
	var answer []pgproto3.BackendMessage
	for _, msg := range b.Messages {
		switch m := msg.(type) {
		case *pgproto3.Parse:
			answer = append(answer, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			answer = append(answer, &pgproto3.BindComplete{})
		case *pgproto3.Close:
			answer = append(answer, &pgproto3.CloseComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				answer = append(answer, &pgproto3.ParameterDescription{})
			}
			answer = append(answer, &pgproto3.NoData{})
		case *pgproto3.Query, *pgproto3.Execute:
			answer = append(answer, &pgproto3.CommandComplete{CommandTag: []byte("SET")})
		}
	}
	return answer
}
